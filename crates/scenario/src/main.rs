//! Command line of `marjorampick-scenario`.

use std::{fs, path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use eyre::WrapErr as _;
use marjorampick_scenario::{parse, policies, run, script::Script};

/// Runs scenario files against the decisions of marjorampick.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Checks the files and ends.
    check: bool,
    /// Runs each file under every policy and prints the shares of the omniscient limiter side by side;
    /// expectations are not checked.
    policies: bool,
    /// Seed of delays and arrivals; a failure prints the one to repeat.
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// Number of runs, each with the next seed.
    #[bpaf(argument("COUNT"), fallback(1))]
    runs: u64,
    /// Scenario files; docs/scenarios.md gives the language.
    #[bpaf(positional("FILE"), some("expected a scenario file"))]
    files: Vec<PathBuf>,
}

fn main() -> ExitCode {
    let options = options().run();
    let mut failed = false;
    for file in &options.files {
        match execute(&options, file) {
            Ok(passed) => failed |= !passed,
            Err(error) => {
                eprintln!("scenario: {error:#}");
                return ExitCode::from(2);
            }
        }
    }
    ExitCode::from(u8::from(failed))
}

fn execute(options: &Options, file: &PathBuf) -> eyre::Result<bool> {
    let shown = file.display();
    let source = fs::read_to_string(file).wrap_err_with(|| format!("cannot read {shown}"))?;
    let script = match parse::parse(&source) {
        Ok(script) => script,
        Err(findings) => {
            findings.iter().for_each(|finding| eprintln!("{shown}: {finding}"));
            return Ok(false);
        }
    };
    if options.check {
        return Ok(true);
    }
    let mut passed = true;
    for seed in options.seed..options.seed + options.runs {
        if options.policies {
            println!("{shown} seed {seed}:");
            let rows = policies::compare(&script, seed);
            rows.iter().for_each(|row| println!("  {row}"));
        } else {
            passed &= run_once(&shown.to_string(), &script, seed);
        }
    }
    Ok(passed)
}

fn run_once(shown: &str, script: &Script, seed: u64) -> bool {
    let outcome = run::run(script, seed);
    let passed = outcome.failures.is_empty();
    let verdict = if passed { "ok" } else { "failed" };
    println!("{shown} seed {seed}: {verdict}");
    print!("{}", outcome.figures);
    let failures = outcome.failures.iter();
    failures.for_each(|failure| println!("  {failure}"));
    passed
}
