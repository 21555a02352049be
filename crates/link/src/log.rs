//! Logging of all programs, to standard error.
//!
//! Messages of our own crates start with the component that logs them, for instance `peers: `.
//! Messages of libraries get their log target, such as the module path, as a prefix.

use std::io::Write;

/// Environment variable that overrides the log filter of the settings.
pub const FILTER_VARIABLE: &str = "MARJORAMPICK_LOG";

/// Starts logging to standard error with a filter such as `info,quinn=warn`. A second call has no
/// effect.
pub fn start(filter: &str) {
    let filter = std::env::var(FILTER_VARIABLE).unwrap_or_else(|_| filter.to_owned());
    let result = env_logger::Builder::new()
        .parse_filters(&filter)
        .format(|out, record| {
            let time = out.timestamp_millis();
            let level = record.level();
            let target = record.target();
            match target.starts_with("marjorampick") {
                true => writeln!(out, "{time} {level:<5} {}", record.args()),
                false => writeln!(out, "{time} {level:<5} {target}: {}", record.args()),
            }
        })
        .try_init();
    if result.is_err() {
        log::debug!("log: logging is already set up");
    }
}
