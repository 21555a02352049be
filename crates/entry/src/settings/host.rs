//! Section `[host]`: identity and location of the host.

use std::sync::Arc;

use marjorampick_core::{finding::Findings, reader::Table};
use marjorampick_link::settings::name;

/// Identity and location of the host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Unique name of the host in the fleet, equal to the name in its certificate.
    pub name: Arc<str>,
    /// Region of the host.
    pub region: Arc<str>,
    /// Failure domain of the host.
    pub domain: Arc<str>,
}

pub(super) fn parse(table: &mut Table<'_>, findings: &mut Findings) -> Host {
    let mut section = table.table(findings, "host");
    let host = Host {
        name: name(&mut section, findings, "name"),
        region: name(&mut section, findings, "region"),
        domain: name(&mut section, findings, "domain"),
    };
    section.finish(findings);
    host
}
