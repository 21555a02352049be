//! What a host knows of one backend server instance.
//!
//! See docs/design.md §9. A [`Status`] belongs to one instance id; a new instance gets a new one.
//! Health reports lag and mislead, so they only make an instance second choice, and the host's own
//! answers outrank them. In-flight counts are kept by the request path.

use std::time::Duration;

use crate::host::event::ListedState;

#[cfg(test)]
mod tests;

/// Consecutive own errors after which an instance is ejected.
pub const CONSECUTIVE_ERRORS_TO_EJECT: u32 = 3;

/// First pause between an ejection and a probe; doubles with every failed probe or new ejection.
pub const MIN_EJECTION_TIME: Duration = Duration::from_secs(1);

/// Longest pause between an ejection and a probe.
pub const MAX_EJECTION_TIME: Duration = Duration::from_secs(32);

/// Time without an ejection after which pauses start from [`MIN_EJECTION_TIME`] again.
pub const EJECTION_BACKOFF_RESET_TIME: Duration = Duration::from_secs(60);

/// Time after which a probe without an answer counts as lost.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a health report counts. A frozen health endpoint must not keep an instance out.
pub const HEALTH_REPORT_VALIDITY: Duration = Duration::from_secs(10);

/// How long an instance that shed a request is second choice.
pub const LOAD_SHED_PENALTY_TIME: Duration = Duration::from_millis(500);

/// Part of the traffic of a warm instance that a cold one gets at first.
pub const MIN_WARMUP_FRACTION: f64 = 0.1;

/// What the health endpoint of an instance reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The instance takes requests.
    Serving,
    /// The instance reports a fault.
    Failing,
    /// The instance is about to stop.
    Draining,
}

/// Whether an instance may get new requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Availability {
    /// It may, with this part of the traffic of a warm instance, above 0 and at most 1.
    Eligible(f64),
    /// Only if no instance is eligible: a late report speaks against it, or it sheds load.
    Degraded(f64),
    /// It gets no new request.
    Unavailable,
}

/// State of one backend server instance.
#[derive(Clone, Debug)]
pub struct Status {
    warmup: Duration,
    admitted: Duration,
    leaving: bool,
    health: Option<Sample>,
    answered: Option<Duration>,
    failures: u32,
    pause: Duration,
    ejection: Option<Ejection>,
    shed: Option<Duration>,
    silent: Option<Duration>,
}

/// A health report and when it was true.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Duration,
    health: Health,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    probe_at: Duration,
    probe_sent: Option<Duration>,
}

impl Status {
    /// State of an instance first seen at `now`, which gets a rising part of the traffic for `warmup`.
    pub fn new(now: Duration, warmup: Duration) -> Self {
        Self {
            warmup,
            admitted: now,
            leaving: false,
            health: None,
            answered: None,
            failures: 0,
            pause: MIN_EJECTION_TIME,
            ejection: None,
            shed: None,
            silent: None,
        }
    }

    /// Takes the instance's state in the list of hosts; `None` when the list lacks it.
    ///
    /// Only lists that were read completely may be given: leaving is never revoked.
    pub fn set_listed_state(&mut self, state: Option<ListedState>) {
        self.leaving |= state != Some(ListedState::Live);
    }

    /// Takes a health report that was true `lag` before `now`. Reports may arrive out of order.
    pub fn record_health(&mut self, now: Duration, lag: Duration, health: Health) {
        self.leaving |= health == Health::Draining;
        let at = now.saturating_sub(lag);
        if self.health.is_none_or(|known| known.at <= at) {
            self.health = Some(Sample { at, health });
        }
    }

    /// The instance itself said that it stops: 503 with `Connection: close`.
    pub fn record_shutdown(&mut self) {
        self.leaving = true;
    }

    /// A request or probe that was sent at `sent` got an answer other than a server error.
    pub fn record_success(&mut self, now: Duration, sent: Duration) {
        self.answered = self.answered.max(Some(now));
        match self.ejection {
            None => self.failures = 0,
            // Answers to requests from before the ejection say nothing about the state after it.
            Some(ejection) if sent >= ejection.probe_at => self.readmit(now),
            Some(_) => {}
        }
    }

    /// A request or probe that was sent at `sent` ended in a server error or a broken connection.
    pub fn record_failure(&mut self, now: Duration, sent: Duration) {
        match self.ejection {
            None if sent < self.admitted => {}
            None => {
                self.failures += 1;
                if self.failures >= CONSECUTIVE_ERRORS_TO_EJECT {
                    self.eject(now);
                }
            }
            Some(ejection) if sent >= ejection.probe_at => self.eject(now),
            Some(_) => {}
        }
    }

    /// No first byte came by the deadline. On a reused connection this says nothing about the
    /// instance, as open connections go silent while new ones work; on a fresh one it is an error.
    pub fn record_timeout(&mut self, now: Duration, sent: Duration, fresh: bool) {
        self.silent = self.silent.max(Some(now));
        if fresh {
            self.record_failure(now, sent);
        }
    }

    /// The instance refused a request because of its load.
    pub fn record_load_shed(&mut self, now: Duration) {
        self.shed = self.shed.max(Some(now));
    }

    /// A probe was sent.
    pub fn record_probe(&mut self, now: Duration) {
        if let Some(ejection) = &mut self.ejection {
            ejection.probe_sent = Some(now);
        }
    }

    /// Whether a probe is to be sent now.
    pub fn is_probe_due(&self, now: Duration) -> bool {
        let due = |ejection: Ejection| {
            let waiting = ejection.probe_sent.is_some_and(|sent| now < sent + PROBE_TIMEOUT);
            now >= ejection.probe_at && !waiting
        };
        !self.leaving && self.ejection.is_some_and(due)
    }

    /// Whether an idle connection that last answered at `answered` may be used again.
    pub fn is_connection_reusable(&self, answered: Duration) -> bool {
        self.silent.is_none_or(|silent| answered > silent)
    }

    /// Whether the instance is known to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether the instance may get new requests without reserve.
    pub fn is_eligible(&self, now: Duration) -> bool {
        matches!(self.availability(now), Availability::Eligible(_))
    }

    /// Whether and to which part the instance may get new requests.
    pub fn availability(&self, now: Duration) -> Availability {
        if self.leaving || self.ejection.is_some() {
            Availability::Unavailable
        } else if self.reported_failing(now) || self.sheds(now) {
            Availability::Degraded(self.share(now))
        } else {
            Availability::Eligible(self.share(now))
        }
    }

    fn reported_failing(&self, now: Duration) -> bool {
        let counts = |sample: Sample| {
            let outranked = self.answered.is_some_and(|answered| answered >= sample.at);
            sample.health == Health::Failing
                && now < sample.at + HEALTH_REPORT_VALIDITY
                && !outranked
        };
        self.health.is_some_and(counts)
    }

    fn sheds(&self, now: Duration) -> bool {
        self.shed.is_some_and(|shed| now < shed + LOAD_SHED_PENALTY_TIME)
    }

    fn share(&self, now: Duration) -> f64 {
        let warm = now.saturating_sub(self.admitted);
        if warm >= self.warmup {
            return 1.0;
        }
        MIN_WARMUP_FRACTION + (1.0 - MIN_WARMUP_FRACTION) * warm.div_duration_f64(self.warmup)
    }

    fn eject(&mut self, now: Duration) {
        let calm = self.ejection.is_none() && now >= self.admitted + EJECTION_BACKOFF_RESET_TIME;
        let pause = if calm { MIN_EJECTION_TIME } else { self.pause };
        self.ejection = Some(Ejection { probe_at: now + pause, probe_sent: None });
        self.pause = (2 * pause).min(MAX_EJECTION_TIME);
        self.failures = 0;
    }

    /// Starts the warm-up again, since the instance may have lost its caches or its machine.
    fn readmit(&mut self, now: Duration) {
        self.ejection = None;
        self.admitted = now;
    }
}
