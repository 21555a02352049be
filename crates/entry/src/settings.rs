//! Settings of an entry host, read from a TOML file. See docs/settings.md.
//!
//! Each section of the file has a module.

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

/// All settings of an entry host, fixed while the process runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Identity and location of the host.
    pub host: host::Host,
    /// Source of the confirmations that the host is current.
    pub currency: currency::Currency,
    /// Listener for requests of callers.
    pub callers: callers::Callers,
    /// Listener for look-ups of entry hosts.
    pub lookup: lookup::Lookup,
    /// Listener for operators.
    pub admin: admin::Admin,
    /// Transport between entry hosts.
    pub peers: peers::Peers,
    /// Key-value store of the fleet.
    pub store: store::Store,
    /// The platform's list of hosts.
    pub platform: platform::Platform,
    /// Logging.
    pub log: log::Log,
}

/// Reads and validates a settings file. The error contains all faults of the file.
///
/// Relative paths in the file are relative to its folder.
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

/// Sections and addresses of the TCP listeners read so far. Finds two listeners with the same
/// address, which would otherwise fail only when the second one is opened.
#[derive(Default)]
struct Listeners(Vec<(&'static str, SocketAddr)>);

impl Listeners {
    /// Reads the `listen` address of the section `name` and reports it if it is already used.
    fn read_address(
        &mut self,
        section: &mut Table<'_>,
        findings: &mut Findings,
        name: &'static str,
    ) -> SocketAddr {
        let findings_before = findings.len();
        let address = address(section, findings, "listen");
        if findings.len() > findings_before {
            return address;
        }
        if let Some((other, _)) = self.0.iter().find(|(_, used)| *used == address) {
            let text = format!("has the same address as {other}.listen");
            section.report(findings, "listen", text);
        }
        self.0.push((name, address));
        address
    }
}
