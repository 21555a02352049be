//! Section `[log]`, which may be absent: the filter of log lines.

use std::sync::Arc;

use marjorampick_core::{finding::Findings, reader::Table};

/// Settings of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Log levels, overall or for each target, such as `info` or `info,quinn=warn`.
    pub filter: Arc<str>,
}

pub(super) fn parse(table: &mut Table<'_>, findings: &mut Findings) -> Log {
    let mut section = table.table(findings, "log");
    let filter = section.parsed(findings, "filter", validate_filter);
    section.finish(findings);
    Log { filter: filter.unwrap_or_else(|| Arc::from("info")) }
}

/// Rejects a filter with parts that the log library does not understand. The library would ignore
/// them, so that log lines would be missing.
fn validate_filter(text: &str) -> Result<Arc<str>, &'static str> {
    let is_level = |level: &str| level.parse::<log::LevelFilter>().is_ok();
    let is_valid = |part: &str| match part.split_once('=') {
        Some((target, level)) => !target.is_empty() && is_level(level),
        None => is_level(part),
    };
    match text.split(',').all(is_valid) {
        true => Ok(Arc::from(text)),
        false => Err("expected levels such as info or info,quinn=warn"),
    }
}
