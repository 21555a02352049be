//! Section `[callers]`: the listener for requests of callers.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use marjorampick_core::{finding::Findings, reader::Table};
use marjorampick_link::settings::path;

use super::Listeners;

/// Settings of the caller listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Callers {
    /// Address of the listener. Look-ups return the same address to callers.
    pub listen: SocketAddr,
    /// Number of threads that serve callers.
    pub threads: usize,
    /// Maximum number of caller connections that each thread serves at the same time.
    pub max_connections_per_thread: usize,
    /// Certificate and key of the listener; `None` for plain HTTP.
    pub tls: Option<Tls>,
}

/// Files of the caller listener's certificate and key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tls {
    /// PEM file with the certificate chain.
    pub certificate: PathBuf,
    /// PEM file with the private key.
    pub key: PathBuf,
}

pub(super) fn parse(
    table: &mut Table<'_>,
    findings: &mut Findings,
    folder: &Path,
    listeners: &mut Listeners,
) -> Callers {
    let mut section = table.table(findings, "callers");
    let threads = section.integer(findings, "threads", 1..=64, Some(2));
    let max_connections = section.integer(findings, "connections", 1..=1_000_000, Some(16_384));
    let callers = Callers {
        listen: listeners.read_address(&mut section, findings, "callers"),
        threads: usize::try_from(threads).unwrap_or(1),
        max_connections_per_thread: usize::try_from(max_connections).unwrap_or(1),
        tls: parse_tls(&mut section, findings, folder),
    };
    section.finish(findings);
    callers
}

/// Parses the certificate and the key, which are either both present or both absent.
fn parse_tls(section: &mut Table<'_>, findings: &mut Findings, folder: &Path) -> Option<Tls> {
    if !section.has("certificate") && !section.has("key") {
        return None;
    }
    Some(Tls {
        certificate: path(section, findings, "certificate", folder),
        key: path(section, findings, "key", folder),
    })
}
