//! Section `[peers]`: the transport between entry hosts.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use marjorampick_core::{finding::Findings, reader::Table};
use marjorampick_link::settings::{address, addresses, path};

/// Settings of the transport between entry hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    /// UDP address to which peers send.
    pub listen: SocketAddr,
    /// UDP address of the socket, if it differs from `listen` because a forwarder in between sends
    /// the packets for `listen` to it.
    pub bind: Option<SocketAddr>,
    /// Addresses of peers to contact while no members are known.
    pub seeds: Vec<SocketAddr>,
    /// PEM file with the certificate of the fleet's certificate authority.
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
        bind: parse_bind(&mut section, findings),
        seeds: addresses(&mut section, findings, "seeds"),
        authority: path(&mut section, findings, "authority", folder),
        certificate: path(&mut section, findings, "certificate", folder),
        key: path(&mut section, findings, "key", folder),
    };
    if is_listen_unspecified(&peers) {
        section.report(findings, "listen", "must name the address that peers use");
    }
    section.finish(findings);
    peers
}

fn parse_bind(section: &mut Table<'_>, findings: &mut Findings) -> Option<SocketAddr> {
    let is_given = section.has("bind");
    is_given.then(|| address(section, findings, "bind"))
}

/// Whether `listen` has an unspecified IP address or port 0. Peers send to this address, which they
/// learn from messages, so it must be one that they can reach.
///
/// An absent or invalid address is read as 0.0.0.0:0, and has a finding of its own.
fn is_listen_unspecified(peers: &Peers) -> bool {
    let is_placeholder = peers.listen == SocketAddr::from(([0, 0, 0, 0], 0));
    !is_placeholder && (peers.listen.ip().is_unspecified() || peers.listen.port() == 0)
}
