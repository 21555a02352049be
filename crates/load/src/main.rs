//! Command line of `marjorampick-load`.

use std::{fs, path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use eyre::WrapErr as _;
use marjorampick_load::{plan::Plan, plot, report::Report, run};

/// Exit code when `--all-served` does not hold.
const NOT_ALL_SERVED: u8 = 3;

/// Sends open-loop load as a plan says and reports what callers saw.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Checks the plan and ends.
    check: bool,
    /// Ends with exit code 3 unless every request was served.
    all_served: bool,
    /// Writes the report as JSON.
    #[bpaf(argument("FILE"))]
    json: Option<PathBuf>,
    /// Writes plots as SVG into this folder.
    #[bpaf(argument("FOLDER"))]
    plots: Option<PathBuf>,
    /// Plan in TOML; docs/load.md gives its keys.
    #[bpaf(positional("PLAN"))]
    plan: PathBuf,
}

fn main() -> ExitCode {
    let options = options().run();
    match execute(&options) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("load: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn execute(options: &Options) -> eyre::Result<ExitCode> {
    let shown = options.plan.display();
    let source =
        fs::read_to_string(&options.plan).wrap_err_with(|| format!("cannot read {shown}"))?;
    let plan = match Plan::parse(&source) {
        Ok(plan) => plan,
        Err(findings) => {
            findings.iter().for_each(|finding| eprintln!("{shown}: {finding}"));
            return Ok(ExitCode::from(1));
        }
    };
    if options.check {
        return Ok(ExitCode::SUCCESS);
    }
    let report = run::execute(&plan)?;
    print!("{}", report.to_table());
    write(options, &report)?;
    let failed = options.all_served && !report.all_served();
    Ok(ExitCode::from(if failed { NOT_ALL_SERVED } else { 0 }))
}

fn write(options: &Options, report: &Report) -> eyre::Result<()> {
    if let Some(path) = &options.json {
        fs::write(path, serde_json::to_string_pretty(report)?)?;
    }
    if let Some(folder) = &options.plots {
        fs::create_dir_all(folder)?;
        plot::write(folder, report)?;
    }
    Ok(())
}
