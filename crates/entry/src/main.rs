//! Command line of the entry host.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use marjorampick_entry::{run, settings};
use marjorampick_link::{exit::Exit, log as logging};

/// Entry host of marjorampick, which forwards requests of callers to backend servers.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Validate the settings, report every fault and exit
    check: bool,
    /// Settings file
    #[bpaf(positional("SETTINGS"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let options = options().run();
    let settings = match settings::read(&options.settings) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return Exit::Settings.into();
        }
    };
    if options.check {
        return Exit::Success.into();
    }
    logging::start(&settings.log.filter);
    match run::run(settings) {
        Ok(exit) => exit.into(),
        Err(report) => {
            log::error!("main: {report:#}");
            Exit::Failure.into()
        }
    }
}
