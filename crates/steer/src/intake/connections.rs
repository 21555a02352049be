//! Decides which connections are closed, from what each of them has done.

use std::{collections::HashMap, net::IpAddr, time::Duration};

/// Part of the connections in use from which on they are short.
const SHORT_FRACTION: f64 = 0.75;

/// Part of the connections that are closed together when they are all in use. A crowd that keeps connecting
/// then costs one scan per batch.
const BATCH_FRACTION: f64 = 1.0 / 32.0;

/// Time for which a transfer is not judged by its rate. Callers on slow links need it for lost packets.
const RATE_GRACE: Duration = Duration::from_secs(5);

/// Time for which an unread response is not judged by its rate.
const RESPONSE_RATE_GRACE: Duration = Duration::from_secs(10);

/// Least rate of request bodies and responses, in bytes per second. The slowest link of the deployments
/// carries 10 Mbit/s, 150 times as much.
const MIN_BYTES_PER_SECOND: f64 = 8192.0;

/// Longest time without a byte of a request body.
const MAX_BODY_PAUSE: Duration = Duration::from_secs(5);

/// Time without progress after which a connection may be closed in favour of another one.
const PAUSE_IN_SHORTAGE: Duration = Duration::from_millis(500);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It waits for a request.
    Idle,
    /// A request head is arriving.
    Head,
    /// The body of a request that is being handled is arriving.
    Body,
    /// The body of a request that has its response is arriving.
    Rest,
    /// A request that has arrived is being handled, or parts of its response are awaited.
    Running,
    /// The caller does not take the response as fast as it could be sent.
    Writing,
}

/// State of one connection.
#[derive(Clone, Copy, Debug)]
pub struct View {
    /// Identifies the connection.
    pub id: u64,
    /// Network address by which connections are counted.
    pub address: IpAddr,
    /// What it is doing.
    pub phase: Phase,
    /// When the phase began.
    pub since: Duration,
    /// Bytes transferred in this phase.
    pub bytes: u64,
    /// When the last byte was transferred, or the phase began.
    pub moved_at: Duration,
    /// Whether it has carried a request.
    pub has_served: bool,
}

/// Time limits of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Longest time for a request head.
    pub head: Duration,
    /// Longest time without a request.
    pub idle: Duration,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Cause {
    /// The request head took too long.
    SlowHead,
    /// No request came.
    Idle,
    /// The body came too slowly.
    SlowBody,
    /// The response was read too slowly.
    SlowReader,
    /// Others need the connection or its memory.
    Shortage,
    /// All connections are in use.
    TooMany,
    /// The address has its share of the connections.
    AddressShare,
    /// The memory for connections is in use.
    NoMemory,
    /// The head exceeds the limits.
    LargeHead,
}

impl Cause {
    /// Name in the log and the metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::SlowHead => "slow_head",
            Self::Idle => "idle",
            Self::SlowBody => "slow_body",
            Self::SlowReader => "slow_reader",
            Self::Shortage => "shortage",
            Self::TooMany => "too_many",
            Self::AddressShare => "address_share",
            Self::NoMemory => "no_memory",
            Self::LargeHead => "large_head",
        }
    }
}

/// Why the connection is to be closed now, if it is.
pub fn overdue(view: &View, now: Duration, times: Times) -> Option<Cause> {
    let elapsed = now.saturating_sub(view.since);
    let pause = now.saturating_sub(view.moved_at);
    let is_slow = |grace: Duration| {
        let judged = elapsed.saturating_sub(grace).as_secs_f64();
        (view.bytes as f64) < judged * MIN_BYTES_PER_SECOND
    };
    match view.phase {
        Phase::Idle => (elapsed > times.idle).then_some(Cause::Idle),
        Phase::Head => (elapsed > times.head).then_some(Cause::SlowHead),
        Phase::Body | Phase::Rest => {
            (pause > MAX_BODY_PAUSE || is_slow(RATE_GRACE)).then_some(Cause::SlowBody)
        }
        Phase::Writing => is_slow(RESPONSE_RATE_GRACE).then_some(Cause::SlowReader),
        Phase::Running => None,
    }
}

/// Open connections by address.
#[derive(Debug)]
pub struct Table {
    limit: usize,
    open: usize,
    by_address: HashMap<IpAddr, usize>,
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is accepted.
    Accept,
    /// It is accepted if others can be closed.
    Replace,
    /// It is accepted if others of its address can be closed.
    ReplaceOwn,
}

impl Table {
    /// A table without connections.
    pub fn new(limit: usize) -> Self {
        Self { limit, open: 0, by_address: HashMap::new() }
    }

    /// Decides on a new connection.
    pub fn admit(&self, address: IpAddr) -> Verdict {
        if (self.open as f64) < self.limit as f64 * SHORT_FRACTION {
            return Verdict::Accept;
        }
        if self.is_over_share(address) {
            return Verdict::ReplaceOwn;
        }
        if self.open < self.limit { Verdict::Accept } else { Verdict::Replace }
    }

    /// Counts a connection.
    pub fn open(&mut self, address: IpAddr) {
        self.open += 1;
        *self.by_address.entry(address).or_default() += 1;
    }

    /// Counts a connection as closed.
    pub fn close(&mut self, address: IpAddr) {
        self.open = self.open.saturating_sub(1);
        if let Some(count) = self.by_address.get_mut(&address) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.by_address.remove(&address);
            }
        }
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.open
    }

    /// Whether the address has its equal share, where one more share is for an address that has none yet.
    fn is_over_share(&self, address: IpAddr) -> bool {
        let held = self.by_address.get(&address).copied().unwrap_or_default();
        let others = self.by_address.len() - usize::from(held > 0);
        held >= self.limit / (others + 2)
    }

    /// Connections that are closed in favour of a new one of `address`: those with the least progress, and
    /// those of addresses over their share first.
    pub fn victims(
        &self,
        views: impl Iterator<Item = View>,
        now: Duration,
        is_eligible: impl Fn(&View) -> bool,
    ) -> Vec<u64> {
        let mut ranked: Vec<(bool, u8, Duration, u64)> = views
            .filter(&is_eligible)
            .filter_map(|view| {
                let (rank, pause) = rank(&view, now)?;
                Some((self.is_over_share(view.address), rank, pause, view.id))
            })
            .collect();
        let batch = ((self.limit as f64 * BATCH_FRACTION) as usize).max(1);
        ranked.sort_unstable_by(|first, second| second.cmp(first));
        ranked.into_iter().take(batch).map(|(_, _, _, id)| id).collect()
    }
}

/// Rank of a connection that may be closed in favour of another one, where the highest goes first, and the
/// time without progress. `None` if it may not.
fn rank(view: &View, now: Duration) -> Option<(u8, Duration)> {
    let pause = now.saturating_sub(view.moved_at);
    if pause < PAUSE_IN_SHORTAGE {
        return None;
    }
    let rank = match (view.phase, view.has_served) {
        (Phase::Running, _) => return None,
        (Phase::Rest, _) => 5,
        (Phase::Head, _) => 4,
        (Phase::Idle, false) => 3,
        (Phase::Body, _) => 2,
        (Phase::Writing, _) => 1,
        (Phase::Idle, true) => 0,
    };
    Some((rank, pause))
}
