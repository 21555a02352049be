//! Whether this host reaches the instances of a service at all.
//!
//! The load pattern is a host, or all hosts of a failure domain, whose links to the instances fail while
//! callers, the store and the other hosts still reach it. Its connections hang, or are reset, or live on
//! while new ones are refused. Failures of single instances tell this too late: each of them has to fail
//! twice before it is ejected, and each request may try only a few. So a service counts as lost after
//! connections to a few different instances failed in a row. A host cannot tell a service that is down
//! from one that it does not reach, and need not: another host that is asked to run a request knows. See
//! docs/platform.md.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Different instances to which connections must have failed in a row; fewer if there are fewer.
const FAILURES_BEFORE_LOSS: usize = 3;

/// Time since a connection was last opened before which a service does not count as lost: where a few of many
/// instances run, it would be lost and regained all the time.
const OPENED_TIME: Duration = Duration::from_secs(1);

/// Record of the connections that this host opened to the instances of a service.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    /// Ids of the instances to which connections failed since one was last opened.
    failed: Vec<Arc<str>>,
    opened_at: Option<Duration>,
    lost_at: Option<Duration>,
}

impl Reach {
    /// Records that no connection to an instance could be opened. `instances` is the number of instances
    /// that take requests. Returns whether the service counts as lost from now on.
    pub fn record_failure(&mut self, now: Duration, id: &Arc<str>, instances: usize) -> bool {
        if self.is_lost() {
            return false;
        }
        if !self.failed.contains(id) {
            self.failed.push(id.clone());
        }
        let was_opened = self.opened_at.is_some_and(|at| now < at + OPENED_TIME);
        let is_lost = !was_opened && self.failed.len() >= instances.clamp(1, FAILURES_BEFORE_LOSS);
        if is_lost {
            self.lost_at = Some(now);
        }
        is_lost
    }

    /// Records that a connection to an instance was opened. Returns how long the service was lost, if it
    /// was.
    pub fn record_opened(&mut self, now: Duration) -> Option<Duration> {
        self.failed.clear();
        self.opened_at = Some(now);
        self.lost_at.take().map(|lost_at| now.saturating_sub(lost_at))
    }

    /// Whether this host probably reaches none of the instances.
    pub fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Time from which on the service has counted as lost; `None` if it does not.
    pub fn lost_at(&self) -> Option<Duration> {
        self.lost_at
    }
}

/// Time for which a host must not reach a service before it tells the others.
const LOSS_DELAY: Duration = Duration::from_millis(300);

/// Time for each host by which the hosts spread their reports, as the store takes only so many writes a
/// second.
const REPORT_SPREAD: Duration = Duration::from_millis(4);

/// Time for which a host must reach a service again before it tells the others.
const REGAIN_DELAY: Duration = Duration::from_millis(1500);

/// Like [`REGAIN_DELAY`], where the service was lost again soon after the last time.
const REPEATED_REGAIN_DELAY: Duration = Duration::from_secs(5);

/// Time after a regain in which another loss counts as a repetition.
const REPETITION_TIME: Duration = Duration::from_secs(10);

/// What a host tells the others of the services that it reaches.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Names of the services of which it reaches no instance.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub lost: BTreeSet<Arc<str>>,
    /// Whether it reaches no instance at all.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_cut_off: bool,
}

/// A service that has been reported, or is about to be.
#[derive(Clone, Copy, Debug, Default)]
struct Reported {
    is_lost: bool,
    /// Time from which on the service has been in another state than reported.
    differs_since: Option<Duration>,
    regained_at: Option<Duration>,
    is_repeated: bool,
}

/// Decides when a host reports a change. Reports are delayed, so that a cut which comes and goes every
/// second makes neither the callers nor the other hosts change their ways each time.
#[derive(Clone, Debug, Default)]
pub struct Reporter {
    services: BTreeMap<Arc<str>, Reported>,
    reported: Report,
}

impl Reporter {
    /// Updates the report from the names of all services and whether each is lost now. `hosts` is the number
    /// of hosts, and `draw` a number of this host from 0 to below 1. Returns the report if it has changed.
    pub fn update(
        &mut self,
        now: Duration,
        services: impl Iterator<Item = (Arc<str>, bool)>,
        hosts: usize,
        draw: f64,
    ) -> Option<Report> {
        let spread = REPORT_SPREAD.mul_f64(hosts as f64 * draw);
        let services: BTreeMap<Arc<str>, bool> = services.collect();
        self.services.retain(|name, _| services.contains_key(name));
        for (name, is_lost) in &services {
            self.services.entry(name.clone()).or_default().update(now, *is_lost, spread);
        }
        let lost = self.services.iter().filter(|(_, reported)| reported.is_lost);
        let lost: BTreeSet<Arc<str>> = lost.map(|(name, _)| name.clone()).collect();
        let is_cut_off = !services.is_empty() && lost.len() == services.len();
        let report = Report { lost, is_cut_off };
        let is_changed = report != self.reported;
        self.reported = report;
        is_changed.then(|| self.reported.clone())
    }
}

impl Reported {
    fn update(&mut self, now: Duration, is_lost: bool, spread: Duration) {
        if is_lost == self.is_lost {
            self.differs_since = None;
            return;
        }
        let since = *self.differs_since.get_or_insert(now);
        let delay = match (is_lost, self.is_repeated) {
            (true, _) => LOSS_DELAY + spread,
            (false, false) => REGAIN_DELAY + spread,
            (false, true) => REPEATED_REGAIN_DELAY,
        };
        if now < since + delay {
            return;
        }
        if is_lost {
            self.is_repeated = self.regained_at.is_some_and(|at| now < at + REPETITION_TIME);
        } else {
            self.regained_at = Some(now);
        }
        self.is_lost = is_lost;
        self.differs_since = None;
    }
}
