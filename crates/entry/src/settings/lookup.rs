//! Section `[lookup]`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use marjorampick_core::{
    finding::Findings,
    lookup::{self, Blocks, Fault, Group, Prefix},
    reader::Table,
};
use marjorampick_link::settings::name;

use super::Listeners;

/// Look-up listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lookup {
    /// Address of the listener.
    pub listen: SocketAddr,
    /// How long callers may keep an answer. A draining host keeps serving for this time.
    pub lifetime: Duration,
    /// Blocks of client addresses; of nested ones the smallest counts.
    pub blocks: Vec<Block>,
}

/// Client addresses and the region that they are close to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// Addresses of the block.
    pub prefix: Prefix,
    /// Region that the block's clients are close to.
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
        listen: listeners.take(&mut section, findings, "lookup"),
        lifetime: Duration::from_secs(lifetime),
        blocks: blocks(&mut section, findings),
    };
    section.finish(findings);
    lookup
}

fn blocks(section: &mut Table<'_>, findings: &mut Findings) -> Vec<Block> {
    let mut blocks: Vec<Block> = Vec::new();
    for mut entry in section.tables(findings, "block") {
        if !entry.has("prefix") {
            entry.report(findings, "prefix", "is missing");
        }
        let prefix = entry.parsed(findings, "prefix", prefix);
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

/// A prefix that can stand in a table on its own.
fn prefix(text: &str) -> Result<Prefix, Fault> {
    let prefix: Prefix = text.parse()?;
    let group = Group::new(0).into_iter();
    Blocks::new(group.map(|group| lookup::Block { prefix, group }))?;
    Ok(prefix)
}
