//! Command line of `marjorampick-scenario`.

use std::{fs, path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use eyre::WrapErr as _;
use marjorampick_scenario::{parse, run};

/// Runs scenario files against the decisions of marjorampick.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Checks the files and ends.
    check: bool,
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
            findings
                .iter()
                .for_each(|finding| eprintln!("{shown}: {finding}"));
            return Ok(false);
        }
    };
    if options.check {
        return Ok(true);
    }
    let mut passed = true;
    for seed in options.seed..options.seed + options.runs {
        let outcome = run::run(&script, seed);
        println!(
            "{shown} seed {seed}: {}",
            if outcome.failures.is_empty() {
                "ok"
            } else {
                "failed"
            }
        );
        print!("{}", outcome.figures);
        outcome
            .failures
            .iter()
            .for_each(|failure| println!("  {failure}"));
        passed &= outcome.failures.is_empty();
    }
    Ok(passed)
}
