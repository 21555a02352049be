//! Runs every scenario file; a failure prints the command that repeats it.

use std::path::Path;

use marjorampick_scenario::{parse, run};

/// Seeds of the committed runs: each varies delays, arrivals and the phases of hosts.
const SEEDS: [u64; 2] = [1, 2];

// The harness hands the text over by value.
#[allow(clippy::needless_pass_by_value)]
fn scenario(path: &Path, source: String) -> datatest_stable::Result<()> {
    let script = parse::parse(&source).map_err(|findings| findings.to_string())?;
    for seed in SEEDS {
        let outcome = run::run(&script, seed);
        print!("{}: {}", script.title, outcome.figures);
        if !outcome.failures.is_empty() {
            let failures = outcome.failures.join("\n  ");
            let again = format!("marjorampick-scenario --seed {seed} {}", path.display());
            return Err(format!("{}\n  {failures}\nrepeat: {again}", script.title).into());
        }
    }
    Ok(())
}

datatest_stable::harness! {
    { test = scenario, root = "scenarios", pattern = r"\.scenario$" },
}
