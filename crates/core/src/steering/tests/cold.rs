//! Guards the rate of cold instances over all hosts.

use super::{
    super::cold::{Pace, part},
    support::at,
};

/// Guards against hosts whose parts add up to more than a cold instance tolerates, and against parts
/// so small that nobody sends.
#[test]
fn the_parts_of_all_hosts_stay_below_the_rate() {
    for count in [1_usize, 2, 3, 8, 87, 300] {
        let names: Vec<String> = (0..count).map(|index| format!("host-{index}")).collect();
        let hosts: Vec<&str> = names.iter().map(String::as_str).collect();
        for rate in [1.5, 7.5, 14.0] {
            let parts = hosts.iter().map(|host| part(rate, "i-1", host, &hosts));
            let sum: f64 = parts.sum();
            assert!(sum <= rate, "{count} hosts send {sum} a second of {rate}");
            assert!(sum >= 1.0, "{count} hosts send only {sum} a second of {rate}");
        }
    }
}

/// Guards against a burst after a pause.
#[test]
fn requests_are_spaced() {
    let mut pace = Pace::default();
    let sent = (0..1000).filter(|step| {
        let now = at(step * 2);
        let is_open = pace.is_open(now);
        if is_open {
            pace.take(now, 2.0);
        }
        is_open
    });
    assert_eq!(sent.count(), 4);
}
