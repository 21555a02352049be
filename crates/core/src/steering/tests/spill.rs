//! Guards how fast a region's traffic shifts.

use super::{super::spill::Spill, support::at};

/// Longest shift that is allowed from one window of two seconds to the next, for all services.
const ALLOWED: f64 = 0.15;

/// Load pattern: the own region is overloaded at once, and then empty. Guards against traffic that
/// jumps to the other regions and back, also after the process was paused.
#[test]
fn the_part_moves_slowly_in_both_directions() {
    let mut spill = Spill::new(at(0));
    spill.start(1.0);
    let mut parts = Vec::new();
    for step in 0..200_u64 {
        let pause = if step > 100 { 5_000 } else { 0 };
        let load = if (step / 50) % 2 == 0 { 2.0 } else { 0.1 };
        spill.update(at(step * 100 + pause), load, 0.1);
        parts.push(spill.stays());
    }
    for pair in parts.windows(20) {
        let moved = (pair[19] - pair[0]).abs();
        assert!(moved < ALLOWED * 0.7, "{moved} within two seconds");
    }
    let least = parts.iter().copied().fold(1.0, f64::min);
    assert!(least < 0.85, "an overloaded region keeps {least}");
}

/// Guards against traffic that leaves for regions which are as full.
#[test]
fn nothing_leaves_for_a_fuller_region() {
    let mut spill = Spill::new(at(0));
    spill.start(1.0);
    for step in 0..100 {
        spill.update(at(step * 100), 1.2, 1.5);
    }
    assert!(spill.stays() >= 1.0);
}

/// Guards against a second start, which would be a jump.
#[test]
fn the_first_part_is_set_once() {
    let mut spill = Spill::new(at(0));
    spill.start(0.5);
    spill.start(1.0);
    assert!((spill.stays() - 0.5).abs() < f64::EPSILON);
}

/// Found by the incident inc-5c01 of Kärnerand: half of a region's instances were evacuated, and for
/// eight seconds a third of its requests were refused while the other regions had free slots. Guards
/// against requests that wait for slots which are gone.
#[test]
fn a_large_loss_of_slots_moves_requests_at_once() {
    let mut spill = Spill::new(at(0));
    spill.start(1.0);
    spill.set_slots(36.0, 0.2);
    spill.set_slots(18.0, 0.2);
    assert!((spill.stays() - 0.5).abs() < 0.01);
    spill.set_slots(36.0, 0.2);
    assert!((spill.stays() - 0.5).abs() < 0.01, "requests came back at once");
}

/// Guards against a jump for each of many small steps, as when instances are replaced in turn.
#[test]
fn small_losses_move_nothing_by_themselves() {
    let mut spill = Spill::new(at(0));
    spill.start(1.0);
    for slots in [36.0, 30.0, 36.0, 30.0, 26.0] {
        spill.set_slots(slots, 0.2);
    }
    assert!(spill.stays() >= 1.0);
}

/// Load pattern: all regions are full when a part of one is lost. Guards against a move that makes
/// every object new to the instances that get it.
#[test]
fn nothing_moves_at_once_to_regions_that_are_busy() {
    let mut spill = Spill::new(at(0));
    spill.start(1.0);
    spill.set_slots(36.0, 0.9);
    spill.set_slots(18.0, 0.9);
    assert!(spill.stays() >= 1.0);
}
