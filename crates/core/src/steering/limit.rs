//! Rate limits that instances in need state in their answers.
//!
//! An instance that recovers from a fault may take only a fraction of its usual load, from all hosts
//! together, until it says otherwise. See docs/platform.md.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// Difference between two rates, relative to the larger one, up to which they count as the same.
const INSIGNIFICANT_CHANGE: f64 = 0.1;

/// What an answer of an instance says about its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Statement {
    /// The instance takes this many requests per second from all hosts together.
    Limited(f64),
    /// The instance states no limit.
    Unlimited,
}

impl Statement {
    /// Requests per second from all hosts together; `None` without a limit.
    pub fn rate(self) -> Option<f64> {
        match self {
            Self::Limited(rate) => Some(rate),
            Self::Unlimited => None,
        }
    }
}

/// Limits of all instances that have stated one.
#[derive(Clone, Debug, Default)]
pub struct Book {
    entries: HashMap<Arc<str>, Entry>,
}

/// Limit of one instance.
#[derive(Clone, Debug)]
struct Entry {
    /// Incarnation of the instance that stated the limit.
    incarnation: u64,
    /// Latest statement to this host.
    stated: Statement,
    stated_at: Duration,
    /// Statement that was last reported as a change.
    reported: Statement,
}

impl Book {
    /// Records what an answer to a request that was sent at `sent_at` says. Returns whether that is a
    /// change.
    ///
    /// Only an answer to a request that was sent after the instance last stated a limit ends it:
    /// answers on different connections may overtake each other.
    pub fn record(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        incarnation: u64,
        sent_at: Duration,
        statement: Statement,
    ) -> bool {
        self.entries.retain(|known, entry| known != id || entry.incarnation == incarnation);
        if statement == Statement::Unlimited
            && self.entries.get(id).is_none_or(|entry| sent_at < entry.stated_at)
        {
            return false;
        }
        let entry = self.entries.entry(id.clone()).or_insert(Entry {
            incarnation,
            stated: statement,
            stated_at: now,
            reported: Statement::Unlimited,
        });
        entry.stated = statement;
        entry.stated_at = now;
        let is_changed = differs(entry.reported, statement);
        if is_changed {
            entry.reported = statement;
        }
        is_changed
    }
}

/// Whether two statements differ by more than [`INSIGNIFICANT_CHANGE`].
fn differs(one: Statement, other: Statement) -> bool {
    match (one.rate(), other.rate()) {
        (Some(one), Some(other)) => (one - other).abs() > INSIGNIFICANT_CHANGE * one.max(other),
        (one, other) => one.is_some() != other.is_some(),
    }
}
