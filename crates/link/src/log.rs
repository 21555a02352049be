//! Log set-up of all programs.
//!
//! Messages start with the prefix of their part, for instance `peers: `. Lines of libraries get the
//! library's name as their prefix.

use std::io::Write;

/// Environment variable that replaces the filter of the settings.
pub const FILTER_VARIABLE: &str = "MARJORAMPICK_LOG";

/// Starts logging to standard error. `filter` has the form `info,quinn=warn`.
pub fn start(filter: &str) {
    let filter = std::env::var(FILTER_VARIABLE).unwrap_or_else(|_| filter.to_owned());
    let started = env_logger::Builder::new()
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
    if started.is_err() {
        log::debug!("log: logging was started before");
    }
}
