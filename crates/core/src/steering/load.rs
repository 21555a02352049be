//! Estimated number of requests at an instance, from this host's requests and the instance's load
//! reports.
//!
//! Several hosts share an instance's slots, and each sees the requests of the others only in the
//! load reports that come with responses. The reported requests end, and the report says nothing
//! about new ones. With many hosts, each hears of an instance seldom; an instance of which it has
//! not heard for a while is then not idle, but about as busy as the others.

use std::time::Duration;

use super::speed;

/// Time constant of the exponential decay of the requests that other hosts have running.
const RUNNING_DECAY_TIME: Duration = Duration::from_millis(2500);

/// Time constant of the exponential decay of a reported queue. It is shorter, because all hosts
/// refuse requests or send them elsewhere while there is a queue, so that the queue only shrinks.
const QUEUE_DECAY_TIME: Duration = Duration::from_millis(600);

/// Weight of the newest report in the usual utilization.
const SMOOTHING_FACTOR: f64 = 0.05;

/// Load that an instance reports with a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Number of requests that the instance is running.
    pub running: u32,
    /// Number of requests in its queue.
    pub waiting: u32,
    /// Number of requests that it can run at the same time.
    pub slots: u32,
    /// Time that work takes there now, relative to the usual time; `None` if it is not reported.
    pub factor: Option<speed::Factor>,
}

impl Report {
    /// Work on a request that took `seconds`, without the wait in the instance's queue. A request
    /// that found `w` others waiting for `s` slots took about `1 + w / s` times its work. A reported
    /// factor is taken out, as the time at a slow instance says nothing about the work.
    pub fn work_seconds(self, seconds: f64) -> f64 {
        let queue = 1.0 + f64::from(self.waiting) / f64::from(self.slots.max(1));
        seconds / (queue * self.factor())
    }

    /// Reported factor of the time that work takes; 1 without one.
    pub fn factor(self) -> f64 {
        self.factor.map_or(1.0, speed::Factor::get)
    }
}

/// Estimate of the requests at one instance.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    own_requests: u32,
    /// Reported requests of other hosts, without those in [`Self::others_waiting`].
    others_running: f64,
    /// Reported requests of other hosts that were in the instance's queue.
    others_waiting: f64,
    /// Time of the last report; zero if there was none.
    reported_at: Duration,
}

impl Estimate {
    /// Number of requests of this host at the instance.
    pub fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Whether the instance has reported its load to this host.
    pub fn has_report(&self) -> bool {
        !self.reported_at.is_zero()
    }

    /// Estimated number of requests of all hosts at the instance. `usual` is what other hosts usually
    /// have at one; a report says less the older it is, so that the estimate approaches that number.
    pub fn total(&self, now: Duration, usual: Usual) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let decay = |time: Duration| (-age / time.as_secs_f64()).exp();
        f64::from(self.own_requests)
            + usual.running
            + (self.others_running - usual.running) * decay(RUNNING_DECAY_TIME)
            + usual.waiting
            + (self.others_waiting - usual.waiting) * decay(QUEUE_DECAY_TIME)
    }

    /// Counts a request that this host sends.
    pub fn start_request(&mut self) {
        self.own_requests += 1;
    }

    /// Removes a request of this host that has ended.
    pub fn end_request(&mut self) {
        self.own_requests = self.own_requests.saturating_sub(1);
    }

    /// Records the load report of a response to this host. [`Self::end_request`] must have been
    /// called for the answered request.
    pub fn record_report(&mut self, now: Duration, report: Report) {
        let reported = f64::from(report.running) + f64::from(report.waiting);
        let of_others = (reported - f64::from(self.own_requests)).max(0.0);
        self.others_waiting = of_others.min(f64::from(report.waiting));
        self.others_running = of_others - self.others_waiting;
        self.reported_at = now;
    }
}

/// Requests that other hosts usually have at an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usual {
    /// Number of running requests.
    pub running: f64,
    /// Number of requests in the queue.
    pub waiting: f64,
}

impl Usual {
    /// The numbers at an instance with this number of slots, if `self` is for one slot.
    pub fn times(self, slots: f64) -> Self {
        Self { running: self.running * slots, waiting: self.waiting * slots }
    }
}

/// Requests at the instances of some regions relative to their slots, as moving averages over the
/// reports.
#[derive(Clone, Debug, Default)]
pub struct Utilization {
    running: f64,
    waiting: f64,
    updated_at: Duration,
}

impl Utilization {
    /// Requests for each slot of an instance. They decay while there are no reports, as there are
    /// then hardly any requests.
    pub fn per_slot(&self, now: Duration) -> Usual {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let decay = (-age / RUNNING_DECAY_TIME.as_secs_f64()).exp();
        Usual { running: self.running, waiting: self.waiting }.times(decay)
    }

    /// Records the load report of one instance.
    pub fn record(&mut self, now: Duration, report: Report) {
        let slots = f64::from(report.slots.max(1));
        self.running += SMOOTHING_FACTOR * (f64::from(report.running) / slots - self.running);
        self.waiting += SMOOTHING_FACTOR * (f64::from(report.waiting) / slots - self.waiting);
        self.updated_at = now;
    }
}
