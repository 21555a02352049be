//! What instances ask for in their answers: no more requests, as they leave, or none for a while.
//!
//! The load pattern is a replacement of instances, or their recovery, while all hosts are busy. An
//! instance that leaves may say so only in its answers, and one that turns requests away gets still
//! more of them from hosts that retry. A notice binds the host that got it, whatever the store says:
//! the registration of such an instance may end and return, for example in an outage of the store. So
//! notices are kept apart from the registrations. A later start of the instance ends them. See
//! docs/platform.md.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// Longest pause that is kept. A longer one is probably an error of the instance.
pub const MAX_PAUSE: Duration = Duration::from_secs(600);

/// Time after the last answer with a notice for which it is kept.
const MEMORY_TIME: Duration = Duration::from_secs(600);

/// What one start of an instance has asked for.
#[derive(Clone, Copy, Debug)]
pub struct Notice {
    /// Whether the instance leaves.
    pub is_leaving: bool,
    /// End of the pause; zero without one.
    pub paused_until: Duration,
    incarnation: u64,
    expires_at: Duration,
}

/// Notices of all instances, by their ids.
#[derive(Clone, Debug, Default)]
pub struct Book {
    notices: HashMap<Arc<str>, Notice>,
}

impl Book {
    /// Notice that applies to this start of an instance.
    pub fn get(&self, id: &str, incarnation: u64) -> Option<Notice> {
        self.notices.get(id).copied().filter(|notice| incarnation <= notice.incarnation)
    }

    /// Records that the instance leaves. Returns whether that is new.
    pub fn record_leaving(&mut self, now: Duration, id: &Arc<str>, incarnation: u64) -> bool {
        let notice = self.entry(now, id, incarnation);
        !std::mem::replace(&mut notice.is_leaving, true)
    }

    /// Records that the instance wants no requests for `pause`, of which at most [`MAX_PAUSE`] counts.
    /// Returns the pause from now on, or `None` if an earlier one lasts as long.
    pub fn record_pause(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        incarnation: u64,
        pause: Duration,
    ) -> Option<Duration> {
        let pause = pause.min(MAX_PAUSE);
        let notice = self.entry(now, id, incarnation);
        let until = now + pause;
        if until <= notice.paused_until {
            return None;
        }
        notice.paused_until = until;
        notice.expires_at = notice.expires_at.max(until);
        Some(pause)
    }

    /// Forgets the notices that are too old.
    pub fn remove_expired(&mut self, now: Duration) {
        self.notices.retain(|_, notice| now < notice.expires_at);
    }

    /// Notice of this start of the instance, which replaces that of an earlier one.
    fn entry(&mut self, now: Duration, id: &Arc<str>, incarnation: u64) -> &mut Notice {
        let none = Notice {
            is_leaving: false,
            paused_until: Duration::ZERO,
            incarnation,
            expires_at: now,
        };
        let notice = self.notices.entry(id.clone()).or_insert(none);
        if notice.incarnation < incarnation {
            *notice = none;
        }
        notice.expires_at = notice.expires_at.max(now + MEMORY_TIME);
        notice
    }
}
