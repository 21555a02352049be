//! Fleets with instances in two regions, for the tests of this module.

use std::{
    collections::HashMap,
    sync::{Arc, LazyLock},
    time::Duration,
};

use super::super::{
    fleet::{Choice, Criteria, Fleet, Locality, Rejection},
    instance::{Endpoint, Outcome},
    load::Report,
};

pub(super) const SERVICE: &str = "status";
pub(super) const SLOTS: u32 = 4;
static ROUTE: LazyLock<Arc<str>> = LazyLock::new(|| name("read"));

pub(super) fn name(text: &str) -> Arc<str> {
    Arc::from(text)
}

pub(super) fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(1_000_000 + milliseconds)
}

/// The host `host-1` in the failure domain `north-a` of the region north. The only other region is
/// south.
pub(super) fn locality() -> Locality {
    let domains = [("north-a", "north"), ("north-b", "north"), ("south-a", "south")];
    let domains: HashMap<Arc<str>, Arc<str>> =
        domains.iter().map(|(domain, region)| (name(domain), name(region))).collect();
    Locality {
        host: name("host-1"),
        region: name("north"),
        domain: name("north-a"),
        domain_regions: domains,
    }
}

/// An empty fleet of [`locality`].
pub(super) fn fleet() -> Fleet {
    let mut fleet = Fleet::new(locality());
    fleet.set_warmup(at(0), &name(SERVICE), Duration::from_secs(3), 10.0);
    fleet
}

pub(super) fn endpoint(id: &str, domain: &str) -> Endpoint {
    Endpoint {
        id: name(id),
        service: name(SERVICE),
        address: "127.0.0.1:9000".parse().unwrap(),
        domain: name(domain),
        slots: SLOTS,
        incarnation: 1,
        is_draining: false,
        warmup_left: Duration::ZERO,
    }
}

/// A fleet with two instances in the north and two in the south, all warm.
pub(super) fn four_instances() -> Fleet {
    let mut fleet = fleet();
    for (id, domain) in [("n1", "north-a"), ("n2", "north-b"), ("s1", "south-a"), ("s2", "south-a")]
    {
        fleet.register(at(0), endpoint(id, domain));
    }
    fleet.finish_initial_sync();
    fleet
}

pub(super) fn criteria<'a>() -> Criteria<'a> {
    Criteria {
        service: SERVICE,
        route: &ROUTE,
        route_regions: &[],
        workspace_regions: &[],
        object_hash: None,
        excluded: &[],
        priority: 1,
        route_priority: 1,
        target_latency: Some(Duration::from_millis(400)),
        locality_draw: 0.0,
        admission_draw: 0.0,
        body_bytes: 0,
    }
}

/// Chooses an instance for a request and records the request as sent.
pub(super) fn send(
    fleet: &mut Fleet,
    now: Duration,
    criteria: &Criteria<'_>,
) -> Result<Choice, Rejection> {
    let choice = fleet.choose(now, criteria)?;
    fleet.start_request(now, &choice);
    Ok(choice)
}

pub(super) fn answer(
    fleet: &mut Fleet,
    now: Duration,
    choice: &Choice,
    running: u32,
    waiting: u32,
) {
    let report = Report { running, waiting, slots: SLOTS, factor: None };
    fleet.end_request(now, choice, Outcome::Answered(Duration::from_millis(100)), Some(report));
}

/// Answers a request after this time, from an instance that runs nothing else.
pub(super) fn answer_after(fleet: &mut Fleet, now: Duration, choice: &Choice, milliseconds: u64) {
    let report = Report { running: 0, waiting: 0, slots: SLOTS, factor: None };
    let time = Duration::from_millis(milliseconds);
    fleet.end_request(now, choice, Outcome::Answered(time), Some(report));
}
