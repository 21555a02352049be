//! Distributed rate limits of workspaces: one token bucket per workspace at each host.
//!
//! A workspace may send several times its rate to all hosts, while the requests of others move
//! between hosts. Each host holds an equal share of a workspace's rate and burst, so that all
//! hosts together stay within the limit in every window, even when cut off from the store or from
//! each other. A host that runs short borrows tokens from other hosts. The lender deducts them
//! before it sends them, so a lost message loses tokens and never creates any. A bucket starts
//! empty, because a restarted process does not know how many requests it admitted before. See
//! docs/platform.md.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::plan::Workspace;
use crate::rendezvous;

/// Requests that are tolerated beyond a workspace's rate and burst, as the hosts count separately.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Window in which requests are counted.
    pub window: Duration,
    /// Tolerated excess, relative to the rate and burst.
    pub overage: f64,
    /// Requests tolerated in a window on top of the overage.
    pub slack: f64,
}

/// Share of the tolerated overage that the buckets use; the rest covers requests and loans in
/// transit.
const USED_OVERAGE_RATIO: f64 = 0.5;

/// Share of the tolerated slack that the buckets use.
const USED_SLACK_RATIO: f64 = 0.8;

/// Smallest burst of a host that holds a share. Workspaces with a small burst are shared by fewer
/// hosts, as a fraction of a token admits no request.
const MIN_HOST_BURST_TOKENS: f64 = 2.5;

/// Lifetime of a borrowed token, counted from the request for the loan.
pub const LOAN_LIFETIME: Duration = Duration::from_millis(300);

/// Time for which a loan covers the expected demand.
const LOAN_DEMAND_PERIOD: Duration = Duration::from_millis(150);

/// Fraction of the burst below which a host with a demand above its rate borrows in advance.
const LOW_BURST_RATIO: f64 = 0.4;

/// Time constant of the exponential decay of the measured demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Upper bound of the delay after which a refused caller should retry, in seconds.
const MAX_RETRY_AFTER_SECONDS: f64 = 5.0;

/// Token bucket of one workspace at this host.
#[derive(Clone, Debug)]
struct Bucket {
    /// Tokens added per second.
    rate: f64,
    /// Capacity, in tokens.
    burst: f64,
    tokens: f64,
    borrowed_tokens: f64,
    loan_expires_at: Duration,
    /// Requests per second, admitted or not, decayed over [`DEMAND_TIME_CONSTANT`].
    demand: f64,
    updated_at: Duration,
    /// Configured rate and burst of the workspace, from which this bucket's limit was computed.
    /// Negative until the first computation.
    configured_limit: (f64, f64),
    /// Version of the seats from which this bucket's limit was computed.
    seats_version: u64,
    /// Hosts that share the limit, sorted by name.
    sharing_hosts: Arc<[Arc<str>]>,
}

/// Rate limiter for all workspaces at this host.
#[derive(Clone, Debug)]
pub struct Limiter {
    tolerance: Tolerance,
    host: Arc<str>,
    /// Hosts that share the limits, sorted by name; empty until this host may use its share.
    seats: Arc<[Arc<str>]>,
    /// Number of changes of `seats`.
    seats_version: u64,
    /// Time from which this host's share counts, so that its buckets earn tokens.
    share_valid_from: Duration,
    buckets: HashMap<Arc<str>, Bucket>,
}

/// The workspace has exhausted this host's share of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exceeded {
    /// Time until a token is available, up to a bound.
    pub retry_after: Duration,
}

impl Limiter {
    /// Creates a limiter for a host that does not share the limits yet.
    pub fn new(tolerance: Tolerance, host: Arc<str>) -> Self {
        Self {
            tolerance,
            host,
            seats: Arc::default(),
            seats_version: 0,
            share_valid_from: Duration::ZERO,
            buckets: HashMap::new(),
        }
    }

    /// Sets the hosts that share the limits. This host has no share unless it is one of them. If it
    /// had none before, its share counts from `valid_from`. Returns whether the hosts changed.
    pub fn set_seats(&mut self, valid_from: Duration, mut seats: Vec<Arc<str>>) -> bool {
        seats.sort();
        let has_changed = *self.seats != *seats;
        if has_changed {
            if !self.seats.contains(&self.host) {
                self.share_valid_from = valid_from;
            }
            self.seats = seats.into();
            self.seats_version += 1;
        }
        has_changed
    }

    /// Fraction of each limit that this host may use, for limits that are shared by all hosts.
    pub fn share(&self) -> f64 {
        if self.seats.contains(&self.host) { 1.0 / self.seats.len() as f64 } else { 0.0 }
    }

    /// Takes one token of the workspace called `name`, for one request.
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

    /// Whether a token of the workspace is available.
    pub fn has_token(&mut self, now: Duration, name: &Arc<str>, workspace: &Workspace) -> bool {
        let bucket = self.bucket(now, name, workspace);
        bucket.tokens >= 1.0 || bucket.borrowed_tokens >= 1.0
    }

    /// Refunds the token that was taken for a request that did not run.
    pub fn refund(&mut self, name: &str) {
        if let Some(bucket) = self.buckets.get_mut(name) {
            bucket.tokens = (bucket.tokens + 1.0).min(bucket.burst.max(1.0));
        }
    }

    /// Number of tokens that this host should borrow now; 0 when it needs none.
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
        // The upper bound makes the cast lossless.
        expected.ceil().clamp(1.0, 500.0) as u32
    }

    /// Deducts up to `wanted` tokens that another host may use, and returns their number. Tokens
    /// that this host is expected to need itself are not lent.
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

    /// Adds borrowed tokens, which expire at `expires_at` with all earlier loans of the workspace.
    pub fn add_loan(&mut self, now: Duration, name: &str, tokens: u32, expires_at: Duration) {
        if let Some(bucket) = self.buckets.get_mut(name)
            && now < expires_at
        {
            bucket.expire_loan(now);
            bucket.borrowed_tokens += f64::from(tokens);
            bucket.loan_expires_at = expires_at;
        }
    }

    /// Returns the bucket of a workspace, refilled up to now.
    fn bucket(&mut self, now: Duration, name: &Arc<str>, workspace: &Workspace) -> &mut Bucket {
        let configured_limit = (workspace.rate, workspace.burst);
        let valid_from = self.share_valid_from.min(now);
        let is_current = self.buckets.get(name).is_some_and(|bucket| {
            bucket.configured_limit == configured_limit
                && bucket.seats_version == self.seats_version
        });
        if !is_current {
            let (rate, burst) = self.total_limit(workspace);
            let sharing_hosts = self.sharing_hosts(name, burst);
            let is_sharing = sharing_hosts.binary_search(&self.host).is_ok();
            let share = if is_sharing { 1.0 / sharing_hosts.len() as f64 } else { 0.0 };
            let bucket =
                self.buckets.entry(name.clone()).or_insert_with(|| Bucket::new(valid_from));
            bucket.refill(now);
            (bucket.rate, bucket.burst) = (rate * share, burst * share);
            bucket.sharing_hosts = sharing_hosts;
            (bucket.configured_limit, bucket.seats_version) =
                (configured_limit, self.seats_version);
        }
        let bucket = self.buckets.entry(name.clone()).or_insert_with(|| Bucket::new(valid_from));
        bucket.refill(now);
        bucket
    }

    /// Rate in tokens per second and burst in tokens of all hosts together, with the part of the
    /// tolerance that is used.
    fn total_limit(&self, workspace: &Workspace) -> (f64, f64) {
        let factor = 1.0 + self.tolerance.overage * USED_OVERAGE_RATIO;
        let burst = workspace.burst * factor + self.tolerance.slack * USED_SLACK_RATIO;
        (workspace.rate * factor, burst)
    }

    /// Hosts that share a workspace's limit, sorted by name; chosen by rendezvous hashing if there are
    /// too many.
    fn sharing_hosts(&self, name: &str, burst: f64) -> Arc<[Arc<str>]> {
        let max_hosts = (burst / MIN_HOST_BURST_TOKENS).floor().max(1.0) as usize;
        if max_hosts >= self.seats.len() {
            return self.seats.clone();
        }
        let ranked = rendezvous::rank(name, self.seats.iter().map(AsRef::as_ref));
        let mut chosen: Vec<Arc<str>> =
            ranked.into_iter().take(max_hosts).map(|index| self.seats[index].clone()).collect();
        chosen.sort();
        chosen.into()
    }

    /// Hosts that hold a share of a workspace's limit and so can lend tokens, sorted by name. They are
    /// computed once for each change of the seats or of the limit.
    pub fn lenders(
        &mut self,
        now: Duration,
        name: &Arc<str>,
        workspace: &Workspace,
    ) -> Arc<[Arc<str>]> {
        self.bucket(now, name, workspace).sharing_hosts.clone()
    }
}

impl Bucket {
    fn new(valid_from: Duration) -> Self {
        Self {
            rate: 0.0,
            burst: 0.0,
            tokens: 0.0,
            borrowed_tokens: 0.0,
            loan_expires_at: Duration::ZERO,
            demand: 0.0,
            updated_at: valid_from,
            configured_limit: (-1.0, -1.0),
            seats_version: 0,
            sharing_hosts: Arc::default(),
        }
    }

    /// Adds the tokens earned since the last call, and decays the demand.
    fn refill(&mut self, now: Duration) {
        // The rate of a new bucket is not set yet. The next call adds the tokens since the
        // host's share became valid.
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

    /// Takes a token, a borrowed one first, or returns the time until the next one.
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
