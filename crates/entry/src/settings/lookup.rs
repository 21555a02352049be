//! Section `[lookup]`: the listener for look-ups of entry hosts.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use marjorampick_core::{
    finding::Findings,
    lookup::{self, Blocks, Fault, Group, Prefix},
    reader::Table,
};
use marjorampick_link::settings::name;

use super::Listeners;

/// Settings of the look-up listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lookup {
    /// Address of the listener.
    pub listen: SocketAddr,
    /// Time to live of answers. A draining host accepts connections for this time, as callers may
    /// still use answers that name it.
    pub lifetime: Duration,
    /// Blocks of client addresses. Of nested blocks, the smallest one applies.
    pub blocks: Vec<Block>,
}

/// A block of client addresses and its nearest region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// Addresses of the block.
    pub prefix: Prefix,
    /// Region nearest to the clients of the block.
    pub region: Arc<str>,
}

pub(super) fn parse(
    table: &mut Table<'_>,
    findings: &mut Findings,
    listeners: &mut Listeners,
) -> Lookup {
    let mut section = table.table(findings, "lookup");
    let lifetime = section.integer(findings, "ttl_seconds", 1..=60, Some(5));
    let lookup = Lookup {
        listen: listeners.read_address(&mut section, findings, "lookup"),
        lifetime: Duration::from_secs(lifetime),
        blocks: parse_blocks(&mut section, findings),
    };
    section.finish(findings);
    lookup
}

fn parse_blocks(section: &mut Table<'_>, findings: &mut Findings) -> Vec<Block> {
    let mut blocks: Vec<Block> = Vec::new();
    for mut entry in section.tables(findings, "block") {
        if !entry.has("prefix") {
            entry.report(findings, "prefix", "is missing");
        }
        let prefix = entry.parsed(findings, "prefix", parse_prefix);
        let region = name(&mut entry, findings, "region");
        if let Some(prefix) = prefix {
            if blocks.iter().any(|block| block.prefix == prefix) {
                entry.report(findings, "", Fault::Duplicate(prefix).to_string());
            }
            blocks.push(Block { prefix, region });
        }
        entry.finish(findings);
    }
    blocks
}

/// Parses a prefix and builds a table of it alone, which rejects invalid prefixes.
fn parse_prefix(text: &str) -> Result<Prefix, Fault> {
    let prefix: Prefix = text.parse()?;
    let group = Group::new(0).into_iter();
    Blocks::new(group.map(|group| lookup::Block { prefix, group }))?;
    Ok(prefix)
}
