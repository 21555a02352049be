//! Rate at which one host may send to a cold instance, which tolerates little from all hosts together.
//!
//! The hosts share the rate without talking: each takes an equal part. When the parts would be less
//! than one request a second, only the hosts that rank first for the instance send to it.

use std::time::Duration;

use crate::rendezvous;

/// Part of the tolerated rate that is used, as hosts may disagree on their number for a while.
const USED_PART: f64 = 0.8;

/// This host's part of a cold instance's rate, in requests per second.
pub fn part(rate: f64, instance: &str, host: &str, hosts: &[&str]) -> f64 {
    let count = hosts.len().max(1) as f64;
    let usable = rate * USED_PART;
    let each = usable / count;
    if each >= 1.0 || hosts.len() <= 1 {
        return each.max(usable.min(1.0));
    }
    let senders = (usable.floor() as usize).max(1);
    let ranked = rendezvous::rank(instance, hosts.iter().copied());
    let is_sender = ranked.iter().take(senders).any(|&index| hosts[index] == host);
    if is_sender { usable / senders as f64 } else { 0.0 }
}

/// Spaces requests to one cold instance evenly, without a burst.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    next: Duration,
}

impl Pace {
    /// Whether a request may be sent now.
    pub fn is_open(&self, now: Duration) -> bool {
        now >= self.next
    }

    /// Notes a request; the next one may follow after the part's interval.
    pub fn take(&mut self, now: Duration, part: f64) {
        self.next = now + Duration::from_secs_f64(1.0 / part.max(0.01));
    }
}
