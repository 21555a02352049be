//! Instances of which another host has heard that they leave.
//!
//! The load pattern is instances that leave while hosts ask the store once a second, and some hosts are
//! refused by it or cut off from it. Requests that reach an instance after it has gone are lost, so the
//! first host to hear of a departure tells the others. An announcement only ever stops requests: it counts
//! until the host has read the store up to the announced revision itself, and no longer than
//! [`MAX_TIME`], so that a wrong one ends by itself. See docs/incidents/inc-drain.md.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::history::Era;

/// Longest time for which an announcement counts at a host that does not hear from the store.
pub const MAX_TIME: Duration = Duration::from_secs(60);

/// Most instances of which announcements are kept; further ones wait for the store's word.
const MAX_DEPARTURES: usize = 10_000;

/// An instance that has said in the store that it leaves, or whose registration has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Id of the instance.
    pub id: Arc<str>,
    /// Incarnation that leaves. A later one is another instance.
    pub incarnation: u64,
    /// Revision of the store's change that says so.
    pub revision: u64,
    /// Era of that revision.
    #[serde(default, skip_serializing_if = "Era::is_untold")]
    pub era: Era,
}

impl Departure {
    /// Position of the change, across the restores of the store.
    fn position(&self) -> (Era, u64) {
        (self.era, self.revision)
    }
}

/// Announcements that the store has not confirmed yet.
#[derive(Clone, Debug, Default)]
pub struct Book {
    departures: HashMap<Arc<str>, Entry>,
    /// Era and revision up to which this host has read the store.
    position: (Era, u64),
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    incarnation: u64,
    position: (Era, u64),
    expires_at: Duration,
}

impl Book {
    /// Records an announcement. Returns whether it tells something new: one that is older than what
    /// this host has read itself does not.
    pub fn record(&mut self, now: Duration, departure: &Departure) -> bool {
        let Departure { id, incarnation, .. } = departure;
        let position = departure.position();
        let known = self.departures.get(id).map(|entry| entry.position);
        let is_full = known.is_none() && self.departures.len() >= MAX_DEPARTURES;
        let (era, revision) = self.position;
        let is_read = departure.era == era && departure.revision <= revision;
        if is_read || known >= Some(position) || is_full {
            return false;
        }
        let expires_at = now + MAX_TIME;
        let entry = Entry { incarnation: *incarnation, position, expires_at };
        self.departures.insert(id.clone(), entry);
        true
    }

    /// Whether this incarnation of an instance leaves.
    pub fn contains(&self, now: Duration, id: &str, incarnation: u64) -> bool {
        let entry = self.departures.get(id);
        entry.is_some_and(|entry| incarnation <= entry.incarnation && now < entry.expires_at)
    }

    /// Whether this departure has been announced.
    pub fn is_announced(&self, departure: &Departure) -> bool {
        let entry = self.departures.get(&departure.id);
        entry.is_some_and(|entry| entry.position >= departure.position())
    }

    /// Forgets what the store has confirmed or refuted up to this revision. A store that has been restored
    /// says nothing of what it held before.
    pub fn reach(&mut self, era: Era, revision: u64) {
        self.position = (era, revision);
        self.departures.retain(|_, entry| {
            let (announced_in, announced_at) = entry.position;
            announced_in != era || announced_at > revision
        });
    }

    /// Forgets the announcements that are too old.
    pub fn remove_expired(&mut self, now: Duration) {
        self.departures.retain(|_, entry| now < entry.expires_at);
    }
}
