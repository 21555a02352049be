//! Rendezvous hashing: all hosts rank the same candidates in the same order without communication.
//!
//! See Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996. Removing a
//! candidate leaves the order of the others unchanged; the division of budgets relies on this
//! (docs/design.md §7).

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A hashed key, which can be combined with many candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key(u64);

impl Key {
    /// Hashes `parts` in this order. A zero byte after each part keeps `["ab", "c"]` distinct from
    /// `["a", "bc"]`.
    pub fn new<'a>(parts: impl IntoIterator<Item = &'a str>) -> Self {
        let add_part = |hash, part: &str| fnv1a(hash, part.bytes().chain([0]));
        Self(parts.into_iter().fold(FNV_OFFSET, add_part))
    }

    /// Weight of `candidate`; the candidate with the largest weight ranks first.
    pub fn weight(self, candidate: &str) -> u64 {
        finalize(fnv1a(self.0, candidate.bytes()))
    }
}

/// Weight of `candidate` for `key`; the candidate with the largest weight ranks first.
pub fn weight(key: &str, candidate: &str) -> u64 {
    Key::new([key]).weight(candidate)
}

/// Indexes of `candidates`, the highest rank first. Candidates of equal weight are ordered by
/// descending name.
pub fn rank<'a>(key: &str, candidates: impl Iterator<Item = &'a str>) -> Vec<usize> {
    let mut order: Vec<(u64, &str, usize)> =
        candidates.enumerate().map(|(index, name)| (weight(key, name), name, index)).collect();
    order.sort_by(|a, b| (b.0, b.1).cmp(&(a.0, a.1)));
    order.into_iter().map(|(_, _, index)| index).collect()
}

/// Whether `candidate` is among the first `count` of `candidates` in the order of [`rank`], without
/// sorting them.
pub fn is_among_first<'a>(
    key: &str,
    candidate: &str,
    candidates: impl Iterator<Item = &'a str> + Clone,
    count: usize,
) -> bool {
    let key = Key::new([key]);
    let own = (key.weight(candidate), candidate);
    let mut is_candidate = false;
    let before = candidates
        .inspect(|other| is_candidate |= *other == candidate)
        .filter(|other| (key.weight(other), *other) > own)
        .count();
    is_candidate && before < count
}

/// Continues an FNV-1a hash.
fn fnv1a(hash: u64, bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(hash, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

/// Finalizer of MurmurHash3. The high bits of an FNV-1a hash differ too little between similar
/// names.
fn finalize(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
