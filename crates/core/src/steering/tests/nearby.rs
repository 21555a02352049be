//! Tests where requests with large answers run.

use super::support::{SLOTS, at, criteria, endpoint, fleet, name, send};
use crate::steering::fleet::{Criteria, Fleet};

/// Three instances in the host's failure domain, and as many in each of the others.
fn nine_instances() -> Fleet {
    let mut fleet = fleet();
    for domain in ["north-a", "north-b", "south-a"] {
        for number in 1..=3 {
            fleet.register(at(0), endpoint(&format!("{domain}-{number}"), domain));
        }
    }
    fleet.finish_initial_sync();
    fleet
}

fn is_near(id: &str) -> bool {
    id.starts_with("north-a")
}

/// Large answers from other failure domains take links that all traffic shares, and are billed. While
/// the own domain has room they must come from there.
#[test]
fn large_answers_come_from_the_own_domain() {
    let mut fleet = nine_instances();
    fleet.set_large_answer_routes([criteria().route.clone()].into_iter());
    for object in 0..12 {
        let criteria = Criteria { object_hash: Some(object), ..criteria() };
        assert!(is_near(&fleet.choose(at(0), &criteria).unwrap().id));
    }
    fleet.set_large_answer_routes([name("other")].into_iter());
    let far = (0..12).filter(|object| {
        let criteria = Criteria { object_hash: Some(*object), ..criteria() };
        !is_near(&fleet.choose(at(0), &criteria).unwrap().id)
    });
    assert!(far.count() > 0);
}

/// A burst, or a domain with too few instances, must not make callers wait or be refused while the
/// rest of the region has free slots.
#[test]
fn large_answers_come_from_elsewhere_when_the_own_domain_is_full() {
    let mut fleet = nine_instances();
    fleet.set_large_answer_routes([criteria().route.clone()].into_iter());
    let ids: Vec<_> = (0..6 * SLOTS)
        .map(|_| send(&mut fleet, at(0), &criteria()).expect("the region has free slots").id)
        .collect();
    assert!(ids.iter().any(|id| is_near(id)) && ids.iter().any(|id| !is_near(id)));
    fleet.remove_stale("north-a-1");
    let next = (0..12).map(|object| {
        let criteria = Criteria { object_hash: Some(object), ..criteria() };
        fleet.choose(at(60_000), &criteria).unwrap().id
    });
    assert!(next.into_iter().any(|id| !is_near(&id)));
}
