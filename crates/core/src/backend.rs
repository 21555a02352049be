//! State of one backend server instance as this host observes it.
//!
//! See docs/design.md §9. A [`Status`] belongs to one instance id; a new instance gets a new
//! status. Health reports may be late or wrong. A reported fault therefore only lowers the
//! preference for an instance, and newer responses to this host's own requests override it. The
//! request path keeps the in-flight counts.

use std::time::Duration;

use crate::host::event::ListedState;

#[cfg(test)]
mod tests;

/// Consecutive failures of this host's own requests after which an instance is ejected.
pub const FAILURES_BEFORE_EJECTION: u32 = 3;

/// Initial delay between an ejection and the first probe. It doubles with each failed probe and
/// with each new ejection.
pub const FIRST_PROBE_DELAY: Duration = Duration::from_secs(1);

/// Longest delay between an ejection and a probe.
pub const MAX_PROBE_DELAY: Duration = Duration::from_secs(32);

/// Time without an ejection after which the delay is reset to [`FIRST_PROBE_DELAY`].
pub const PROBE_DELAY_RESET_TIME: Duration = Duration::from_secs(60);

/// Time after which a probe without a response counts as lost.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a health report is valid. Reports expire so that a health endpoint that hangs doesn't
/// keep an instance out of use.
pub const HEALTH_REPORT_VALIDITY: Duration = Duration::from_secs(10);

/// How long an instance that shed a request is used only if no other instance is eligible.
pub const LOAD_SHED_PENALTY_TIME: Duration = Duration::from_millis(500);

/// Fraction of a warm instance's traffic that an instance gets at the start of its warm-up.
pub const MIN_WARMUP_FRACTION: f64 = 0.1;

/// Health that the health endpoint of an instance reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The instance accepts requests.
    Serving,
    /// The instance reports a fault.
    Failing,
    /// The instance is shutting down.
    Draining,
}

/// Whether an instance may get new requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Availability {
    /// It gets this fraction of a warm instance's traffic, above 0 and at most 1.
    Eligible(f64),
    /// It gets requests only if no instance is eligible, since it reports a fault or sheds load.
    /// The value is the fraction of a warm instance's traffic.
    Degraded(f64),
    /// It gets no new requests.
    Unavailable,
}

/// State of one backend server instance.
#[derive(Clone, Debug)]
pub struct Status {
    warmup: Duration,
    warmup_started: Duration,
    is_leaving: bool,
    health_report: Option<Report>,
    last_success: Option<Duration>,
    consecutive_failures: u32,
    next_probe_delay: Duration,
    ejection: Option<Ejection>,
    last_shed: Option<Duration>,
    last_timeout: Option<Duration>,
}

/// A health report and the time at which it was measured.
#[derive(Clone, Copy, Debug)]
struct Report {
    measured_at: Duration,
    health: Health,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    probe_at: Duration,
    probe_sent: Option<Duration>,
}

impl Status {
    /// State of an instance that was first seen at `now`. Its traffic rises during `warmup`.
    pub fn new(now: Duration, warmup: Duration) -> Self {
        Self {
            warmup,
            warmup_started: now,
            is_leaving: false,
            health_report: None,
            last_success: None,
            consecutive_failures: 0,
            next_probe_delay: FIRST_PROBE_DELAY,
            ejection: None,
            last_shed: None,
            last_timeout: None,
        }
    }

    /// Updates the state from the host list; `None` means that the list lacks the instance.
    ///
    /// The list must have been read completely, because an instance that leaves never comes back.
    pub fn set_listed_state(&mut self, state: Option<ListedState>) {
        self.is_leaving |= state != Some(ListedState::Live);
    }

    /// Records a health report that was measured `lag` before `now`. Reports may arrive out of
    /// order; the one measured last counts.
    pub fn record_health(&mut self, now: Duration, lag: Duration, health: Health) {
        self.is_leaving |= health == Health::Draining;
        let measured_at = now.saturating_sub(lag);
        if self.health_report.is_none_or(|known| known.measured_at <= measured_at) {
            self.health_report = Some(Report { measured_at, health });
        }
    }

    /// Records that the instance announced its shutdown by a 503 with `Connection: close`.
    pub fn record_shutdown(&mut self) {
        self.is_leaving = true;
    }

    /// Records that a request or probe sent at `sent` got a response other than a server error.
    pub fn record_success(&mut self, now: Duration, sent: Duration) {
        self.last_success = self.last_success.max(Some(now));
        match self.ejection {
            None => self.consecutive_failures = 0,
            // A response to a request from before the probe was due says nothing about the current
            // state, so it doesn't end the ejection.
            Some(ejection) if sent >= ejection.probe_at => self.readmit(now),
            Some(_) => {}
        }
    }

    /// Records that a request or probe sent at `sent` ended in a server error or a lost connection.
    pub fn record_failure(&mut self, now: Duration, sent: Duration) {
        match self.ejection {
            None if sent < self.warmup_started => {}
            None => {
                self.consecutive_failures += 1;
                if self.consecutive_failures >= FAILURES_BEFORE_EJECTION {
                    self.eject(now);
                }
            }
            Some(ejection) if sent >= ejection.probe_at => self.eject(now),
            Some(_) => {}
        }
    }

    /// Records that no first byte of the response arrived by the deadline.
    ///
    /// On a new connection this counts as a failure of the instance. On a reused connection it
    /// doesn't, because an open connection can hang while new ones to the same instance work.
    pub fn record_timeout(&mut self, now: Duration, sent: Duration, is_new_connection: bool) {
        self.last_timeout = self.last_timeout.max(Some(now));
        if is_new_connection {
            self.record_failure(now, sent);
        }
    }

    /// Records that the instance rejected a request because of its load.
    pub fn record_load_shed(&mut self, now: Duration) {
        self.last_shed = self.last_shed.max(Some(now));
    }

    /// Records that a probe was sent.
    pub fn record_probe(&mut self, now: Duration) {
        if let Some(ejection) = &mut self.ejection {
            ejection.probe_sent = Some(now);
        }
    }

    /// Whether a probe must be sent now.
    pub fn is_probe_due(&self, now: Duration) -> bool {
        let is_due = |ejection: Ejection| {
            let is_pending = ejection.probe_sent.is_some_and(|sent| now < sent + PROBE_TIMEOUT);
            now >= ejection.probe_at && !is_pending
        };
        !self.is_leaving && self.ejection.is_some_and(is_due)
    }

    /// Whether an idle connection may be reused. Connections whose `last_response` is not newer
    /// than the last timeout may hang.
    pub fn is_connection_reusable(&self, last_response: Duration) -> bool {
        self.last_timeout.is_none_or(|timeout| last_response > timeout)
    }

    /// Whether the instance is shutting down or has left the host list. This is never revoked.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Whether the availability is [`Availability::Eligible`].
    pub fn is_eligible(&self, now: Duration) -> bool {
        matches!(self.availability(now), Availability::Eligible(_))
    }

    /// Whether the instance may get new requests, and at which fraction of a warm instance's
    /// traffic.
    pub fn availability(&self, now: Duration) -> Availability {
        if self.is_leaving || self.ejection.is_some() {
            Availability::Unavailable
        } else if self.is_reported_failing(now) || self.is_shedding(now) {
            Availability::Degraded(self.traffic_fraction(now))
        } else {
            Availability::Eligible(self.traffic_fraction(now))
        }
    }

    fn is_reported_failing(&self, now: Duration) -> bool {
        let is_failing = |report: Report| {
            let is_superseded =
                self.last_success.is_some_and(|success| success >= report.measured_at);
            report.health == Health::Failing
                && now < report.measured_at + HEALTH_REPORT_VALIDITY
                && !is_superseded
        };
        self.health_report.is_some_and(is_failing)
    }

    fn is_shedding(&self, now: Duration) -> bool {
        self.last_shed.is_some_and(|shed| now < shed + LOAD_SHED_PENALTY_TIME)
    }

    fn traffic_fraction(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.warmup_started);
        if elapsed >= self.warmup {
            return 1.0;
        }
        MIN_WARMUP_FRACTION + (1.0 - MIN_WARMUP_FRACTION) * elapsed.div_duration_f64(self.warmup)
    }

    fn eject(&mut self, now: Duration) {
        let is_delay_reset =
            self.ejection.is_none() && now >= self.warmup_started + PROBE_DELAY_RESET_TIME;
        let probe_delay = if is_delay_reset { FIRST_PROBE_DELAY } else { self.next_probe_delay };
        self.ejection = Some(Ejection { probe_at: now + probe_delay, probe_sent: None });
        self.next_probe_delay = (2 * probe_delay).min(MAX_PROBE_DELAY);
        self.consecutive_failures = 0;
    }

    /// Ends the ejection. The warm-up starts again, since the instance may have lost its caches or
    /// may have moved to another machine.
    fn readmit(&mut self, now: Duration) {
        self.ejection = None;
        self.warmup_started = now;
    }
}
