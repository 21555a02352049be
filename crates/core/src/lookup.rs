//! Lookup of the precomputed answer for a client address by longest prefix match.
//!
//! See docs/design.md §12. Nested address blocks are flattened into disjoint ranges once. A lookup
//! is a binary search for the last range that starts at or before the address, which belongs to the
//! longest matching prefix. Each block refers to a group of sites, and answers are stored per
//! group. There are few groups, so a change of the sites replaces answers without a rebuild of the
//! ranges.

use std::{
    fmt,
    net::{IpAddr, Ipv4Addr, Ipv6Addr},
    num::NonZeroU16,
    str::FromStr,
    sync::Arc,
};

mod ranges;

#[cfg(test)]
mod tests;

use ranges::Ranges;

/// Index of a group of sites, below [`Group::MAX_COUNT`]. Stored plus one, so that an `Option` of
/// it takes two bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Group(NonZeroU16);

impl Group {
    /// Largest number of groups in a table.
    pub const MAX_COUNT: usize = u16::MAX as usize;

    /// The group with this index; `None` if the index isn't below [`Self::MAX_COUNT`].
    pub fn new(index: usize) -> Option<Self> {
        let number = u16::try_from(index.checked_add(1)?).ok()?;
        NonZeroU16::new(number).map(Self)
    }

    /// Index of the group and of its answer in a [`Table`].
    pub fn index(self) -> usize {
        usize::from(self.0.get()) - 1
    }
}

/// A CIDR prefix: a block of addresses with the same leading bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Prefix {
    /// First address of the block; its host bits are 0.
    pub address: IpAddr,
    /// Prefix length: number of leading bits that the addresses have in common.
    pub length: u8,
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.address, self.length)
    }
}

impl FromStr for Prefix {
    type Err = Fault;

    fn from_str(text: &str) -> Result<Self, Fault> {
        let malformed = || Fault::Malformed(text.to_owned());
        let (address, length) = text.split_once('/').ok_or_else(malformed)?;
        let address = address.parse().map_err(|_| malformed())?;
        let length = length.parse().map_err(|_| malformed())?;
        Ok(Self { address, length })
    }
}

/// A block of client addresses and the group of sites whose answer it gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Block {
    /// Client addresses in the block.
    pub prefix: Prefix,
    /// Group of sites for these clients.
    pub group: Group,
}

/// Reason why a prefix, a set of blocks or a table is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The text is not of the form `address/length`.
    Malformed(String),
    /// The prefix length is too large for the address family, or host bits are set.
    Invalid(Prefix),
    /// Two blocks have the same prefix.
    Duplicate(Prefix),
    /// A block refers to a group that has no answer.
    NoAnswer(Group),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(text) => write!(f, "{text}: expected address/length"),
            Self::Invalid(prefix) => write!(f, "{prefix}: length too large or host bits set"),
            Self::Duplicate(prefix) => write!(f, "{prefix} is given twice"),
            Self::NoAnswer(group) => write!(f, "group {} has no answer", group.index()),
        }
    }
}

impl std::error::Error for Fault {}

/// Immutable map from client addresses to groups, shared by tables that differ only in their
/// answers.
#[derive(Clone, Debug, Default)]
pub struct Blocks {
    v4: Ranges<u32>,
    v6: Ranges<u128>,
    largest_group: Option<Group>,
}

impl Blocks {
    /// Flattens blocks into ranges. The blocks may be nested and in any order.
    pub fn new(blocks: impl IntoIterator<Item = Block>) -> Result<Self, Fault> {
        let (mut v4, mut v6) = (Vec::new(), Vec::new());
        let mut largest_group = None;
        for Block { prefix, group } in blocks {
            let invalid = || Fault::Invalid(prefix);
            match prefix.address {
                IpAddr::V4(address) => {
                    let block = ranges::Block::new(address.to_bits(), prefix.length, group);
                    v4.push(block.ok_or_else(invalid)?);
                }
                IpAddr::V6(address) => {
                    let block = ranges::Block::new(address.to_bits(), prefix.length, group);
                    v6.push(block.ok_or_else(invalid)?);
                }
            }
            largest_group = largest_group.max(Some(group));
        }
        let duplicate = |address, length| Fault::Duplicate(Prefix { address, length });
        let v4 = Ranges::new(v4)
            .map_err(|(first, length)| duplicate(Ipv4Addr::from_bits(first).into(), length))?;
        let v6 = Ranges::new(v6)
            .map_err(|(first, length)| duplicate(Ipv6Addr::from_bits(first).into(), length))?;
        Ok(Self { v4, v6, largest_group })
    }

    /// Group of the block with the longest prefix that contains the address. An IPv4-mapped IPv6
    /// address is looked up as IPv4.
    pub fn group(&self, address: IpAddr) -> Option<Group> {
        match address.to_canonical() {
            IpAddr::V4(address) => self.v4.group(address.to_bits()),
            IpAddr::V6(address) => self.v6.group(address.to_bits()),
        }
    }

    /// Heap memory of the ranges in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.v4.memory_bytes() + self.v6.memory_bytes()
    }

    /// Number of ranges into which the blocks were flattened.
    pub fn range_count(&self) -> usize {
        self.v4.len() + self.v6.len()
    }
}

/// Lookup table from client addresses to answers. A clone shares the blocks and the answers.
#[derive(Debug)]
pub struct Table<A> {
    blocks: Arc<Blocks>,
    answers: Vec<Arc<A>>,
    fallback: Arc<A>,
}

impl<A> Clone for Table<A> {
    fn clone(&self) -> Self {
        Self {
            blocks: self.blocks.clone(),
            answers: self.answers.clone(),
            fallback: self.fallback.clone(),
        }
    }
}

impl<A> Table<A> {
    /// Creates a table. `answers` are indexed by group; `fallback` is the answer for addresses
    /// outside all blocks. Fails with [`Fault::NoAnswer`] if a block refers to a group without an
    /// answer.
    pub fn new(blocks: Arc<Blocks>, answers: Vec<Arc<A>>, fallback: Arc<A>) -> Result<Self, Fault> {
        match blocks.largest_group {
            Some(group) if group.index() >= answers.len() => Err(Fault::NoAnswer(group)),
            _ => Ok(Self { blocks, answers, fallback }),
        }
    }

    /// The answer for a client address.
    pub fn answer(&self, address: IpAddr) -> &Arc<A> {
        let group = self.blocks.group(address);
        group.and_then(|group| self.answers.get(group.index())).unwrap_or(&self.fallback)
    }

    /// Replaces the answer of one group. Fails with [`Fault::NoAnswer`] if the table lacks the
    /// group.
    pub fn set_answer(&mut self, group: Group, answer: Arc<A>) -> Result<(), Fault> {
        let slot = self.answers.get_mut(group.index()).ok_or(Fault::NoAnswer(group))?;
        *slot = answer;
        Ok(())
    }

    /// Replaces the answer for addresses outside all blocks.
    pub fn set_fallback(&mut self, answer: Arc<A>) {
        self.fallback = answer;
    }

    /// The blocks of the table.
    pub fn blocks(&self) -> &Arc<Blocks> {
        &self.blocks
    }
}
