//! Command line of `marjorampick-load`.

use std::{fs, path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use eyre::WrapErr as _;
use marjorampick_load::{plan::Plan, plot, report::Report, run};

/// Exit code if `--all-served` is set and a request was not served.
const NOT_ALL_SERVED_EXIT_CODE: u8 = 3;

/// Sends open-loop load according to a plan and reports outcomes and latencies.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Parses the plan and exits without sending requests.
    check: bool,
    /// Exits with code 3 unless every request was served.
    all_served: bool,
    /// Writes the report as JSON into this file.
    #[bpaf(argument("FILE"))]
    json: Option<PathBuf>,
    /// Writes plots as SVG into this folder.
    #[bpaf(argument("FOLDER"))]
    plots: Option<PathBuf>,
    /// Plan in TOML; docs/load.md specifies its keys.
    #[bpaf(positional("PLAN"))]
    plan: PathBuf,
}

fn main() -> ExitCode {
    let options = options().run();
    match run_plan(&options) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("load: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn run_plan(options: &Options) -> eyre::Result<ExitCode> {
    let file_name = options.plan.display();
    let source =
        fs::read_to_string(&options.plan).wrap_err_with(|| format!("cannot read {file_name}"))?;
    let plan = match Plan::parse(&source) {
        Ok(plan) => plan,
        Err(findings) => {
            findings.iter().for_each(|finding| eprintln!("{file_name}: {finding}"));
            return Ok(ExitCode::from(1));
        }
    };
    if options.check {
        return Ok(ExitCode::SUCCESS);
    }
    let report = run::execute(&plan)?;
    print!("{}", report.to_table());
    write_files(options, &report)?;
    let is_failure = options.all_served && !report.all_served();
    Ok(ExitCode::from(if is_failure { NOT_ALL_SERVED_EXIT_CODE } else { 0 }))
}

fn write_files(options: &Options, report: &Report) -> eyre::Result<()> {
    if let Some(path) = &options.json {
        fs::write(path, serde_json::to_string_pretty(report)?)?;
    }
    if let Some(folder) = &options.plots {
        fs::create_dir_all(folder)?;
        plot::write(folder, report)?;
    }
    Ok(())
}
