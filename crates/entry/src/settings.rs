//! Settings of an entry host: one file, one module for each section. See docs/settings.md.

pub mod admin;
pub mod callers;
pub mod currency;
pub mod host;
pub mod log;
pub mod lookup;
pub mod peers;
pub mod platform;
pub mod store;

use std::{net::SocketAddr, path::Path};

use marjorampick_core::{finding::Findings, reader::Table};
use marjorampick_link::settings::{Faults, read as read_file};

/// Settings of an entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Who the host is.
    pub host: host::Host,
    /// What keeps the host current.
    pub currency: currency::Currency,
    /// Caller listener.
    pub callers: callers::Callers,
    /// Look-up listener.
    pub lookup: lookup::Lookup,
    /// Admin listener.
    pub admin: admin::Admin,
    /// Transport between entry hosts.
    pub peers: peers::Peers,
    /// Key-value store.
    pub store: store::Store,
    /// The platform's list of hosts.
    pub platform: platform::Platform,
    /// Log lines.
    pub log: log::Log,
}

/// Reads and checks a settings file; all faults are reported together.
pub fn read(file: &Path) -> Result<Settings, Faults> {
    let folder = file.parent().unwrap_or(Path::new("."));
    read_file(file, |table, findings| parse(table, findings, folder))
}

fn parse(table: &mut Table<'_>, findings: &mut Findings, folder: &Path) -> Settings {
    let settings = Settings {
        host: host::parse(table, findings),
        currency: currency::parse(table, findings),
        callers: callers::parse(table, findings, folder),
        lookup: lookup::parse(table, findings),
        admin: admin::parse(table, findings),
        peers: peers::parse(table, findings, folder),
        store: store::parse(table, findings),
        platform: platform::parse(table, findings),
        log: log::parse(table, findings),
    };
    check_listeners(&settings, table, findings);
    settings
}

/// Two listeners with one address would fail only when the second one is opened.
fn check_listeners(settings: &Settings, table: &Table<'_>, findings: &mut Findings) {
    let listeners: [(&str, SocketAddr); 3] = [
        ("callers.listen", settings.callers.listen),
        ("lookup.listen", settings.lookup.listen),
        ("admin.listen", settings.admin.listen),
    ];
    for (index, (key, address)) in listeners.iter().enumerate() {
        let earlier = listeners.iter().take(index);
        for (other, _) in earlier.filter(|(_, other)| other == address && other.port() != 0) {
            table.report(findings, key, format!("has the same address as {other}"));
        }
    }
}

/// Takes a section that must be present.
fn section<'a>(table: &mut Table<'a>, findings: &mut Findings, name: &str) -> Table<'a> {
    if !table.has(name) {
        table.report(findings, name, "the section is missing");
    }
    table.table(findings, name)
}
