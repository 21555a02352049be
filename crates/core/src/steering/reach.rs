//! Whether this host reaches the instances of a service at all.
//!
//! The load pattern is a host, or all hosts of a failure domain, whose links to the instances fail while
//! callers, the store and the other hosts still reach it. Its connections hang, or are reset, or live on
//! while new ones are refused. Failures of single instances tell this too late: each of them has to fail
//! twice before it is ejected, and each request may try only a few. So a service counts as lost after
//! connections to a few different instances failed in a row. A host cannot tell a service that is down
//! from one that it does not reach, and need not: another host that is asked to run a request knows. See
//! docs/platform.md.

use std::{sync::Arc, time::Duration};

/// Different instances to which connections must have failed in a row; fewer if there are fewer.
const FAILURES_BEFORE_LOSS: usize = 3;

/// Record of the connections that this host opened to the instances of a service.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    /// Ids of the instances to which connections failed since one was last opened.
    failed: Vec<Arc<str>>,
    lost_at: Option<Duration>,
}

impl Reach {
    /// Records that no connection to an instance could be opened. `instances` is the number of instances
    /// that take requests. Returns whether the service counts as lost from now on.
    pub fn record_failure(&mut self, now: Duration, id: &Arc<str>, instances: usize) -> bool {
        if self.is_lost() || self.failed.contains(id) {
            return false;
        }
        self.failed.push(id.clone());
        let is_lost = self.failed.len() >= instances.clamp(1, FAILURES_BEFORE_LOSS);
        if is_lost {
            self.lost_at = Some(now);
        }
        is_lost
    }

    /// Records that a connection to an instance was opened. Returns how long the service was lost, if it
    /// was.
    pub fn record_opened(&mut self, now: Duration) -> Option<Duration> {
        self.failed.clear();
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
