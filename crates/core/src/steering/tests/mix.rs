//! Guards the part of the requests that run in other regions.

use super::{
    super::mix::{Mix, Side},
    support::at,
};

/// Found by hunting Kärnerand, deploy/days/lowered-limit.toml with seed 476706537580 (SHIFT): a
/// workspace sent eight times its rate, the full own region refused, and the part that ran elsewhere
/// rose from 0.4 to 0.78 within two seconds. Guards against that jump, and against the fall after it.
#[test]
fn the_part_elsewhere_changes_by_small_steps() {
    let mut mix = Mix::default();
    let mut parts = Vec::new();
    let (mut local, mut remote) = (0.0_f64, 0.0_f64);
    for step in 0..6000_u64 {
        let now = at(step * 5);
        // From 10 s to 20 s the own region takes a fifth of what is drawn to stay.
        let is_overloaded = (2000..4000).contains(&step);
        let drawn_remote = step % 5 < 2;
        let is_remote = match mix.side(now) {
            Side::Either => drawn_remote,
            Side::Local => false,
            Side::Remote => true,
        };
        let is_refused = !is_remote && is_overloaded && step % 25 >= 5;
        if !is_refused {
            mix.note(now, is_remote);
            let count = if is_remote { &mut remote } else { &mut local };
            *count += 1.0;
        }
        if step % 400 == 399 {
            parts.push(remote / (remote + local).max(1.0));
            (local, remote) = (0.0, 0.0);
        }
    }
    for pair in parts.windows(2) {
        assert!((pair[1] - pair[0]).abs() <= 0.15, "{parts:?}");
    }
}

/// Guards against a limit on a host that has just started or has few requests.
#[test]
fn few_requests_say_nothing() {
    let mut mix = Mix::default();
    for step in 0..15 {
        mix.note(at(step * 100), step % 2 == 0);
    }
    assert_eq!(mix.side(at(1500)), Side::Either);
}
