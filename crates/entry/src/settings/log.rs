//! Section `[log]`, which may be absent.

use std::sync::Arc;

use marjorampick_core::{finding::Findings, reader::Table};

/// Log lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Filter such as `info` or `info,quinn=warn`.
    pub filter: Arc<str>,
}

pub(super) fn parse(table: &mut Table<'_>, findings: &mut Findings) -> Log {
    let mut section = table.table(findings, "log");
    let filter = section.parsed(findings, "filter", check);
    section.finish(findings);
    Log { filter: filter.unwrap_or_else(|| Arc::from("info")) }
}

/// The log library ignores parts that it does not understand, which would hide log lines.
fn check(text: &str) -> Result<Arc<str>, &'static str> {
    let is_level = |level: &str| level.parse::<log::LevelFilter>().is_ok();
    let fits = |part: &str| match part.split_once('=') {
        Some((target, level)) => !target.is_empty() && is_level(level),
        None => is_level(part),
    };
    match text.split(',').all(fits) {
        true => Ok(Arc::from(text)),
        false => Err("expected levels such as info or info,quinn=warn"),
    }
}
