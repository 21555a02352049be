//! Tests of the division of requests by weight.

use super::{
    super::{plan::Destination, split::Balancer},
    support::name,
};

fn destinations(weights: &[f64]) -> Vec<Destination> {
    weights.iter().map(|weight| Destination { service: name("s"), weight: *weight }).collect()
}

/// Guards against runs of consecutive requests that deviate from the weights.
#[test]
fn every_run_comes_close_to_the_weights() {
    let destinations = destinations(&[90.0, 10.0]);
    let mut balancer = Balancer::default();
    let chosen: Vec<usize> = (0..200).map(|_| balancer.next(&destinations)).collect();
    for run in chosen.windows(20) {
        let second = run.iter().filter(|index| **index == 1).count();
        assert_eq!(second, 2);
    }
}

/// Guards against a panic or a wrong index when a new configuration has another number of
/// services.
#[test]
fn the_number_of_destinations_may_change() {
    let mut balancer = Balancer::default();
    balancer.next(&destinations(&[1.0, 1.0, 1.0]));
    assert_eq!(balancer.next(&destinations(&[1.0])), 0);
    assert_eq!(balancer.next(&destinations(&[0.0, 5.0])), 1);
}
