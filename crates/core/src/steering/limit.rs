//! Rate limits that instances in need state in their answers.
//!
//! An instance that recovers from a fault takes only a fraction of its usual load, from all hosts
//! together, until it says otherwise. With many hosts, the equal part of each would be less than one
//! request in the time over which the limit is judged, and a host that sends one request in that time
//! already sends too many. So a few hosts share the limit, chosen by rendezvous hash among those of
//! the instance's region, and the others send nothing. What one host learns of a limit, it publishes
//! in the store, for the hosts that send nothing and therefore hear nothing. Hosts that do send must know
//! sooner than a record takes to reach them, so the first one to hear of a limit also announces it to all
//! others. See docs/platform.md.

mod book;
mod entry;

pub use book::{Book, Change, Publication};

use std::{sync::Arc, time::Duration};

use crate::rendezvous;

/// Fraction of a limit that the hosts use.
const USABLE_FRACTION: f64 = 0.8;

/// Fraction of its part that a host uses while it is cut off from the store, as another host may have
/// taken its place.
const CUT_OFF_FRACTION: f64 = 0.5;

/// Hosts that share the smallest limits. One host alone could be the one that just stopped.
const MIN_SENDERS: f64 = 2.0;

/// Most hosts that share a limit. With fewer hosts, each one sends more often and so hears sooner of
/// a change.
const MAX_SENDERS: f64 = 6.0;

/// Difference between two rates, relative to the larger one, up to which they count as the same.
const INSIGNIFICANT_CHANGE: f64 = 0.1;

/// What is known of an instance's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Statement {
    /// The instance takes this many requests per second from all hosts together.
    Limited(f64),
    /// The instance has no limit.
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

    /// The statement that allows fewer requests.
    fn lower(self, other: Self) -> Self {
        match (self.rate(), other.rate()) {
            (Some(one), Some(another)) => Self::Limited(one.min(another)),
            (None, _) => other,
            (_, None) => self,
        }
    }

    /// Whether two statements differ by more than [`INSIGNIFICANT_CHANGE`].
    fn differs(self, other: Self) -> bool {
        match (self.rate(), other.rate()) {
            (Some(one), Some(other)) => (one - other).abs() > INSIGNIFICANT_CHANGE * one.max(other),
            (one, other) => one.is_some() != other.is_some(),
        }
    }
}

/// Host that may share limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name of the host.
    pub host: Arc<str>,
    /// Region of the host; `None` if unknown, so that it counts in every region.
    pub region: Option<Arc<str>>,
}

/// Hosts among which limits are shared, as this host sees them.
#[derive(Clone, Debug)]
pub struct Group {
    /// Name of this host.
    pub host: Arc<str>,
    /// All hosts that may share limits. This host sends nothing to limited instances unless it is
    /// among them.
    pub members: Vec<Member>,
    /// Whether this host is cut off from the store.
    pub is_cut_off: bool,
}

impl Group {
    /// This host's part of an instance's limit, in requests per second; 0 if others share it.
    ///
    /// Hosts of other regions share it only if the instance's region has no host.
    pub fn host_rate(&self, rate: f64, instance: &str, region: Option<&Arc<str>>) -> f64 {
        let is_in_region = |member: &&Member| {
            member.region.is_none() || region.is_none() || member.region.as_ref() == region
        };
        let all = || self.members.iter().map(|member| member.host.as_ref());
        let local: Vec<&str> =
            self.members.iter().filter(is_in_region).map(|member| member.host.as_ref()).collect();
        let hosts = if local.is_empty() { all().collect() } else { local };
        let senders = sender_count(rate).min(hosts.len());
        let names = hosts.iter().copied();
        let is_sender = rendezvous::is_among_first(instance, &self.host, names, senders);
        let used = USABLE_FRACTION * if self.is_cut_off { CUT_OFF_FRACTION } else { 1.0 };
        if is_sender { rate * used / senders as f64 } else { 0.0 }
    }

    /// Whether this host ranks first among all hosts for an instance.
    fn is_first(&self, instance: &str) -> bool {
        let names = self.members.iter().map(|member| member.host.as_ref());
        rendezvous::is_among_first(instance, &self.host, names, 1)
    }
}

/// Number of hosts that share a limit.
///
/// Each of them may send one request more than its part in any window, as it sends at even intervals
/// that are not aligned with the window. The more a limit allows, the more hosts can do so. Twice as
/// many must keep it, if all of them are cut off from the store and replaced:
/// `4 s * 0.8 * 1.5 * rate + 2 * senders <= 4 s * 1.5 * rate + 5`.
fn sender_count(rate: f64) -> usize {
    let senders = 2.5 + 0.6 * rate;
    // The bounds make the cast lossless.
    senders.clamp(MIN_SENDERS, MAX_SENDERS).floor() as usize
}

/// Shortest time between two requests at `rate` requests per second.
fn interval(rate: f64) -> Duration {
    const MAX_SECONDS: f64 = 100.0;
    Duration::from_secs_f64((1.0 / rate.max(f64::MIN_POSITIVE)).min(MAX_SECONDS))
}
