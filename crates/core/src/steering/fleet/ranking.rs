//! Order of the instances for an object.
//!
//! A rendezvous hash gives all hosts the same order without any coordination. While the first
//! instance is full, requests go to the second one, and not to whichever has the least load: that
//! would scatter the object over all instances, each of which would have to load it and would
//! displace others.

use crate::steering::cache::Position;

/// First and second instance for an object among those that take requests now, by their index in the
/// list of candidates.
pub(super) struct Ranking {
    first: Option<usize>,
    second: Option<usize>,
}

impl Ranking {
    /// Ranks the candidates that take requests now by their rendezvous weights for the object.
    pub(super) fn new(
        candidates: usize,
        weights: &[u64],
        takes_requests: impl Fn(usize) -> bool,
    ) -> Self {
        let (mut first, mut second) = (None, None);
        for index in (0..candidates).filter(|index| takes_requests(*index)) {
            let is_before =
                |other: Option<usize>| other.is_none_or(|o| weights[index] > weights[o]);
            if is_before(first) {
                second = first.replace(index);
            } else if is_before(second) {
                second = Some(index);
            }
        }
        Self { first, second }
    }

    /// Position of the candidate with this index.
    pub(super) fn position(&self, index: usize) -> Position {
        if self.first == Some(index) {
            Position::First
        } else if self.second == Some(index) {
            Position::Second
        } else {
            Position::Later
        }
    }
}
