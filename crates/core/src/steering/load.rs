//! Estimate of how busy an instance is, from own requests and from what the instance last reported.
//!
//! Several hosts share an instance's slots, and each sees the others' requests only in the reports
//! that come with answers. A report grows old: the others' requests end, and new ones are sent.

use std::time::Duration;

/// Time in which what is known of the other hosts' requests loses two thirds of its weight.
const REPORT_MEMORY: Duration = Duration::from_millis(2500);

/// Time in which a reported queue loses two thirds of its weight. While it lasts, all hosts refuse or
/// send elsewhere, so that it only shrinks.
const QUEUE_MEMORY: Duration = Duration::from_millis(600);

/// What an instance says of itself with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests at work.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// Requests at one instance.
#[derive(Clone, Debug, Default)]
pub struct Load {
    own: u32,
    /// Requests of other hosts, without those in [`Self::queued`].
    others: f64,
    /// Requests beyond the slots.
    queued: f64,
    reported: Duration,
}

impl Load {
    /// Requests of this host at the instance.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Whether the instance has reported at all.
    pub fn is_known(&self) -> bool {
        !self.reported.is_zero()
    }

    /// Requests of all hosts at the instance, as far as known.
    pub fn total(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported).as_secs_f64();
        let left = |memory: Duration| (-age / memory.as_secs_f64()).exp();
        f64::from(self.own) + self.others * left(REPORT_MEMORY) + self.queued * left(QUEUE_MEMORY)
    }

    /// A request of this host was sent.
    pub fn start_request(&mut self) {
        self.own += 1;
    }

    /// A request of this host has ended.
    pub fn end_request(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Takes a report that came with the answer to a request of this host, after [`Self::end_request`].
    pub fn report(&mut self, now: Duration, report: Report) {
        let seen = f64::from(report.running + report.waiting);
        let of_others = (seen - f64::from(self.own)).max(0.0);
        self.queued = of_others.min(f64::from(report.waiting));
        self.others = of_others - self.queued;
        self.reported = now;
    }
}
