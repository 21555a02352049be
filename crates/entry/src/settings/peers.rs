//! Section `[peers]`.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use marjorampick_core::{finding::Findings, reader::Table};
use marjorampick_link::settings::{address, addresses, path};

/// Transport between entry hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    /// UDP address of the listener; peers send to it.
    pub listen: SocketAddr,
    /// UDP address of the socket, if something between the peers and this host forwards `listen` to it.
    pub bind: Option<SocketAddr>,
    /// Addresses that are asked while no members are known.
    pub seeds: Vec<SocketAddr>,
    /// PEM file with the certificate of the fleet's authority.
    pub authority: PathBuf,
    /// PEM file with the host's certificate.
    pub certificate: PathBuf,
    /// PEM file with the host's private key.
    pub key: PathBuf,
}

pub(super) fn parse(table: &mut Table<'_>, findings: &mut Findings, folder: &Path) -> Peers {
    let mut section = table.table(findings, "peers");
    let peers = Peers {
        listen: address(&mut section, findings, "listen"),
        bind: bind(&mut section, findings),
        seeds: addresses(&mut section, findings, "seeds"),
        authority: path(&mut section, findings, "authority", folder),
        certificate: path(&mut section, findings, "certificate", folder),
        key: path(&mut section, findings, "key", folder),
    };
    if section_is_unspecified(&peers) {
        section.report(findings, "listen", "must name the address that peers use");
    }
    section.finish(findings);
    peers
}

fn bind(section: &mut Table<'_>, findings: &mut Findings) -> Option<SocketAddr> {
    let is_given = section.has("bind");
    is_given.then(|| address(section, findings, "bind"))
}

/// Messages carry this address, so that 0.0.0.0 or port 0 would leave peers without one.
fn section_is_unspecified(peers: &Peers) -> bool {
    let is_absent = peers.listen == SocketAddr::from(([0, 0, 0, 0], 0));
    !is_absent && (peers.listen.ip().is_unspecified() || peers.listen.port() == 0)
}
