//! Tests of the retry budget.

use std::time::Duration;

use super::{
    super::retry::{Budget, Limit},
    support::at,
};

const LIMIT: Limit = Limit { ratio: 0.2, window: Duration::from_secs(10), allowance: 7.0 };

/// Guards against doubling the load of a service at which every request fails once.
#[test]
fn retries_stay_below_a_ratio_of_the_requests() {
    let mut budget = Budget::default();
    let mut retries = Vec::new();
    for step in 0..3000_u64 {
        let now = at(step * 10);
        budget.record_request(now, &LIMIT);
        if budget.try_retry(now, &LIMIT) {
            retries.push(now);
        }
    }
    for (index, start) in retries.iter().enumerate() {
        let window = retries[index..].iter().take_while(|at| **at < *start + LIMIT.window);
        let count = window.count();
        assert!(count as f64 <= 0.2 * 1000.0 + 7.0, "{count} retries for 1000 requests");
    }
    assert!(retries.len() > 300, "only {} retries", retries.len());
}

/// Guards against a budget that grows without requests.
#[test]
fn without_requests_only_the_allowance_is_left() {
    let mut budget = Budget::default();
    let retries = (0..100).filter(|_| budget.try_retry(at(0), &LIMIT)).count();
    assert!((1..=7).contains(&retries));
}
