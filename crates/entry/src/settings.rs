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
use marjorampick_link::settings::{Faults, address, read as read_file};

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
    let mut listeners = Listeners::default();
    Settings {
        host: host::parse(table, findings),
        currency: currency::parse(table, findings),
        callers: callers::parse(table, findings, folder, &mut listeners),
        lookup: lookup::parse(table, findings, &mut listeners),
        admin: admin::parse(table, findings, &mut listeners),
        peers: peers::parse(table, findings, folder),
        store: store::parse(table, findings),
        platform: platform::parse(table, findings),
        log: log::parse(table, findings),
    }
}

/// Addresses of the TCP listeners so far. Two listeners with one address would fail only when the
/// second one is opened.
#[derive(Default)]
struct Listeners(Vec<(&'static str, SocketAddr)>);

impl Listeners {
    /// Takes the address of the listener of section `name`.
    fn take(
        &mut self,
        section: &mut Table<'_>,
        findings: &mut Findings,
        name: &'static str,
    ) -> SocketAddr {
        let before = findings.len();
        let address = address(section, findings, "listen");
        if findings.len() > before {
            return address;
        }
        if let Some((other, _)) = self.0.iter().find(|(_, taken)| *taken == address) {
            let text = format!("has the same address as {other}.listen");
            section.report(findings, "listen", text);
        }
        self.0.push((name, address));
        address
    }
}
