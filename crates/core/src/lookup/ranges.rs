//! Nested blocks of one address family, flattened into ranges.

use super::Group;

/// Ranges between two samples. A sample array of a 128th of the ranges stays in the cache, and the
/// search in between touches few lines of memory.
const SAMPLE_STEP: usize = 128;

/// An address as a number.
pub(super) trait Address: Copy + Ord + Default {
    const BITS: u8;
    /// Bits that differ within a block of this length.
    fn host_mask(length: u8) -> Self;
    fn and(self, other: Self) -> Self;
    fn or(self, other: Self) -> Self;
    /// The next address; none after the last one.
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

/// A block before it is flattened.
#[derive(Clone, Copy, Debug)]
pub(super) struct Block<N> {
    first: N,
    length: u8,
    group: Group,
}

impl<N: Address> Block<N> {
    /// `None` if the length is too large or bits after it are set.
    pub(super) fn new(first: N, length: u8, group: Group) -> Option<Self> {
        let valid = length <= N::BITS && first.and(N::host_mask(length)) == N::default();
        valid.then_some(Self { first, length, group })
    }

    fn last(&self) -> N {
        self.first.or(N::host_mask(self.length))
    }
}

/// Ranges by their first address; each reaches to the next one.
///
/// Separate arrays hold addresses and groups, as a pair would be padded to the address's alignment.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranges<N> {
    starts: Vec<N>,
    groups: Vec<Option<Group>>,
    /// Every [`SAMPLE_STEP`]th of `starts`.
    samples: Vec<N>,
}

impl<N: Address> Ranges<N> {
    /// The fault is the first address and the length of a block that is given twice.
    pub(super) fn new(mut blocks: Vec<Block<N>>) -> Result<Self, (N, u8)> {
        blocks.sort_unstable_by_key(|block| (block.first, block.length));
        let same =
            |pair: &&[Block<N>]| pair[0].first == pair[1].first && pair[0].length == pair[1].length;
        if let Some(pair) = blocks.windows(2).find(same) {
            return Err((pair[0].first, pair[0].length));
        }
        let mut ranges = Self { starts: Vec::new(), groups: Vec::new(), samples: Vec::new() };
        // Blocks that contain the current position, the longest prefix last.
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

    pub(super) fn group(&self, address: N) -> Option<Group> {
        let sample = self.samples.partition_point(|&start| start <= address).checked_sub(1)?;
        let from = sample * SAMPLE_STEP;
        let to = self.starts.len().min(from + SAMPLE_STEP);
        let after = self.starts[from..to].partition_point(|&start| start <= address);
        self.groups[from + after - 1]
    }

    pub(super) fn len(&self) -> usize {
        self.starts.len()
    }

    pub(super) fn bytes(&self) -> usize {
        let numbers = self.starts.capacity() + self.samples.capacity();
        numbers * size_of::<N>() + self.groups.capacity() * size_of::<Option<Group>>()
    }

    /// Ends the open blocks that end before `position`, innermost first; all without a position.
    /// What follows belongs to the block around.
    fn close(&mut self, open: &mut Vec<Block<N>>, position: Option<N>) {
        let ended = |block: &mut Block<N>| position.is_none_or(|position| block.last() < position);
        while let Some(block) = open.pop_if(ended) {
            if let Some(next) = block.last().next() {
                self.push(next, open.last().map(|outer| outer.group));
            }
        }
    }

    /// Starts a range; a range of no length or of the same group as the one before is left out.
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
