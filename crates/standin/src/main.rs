//! Runs one stand-in.

use std::process::ExitCode;

use eyre::WrapErr;
use marjorampick_link::{exit::Exit, log as logging};
use marjorampick_standin::{options::options, run::run};

fn main() -> ExitCode {
    let options = options().run();
    logging::start("info");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = runtime
        .wrap_err("cannot start the runtime")
        .and_then(|runtime| runtime.block_on(run(options)));
    match result {
        Ok(()) => Exit::Success.into(),
        Err(report) => {
            log::error!("standin: {report:#}");
            Exit::Failure.into()
        }
    }
}
