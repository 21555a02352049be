//! Keys of which a full read has returned a later state than the one up to which it is complete.
//!
//! The load pattern is instances that come and go while a host reads all items, in pages that are no
//! snapshot. The read is complete only up to the earliest page, and the changes from there on follow. For
//! a key of a later page they begin with states that are over: an instance that leaves would be ready
//! again until its last change has been applied, which may be in the next response of the store.

use std::collections::HashMap;

/// Revisions of keys that are ahead of what the host has read completely.
#[derive(Clone, Debug, Default)]
pub struct ReadAhead {
    revisions: HashMap<String, u64>,
}

impl ReadAhead {
    /// Records that a full read, which is complete up to `complete`, has returned a key as of `revision`.
    pub fn record(&mut self, key: &str, revision: u64, complete: u64) {
        if revision > complete {
            self.revisions.insert(key.to_owned(), revision);
        }
    }

    /// Whether a change of this key at `revision` is over.
    pub fn is_over(&self, key: &str, revision: u64) -> bool {
        self.revisions.get(key).is_some_and(|ahead| revision <= *ahead)
    }

    /// Forgets the keys whose changes have been read up to `complete`.
    pub fn reach(&mut self, complete: u64) {
        self.revisions.retain(|_, revision| *revision > complete);
    }

    /// Forgets everything, as a new full read begins.
    pub fn clear(&mut self) {
        self.revisions.clear();
    }
}
