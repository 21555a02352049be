//! Tests the rate of requests to cold instances, over all hosts.

use super::{
    super::cold::{Pacer, host_rate},
    support::at,
};
use crate::rendezvous;

/// The rates of all hosts must not add up to more than a cold instance tolerates, nor be so low
/// that no host sends.
#[test]
fn the_rates_of_all_hosts_stay_below_the_tolerated_rate() {
    for count in [1_usize, 2, 3, 8, 87, 300] {
        let names: Vec<String> = (0..count).map(|index| format!("host-{index}")).collect();
        let hosts: Vec<&str> = names.iter().map(String::as_str).collect();
        for rate in [1.5, 7.5, 14.0] {
            let rates = hosts.iter().map(|host| host_rate(rate, "i-1", host, &hosts));
            let sum: f64 = rates.sum();
            assert!(sum <= rate, "{count} hosts send {sum} requests per second of {rate}");
            assert!(sum >= 1.0, "{count} hosts send only {sum} requests per second of {rate}");
        }
    }
}

/// The hosts that send to a cold instance must be the first ones of the common order.
#[test]
fn the_first_hosts_of_the_order_send() {
    let names: Vec<String> = (0..60).map(|index| format!("host-{index}")).collect();
    for instance in 0..50 {
        let instance = format!("i-{instance}");
        let ranked = rendezvous::rank(&instance, names.iter().map(String::as_str));
        for (position, index) in ranked.into_iter().enumerate() {
            let rate = host_rate(7.5, &instance, &names[index], &names);
            assert_eq!(rate > 0.0, position < 6, "position {position}");
        }
    }
}

/// Requests must not come in a burst after a pause.
#[test]
fn requests_are_evenly_spaced() {
    let mut pacer = Pacer::default();
    let sent = (0..1000).filter(|step| {
        let now = at(step * 2);
        let is_allowed = pacer.allows(now);
        if is_allowed {
            pacer.record_request(now, 2.0);
        }
        is_allowed
    });
    assert_eq!(sent.count(), 4);
}
