//! The `members` record: the current member table and those that it replaced.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::Member;
use crate::constants::{CLAIM_RETENTION, EARLIER_TABLES_LIMIT};

/// Key of the record below the prefix.
pub const KEY: &str = "members";

/// The `members` record in its stored form, without its own revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Milliseconds between the replacement of the newest table that did not fit into `earlier` and
    /// the writing of this record; `None` if every table of the claim retention time fits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub dropped_ms: Option<u64>,
    /// Members, sorted by name.
    #[serde(default, rename = "member")]
    pub members: Vec<Member>,
    /// Tables that were replaced within the claim retention time, newest first.
    #[serde(default)]
    pub earlier: Vec<Earlier>,
}

/// A member table that was replaced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Earlier {
    /// Revision at which the table was written.
    pub revision: u64,
    /// Milliseconds between the replacement of the table and the writing of this record. The record
    /// carries ages as hosts share no clock. An age may be too small, but is never too large.
    pub ended_ms: u64,
    /// Members of the table.
    #[serde(default, rename = "member")]
    pub members: Vec<Member>,
}

impl Roster {
    /// Parses the stored form.
    ///
    /// # Errors
    ///
    /// If the text is not a `members` record in TOML.
    pub fn parse(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// Returns the stored form.
    ///
    /// # Errors
    ///
    /// If the record cannot be expressed in TOML.
    pub fn to_text(&self) -> Result<Arc<str>, toml::ser::Error> {
        toml::to_string(self).map(Arc::from)
    }

    /// Returns the member named `host`.
    pub fn member(&self, host: &str) -> Option<&Member> {
        self.members.iter().find(|member| member.host.as_ref() == host)
    }

    /// Whether this incarnation of `host` is a member.
    pub fn is_member(&self, host: &str, incarnation: u64) -> bool {
        self.member(host).is_some_and(|member| member.incarnation == incarnation)
    }

    /// Whether this incarnation of `host` is in the current or a listed earlier table.
    pub fn is_or_was_member(&self, host: &str, incarnation: u64) -> bool {
        let earlier = self.earlier.iter().flat_map(|earlier| &earlier.members);
        let mut all = self.members.iter().chain(earlier);
        all.any(|member| member.host.as_ref() == host && member.incarnation == incarnation)
    }

    /// Returns the members of the previous table; empty for the first table.
    pub fn previous_members(&self) -> &[Member] {
        self.earlier.first().map_or(&[], |earlier| earlier.members.as_slice())
    }

    /// Returns the record to replace this one, in which `member` replaces the entry of the same
    /// name. `revision` and `age` are those of this record.
    pub fn with_member(&self, member: &Member, revision: u64, age: Duration) -> Self {
        let mut members = self.members_except(std::slice::from_ref(&member.host));
        members.push(member.clone());
        members.sort_by(|a, b| a.host.cmp(&b.host));
        self.successor(members, revision, age)
    }

    /// Returns the record to replace this one, without the members named in `hosts`. `revision` and
    /// `age` are those of this record.
    pub fn without_members(&self, hosts: &[Arc<str>], revision: u64, age: Duration) -> Self {
        self.successor(self.members_except(hosts), revision, age)
    }

    fn members_except(&self, hosts: &[Arc<str>]) -> Vec<Member> {
        let others = self.members.iter().filter(|m| !hosts.contains(&m.host));
        others.cloned().collect()
    }

    /// Returns the record to replace this one, with these members. `revision` and `age` are those
    /// of this record.
    fn successor(&self, members: Vec<Member>, revision: u64, age: Duration) -> Self {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let replaced = (revision > 0).then(|| Earlier {
            revision,
            ended_ms: 0,
            members: self.members.clone(),
        });
        let aged = self.earlier.iter().map(|earlier| Earlier {
            ended_ms: earlier.ended_ms.saturating_add(age_ms),
            ..earlier.clone()
        });
        // The newest earlier table is kept at any age, as its members decide whether the new record
        // is held.
        let kept = aged.filter(|earlier| is_retained(earlier.ended_ms));
        let mut earlier: Vec<Earlier> = replaced.into_iter().chain(kept).collect();
        let rest = earlier.split_off(earlier.len().min(EARLIER_TABLES_LIMIT));
        let dropped_before = self.dropped_ms.map(|ms| ms.saturating_add(age_ms));
        let dropped_now = rest.first().map(|table| table.ended_ms);
        Self {
            dropped_ms: dropped_now.or(dropped_before).filter(|ms| is_retained(*ms)),
            members,
            earlier,
        }
    }
}

/// Whether claims may still depend on a table that was replaced `ended_ms` ago. 2% are added for
/// clock drift, as ages are sums of times measured by several hosts.
fn is_retained(ended_ms: u64) -> bool {
    u128::from(ended_ms) <= CLAIM_RETENTION.as_millis() * 102 / 100
}
