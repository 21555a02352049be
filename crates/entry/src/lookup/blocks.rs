//! Blocks of client addresses and the regions that they are close to.

use std::{net::IpAddr, sync::Arc};

use crate::settings::lookup::Block;

/// Blocks in the order of their first addresses.
pub(super) struct Blocks(Vec<Block>);

impl Blocks {
    pub(super) fn new(blocks: &[Block]) -> Self {
        let mut blocks = blocks.to_vec();
        blocks.sort_by_key(|block| block.start);
        Self(blocks)
    }

    /// Region of the block that holds `address`; `None` before the first block.
    pub(super) fn region(&self, address: IpAddr) -> Option<&Arc<str>> {
        let address = address.to_canonical();
        let after = self.0.partition_point(|block| block.start <= address);
        let block = self.0.get(after.checked_sub(1)?)?;
        // IPv4 and IPv6 blocks sort one after the other, but never continue each other.
        let same_family = block.start.is_ipv4() == address.is_ipv4();
        same_family.then_some(&block.region)
    }
}
