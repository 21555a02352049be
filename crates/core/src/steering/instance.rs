//! What a host knows of one backend server instance.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::{
    cold,
    load::{Load, Report},
};

/// Failures in a row after which an instance gets trial requests only.
const SHUN_AFTER: u32 = 2;

/// Pause between trial requests to a shunned instance; grows with each failed trial.
const FIRST_PAUSE: Duration = Duration::from_millis(800);

/// Longest pause between trial requests.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Time without any answer of an instance after which a late one counts as a failure.
const SILENCE: Duration = Duration::from_millis(2500);

/// Weight of the newest answer in the moving averages.
const NEWEST_WEIGHT: f64 = 0.2;

/// Slowness below which an instance counts as one of usual speed.
const USUAL_SLOWNESS: f64 = 1.7;

/// Largest slowness that is told apart.
const MOST_SLOWNESS: f64 = 8.0;

/// How long an instance is assumed to remember an object.
const OBJECT_MEMORY: Duration = Duration::from_secs(40);

/// Most objects that are remembered of one instance.
const OBJECTS: usize = 128;

/// An instance as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Unique name of the instance.
    pub id: Arc<str>,
    /// Service that it runs.
    pub service: Arc<str>,
    /// Address that takes requests.
    pub address: std::net::SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Tells its starts apart, as it may start again under the same id.
    pub incarnation: u64,
    /// Whether it is about to leave and takes no new requests.
    pub is_draining: bool,
    /// How much longer it is cold.
    pub warmup_left: Duration,
}

/// How a request to an instance ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It answered, after this time.
    Answered(Duration),
    /// It answered that it failed.
    ServerError,
    /// It refused before running the request.
    Shed,
    /// No connection, a broken one, or an answer that cannot be used.
    TransportError,
    /// No answer in the request's time.
    TimedOut,
    /// The caller left, or another instance answered first.
    Cancelled,
}

/// One instance.
#[derive(Clone, Debug)]
pub struct Instance {
    /// What the platform says of it.
    pub endpoint: Endpoint,
    /// Its region; `None` when the failure domain is unknown.
    pub region: Option<Arc<str>>,
    /// When it stops counting as listed although its entry is missing.
    pub missing_until: Option<Duration>,
    /// Requests at the instance.
    pub load: Load,
    cold_until: Duration,
    pace: cold::Pace,
    failures: u32,
    shunned_until: Duration,
    trial_running: bool,
    failure_part: f64,
    answered_at: Duration,
    answer_seconds: Option<f64>,
    objects: HashMap<u64, Duration>,
}

impl Instance {
    /// An instance that was just listed.
    pub fn new(now: Duration, listed: Endpoint, region: Option<Arc<str>>) -> Self {
        let cold_until = now + listed.warmup_left;
        Self {
            endpoint: listed,
            region,
            missing_until: None,
            load: Load::default(),
            cold_until,
            pace: cold::Pace::default(),
            failures: 0,
            shunned_until: Duration::ZERO,
            trial_running: false,
            failure_part: 0.0,
            answered_at: Duration::ZERO,
            answer_seconds: None,
            objects: HashMap::new(),
        }
    }

    /// Takes a newer entry of the same start. Draining is never taken back.
    pub fn update(&mut self, now: Duration, listed: Endpoint) {
        let was_draining = self.endpoint.is_draining;
        if !listed.warmup_left.is_zero() {
            self.cold_until = now + listed.warmup_left;
        }
        self.endpoint = listed;
        self.endpoint.is_draining |= was_draining;
        self.missing_until = None;
    }

    /// Treats the instance as cold for `time` from now.
    pub fn turn_cold(&mut self, now: Duration, time: Duration) {
        self.cold_until = self.cold_until.max(now + time);
        self.objects.clear();
    }

    /// Whether it tolerates only a low rate.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Whether a cold instance may get a request now.
    pub fn pace_is_open(&self, now: Duration) -> bool {
        self.pace.is_open(now)
    }

    /// Whether it may get a request now, as far as its failures say.
    pub fn is_trusted(&self, now: Duration) -> bool {
        self.failures < SHUN_AFTER || (now >= self.shunned_until && !self.trial_running)
    }

    /// Whether only a trial request may be sent.
    pub fn is_on_trial(&self) -> bool {
        self.failures >= SHUN_AFTER
    }

    /// Notes a request that is being sent.
    pub fn start_request(&mut self, now: Duration, object: Option<u64>, cold_part: f64) {
        self.load.start_request();
        if self.is_cold(now) {
            self.pace.take(now, cold_part);
        }
        if self.is_on_trial() {
            self.trial_running = true;
        }
        if let Some(object) = object {
            self.remember(now, object);
        }
    }

    /// Notes the end of a request and what came with it.
    ///
    /// `known_part` is the part of the request's work that would be left on a known object.
    pub fn end_request(
        &mut self,
        now: Duration,
        outcome: Outcome,
        report: Option<Report>,
        known_part: f64,
    ) {
        self.load.end_request();
        self.trial_running = false;
        if let Some(report) = report {
            self.load.report(now, report);
            if report.slots > 0 {
                self.endpoint.slots = report.slots;
            }
        }
        match outcome {
            Outcome::Answered(time) => {
                let queued = report.map_or(0.0, |report| {
                    f64::from(report.waiting) / f64::from(report.slots.max(1))
                });
                self.answered(now, time.as_secs_f64() / (1.0 + queued) * known_part);
            }
            Outcome::ServerError => self.note_failure(1.0),
            Outcome::Shed => {
                let is_full = self.load.total(now) >= f64::from(self.endpoint.slots);
                self.note_failure(if is_full { 0.0 } else { 1.0 });
            }
            Outcome::TransportError => self.lost(now),
            // An instance that answers others is alive, though it may have too much to do.
            Outcome::TimedOut if now.saturating_sub(self.answered_at) > SILENCE => self.lost(now),
            Outcome::TimedOut => {}
            Outcome::Cancelled => {}
        }
    }

    /// Whether it handled `object` lately, as far as this host knows.
    pub fn knows(&self, now: Duration, object: u64) -> bool {
        self.objects.get(&object).is_some_and(|at| now.saturating_sub(*at) < OBJECT_MEMORY)
    }

    /// How much slower than `usual` its answers are, at least 1.
    pub fn slowness(&self, usual: f64) -> f64 {
        let Some(own) = self.answer_seconds else {
            return 1.0;
        };
        let ratio = own / usual.max(0.001);
        if ratio < USUAL_SLOWNESS { 1.0 } else { ratio.min(MOST_SLOWNESS) }
    }

    /// Usual seconds of its work on a known object, without the wait in its queue.
    pub fn answer_seconds(&self) -> Option<f64> {
        self.answer_seconds
    }

    /// Part of its recent answers that were failures.
    pub fn failure_part(&self) -> f64 {
        self.failure_part
    }

    fn answered(&mut self, now: Duration, seconds: f64) {
        self.failures = 0;
        self.answered_at = now;
        self.note_failure(0.0);
        let before = self.answer_seconds.unwrap_or(seconds);
        self.answer_seconds = Some(before + NEWEST_WEIGHT * (seconds - before));
    }

    fn lost(&mut self, now: Duration) {
        self.failures += 1;
        self.note_failure(1.0);
        let doublings = self.failures.saturating_sub(SHUN_AFTER).min(4);
        self.shunned_until = now + (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE);
    }

    fn note_failure(&mut self, failed: f64) {
        self.failure_part += NEWEST_WEIGHT * (failed - self.failure_part);
    }

    fn remember(&mut self, now: Duration, object: u64) {
        if self.objects.len() >= OBJECTS && !self.objects.contains_key(&object) {
            let oldest = self.objects.iter().min_by_key(|(_, at)| **at).map(|(object, _)| *object);
            if let Some(oldest) = oldest {
                self.objects.remove(&oldest);
            }
        }
        self.objects.insert(object, now);
    }
}
