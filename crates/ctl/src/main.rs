//! The program `marjorampick-ctl`, which runs one command of an operator.

use std::process::ExitCode;

use marjorampick_ctl::{options::options, run::run};
use marjorampick_link::log as logging;

fn main() -> ExitCode {
    let options = options().run();
    logging::start("warn");
    run(options).into()
}
