//! Command line of `marjorampick-scenario`.

use std::{fs, path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use eyre::WrapErr as _;
use marjorampick_scenario::{parse, policies, run, script::Script};

/// Simulates a fleet of marjorampick hosts in virtual time, as scenario files describe.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Parses the files and exits without running them.
    check: bool,
    /// Runs each file under every budget policy and compares what was admitted, in percent of what
    /// one omniscient limiter admits; expectations are not checked.
    policies: bool,
    /// Seed of the random numbers; each result is printed with its seed, to repeat the run.
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// Number of runs of each file; the seed increases by one from run to run.
    #[bpaf(argument("COUNT"), fallback(1))]
    runs: u64,
    /// Scenario files; docs/scenarios.md specifies the language.
    #[bpaf(positional("FILE"), some("expected a scenario file"))]
    files: Vec<PathBuf>,
}

fn main() -> ExitCode {
    let options = options().run();
    let mut failed = false;
    for file in &options.files {
        match run_file(&options, file) {
            Ok(passed) => failed |= !passed,
            Err(error) => {
                eprintln!("scenario: {error:#}");
                return ExitCode::from(2);
            }
        }
    }
    ExitCode::from(u8::from(failed))
}

fn run_file(options: &Options, file: &PathBuf) -> eyre::Result<bool> {
    let file_name = file.display();
    let source = fs::read_to_string(file).wrap_err_with(|| format!("cannot read {file_name}"))?;
    let script = match parse::parse(&source) {
        Ok(script) => script,
        Err(findings) => {
            findings.iter().for_each(|finding| eprintln!("{file_name}: {finding}"));
            return Ok(false);
        }
    };
    if options.check {
        return Ok(true);
    }
    let mut passed = true;
    for seed in options.seed..options.seed + options.runs {
        if options.policies {
            println!("{file_name} seed {seed}:");
            let rows = policies::compare(&script, seed);
            rows.iter().for_each(|row| println!("  {row}"));
        } else {
            passed &= run_once(&file_name.to_string(), &script, seed);
        }
    }
    Ok(passed)
}

fn run_once(file_name: &str, script: &Script, seed: u64) -> bool {
    let outcome = run::run(script, seed);
    let passed = outcome.failures.is_empty();
    let verdict = if passed { "ok" } else { "failed" };
    println!("{file_name} seed {seed}: {verdict}");
    print!("{}", outcome.measurements);
    let failures = outcome.failures.iter();
    failures.for_each(|failure| println!("  {failure}"));
    passed
}
