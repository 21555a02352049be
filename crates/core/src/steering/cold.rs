//! Rate limit for requests to a cold instance, shared by the hosts of its region.
//!
//! A cold instance tolerates a low rate from all hosts together. Each host takes an equal share
//! without any coordination. If the shares would fall below one request per second, only the hosts
//! that rank first for the instance by rendezvous hash send to it.

use std::time::Duration;

use crate::rendezvous;

/// Fraction of the tolerated rate that the hosts use. The rest is a margin for the time in which
/// they disagree on their number.
const USABLE_FRACTION: f64 = 0.8;

/// Requests per second that `host`, one of `hosts`, may send to a cold instance that tolerates
/// `rate` requests per second in total; 0 if the host doesn't send to this instance.
pub fn host_rate(rate: f64, instance: &str, host: &str, hosts: &[impl AsRef<str>]) -> f64 {
    let count = hosts.len().max(1) as f64;
    let usable = rate * USABLE_FRACTION;
    let equal_share = usable / count;
    if equal_share >= 1.0 || hosts.len() <= 1 {
        return equal_share.max(usable.min(1.0));
    }
    let senders = (usable.floor() as usize).max(1);
    let names = hosts.iter().map(AsRef::as_ref);
    let is_sender = rendezvous::is_among_first(instance, host, names, senders);
    if is_sender { usable / senders as f64 } else { 0.0 }
}

/// Spaces the requests of this host to one cold instance evenly, without bursts.
#[derive(Clone, Debug, Default)]
pub struct Pacer {
    next_at: Duration,
}

impl Pacer {
    /// Whether a request may be sent now.
    pub fn allows(&self, now: Duration) -> bool {
        now >= self.next_at
    }

    /// Records a request. The next one is allowed after one interval of `rate` requests per second.
    pub fn record_request(&mut self, now: Duration, rate: f64) {
        self.next_at = now + Duration::from_secs_f64(1.0 / rate.max(0.01));
    }
}
