//! Section `[lookup]`.

use std::{net::IpAddr, net::SocketAddr, sync::Arc, time::Duration};

use marjorampick_core::{finding::Findings, reader::Table};
use marjorampick_link::settings::name;

use super::Listeners;

/// Look-up listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lookup {
    /// Address of the listener.
    pub listen: SocketAddr,
    /// How long callers may keep an answer. A draining host keeps serving for this time.
    pub lifetime: Duration,
    /// Blocks of client addresses, in the order of their first addresses.
    pub blocks: Vec<Block>,
}

/// Client addresses from `start` to the start of the next block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// First address of the block.
    pub start: IpAddr,
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
        if !entry.has("start") {
            entry.report(findings, "start", "is missing");
        }
        let start = entry.parsed(findings, "start", |text| {
            let parsed = text.parse::<IpAddr>();
            parsed.map_err(|_| "expected an IP address")
        });
        let region = name(&mut entry, findings, "region");
        if let Some(start) = start {
            if blocks.iter().any(|block| block.start == start) {
                entry.report(findings, "", format!("the block {start} is given twice"));
            }
            blocks.push(Block { start, region });
        }
        entry.finish(findings);
    }
    blocks.sort_by_key(|block| block.start);
    blocks
}
