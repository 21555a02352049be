//! Instances that leave: of which another host has heard it, and whose registration has ended.
//!
//! The load pattern is instances that leave while hosts ask the store once a second, and some hosts are
//! refused by it or cut off from it. Requests that reach an instance after it has gone are lost, so the
//! first host to hear of a departure tells the others. An announcement only ever stops requests: it counts
//! until the host has read the store up to the announced revision itself, and no longer than
//! [`MAX_TIME`], so that a wrong one ends by itself. See docs/incidents/inc-drain.md.
//!
//! A registration that ended while the store was there says that its instance left, but it may return
//! without it: a restored store holds it again, and a heartbeat may be executed late. An instance that was
//! only cut off from the store writes it again as well. What tells them apart is time: the platform removes
//! a registration of which it hears nothing. So one that has returned counts only after it has stood for
//! [`STANDING_TIME`], as far as this host has read. See docs/incidents/inc-departure-undone.md.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::{history::Era, outage::OUTAGE_THRESHOLD};

/// Longest time for which an announcement counts at a host that does not hear from the store.
pub const MAX_TIME: Duration = Duration::from_secs(60);

/// Most instances of which announcements are kept; further ones wait for the store's word.
const MAX_DEPARTURES: usize = 10_000;

/// Time for which a registration that has returned must stand before it counts: three heartbeats of 1.5 s,
/// after which the platform removes one of a silent instance, and the time until a host hears of that.
pub const STANDING_TIME: Duration = Duration::from_secs(7);

/// Time for which the end of a registration is remembered, much longer than an instance serves after it,
/// a copy of the store is old or a write is late.
const MEMORY_TIME: Duration = Duration::from_secs(600);

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

/// Announcements that the store has not confirmed yet, and registrations that have ended.
#[derive(Clone, Debug, Default)]
pub struct Book {
    departures: HashMap<Arc<str>, Entry>,
    ended: HashMap<Arc<str>, Ended>,
    /// Era and revision up to which this host has read the store.
    position: (Era, u64),
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    incarnation: u64,
    position: (Era, u64),
    expires_at: Duration,
}

/// Registration that ended while the store was there.
#[derive(Clone, Copy, Debug)]
struct Ended {
    incarnation: u64,
    /// Since when it stands again without a gap in what the host knows; `None` while there is none.
    stands_since: Option<Duration>,
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

    /// Whether this incarnation of an instance leaves, or has left.
    pub fn contains(&self, now: Duration, id: &str, incarnation: u64) -> bool {
        let announced = self.departures.get(id);
        let is_announced = announced
            .is_some_and(|entry| incarnation <= entry.incarnation && now < entry.expires_at);
        is_announced || self.ended.get(id).is_some_and(|ended| incarnation <= ended.incarnation)
    }

    /// Records that the registration of this incarnation has ended while the store was there.
    pub fn end(&mut self, now: Duration, id: &Arc<str>, incarnation: u64) {
        let known = self.ended.get(id).map_or(0, |ended| ended.incarnation);
        let incarnation = incarnation.max(known);
        let expires_at = now + MEMORY_TIME;
        self.ended.insert(id.clone(), Ended { incarnation, stands_since: None, expires_at });
    }

    /// Records that there is no usable registration of the instance now, which does not say that it left.
    pub fn miss(&mut self, id: &str) {
        if let Some(ended) = self.ended.get_mut(id) {
            ended.stands_since = None;
        }
    }

    /// Records a registration of this incarnation. One of a later start says nothing of those before it.
    pub fn stand(&mut self, now: Duration, id: &str, incarnation: u64) {
        if let Some(ended) = self.ended.get_mut(id) {
            let is_return = incarnation <= ended.incarnation;
            ended.stands_since = is_return.then_some(ended.stands_since.unwrap_or(now));
        }
    }

    /// Records that the host has learned what the store holds, after a silence of this length. Registrations
    /// that have stood for long enough count again. After an outage the platform may not have removed yet what
    /// it would have, so that the time begins anew.
    pub fn learn(&mut self, now: Duration, silence: Duration) {
        if silence >= OUTAGE_THRESHOLD {
            let standing = self.ended.values_mut().filter_map(|ended| ended.stands_since.as_mut());
            standing.for_each(|since| *since = now);
        }
        let is_short = |since: Duration| now < since + STANDING_TIME;
        self.ended.retain(|_, ended| ended.stands_since.is_none_or(is_short));
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

    /// Forgets the announcements and the ends of registrations that are too old.
    pub fn remove_expired(&mut self, now: Duration) {
        self.departures.retain(|_, entry| now < entry.expires_at);
        self.ended.retain(|_, ended| ended.stands_since.is_some() || now < ended.expires_at);
    }
}
