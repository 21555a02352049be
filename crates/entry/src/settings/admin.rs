//! Section `[admin]`: the listener for operators.

use std::net::SocketAddr;

use marjorampick_core::{document::Digest, finding::Findings, reader::Table};
use marjorampick_link::settings::digest;

use super::Listeners;

/// Settings of the admin listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admin {
    /// Address of the listener.
    pub listen: SocketAddr,
    /// Digest of the bearer token that operators present.
    pub token_digest: Digest,
}

pub(super) fn parse(
    table: &mut Table<'_>,
    findings: &mut Findings,
    listeners: &mut Listeners,
) -> Admin {
    let mut section = table.table(findings, "admin");
    let admin = Admin {
        listen: listeners.read_address(&mut section, findings, "admin"),
        token_digest: digest(&mut section, findings, "token_digest"),
    };
    section.finish(findings);
    admin
}
