//! Fleets of two regions.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::super::{
    fleet::{Choice, Fleet, Place, Shortage, Wish},
    instance::{Listed, Outcome},
    load::Report,
};

pub(super) const SERVICE: &str = "status";
pub(super) const SLOTS: u32 = 4;

pub(super) fn name(text: &str) -> Arc<str> {
    Arc::from(text)
}

pub(super) fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(1_000_000 + milliseconds)
}

/// The host `host-1` in the failure domain `north-a`, with domains in the regions north and south.
pub(super) fn fleet() -> Fleet {
    let domains = [("north-a", "north"), ("north-b", "north"), ("south-a", "south")];
    let domains: HashMap<Arc<str>, Arc<str>> =
        domains.iter().map(|(domain, region)| (name(domain), name(region))).collect();
    let place =
        Place { host: name("host-1"), region: name("north"), domain: name("north-a"), domains };
    let mut fleet = Fleet::new(place);
    fleet.set_cold(at(0), &name(SERVICE), Duration::from_secs(3), 10.0);
    fleet
}

pub(super) fn listed(id: &str, domain: &str) -> Listed {
    Listed {
        id: name(id),
        service: name(SERVICE),
        address: "127.0.0.1:9000".parse().unwrap(),
        domain: name(domain),
        slots: SLOTS,
        incarnation: 1,
        is_draining: false,
        cold_for: Duration::ZERO,
    }
}

/// A fleet with two instances in the north and two in the south, all warm.
pub(super) fn four() -> Fleet {
    let mut fleet = fleet();
    for (id, domain) in [("n1", "north-a"), ("n2", "north-b"), ("s1", "south-a"), ("s2", "south-a")]
    {
        fleet.list(at(0), listed(id, domain));
    }
    fleet.finish_list();
    fleet
}

pub(super) fn wish<'a>() -> Wish<'a> {
    Wish {
        service: SERVICE,
        homes: &[],
        also: &[],
        object: None,
        tried: &[],
        priority: 1,
        target: Some(Duration::from_millis(400)),
        draw: 0.0,
    }
}

/// Sends a request to the best instance.
pub(super) fn send(fleet: &mut Fleet, now: Duration, wish: &Wish<'_>) -> Result<Choice, Shortage> {
    let choice = fleet.choose(now, wish)?;
    fleet.start(now, &choice, wish.object);
    Ok(choice)
}

pub(super) fn answer(
    fleet: &mut Fleet,
    now: Duration,
    choice: &Choice,
    running: u32,
    waiting: u32,
) {
    let report = Report { running, waiting, slots: SLOTS };
    fleet.end(now, choice, Outcome::Answered(Duration::from_millis(100)), Some(report));
}
