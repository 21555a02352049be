//! Rate limits of workspaces over all hosts.
//!
//! Load pattern: one workspace sends several times its rate to all hosts, and the requests of the
//! others move between hosts. Every host holds an equal part of a workspace's rate and burst, so that
//! all hosts together stay below the limit in every window, in touch with the store and each other or
//! not. A host that runs short borrows tokens from the others, who deduct them first; a lost message
//! loses tokens and makes none. A bucket starts empty: a restarted process does not know what it had
//! admitted before. See docs/platform.md.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::plan::Workspace;
use crate::rendezvous;

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

/// Part of the allowed overage that is used; the rest covers requests and loans on their way.
const USED_OVERAGE_RATIO: f64 = 0.5;

/// Part of the allowed slack that is used.
const USED_SLACK_RATIO: f64 = 0.8;

/// Least burst of a host that holds a part. Workspaces with less have fewer holders, as a part of a
/// token admits nobody.
const MIN_HOST_BURST_TOKENS: f64 = 2.5;

/// Longest time for which a borrowed token counts, from the question on.
pub const LOAN_LIFETIME: Duration = Duration::from_millis(300);

/// Time of the expected requests that a loan covers.
const LOAN_DEMAND_PERIOD: Duration = Duration::from_millis(150);

/// Part of the burst below which a host that needs more than its rate borrows ahead.
const LOW_BURST_RATIO: f64 = 0.4;

/// Time in which the measured demand forgets two thirds of what it knew.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Longest time after which a caller is told to come back, in seconds.
const MAX_RETRY_AFTER_SECONDS: f64 = 5.0;

/// Tokens of one workspace at this host.
#[derive(Clone, Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    borrowed_tokens: f64,
    loan_expires_at: Duration,
    /// Requests per second that were asked for.
    demand: f64,
    updated_at: Duration,
    configured_limit: (f64, f64),
    seats_version: u64,
}

/// Limits of all workspaces at this host.
#[derive(Clone, Debug)]
pub struct Limiter {
    tolerance: Tolerance,
    host: Arc<str>,
    /// Hosts that share the limits; empty until this host may use its part.
    seats: Vec<Arc<str>>,
    /// Counts the changes of `seats`.
    seats_version: u64,
    /// Since when this host has had a part.
    seated_since: Duration,
    buckets: HashMap<Arc<str>, Bucket>,
}

/// The workspace has used up this host's part of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exceeded {
    /// When a token will be there.
    pub retry_after: Duration,
}

impl Limiter {
    /// Limits of which the host has no part yet.
    pub fn new(tolerance: Tolerance, host: Arc<str>) -> Self {
        Self {
            tolerance,
            host,
            seats: Vec::new(),
            seats_version: 0,
            seated_since: Duration::ZERO,
            buckets: HashMap::new(),
        }
    }

    /// Sets the hosts that share the limits; without this host, it has no part. Answers whether that
    /// changes anything.
    pub fn set_seats(&mut self, now: Duration, seats: Vec<Arc<str>>) -> bool {
        let has_changed = self.seats != seats;
        if has_changed {
            if !self.seats.contains(&self.host) {
                self.seated_since = now;
            }
            self.seats = seats;
            self.seats_version += 1;
        }
        has_changed
    }

    /// Part of the large limits that this host may use.
    pub fn share(&self) -> f64 {
        if self.seats.contains(&self.host) { 1.0 / self.seats.len() as f64 } else { 0.0 }
    }

    /// Takes one token of `workspace`.
    pub fn acquire(
        &mut self,
        now: Duration,
        name: &Arc<str>,
        workspace: &Workspace,
    ) -> Result<(), Exceeded> {
        if workspace.rate <= 0.0 {
            return Ok(());
        }
        let bucket = self.bucket(now, name, workspace);
        bucket.demand += 1.0 / DEMAND_TIME_CONSTANT.as_secs_f64();
        bucket.acquire().map_err(|retry_after| Exceeded { retry_after })
    }

    /// Whether a token is there.
    pub fn has_token(&mut self, now: Duration, name: &Arc<str>, workspace: &Workspace) -> bool {
        let bucket = self.bucket(now, name, workspace);
        bucket.tokens >= 1.0 || bucket.borrowed_tokens >= 1.0
    }

    /// Gives back a token that was taken for a request that did not run.
    pub fn refund(&mut self, name: &str) {
        if let Some(bucket) = self.buckets.get_mut(name) {
            bucket.tokens = (bucket.tokens + 1.0).min(bucket.burst.max(1.0));
        }
    }

    /// Tokens that this host should borrow now; 0 when it needs none.
    pub fn tokens_to_borrow(
        &mut self,
        now: Duration,
        name: &Arc<str>,
        workspace: &Workspace,
    ) -> u32 {
        if workspace.rate <= 0.0 {
            return 0;
        }
        let bucket = self.bucket(now, name, workspace);
        let available = bucket.tokens + bucket.borrowed_tokens;
        let is_short = available < 1.0
            || (bucket.demand > bucket.rate && available < bucket.burst * LOW_BURST_RATIO);
        if !is_short {
            return 0;
        }
        let expected = bucket.demand * LOAN_DEMAND_PERIOD.as_secs_f64();
        // At most a few hundred, so that the cast keeps the value.
        expected.ceil().clamp(1.0, 500.0) as u32
    }

    /// Lends up to `wanted` tokens to another host, which are gone here.
    pub fn lend(
        &mut self,
        now: Duration,
        name: &Arc<str>,
        workspace: &Workspace,
        wanted: u32,
    ) -> u32 {
        let bucket = self.bucket(now, name, workspace);
        let reserved = ((bucket.demand - bucket.rate) * LOAN_DEMAND_PERIOD.as_secs_f64()).max(0.0);
        let spare = (bucket.tokens - reserved).max(0.0).floor();
        let lent = spare.min(f64::from(wanted));
        bucket.tokens -= lent;
        lent as u32
    }

    /// Takes borrowed tokens, which count until `until`.
    pub fn add_loan(&mut self, now: Duration, name: &str, tokens: u32, expires_at: Duration) {
        if let Some(bucket) = self.buckets.get_mut(name)
            && now < expires_at
        {
            bucket.expire_loan(now);
            bucket.borrowed_tokens += f64::from(tokens);
            bucket.loan_expires_at = expires_at;
        }
    }

    /// The bucket of a workspace, filled up to now.
    fn bucket(&mut self, now: Duration, name: &Arc<str>, workspace: &Workspace) -> &mut Bucket {
        let configured_limit = (workspace.rate, workspace.burst);
        let since = self.seated_since.min(now);
        let is_current = self.buckets.get(name).is_some_and(|bucket| {
            bucket.configured_limit == configured_limit
                && bucket.seats_version == self.seats_version
        });
        if !is_current {
            let (rate, burst) = self.host_limit(name, workspace);
            let bucket = self.buckets.entry(name.clone()).or_insert_with(|| Bucket::new(since));
            bucket.refill(now);
            (bucket.rate, bucket.burst) = (rate, burst);
            (bucket.configured_limit, bucket.seats_version) =
                (configured_limit, self.seats_version);
        }
        let bucket = self.buckets.entry(name.clone()).or_insert_with(|| Bucket::new(since));
        bucket.refill(now);
        bucket
    }

    /// Tokens per second, and most tokens at once, of this host.
    fn host_limit(&self, name: &str, workspace: &Workspace) -> (f64, f64) {
        let (rate, burst) = self.total_limit(workspace);
        let sharing_hosts = self.sharing_hosts(name, burst);
        if !sharing_hosts.contains(&&self.host) {
            return (0.0, 0.0);
        }
        let share = 1.0 / sharing_hosts.len() as f64;
        (rate * share, burst * share)
    }

    /// Tokens per second, and most tokens at once, of all hosts together.
    fn total_limit(&self, workspace: &Workspace) -> (f64, f64) {
        let factor = 1.0 + self.tolerance.overage * USED_OVERAGE_RATIO;
        let burst = workspace.burst * factor + self.tolerance.slack * USED_SLACK_RATIO;
        (workspace.rate * factor, burst)
    }

    /// Hosts that hold parts of a workspace's limit.
    fn sharing_hosts(&self, name: &str, burst: f64) -> Vec<&Arc<str>> {
        let max_hosts = (burst / MIN_HOST_BURST_TOKENS).floor().max(1.0) as usize;
        if max_hosts >= self.seats.len() {
            return self.seats.iter().collect();
        }
        let ranked = rendezvous::rank(name, self.seats.iter().map(AsRef::as_ref));
        ranked.into_iter().take(max_hosts).map(|index| &self.seats[index]).collect()
    }

    /// Whether `host` holds a part of a workspace's limit and can lend of it.
    pub fn has_share(&self, host: &str, name: &str, workspace: &Workspace) -> bool {
        let (_, burst) = self.total_limit(workspace);
        self.sharing_hosts(name, burst).iter().any(|sharing| sharing.as_ref() == host)
    }
}

impl Bucket {
    fn new(since: Duration) -> Self {
        Self {
            rate: 0.0,
            burst: 0.0,
            tokens: 0.0,
            borrowed_tokens: 0.0,
            loan_expires_at: Duration::ZERO,
            demand: 0.0,
            updated_at: since,
            configured_limit: (-1.0, -1.0),
            seats_version: 0,
        }
    }

    fn refill(&mut self, now: Duration) {
        // A new bucket earns from the time at which the host got its part, at the rate set next.
        if self.configured_limit.0 < 0.0 {
            return;
        }
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.demand *= (-elapsed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        self.updated_at = now;
        self.expire_loan(now);
    }

    fn expire_loan(&mut self, now: Duration) {
        if now >= self.loan_expires_at {
            self.borrowed_tokens = 0.0;
        }
    }

    /// Takes a token, or answers how long it takes until there is one.
    fn acquire(&mut self) -> Result<(), Duration> {
        let source =
            if self.borrowed_tokens >= 1.0 { &mut self.borrowed_tokens } else { &mut self.tokens };
        if *source >= 1.0 {
            *source -= 1.0;
            return Ok(());
        }
        let wait_seconds = (1.0 - self.tokens) / self.rate.max(0.01);
        Err(Duration::from_secs_f64(wait_seconds.min(MAX_RETRY_AFTER_SECONDS)))
    }
}
