//! What instances ask for in their answers: no more requests, as they leave, or none for a while.
//!
//! The load pattern is a replacement of instances, or their recovery, while all hosts are busy. An
//! instance that leaves may say so only in its answers, and one that turns requests away gets still
//! more of them from hosts that retry. A notice binds the host that got it, whatever the store says:
//! the registration of such an instance may end and return, for example in an outage of the store. So
//! notices are kept apart from the registrations. A later start of the instance ends them, unless it had begun when
//! the request was sent that got the notice. See docs/platform.md.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use super::instance::Endpoint;

/// Longest pause that is kept. A longer one is probably an error of the instance.
pub const MAX_PAUSE: Duration = Duration::from_secs(600);

/// Time after the last answer with a notice for which it is kept.
const MEMORY_TIME: Duration = Duration::from_secs(600);

/// Time after the last answer with a notice for which it counts for a start that the host did not know when it got
/// the answer. The clock of the instance may be behind, so that the notice was that of the earlier start.
pub const PRESUMED_TIME: Duration = Duration::from_secs(60);

/// What an instance has asked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Notice {
    /// Whether the instance leaves.
    pub is_leaving: bool,
    /// End of the pause; zero without one.
    pub paused_until: Duration,
}

/// Where a notice comes from.
#[derive(Clone, Copy, Debug)]
pub struct Origin<'a> {
    /// Id of the instance.
    pub id: &'a Arc<str>,
    /// Incarnation under which the host knew the instance.
    pub incarnation: u64,
    /// Address of the instance.
    pub address: SocketAddr,
    /// When the request was sent whose answer has the notice, in Unix milliseconds. It is 0 for a notice in a
    /// registration, which names its incarnation itself.
    pub sent_at_ms: u64,
}

/// What was heard from an instance while the host knew it under one incarnation.
#[derive(Clone, Copy, Debug)]
struct Entry {
    notice: Notice,
    address: SocketAddr,
    /// Latest of [`Origin::sent_at_ms`].
    sent_at_ms: u64,
    heard_at: Duration,
    expires_at: Duration,
}

/// Notices of all instances, by their ids and the incarnations under which the host knew them.
#[derive(Clone, Debug, Default)]
pub struct Book {
    entries: HashMap<Arc<str>, BTreeMap<u64, Entry>>,
}

impl Book {
    /// Notice that applies to this start of an instance.
    pub fn get(&self, endpoint: &Endpoint) -> Option<Notice> {
        let entries = self.entries.get(&endpoint.id)?.iter();
        entries.filter_map(|(known, entry)| entry.notice_to(*known, endpoint)).reduce(Notice::merge)
    }

    /// Records that the instance leaves. Returns whether that is new.
    pub fn record_leaving(&mut self, now: Duration, origin: Origin<'_>) -> bool {
        let notice = &mut self.entry(now, origin).notice;
        !std::mem::replace(&mut notice.is_leaving, true)
    }

    /// Records that the instance wants no requests for `pause`, of which at most [`MAX_PAUSE`] counts.
    /// Returns the pause from now on, or `None` if an earlier one lasts as long.
    pub fn record_pause(
        &mut self,
        now: Duration,
        origin: Origin<'_>,
        pause: Duration,
    ) -> Option<Duration> {
        let pause = pause.min(MAX_PAUSE);
        let entry = self.entry(now, origin);
        let until = now + pause;
        if until <= entry.notice.paused_until {
            return None;
        }
        entry.notice.paused_until = until;
        entry.expires_at = entry.expires_at.max(until);
        Some(pause)
    }

    /// Forgets the notices that are too old.
    pub fn remove_expired(&mut self, now: Duration) {
        for entries in self.entries.values_mut() {
            entries.retain(|_, entry| now < entry.expires_at);
        }
        self.entries.retain(|_, entries| !entries.is_empty());
    }

    fn entry(&mut self, now: Duration, origin: Origin<'_>) -> &mut Entry {
        let Origin { id, incarnation, address, sent_at_ms } = origin;
        let notice = Notice::default();
        let none = Entry { notice, address, sent_at_ms, heard_at: now, expires_at: now };
        let entries = self.entries.entry(id.clone()).or_default();
        let entry = entries.entry(incarnation).or_insert(none);
        entry.address = address;
        entry.sent_at_ms = entry.sent_at_ms.max(sent_at_ms);
        entry.heard_at = now;
        entry.expires_at = entry.expires_at.max(now + MEMORY_TIME);
        entry
    }
}

impl Entry {
    /// What the entry, heard while the host knew the incarnation `known`, says about this start of the instance.
    ///
    /// The host may have learned of a later start only after that start answered. An answer to a request that was
    /// sent after the later start began is taken for its answer, for at most [`PRESUMED_TIME`].
    fn notice_to(&self, known: u64, endpoint: &Endpoint) -> Option<Notice> {
        if endpoint.incarnation <= known {
            return Some(self.notice);
        }
        let is_presumed =
            endpoint.incarnation <= self.sent_at_ms && endpoint.address == self.address;
        is_presumed.then(|| self.presumed_notice())
    }

    /// A start that is presumed to leave counts as paused, as that ends by itself.
    fn presumed_notice(&self) -> Notice {
        let limit = self.heard_at + PRESUMED_TIME;
        let Notice { is_leaving, paused_until } = self.notice;
        let paused_until = if is_leaving { limit } else { paused_until.min(limit) };
        Notice { is_leaving: false, paused_until }
    }
}

impl Notice {
    fn merge(self, other: Self) -> Self {
        Self {
            is_leaving: self.is_leaving || other.is_leaving,
            paused_until: self.paused_until.max(other.paused_until),
        }
    }
}
