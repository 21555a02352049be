//! Section `[callers]`.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use marjorampick_core::{finding::Findings, reader::Table};
use marjorampick_link::settings::path;

use super::Listeners;

/// Caller listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Callers {
    /// Address of the listener, which is also the one that look-ups answer.
    pub listen: SocketAddr,
    /// Number of threads.
    pub threads: usize,
    /// Largest number of connections of each thread.
    pub max_connections_per_thread: usize,
    /// Certificate and key of the listener; absent for plain HTTP.
    pub tls: Option<Tls>,
}

/// Files of the caller listener's certificate.
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
    let connections = section.integer(findings, "connections", 1..=1_000_000, Some(16_384));
    let callers = Callers {
        listen: listeners.take(&mut section, findings, "callers"),
        threads: usize::try_from(threads).unwrap_or(1),
        max_connections_per_thread: usize::try_from(connections).unwrap_or(1),
        tls: tls(&mut section, findings, folder),
    };
    section.finish(findings);
    callers
}

fn tls(section: &mut Table<'_>, findings: &mut Findings, folder: &Path) -> Option<Tls> {
    if !section.has("certificate") && !section.has("key") {
        return None;
    }
    Some(Tls {
        certificate: path(section, findings, "certificate", folder),
        key: path(section, findings, "key", folder),
    })
}
