//! Nested blocks of one address family, flattened into disjoint ranges.

use super::Group;

/// Number of ranges per sample. The sample array is small enough to stay in the CPU cache, and the
/// search between two samples reads few cache lines.
const SAMPLE_STEP: usize = 128;

/// An address as an unsigned integer.
pub(super) trait Address: Copy + Ord + Default {
    /// Number of bits of an address.
    const BITS: u8;
    /// Mask of the host bits for this prefix length.
    fn host_mask(length: u8) -> Self;
    fn and(self, other: Self) -> Self;
    fn or(self, other: Self) -> Self;
    /// The following address; `None` for the last one.
    fn next(self) -> Option<Self>;
}

macro_rules! address {
    ($number:ty, $bits:literal) => {
        impl Address for $number {
            const BITS: u8 = $bits;
            fn host_mask(length: u8) -> Self {
                Self::MAX.checked_shr(u32::from(length)).unwrap_or(0)
            }
            fn and(self, other: Self) -> Self {
                self & other
            }
            fn or(self, other: Self) -> Self {
                self | other
            }
            fn next(self) -> Option<Self> {
                self.checked_add(1)
            }
        }
    };
}

address!(u32, 32);
address!(u128, 128);

/// A block to be flattened.
#[derive(Clone, Copy, Debug)]
pub(super) struct Block<N> {
    first: N,
    length: u8,
    group: Group,
}

impl<N: Address> Block<N> {
    /// Creates a block; `None` if the prefix length is too large or host bits are set.
    pub(super) fn new(first: N, length: u8, group: Group) -> Option<Self> {
        let valid = length <= N::BITS && first.and(N::host_mask(length)) == N::default();
        valid.then_some(Self { first, length, group })
    }

    fn last(&self) -> N {
        self.first.or(N::host_mask(self.length))
    }
}

/// Ranges ordered by their first address. Each one extends to the start of the next.
///
/// Addresses and groups are in separate arrays, because a pair would be padded to the alignment of
/// the address.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranges<N> {
    starts: Vec<N>,
    groups: Vec<Option<Group>>,
    /// Every [`SAMPLE_STEP`]th of `starts`.
    samples: Vec<N>,
}

impl<N: Address> Ranges<N> {
    /// Flattens blocks. The error is the first address and the prefix length of a block that is
    /// given twice.
    pub(super) fn new(mut blocks: Vec<Block<N>>) -> Result<Self, (N, u8)> {
        blocks.sort_unstable_by_key(|block| (block.first, block.length));
        let is_duplicate =
            |pair: &&[Block<N>]| pair[0].first == pair[1].first && pair[0].length == pair[1].length;
        if let Some(pair) = blocks.windows(2).find(is_duplicate) {
            return Err((pair[0].first, pair[0].length));
        }
        let mut ranges = Self { starts: Vec::new(), groups: Vec::new(), samples: Vec::new() };
        // Blocks that contain the current address, the longest prefix last.
        let mut open: Vec<Block<N>> = Vec::new();
        for block in blocks {
            ranges.close(&mut open, Some(block.first));
            ranges.push(block.first, Some(block.group));
            open.push(block);
        }
        ranges.close(&mut open, None);
        ranges.starts.shrink_to_fit();
        ranges.groups.shrink_to_fit();
        ranges.samples = ranges.starts.iter().copied().step_by(SAMPLE_STEP).collect();
        Ok(ranges)
    }

    /// Group of the range that contains the address; `None` outside all blocks.
    pub(super) fn group(&self, address: N) -> Option<Group> {
        let sample = self.samples.partition_point(|&start| start <= address).checked_sub(1)?;
        let start_index = sample * SAMPLE_STEP;
        let end_index = self.starts.len().min(start_index + SAMPLE_STEP);
        let after = self.starts[start_index..end_index].partition_point(|&start| start <= address);
        self.groups[start_index + after - 1]
    }

    pub(super) fn len(&self) -> usize {
        self.starts.len()
    }

    pub(super) fn memory_bytes(&self) -> usize {
        let addresses = self.starts.capacity() + self.samples.capacity();
        addresses * size_of::<N>() + self.groups.capacity() * size_of::<Option<Group>>()
    }

    /// Closes the open blocks that end before `address`, innermost first, or all blocks if it is
    /// `None`. The addresses after a closed block belong to the enclosing one.
    fn close(&mut self, open: &mut Vec<Block<N>>, address: Option<N>) {
        let has_ended = |block: &mut Block<N>| address.is_none_or(|address| block.last() < address);
        while let Some(block) = open.pop_if(has_ended) {
            if let Some(next) = block.last().next() {
                self.push(next, open.last().map(|outer| outer.group));
            }
        }
    }

    /// Starts a range. Replaces a previous range that would be empty, and continues a previous
    /// range of the same group.
    fn push(&mut self, start: N, group: Option<Group>) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.groups.pop();
        }
        if self.groups.last().copied().flatten() != group {
            self.starts.push(start);
            self.groups.push(group);
        }
    }
}
