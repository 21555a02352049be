//! The member tables that determine owner and backup of a name.

use std::time::Duration;

use crate::{
    constants::EARLIER_TABLES_LIMIT,
    member::{
        Member,
        roster::{self, Roster},
    },
};

/// A member table that was replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Epoch {
    /// Revision at which the table was written.
    pub revision: u64,
    /// Time since the table was replaced, or less.
    pub replaced_ago: Duration,
    /// Members of the table.
    pub members: Vec<Member>,
}

/// The current member table and those that it replaced within the retention time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Revision of the current table.
    pub revision: u64,
    /// Members of the current table.
    pub members: Vec<Member>,
    /// Earlier tables.
    pub earlier: Vec<Epoch>,
    /// Whether `earlier` has every table that was replaced within the retention time.
    pub earlier_complete: bool,
}

impl Membership {
    /// Converts the members record that was written at `revision`.
    pub fn new(revision: u64, roster: &Roster) -> Self {
        let epoch = |earlier: &roster::Earlier| Epoch {
            revision: earlier.revision,
            replaced_ago: Duration::from_millis(earlier.ended_ms),
            members: earlier.members.clone(),
        };
        Self {
            revision,
            members: roster.members.clone(),
            earlier: roster.earlier.iter().map(epoch).collect(),
            earlier_complete: roster.earlier.len() < EARLIER_TABLES_LIMIT,
        }
    }
}
