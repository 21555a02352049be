//! Section `[platform]`: the platform's list of hosts.

use std::time::Duration;

use marjorampick_core::{finding::Findings, reader::Table};
use marjorampick_link::settings::{milliseconds, uri};

/// Settings of the platform's list of hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// URI of the list.
    pub hosts_uri: http::Uri,
    /// Interval between two reads of the list.
    pub poll_interval: Duration,
}

pub(super) fn parse(table: &mut Table<'_>, findings: &mut Findings) -> Platform {
    let mut section = table.table(findings, "platform");
    let platform = Platform {
        hosts_uri: uri(&mut section, findings, "hosts"),
        poll_interval: milliseconds(&mut section, findings, "interval_ms", 100..=3_000, 1_000),
    };
    section.finish(findings);
    platform
}
