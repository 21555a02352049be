//! Rate limits of workspaces, each host holding a fixed part.
//!
//! Load pattern: one workspace sends several times its rate, over all hosts. Every host admits at
//! most its part of the burst plus its part of the rate, so that all hosts together stay below the
//! limit in every window without asking each other, in touch with the store or not. A bucket starts
//! empty: a restarted process does not know what it had admitted before.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::plan::Workspace;

/// What is allowed beyond a workspace's rate and burst, for hosts that count apart from each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Window in which requests are counted.
    pub window: Duration,
    /// Part of the rate and burst allowed beyond them.
    pub overage: f64,
    /// Requests allowed beyond that.
    pub slack: f64,
}

/// Part of the allowed overage that is used; the rest covers requests on their way.
const OVERAGE_USED: f64 = 0.7;

/// Tokens of one workspace at this host.
#[derive(Clone, Debug)]
struct Bucket {
    tokens: f64,
    updated: Duration,
}

/// Limits of all workspaces at this host.
#[derive(Clone, Debug)]
pub struct Rates {
    tolerance: Tolerance,
    /// Part of each limit that this host may use, 0 to 1.
    part: f64,
    buckets: HashMap<Arc<str>, Bucket>,
}

/// The workspace has used up this host's part of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exceeded {
    /// When a token will be there.
    pub retry_after: Duration,
}

impl Rates {
    /// Limits of which this host has no part yet.
    pub fn new(tolerance: Tolerance) -> Self {
        Self { tolerance, part: 0.0, buckets: HashMap::new() }
    }

    /// Sets the part of each limit that this host may use.
    pub fn set_part(&mut self, part: f64) {
        self.part = part.clamp(0.0, 1.0);
    }

    /// Part of each limit that this host may use.
    pub fn part(&self) -> f64 {
        self.part
    }

    /// Takes one token of `workspace`.
    pub fn take(
        &mut self,
        now: Duration,
        name: &Arc<str>,
        workspace: &Workspace,
    ) -> Result<(), Exceeded> {
        if workspace.rate <= 0.0 {
            return Ok(());
        }
        let (rate, capacity) = self.share(workspace);
        let bucket = self
            .buckets
            .entry(name.clone())
            .or_insert_with(|| Bucket { tokens: 0.0, updated: now.saturating_sub(FIRST_FILL) });
        bucket.advance(now, rate, capacity);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - bucket.tokens) / rate.max(0.01);
        Err(Exceeded { retry_after: Duration::from_secs_f64(missing.min(LONGEST_WAIT_SECONDS)) })
    }

    /// Gives back a token that was taken for a request that did not run.
    pub fn give_back(&mut self, name: &str, workspace: &Workspace) {
        let (_, capacity) = self.share(workspace);
        if let Some(bucket) = self.buckets.get_mut(name) {
            bucket.tokens = (bucket.tokens + 1.0).min(capacity);
        }
    }

    /// Tokens per second, and most tokens at once, of this host.
    fn share(&self, workspace: &Workspace) -> (f64, f64) {
        let stretch = 1.0 + self.tolerance.overage * OVERAGE_USED;
        let rate = workspace.rate * stretch * self.part;
        let burst = (workspace.burst * stretch + self.tolerance.slack) * self.part;
        (rate, burst)
    }
}

/// Time before the first request for which a new bucket has tokens.
const FIRST_FILL: Duration = Duration::from_millis(500);

/// Longest time after which a caller is told to come back, in seconds.
const LONGEST_WAIT_SECONDS: f64 = 5.0;

impl Bucket {
    fn advance(&mut self, now: Duration, rate: f64, capacity: f64) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(capacity);
        self.updated = now;
    }
}
