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
const OVERAGE_USED: f64 = 0.5;

/// Part of the allowed slack that is used.
const SLACK_USED: f64 = 0.8;

/// Least burst of a host that holds a part. Workspaces with less have fewer holders, as a part of a
/// token admits nobody.
const LEAST_BURST: f64 = 2.5;

/// Longest time for which a borrowed token counts, from the question on.
pub const LOAN_TIME: Duration = Duration::from_millis(300);

/// Time of the expected requests that a loan covers.
const LOAN_COVER: Duration = Duration::from_millis(150);

/// Part of the burst below which a host that needs more than its rate borrows ahead.
const LOW_PART: f64 = 0.4;

/// Time in which the measured demand forgets two thirds of what it knew.
const DEMAND_MEMORY: Duration = Duration::from_secs(1);

/// Longest time after which a caller is told to come back, in seconds.
const LONGEST_WAIT_SECONDS: f64 = 5.0;

/// Tokens of one workspace at this host.
#[derive(Clone, Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    borrowed: f64,
    borrowed_until: Duration,
    /// Requests per second that were asked for.
    demand: f64,
    updated: Duration,
    limits: (f64, f64),
    seating: u64,
}

/// Limits of all workspaces at this host.
#[derive(Clone, Debug)]
pub struct Rates {
    tolerance: Tolerance,
    host: Arc<str>,
    /// Hosts that share the limits; empty until this host may use its part.
    seats: Vec<Arc<str>>,
    /// Counts the changes of `seats`.
    seating: u64,
    /// Since when this host has had a part.
    seated: Duration,
    buckets: HashMap<Arc<str>, Bucket>,
}

/// The workspace has used up this host's part of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exceeded {
    /// When a token will be there.
    pub retry_after: Duration,
}

impl Rates {
    /// Limits of which the host has no part yet.
    pub fn new(tolerance: Tolerance, host: Arc<str>) -> Self {
        Self {
            tolerance,
            host,
            seats: Vec::new(),
            seating: 0,
            seated: Duration::ZERO,
            buckets: HashMap::new(),
        }
    }

    /// Sets the hosts that share the limits; without this host, it has no part. Answers whether that
    /// changes anything.
    pub fn set_seats(&mut self, now: Duration, seats: Vec<Arc<str>>) -> bool {
        let changes = self.seats != seats;
        if changes {
            if !self.seats.contains(&self.host) {
                self.seated = now;
            }
            self.seats = seats;
            self.seating += 1;
        }
        changes
    }

    /// Part of the large limits that this host may use.
    pub fn part(&self) -> f64 {
        if self.seats.contains(&self.host) { 1.0 / self.seats.len() as f64 } else { 0.0 }
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
        let bucket = self.bucket(now, name, workspace);
        bucket.demand += 1.0 / DEMAND_MEMORY.as_secs_f64();
        bucket.take().map_err(|retry_after| Exceeded { retry_after })
    }

    /// Whether a token is there.
    pub fn has_token(&mut self, now: Duration, name: &Arc<str>, workspace: &Workspace) -> bool {
        let bucket = self.bucket(now, name, workspace);
        bucket.tokens >= 1.0 || bucket.borrowed >= 1.0
    }

    /// Gives back a token that was taken for a request that did not run.
    pub fn give_back(&mut self, name: &str) {
        if let Some(bucket) = self.buckets.get_mut(name) {
            bucket.tokens = (bucket.tokens + 1.0).min(bucket.burst.max(1.0));
        }
    }

    /// Tokens that this host should borrow now; 0 when it needs none.
    pub fn wanted(&mut self, now: Duration, name: &Arc<str>, workspace: &Workspace) -> u32 {
        if workspace.rate <= 0.0 {
            return 0;
        }
        let bucket = self.bucket(now, name, workspace);
        let held = bucket.tokens + bucket.borrowed;
        let is_short =
            held < 1.0 || (bucket.demand > bucket.rate && held < bucket.burst * LOW_PART);
        if !is_short {
            return 0;
        }
        let cover = bucket.demand * LOAN_COVER.as_secs_f64();
        // At most a few hundred, so that the cast keeps the value.
        cover.ceil().clamp(1.0, 500.0) as u32
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
        let kept = ((bucket.demand - bucket.rate) * LOAN_COVER.as_secs_f64()).max(0.0);
        let spare = (bucket.tokens - kept).max(0.0).floor();
        let lent = spare.min(f64::from(wanted));
        bucket.tokens -= lent;
        lent as u32
    }

    /// Takes borrowed tokens, which count until `until`.
    pub fn borrow(&mut self, now: Duration, name: &str, tokens: u32, until: Duration) {
        if let Some(bucket) = self.buckets.get_mut(name)
            && now < until
        {
            bucket.forget_old_loan(now);
            bucket.borrowed += f64::from(tokens);
            bucket.borrowed_until = until;
        }
    }

    /// The bucket of a workspace, filled up to now.
    fn bucket(&mut self, now: Duration, name: &Arc<str>, workspace: &Workspace) -> &mut Bucket {
        let limits = (workspace.rate, workspace.burst);
        let since = self.seated.min(now);
        let is_current = self
            .buckets
            .get(name)
            .is_some_and(|bucket| bucket.limits == limits && bucket.seating == self.seating);
        if !is_current {
            let (rate, burst) = self.share(name, workspace);
            let bucket = self.buckets.entry(name.clone()).or_insert_with(|| Bucket::new(since));
            bucket.advance(now);
            (bucket.rate, bucket.burst) = (rate, burst);
            (bucket.limits, bucket.seating) = (limits, self.seating);
        }
        let bucket = self.buckets.entry(name.clone()).or_insert_with(|| Bucket::new(since));
        bucket.advance(now);
        bucket
    }

    /// Tokens per second, and most tokens at once, of this host.
    fn share(&self, name: &str, workspace: &Workspace) -> (f64, f64) {
        let (rate, burst) = self.whole(workspace);
        let holders = self.holders(name, burst);
        if !holders.contains(&&self.host) {
            return (0.0, 0.0);
        }
        let part = 1.0 / holders.len() as f64;
        (rate * part, burst * part)
    }

    /// Tokens per second, and most tokens at once, of all hosts together.
    fn whole(&self, workspace: &Workspace) -> (f64, f64) {
        let stretch = 1.0 + self.tolerance.overage * OVERAGE_USED;
        let burst = workspace.burst * stretch + self.tolerance.slack * SLACK_USED;
        (workspace.rate * stretch, burst)
    }

    /// Hosts that hold parts of a workspace's limit.
    fn holders(&self, name: &str, burst: f64) -> Vec<&Arc<str>> {
        let most = (burst / LEAST_BURST).floor().max(1.0) as usize;
        if most >= self.seats.len() {
            return self.seats.iter().collect();
        }
        let ranked = rendezvous::rank(name, self.seats.iter().map(AsRef::as_ref));
        ranked.into_iter().take(most).map(|index| &self.seats[index]).collect()
    }

    /// Whether `host` holds a part of a workspace's limit and can lend of it.
    pub fn is_holder(&self, host: &str, name: &str, workspace: &Workspace) -> bool {
        let (_, burst) = self.whole(workspace);
        self.holders(name, burst).iter().any(|holder| holder.as_ref() == host)
    }
}

impl Bucket {
    fn new(since: Duration) -> Self {
        Self {
            rate: 0.0,
            burst: 0.0,
            tokens: 0.0,
            borrowed: 0.0,
            borrowed_until: Duration::ZERO,
            demand: 0.0,
            updated: since,
            limits: (-1.0, -1.0),
            seating: 0,
        }
    }

    fn advance(&mut self, now: Duration) {
        // A new bucket earns from the time at which the host got its part, at the rate set next.
        if self.limits.0 < 0.0 {
            return;
        }
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.demand *= (-elapsed / DEMAND_MEMORY.as_secs_f64()).exp();
        self.updated = now;
        self.forget_old_loan(now);
    }

    fn forget_old_loan(&mut self, now: Duration) {
        if now >= self.borrowed_until {
            self.borrowed = 0.0;
        }
    }

    /// Takes a token, or answers how long it takes until there is one.
    fn take(&mut self) -> Result<(), Duration> {
        let source = if self.borrowed >= 1.0 { &mut self.borrowed } else { &mut self.tokens };
        if *source >= 1.0 {
            *source -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - self.tokens) / self.rate.max(0.01);
        Err(Duration::from_secs_f64(missing.min(LONGEST_WAIT_SECONDS)))
    }
}
