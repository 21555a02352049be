//! Runs every scenario file; a failure prints the command that repeats the run.

use std::path::Path;

use marjorampick_scenario::{parse, run};

/// Seeds of the runs. A seed determines network delays, arrivals and the timing of hosts.
const SEEDS: [u64; 2] = [1, 2];

// The harness requires a function that takes the text by value.
#[allow(clippy::needless_pass_by_value)]
fn scenario(path: &Path, source: String) -> datatest_stable::Result<()> {
    let script = parse::parse(&source).map_err(|findings| findings.to_string())?;
    for seed in SEEDS {
        let outcome = run::run(&script, seed);
        print!("{}: {}", script.title, outcome.measurements);
        if !outcome.failures.is_empty() {
            let failures = outcome.failures.join("\n  ");
            let command = format!("marjorampick-scenario --seed {seed} {}", path.display());
            return Err(format!("{}\n  {failures}\nrepeat: {command}", script.title).into());
        }
    }
    Ok(())
}

datatest_stable::harness! {
    { test = scenario, root = "scenarios", pattern = r"\.scenario$" },
}
