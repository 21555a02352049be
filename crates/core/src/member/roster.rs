//! The `members` record: who holds shares, and the tables before.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::Member;
use crate::constants::{CLAIM_RETENTION, EARLIER_TABLES_LIMIT};

/// Key of the record below the prefix.
pub const KEY: &str = "members";

/// The `members` record in its stored form, without its own revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// How long before the writing of this record the newest table that `earlier` had no room for was
    /// replaced, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub dropped_ms: Option<u64>,
    /// Members in the order of their names.
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
    /// How long before the writing of this record the table was replaced, in milliseconds. Hosts
    /// share no clock, so that the record carries ages. They are never too large.
    pub ended_ms: u64,
    /// Members of the table.
    #[serde(default, rename = "member")]
    pub members: Vec<Member>,
}

impl Roster {
    /// Reads the stored form.
    pub fn parse(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// The stored form.
    pub fn to_text(&self) -> Result<Arc<str>, toml::ser::Error> {
        toml::to_string(self).map(Arc::from)
    }

    /// The member named `host`.
    pub fn member(&self, host: &str) -> Option<&Member> {
        self.members.iter().find(|member| member.host.as_ref() == host)
    }

    /// Whether this incarnation of `host` is a member.
    pub fn has(&self, host: &str, incarnation: u64) -> bool {
        self.member(host).is_some_and(|member| member.incarnation == incarnation)
    }

    /// Whether this incarnation of `host` is or was a member.
    pub fn mentions(&self, host: &str, incarnation: u64) -> bool {
        let earlier = self.earlier.iter().flat_map(|earlier| &earlier.members);
        let mut all = self.members.iter().chain(earlier);
        all.any(|member| member.host.as_ref() == host && member.incarnation == incarnation)
    }

    /// The table before this one; empty for the first.
    pub fn previous(&self) -> &[Member] {
        self.earlier.first().map_or(&[], |earlier| earlier.members.as_slice())
    }

    /// The record that replaces this one: `member` takes the entry of its own name.
    pub fn with(&self, member: &Member, revision: u64, age: Duration) -> Self {
        let mut members = self.others(std::slice::from_ref(&member.host));
        members.push(member.clone());
        members.sort_by(|a, b| a.host.cmp(&b.host));
        self.succeeded_by(members, revision, age)
    }

    /// The record that replaces this one without the members named in `hosts`.
    pub fn without(&self, hosts: &[Arc<str>], revision: u64, age: Duration) -> Self {
        self.succeeded_by(self.others(hosts), revision, age)
    }

    fn others(&self, hosts: &[Arc<str>]) -> Vec<Member> {
        let others = self.members.iter().filter(|m| !hosts.contains(&m.host));
        others.cloned().collect()
    }

    /// `revision` and `age` are those of this record.
    fn succeeded_by(&self, members: Vec<Member>, revision: u64, age: Duration) -> Self {
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
        // The newest table is kept whatever its age: whether this record is held depends on it.
        let kept = aged.filter(|earlier| counts(earlier.ended_ms));
        let mut earlier: Vec<Earlier> = replaced.into_iter().chain(kept).collect();
        let rest = earlier.split_off(earlier.len().min(EARLIER_TABLES_LIMIT));
        let dropped_before = self.dropped_ms.map(|ms| ms.saturating_add(age_ms));
        let dropped_now = rest.first().map(|table| table.ended_ms);
        Self {
            dropped_ms: dropped_now.or(dropped_before).filter(|ms| counts(*ms)),
            members,
            earlier,
        }
    }
}

/// Whether claims may depend on a table that was replaced so long ago. Clock drift is added, as ages
/// are sums over the clocks of several hosts.
fn counts(ended_ms: u64) -> bool {
    u128::from(ended_ms) <= CLAIM_RETENTION.as_millis() * 102 / 100
}
