//! Tests the estimate of an instance's load between its reports.

use std::time::Duration;

use super::{
    super::load::{Estimate, Report, Usual},
    support::at,
};

const SLOTS: u32 = 4;
const QUEUE: u32 = 20;

/// Time that the instance works on one request of the queue.
const WORK: Duration = Duration::from_millis(300);

/// After a burst filled an instance's queue, the hosts refused requests for two seconds although
/// the instance had capacity again (site lothian, deploy/days/store-refuses-some.toml, seed
/// 723261085233).
#[test]
fn a_reported_queue_decays_as_fast_as_it_is_served() {
    let mut load = Estimate::default();
    load.record_report(
        at(0),
        Report { running: SLOTS, waiting: QUEUE, slots: SLOTS, factor: None },
    );
    assert_eq!(load.total(at(0), Usual::default()), f64::from(SLOTS + QUEUE));
    let batches = QUEUE.div_ceil(SLOTS) + 1;
    let emptied_at = at(0) + WORK * batches;
    assert!(
        load.total(emptied_at, Usual::default()) + 1.0 <= f64::from(SLOTS),
        "{}",
        load.total(emptied_at, Usual::default())
    );
}

/// Running requests of other hosts must not decay as fast as a queue, as new ones follow.
#[test]
fn running_requests_of_others_decay_slowly() {
    let mut load = Estimate::default();
    load.record_report(at(0), Report { running: SLOTS, waiting: 0, slots: SLOTS, factor: None });
    assert!(
        load.total(at(600), Usual::default()) >= f64::from(SLOTS) * 0.75,
        "{}",
        load.total(at(600), Usual::default())
    );
}
