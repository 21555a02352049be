//! Tests of how fast a region's traffic shifts.

use super::{super::spill::Controller, support::at};

/// Largest change of the local share between two windows of two seconds, over all services.
const MAX_SHARE_CHANGE: f64 = 0.15;

/// The local region alternates between overload and low load, and the process is paused once.
/// Guards against traffic that jumps to the other regions or back.
#[test]
fn local_share_moves_slowly_in_both_directions() {
    let mut spill = Controller::new(at(0));
    spill.initialize(1.0);
    let mut shares = Vec::new();
    for step in 0..200_u64 {
        let pause = if step > 100 { 5_000 } else { 0 };
        let load = if (step / 50) % 2 == 0 { 2.0 } else { 0.1 };
        spill.update(at(step * 100 + pause), load, 0.1);
        shares.push(spill.local_share());
    }
    for pair in shares.windows(20) {
        let moved = (pair[19] - pair[0]).abs();
        assert!(moved < MAX_SHARE_CHANGE * 0.7, "{moved} within two seconds");
    }
    let least = shares.iter().copied().fold(1.0, f64::min);
    assert!(least < 0.85, "an overloaded region keeps {least}");
}

/// Guards against sending traffic to regions that are at least as loaded.
#[test]
fn nothing_spills_to_a_more_loaded_region() {
    let mut spill = Controller::new(at(0));
    spill.initialize(1.0);
    for step in 0..100 {
        spill.update(at(step * 100), 1.2, 1.5);
    }
    assert!(spill.local_share() >= 1.0);
}

/// Guards against a second initialization, which would make the share jump.
#[test]
fn local_share_is_initialized_once() {
    let mut spill = Controller::new(at(0));
    spill.initialize(0.5);
    spill.initialize(1.0);
    assert!((spill.local_share() - 0.5).abs() < f64::EPSILON);
}
