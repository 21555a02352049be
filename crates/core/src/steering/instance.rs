//! State that a host keeps about one backend server instance.

use std::{sync::Arc, time::Duration};

use super::{
    cache, cold, cost,
    load::{self, Estimate, Report},
    notice::Notice,
    samples::Samples,
    speed,
};

/// Consecutive failures after which an instance is ejected and gets probe requests only.
const FAILURES_BEFORE_EJECTION: u32 = 2;

/// Delay before the first probe request to an ejected instance; doubles with each failed probe.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(800);

/// Longest delay between probe requests.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(4);

/// Time since the last answer of an instance within which a timeout doesn't count as a failure. An
/// instance that answers other requests is alive, though it may be overloaded.
const TIMEOUT_GRACE: Duration = Duration::from_millis(2500);

/// Weight of the newest sample in the exponential moving averages.
pub(super) const SMOOTHING_FACTOR: f64 = 0.2;

/// Slowdown below which an instance counts as having the usual speed.
const SLOWDOWN_THRESHOLD: f64 = 1.7;

/// Latest answers from which the slowness is estimated.
const SLOWNESS_SAMPLES: usize = 8;

/// Time constant of the exponential decay of the slowness since the last answer. A slow instance
/// gets hardly any requests that could show that it has recovered.
const SLOWNESS_DECAY_TIME: Duration = Duration::from_secs(4);

/// Upper limit of the slowdown.
const MAX_SLOWDOWN: f64 = 8.0;

/// An instance as it is registered with the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Unique id of the instance.
    pub id: Arc<str>,
    /// Service that the instance runs.
    pub service: Arc<str>,
    /// Address on which it accepts requests.
    pub address: std::net::SocketAddr,
    /// Failure domain of the instance.
    pub domain: Arc<str>,
    /// Number of requests that it can run at the same time.
    pub slots: u32,
    /// Distinguishes the starts of an instance, which may start again under the same id: when it started, in
    /// Unix milliseconds of its clock.
    pub incarnation: u64,
    /// Whether the instance is shutting down and takes no new requests.
    pub is_draining: bool,
    /// Remaining warm-up time, in which the instance is cold.
    pub warmup_left: Duration,
}

/// How a request to an instance ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The instance answered, after this time.
    Answered(Duration),
    /// The instance answered with a server error.
    ServerError,
    /// The instance refused the request without running it.
    Shed,
    /// The connection failed or broke, or the response was unusable.
    TransportError,
    /// There was no response before the request's deadline.
    TimedOut,
    /// The request was abandoned, for example because the caller left or another instance answered
    /// first. This says nothing about the instance.
    Cancelled,
}

/// An instance with its load, failures and assumed cache content.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Registration with the platform.
    pub endpoint: Endpoint,
    /// Region of the instance; `None` if its failure domain is unknown.
    pub region: Option<Arc<str>>,
    /// Whether the instance is in the host's own region.
    pub is_local: bool,
    /// When the instance is removed unless it registers again; `None` while it is registered.
    pub expires_at: Option<Duration>,
    /// What the host knows of the requests at the instance.
    pub load: Estimate,
    /// Estimated number of requests of all hosts at the instance, as of the latest choice.
    pub requests: f64,
    /// End of the pause that the instance asked for; zero without one.
    paused_until: Duration,
    cold_until: Duration,
    cold_pacer: cold::Pacer,
    consecutive_failures: u32,
    ejected_until: Duration,
    is_probe_running: bool,
    failure_rate: f64,
    last_answer_at: Duration,
    /// Times of the latest answers relative to what was expected, without the waits.
    slowness_samples: Samples,
    /// Median of [`Self::slowness_samples`].
    slowness: Option<f64>,
    /// Objects that the instance is believed to have cached.
    pub(super) objects: cache::Contents,
    /// Latest report of the time that work takes; `None` without one.
    pub(super) speed: Option<speed::Reading>,
    /// Requests of this host that the instance runs.
    pub(super) running: Vec<cost::Running>,
    last_request_at: Duration,
    /// When this host last opened a connection, or failed to; `None` before the first one.
    connection_tried_at: Option<Duration>,
    /// Whether the last attempt to open a connection failed.
    is_unreached: bool,
}

impl Instance {
    /// An instance that has just been registered.
    pub fn new(now: Duration, endpoint: Endpoint, region: Option<Arc<str>>) -> Self {
        let cold_until = now.saturating_add(endpoint.warmup_left);
        Self {
            endpoint,
            region,
            is_local: false,
            expires_at: None,
            load: Estimate::default(),
            requests: 0.0,
            paused_until: Duration::ZERO,
            cold_until,
            cold_pacer: cold::Pacer::default(),
            consecutive_failures: 0,
            ejected_until: Duration::ZERO,
            is_probe_running: false,
            failure_rate: 0.0,
            last_answer_at: Duration::ZERO,
            slowness_samples: Samples::new(SLOWNESS_SAMPLES),
            slowness: None,
            objects: cache::Contents::default(),
            speed: None,
            running: Vec::new(),
            last_request_at: Duration::ZERO,
            connection_tried_at: None,
            is_unreached: false,
        }
    }

    /// Applies a newer registration of the same incarnation. A draining instance stays draining.
    pub fn update(&mut self, now: Duration, endpoint: Endpoint) {
        let was_draining = self.endpoint.is_draining;
        if !endpoint.warmup_left.is_zero() {
            self.cold_until = now.saturating_add(endpoint.warmup_left);
        }
        self.endpoint = endpoint;
        self.endpoint.is_draining |= was_draining;
        self.expires_at = None;
    }

    /// Applies where the instance stands; `region` is that of its failure domain.
    pub fn place(&mut self, region: Option<Arc<str>>, is_local: bool) {
        self.region = region;
        self.is_local = is_local;
    }

    /// Applies what the instance asked for in its answers. An instance that leaves counts as draining.
    pub fn apply_notice(&mut self, notice: Notice) {
        self.endpoint.is_draining |= notice.is_leaving;
        self.paused_until = self.paused_until.max(notice.paused_until);
    }

    /// Whether the registration has ended, and has not returned in time.
    pub fn is_expired(&self, now: Duration) -> bool {
        self.expires_at.is_some_and(|expires_at| expires_at <= now)
    }

    /// Whether the instance wants no requests now.
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }

    /// Time until the end of the pause that the instance asked for.
    pub fn pause_left(&self, now: Duration) -> Duration {
        self.paused_until.saturating_sub(now)
    }

    /// Treats the instance as cold for at least `time` from now.
    pub fn mark_cold(&mut self, now: Duration, time: Duration) {
        self.cold_until = self.cold_until.max(now.saturating_add(time));
        self.objects.clear();
        self.speed = None;
        self.running.clear();
    }

    /// Whether the instance is warming up and tolerates only a low rate.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Whether this host's rate for the instance while it is cold allows a request now.
    pub fn allows_cold_request(&self, now: Duration) -> bool {
        self.cold_pacer.allows(now)
    }

    /// Whether the instance may get a request: it has not asked for a pause, and it is not ejected, or
    /// a probe request is due.
    pub fn is_available(&self, now: Duration) -> bool {
        let is_probe_due = now >= self.ejected_until && !self.is_probe_running;
        !self.is_paused(now) && (!self.is_ejected() || is_probe_due)
    }

    /// Whether the instance is ejected, so that it may get probe requests only.
    pub fn is_ejected(&self) -> bool {
        self.consecutive_failures >= FAILURES_BEFORE_EJECTION
    }

    /// Records a request that is being sent. `cold_rate` is this host's rate for the instance while
    /// it is cold, in requests per second.
    pub fn start_request(&mut self, now: Duration, cold_rate: f64) {
        self.load.start_request();
        self.last_request_at = now;
        if self.is_cold(now) {
            self.cold_pacer.record_request(now, cold_rate);
        }
        if self.is_ejected() {
            self.is_probe_running = true;
        }
    }

    /// Records the end of a request, with the load report of its response.
    ///
    /// `expected_seconds` is the expected work on the request.
    pub fn end_request(
        &mut self,
        now: Duration,
        outcome: Outcome,
        report: Option<Report>,
        expected_seconds: f64,
    ) {
        self.load.end_request();
        self.is_probe_running = false;
        if let Some(report) = report {
            self.load.record_report(now, report);
            if report.slots > 0 {
                self.endpoint.slots = report.slots;
            }
        }
        match outcome {
            Outcome::Answered(time) => {
                let seconds = time.as_secs_f64();
                let seconds = report.map_or(seconds, |report| report.work_seconds(seconds));
                self.record_answer(now, seconds / expected_seconds);
            }
            Outcome::ServerError => self.update_failure_rate(1.0),
            Outcome::Shed => {
                let is_full =
                    self.load.total(now, load::Usual::default()) >= f64::from(self.endpoint.slots);
                self.update_failure_rate(if is_full { 0.0 } else { 1.0 });
            }
            Outcome::TransportError => self.record_failure(now),
            Outcome::TimedOut if now.saturating_sub(self.last_answer_at) > TIMEOUT_GRACE => {
                self.record_failure(now);
            }
            Outcome::TimedOut => {}
            Outcome::Cancelled => {}
        }
    }

    /// Records whether a connection could be opened.
    pub fn record_connection(&mut self, now: Duration, is_open: bool) {
        self.connection_tried_at = Some(now);
        self.is_unreached = !is_open;
    }

    /// Whether the last attempt to open a connection failed.
    pub fn is_unreached(&self) -> bool {
        self.is_unreached
    }

    /// When this host last tried to open a connection; zero before the first attempt.
    pub fn connection_tried_at(&self) -> Duration {
        self.connection_tried_at.unwrap_or_default()
    }

    /// Whether the last attempt to open a connection succeeded, not longer than `time` ago.
    pub fn was_opened_since(&self, now: Duration, time: Duration) -> bool {
        !self.is_unreached && self.connection_tried_at.is_some_and(|at| now < at + time)
    }

    /// Lets an instance that was not reached get a probe request at once.
    pub fn allow_probe(&mut self, now: Duration) {
        if self.is_unreached {
            self.ejected_until = self.ejected_until.min(now);
        }
    }

    /// When this host last sent the instance a request.
    pub fn last_request_at(&self) -> Duration {
        self.last_request_at
    }

    /// Factor between 1 and `MAX_SLOWDOWN` by which the instance is slower than usual. It is 1 if
    /// the difference is small or the instance has not answered for long.
    pub fn slowdown(&self, now: Duration, usual_slowness: f64) -> f64 {
        let Some(slowness) = self.slowness() else {
            return 1.0;
        };
        let age = now.saturating_sub(self.last_answer_at).as_secs_f64();
        let decay = (-age / SLOWNESS_DECAY_TIME.as_secs_f64()).exp();
        let ratio = 1.0 + (slowness / usual_slowness.max(0.01) - 1.0) * decay;
        if ratio < SLOWDOWN_THRESHOLD { 1.0 } else { ratio.min(MAX_SLOWDOWN) }
    }

    /// Median of the times of the latest answers, each relative to the expected work; `None` until
    /// the first answer.
    pub fn slowness(&self) -> Option<f64> {
        self.slowness
    }

    /// Moving average of the fraction of requests that failed.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    fn record_answer(&mut self, now: Duration, slowness: f64) {
        self.consecutive_failures = 0;
        self.last_answer_at = now;
        self.update_failure_rate(0.0);
        self.slowness_samples.record(slowness);
        self.slowness = self.slowness_samples.quantile(0.5);
    }

    fn record_failure(&mut self, now: Duration) {
        self.consecutive_failures += 1;
        self.update_failure_rate(1.0);
        let doublings = self.consecutive_failures.saturating_sub(FAILURES_BEFORE_EJECTION).min(4);
        self.ejected_until = now + (FIRST_PROBE_DELAY * 2_u32.pow(doublings)).min(MAX_PROBE_DELAY);
    }

    /// Adds a sample to the failure rate: 1 for a failure, 0 otherwise.
    fn update_failure_rate(&mut self, sample: f64) {
        self.failure_rate += SMOOTHING_FACTOR * (sample - self.failure_rate);
    }
}
