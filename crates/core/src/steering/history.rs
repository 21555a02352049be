//! Tells when the store has come back from an earlier copy of itself.
//!
//! The load pattern is a store that comes back some seconds old, beside hosts that ask it at different
//! moments. It then gives revisions and ids of leases out again, so that a position that a host has read
//! up to names other changes than before, and none of the host's questions fails. The store numbers its
//! histories and says in each response which one it comes from. A response counts only if it comes from
//! the history in which its call was made: one that spans a restore may answer with the revision of one
//! history and the changes of another. See docs/incidents/inc-restored-store.md.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time after a restore for which the operator's entries that the copy lacks stay in force, until the
/// operator has written them again.
pub const REWRITE_TIME: Duration = Duration::from_secs(10);

/// Number of a history of the store, which rises with each restore.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

impl Era {
    /// That of a store, or an earlier version of the program, that tells none.
    pub const UNTOLD: Self = Self(0);

    /// Whether no era was told.
    pub fn is_untold(&self) -> bool {
        *self == Self::UNTOLD
    }
}

/// What the era of a response says about the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It comes from the history in which the call was made.
    Usable,
    /// The store has been restored since the call was made.
    Restored,
    /// It comes from an earlier history than the one that the host knows by now.
    Outdated,
}

/// Latest history that a host knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct History {
    /// `None` before the first response.
    era: Option<Era>,
}

impl History {
    /// Era of the latest history; [`Era::UNTOLD`] before the first response.
    pub fn era(&self) -> Era {
        self.era.unwrap_or_default()
    }

    /// Records the era of a response to a call that was made when [`Self::era`] was `asked_in`.
    ///
    /// A lower era than the known one is that of a late response only if the host has learned of the
    /// later one since the call. Otherwise the store itself has gone back.
    pub fn record(&mut self, asked_in: Era, answered_in: Era) -> Verdict {
        let Some(known) = self.era else {
            self.era = Some(answered_in);
            return Verdict::Usable;
        };
        let is_of_known = answered_in == known || answered_in.is_untold();
        if is_of_known && asked_in == known {
            return Verdict::Usable;
        }
        if answered_in.is_untold() {
            return Verdict::Restored;
        }
        if answered_in < known && asked_in != known {
            return Verdict::Outdated;
        }
        self.era = Some(answered_in);
        // Calls that began before the first response know no era yet.
        let is_first = asked_in.is_untold() && answered_in == known;
        if is_first { Verdict::Usable } else { Verdict::Restored }
    }
}
