//! Guards the weights of a route's services.

use super::{
    super::{plan::Part, split::Round},
    support::name,
};

fn parts(weights: &[f64]) -> Vec<Part> {
    weights.iter().map(|weight| Part { service: name("s"), weight: *weight }).collect()
}

/// Guards against runs of requests that miss the weights.
#[test]
fn every_run_comes_close_to_the_weights() {
    let parts = parts(&[90.0, 10.0]);
    let mut round = Round::default();
    let taken: Vec<usize> = (0..200).map(|_| round.next(&parts)).collect();
    for run in taken.windows(20) {
        let second = run.iter().filter(|index| **index == 1).count();
        assert_eq!(second, 2);
    }
}

/// Guards against a panic or a wrong part when a configuration changes the number of services.
#[test]
fn the_number_of_parts_may_change() {
    let mut round = Round::default();
    round.next(&parts(&[1.0, 1.0, 1.0]));
    assert_eq!(round.next(&parts(&[1.0])), 0);
    assert_eq!(round.next(&parts(&[0.0, 5.0])), 1);
}
