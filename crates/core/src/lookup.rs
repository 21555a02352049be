//! Look-ups: from a client's address to the precomputed answer for its group of sites.
//!
//! See docs/design.md §12. Nested blocks are flattened into ranges once, so a look-up is a search for
//! the last range that starts at or before the address, and the longest prefix wins by construction.
//! Answers belong to groups, of which there are few, so a change of the sites leaves the blocks alone.

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

/// Number of a group of sites, below [`Group::MAX_COUNT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Group(NonZeroU16);

impl Group {
    /// Number of groups that a table can have.
    pub const MAX_COUNT: usize = u16::MAX as usize;

    /// The group with this index, if it is below the limit.
    pub fn new(index: usize) -> Option<Self> {
        let number = u16::try_from(index.checked_add(1)?).ok()?;
        NonZeroU16::new(number).map(Self)
    }

    /// Index of the group's answer.
    pub fn index(self) -> usize {
        usize::from(self.0.get()) - 1
    }
}

/// A block of addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Prefix {
    /// First address of the block.
    pub address: IpAddr,
    /// Number of leading bits that the block's addresses have in common.
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

/// A block of client addresses and the group of sites that serves it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Block {
    /// Addresses of the block.
    pub prefix: Prefix,
    /// Group of the block.
    pub group: Group,
}

/// Why a table cannot be built.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The text is not of the form `address/length`.
    Malformed(String),
    /// The length is too large for the address, or bits after it are set.
    Invalid(Prefix),
    /// The block is given twice.
    Duplicate(Prefix),
    /// A block names a group that has no answer.
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

/// Client blocks, immutable and shared by all tables that differ in their answers only.
#[derive(Clone, Debug, Default)]
pub struct Blocks {
    v4: Ranges<u32>,
    v6: Ranges<u128>,
    largest: Option<Group>,
}

impl Blocks {
    /// Flattens blocks, which may be nested and in any order.
    pub fn new(blocks: impl IntoIterator<Item = Block>) -> Result<Self, Fault> {
        let (mut v4, mut v6) = (Vec::new(), Vec::new());
        let mut largest = None;
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
            largest = largest.max(Some(group));
        }
        let duplicate = |address, length| Fault::Duplicate(Prefix { address, length });
        let v4 = Ranges::new(v4)
            .map_err(|(first, length)| duplicate(Ipv4Addr::from_bits(first).into(), length))?;
        let v6 = Ranges::new(v6)
            .map_err(|(first, length)| duplicate(Ipv6Addr::from_bits(first).into(), length))?;
        Ok(Self { v4, v6, largest })
    }

    /// Group of the longest block that contains the address.
    pub fn group(&self, address: IpAddr) -> Option<Group> {
        match address.to_canonical() {
            IpAddr::V4(address) => self.v4.group(address.to_bits()),
            IpAddr::V6(address) => self.v6.group(address.to_bits()),
        }
    }

    /// Memory of the blocks in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.v4.bytes() + self.v6.bytes()
    }

    /// Number of ranges that the blocks were flattened into.
    pub fn range_count(&self) -> usize {
        self.v4.len() + self.v6.len()
    }
}

/// Blocks to groups, groups to answers. Cloning one shares the blocks and every answer.
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
    /// A table whose groups have these answers; `fallback` is for addresses outside all blocks.
    pub fn new(blocks: Arc<Blocks>, answers: Vec<Arc<A>>, fallback: Arc<A>) -> Result<Self, Fault> {
        match blocks.largest {
            Some(group) if group.index() >= answers.len() => Err(Fault::NoAnswer(group)),
            _ => Ok(Self { blocks, answers, fallback }),
        }
    }

    /// The answer for a client's address.
    pub fn answer(&self, address: IpAddr) -> &Arc<A> {
        let group = self.blocks.group(address);
        group.and_then(|group| self.answers.get(group.index())).unwrap_or(&self.fallback)
    }

    /// Replaces the answer of one group; a group without answers is a fault.
    pub fn set_answer(&mut self, group: Group, answer: Arc<A>) -> Result<(), Fault> {
        let place = self.answers.get_mut(group.index()).ok_or(Fault::NoAnswer(group))?;
        *place = answer;
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
