//! Admission control: whether an instance can take one more request.
//!
//! When more requests arrive than the slots can serve, an instance may queue only those that can
//! still be answered in time, and fewer of the less urgent ones. See docs/platform.md.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use super::{
    Criteria, Fleet,
    upstream::{BUSY_RATIO, Upstream},
};
use crate::steering::{
    cold,
    contention::{MAX_PRIORITY, Standing},
    instance::Instance,
};

/// Expected response time at an instance without free slots up to which the most urgent requests
/// are admitted, relative to the target latency. Requests beyond it would miss their target and
/// delay others.
const MAX_TARGET_FRACTION: f64 = 1.0;

/// Requests that all hosts of a region together may have at an instance that has not reported its
/// load, relative to its slots.
const UNREPORTED_LOAD_LIMIT: u32 = 2;

/// Reduction of [`MAX_TARGET_FRACTION`] per priority level below the most urgent one.
const TARGET_FRACTION_PER_LEVEL: f64 = 0.1;

/// Part of the longest wait over which the chance of a refusal rises from none to all. Hosts hear of
/// a queue late, so that a fixed limit would make all of them send and refuse in turn. See Floyd and
/// Jacobson, "Random early detection gateways for congestion avoidance", 1993.
const EARLY_REFUSAL_RANGE: f64 = 0.5;

/// Target latency of routes without one, in seconds.
pub(super) const DEFAULT_TARGET_SECONDS: f64 = 1.0;

impl Fleet {
    /// Whether the instance is warm, or cold with a rate that allows a request of this host now.
    /// Only hosts in the region of a cold instance send to it.
    pub(super) fn is_warm_or_paced(
        &self,
        now: Duration,
        upstream: &Upstream,
        instance: &Instance,
    ) -> bool {
        if !instance.is_cold(now) {
            return true;
        }
        let is_sender = || self.cold_host_rate(&instance.endpoint.id, upstream.cold_rate) > 0.0;
        instance.is_local && instance.allows_cold_request(now) && is_sender()
    }

    /// This host's rate for a cold instance, in requests per second. `rate` is what the instance
    /// tolerates from all hosts together.
    pub(super) fn cold_host_rate(&self, id: &str, rate: f64) -> f64 {
        cold::host_rate(rate, id, &self.locality.host, &self.region_hosts)
    }

    /// Whether the host may send one more request to an instance that has not reported its load.
    ///
    /// The other hosts of the region don't know the load either, so each host takes an equal share
    /// of the limit. A host that is alone in its region sees all requests and needs no limit.
    pub(super) fn is_within_unreported_share(&self, instance: &Instance) -> bool {
        let hosts = u32::try_from(self.region_hosts.len()).unwrap_or(u32::MAX).max(1);
        let limit = instance.endpoint.slots.saturating_mul(UNREPORTED_LOAD_LIMIT);
        hosts == 1
            || instance.load.has_report()
            || instance.load.own_requests() < limit.div_ceil(hosts)
    }
}

/// Whether the instance takes requests at all: it is neither draining nor evacuated, and available.
pub(super) fn is_serving(
    now: Duration,
    evacuated_domains: &BTreeSet<Arc<str>>,
    instance: &Instance,
) -> bool {
    !instance.endpoint.is_draining
        && !instance.is_expired(now)
        && !evacuated_domains.contains(&instance.endpoint.domain)
        && instance.is_available(now)
}

/// Whether the instance has capacity for one more request with this expected response time.
///
/// Any request may take a free slot, except that in a busy region only a fraction of the slots is
/// open to requests that are expected to miss their target, and that requests yield to more urgent
/// ones. An instance without a free slot admits requests that are expected to meet their target, the
/// less urgent ones with a margin. A request that goes before others may be late by its own work, as
/// it would otherwise be refused whenever its object is not cached.
pub(super) fn has_capacity(
    upstream: &Upstream,
    instance: &Instance,
    criteria: &Criteria<'_>,
    standing: Standing,
    work_seconds: f64,
    expected_seconds: f64,
) -> bool {
    let target =
        criteria.target_latency.map_or(DEFAULT_TARGET_SECONDS, |target| target.as_secs_f64());
    let slots = f64::from(instance.endpoint.slots.max(1));
    let busy_ratio = upstream.busy_ratio(instance);
    let is_late = expected_seconds > target && !standing.is_preferred();
    let open_slots = if is_late { slots * late_slot_fraction(busy_ratio) } else { slots };
    let has_slot = instance.requests + 1.0 <= open_slots;
    let level = f64::from(criteria.priority.min(MAX_PRIORITY));
    let limit = target * (MAX_TARGET_FRACTION - level * TARGET_FRACTION_PER_LEVEL);
    let longest_wait = if standing.is_preferred() { limit } else { limit - work_seconds };
    let slack =
        standing.limit_wait(longest_wait) * (1.0 - EARLY_REFUSAL_RANGE * criteria.admission_draw);
    let has_place = has_slot || expected_seconds - work_seconds <= slack;
    has_place && standing.allows(upstream.side(instance).busy_ratio_with_one_more())
}

/// Fraction of an instance's slots that are open to requests which are expected to miss their target.
///
/// Most of them are for uncached objects and take several times the work of a request for a cached
/// one. They may use slots that would stay empty, but none while all are busy.
fn late_slot_fraction(busy_ratio: f64) -> f64 {
    ((1.0 - busy_ratio) / (1.0 - BUSY_RATIO)).clamp(0.0, 1.0)
}
