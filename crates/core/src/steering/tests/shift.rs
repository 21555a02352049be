//! Bounds on the part of the requests that run in other regions.

use std::time::Duration;

use super::{
    super::{
        fleet::{Fleet, Shortage, Wish},
        instance::Listed,
    },
    support::{answer, at, four, listed, name, send, wish},
};
use crate::rendezvous;

/// Largest change of the part from one window to the next (`max_shift` of both deployments).
const MAX_SHARE_RISE: f64 = 0.15;

/// Windows in which the part is measured.
const WINDOW: Duration = Duration::from_secs(2);

const SIMULATED_MS: u64 = 24_000;

const SURGE_MS: std::ops::Range<u64> = 8_000..16_000;

/// Requests of a window by what became of them.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    local: f64,
    remote: f64,
    refused: u32,
}

impl Window {
    fn remote_share(self) -> f64 {
        self.remote / (self.remote + self.local)
    }
}

/// Thirty requests a second may run anywhere, ten have their home in the south, and eight times as many
/// during the surge. Each is answered before the next one.
fn run_surge(fleet: &mut Fleet) -> Vec<Window> {
    let homes = [name("south")];
    let south = Wish { homes: &homes, ..wish() };
    let mut windows = vec![Window::default(); 12];
    for millisecond in 0..SIMULATED_MS {
        let is_unbound = millisecond % 33 == 0;
        let interval_ms = if SURGE_MS.contains(&millisecond) { 12 } else { 100 };
        let is_southern = millisecond % interval_ms == 0;
        for (_, wish) in
            [(is_unbound, &wish()), (is_southern, &south)].into_iter().filter(|due| due.0)
        {
            let window = &mut windows[millisecond as usize / WINDOW.as_millis() as usize];
            let now = at(millisecond);
            match send(fleet, now, wish) {
                Ok(choice) => {
                    let count =
                        if choice.is_remote { &mut window.remote } else { &mut window.local };
                    *count += 1.0;
                    answer(fleet, now, &choice, 0, 0);
                }
                Err(shortage) => {
                    assert!(matches!(shortage, Shortage::Shift { .. }), "{shortage:?}");
                    window.refused += 1;
                }
            }
        }
    }
    windows
}

/// Found by hunting Kärnerand, deploy/days/lowered-limit.toml with seed 476706537580 (SHIFT): a
/// workspace at home in one region sent eight times its rate in another one, where 0.27 of the requests
/// ran elsewhere, and 0.58 two seconds later.
#[test]
fn remote_share_rises_by_bounded_steps() {
    let windows = run_surge(&mut four());
    let rises = windows.windows(2).map(|pair| pair[1].remote_share() - pair[0].remote_share());
    let highest = rises.fold(0.0, f64::max);
    assert!(highest <= MAX_SHARE_RISE, "{highest}: {windows:?}");
    assert!(windows[4].refused > 0, "{windows:?}");
}

/// Guards against refusals before the surge and long after it.
#[test]
fn steady_requests_are_not_refused() {
    let windows = run_surge(&mut four());
    let steady = windows[..4].iter().chain(&windows[10..]);
    let refused: u32 = steady.map(|window| window.refused).sum();
    assert_eq!(refused, 0, "{windows:?}");
}

/// Guards against refusals for chance alone: twenty requests a second come at random times, a quarter of
/// them at home in the south.
#[test]
fn random_arrivals_are_not_refused() {
    const REQUESTS: u32 = 2400;
    let homes = [name("south")];
    let south = Wish { homes: &homes, ..wish() };
    let mut fleet = four();
    let mut refused = 0;
    for number in 0..REQUESTS {
        let random = rendezvous::Key::new([number.to_string().as_str()]).weight("");
        let millisecond = u64::from(number) * 50 + random % 50;
        let wish = if (random >> 32).is_multiple_of(4) { &south } else { &wish() };
        match send(&mut fleet, at(millisecond), wish) {
            Ok(choice) => answer(&mut fleet, at(millisecond), &choice, 0, 0),
            Err(_) => refused += 1,
        }
    }
    assert!(refused * 100 < REQUESTS, "{refused} of {REQUESTS}");
}

/// Guards against keeping requests from the others when the own region has no instance left.
#[test]
fn remote_requests_are_not_limited_without_local_instances() {
    let lost = |fleet: &mut Fleet| {
        fleet.unlist("n1", None);
        fleet.unlist("n2", None);
    };
    let draining = |fleet: &mut Fleet| {
        for (id, domain) in [("n1", "north-a"), ("n2", "north-b")] {
            fleet.list(at(0), Listed { is_draining: true, ..listed(id, domain) });
        }
    };
    let evacuated = |fleet: &mut Fleet| {
        for domain in ["north-a", "north-b"] {
            fleet.evacuate(at(0), &name(domain), true);
        }
    };
    for remove_local in [&lost as &dyn Fn(&mut Fleet), &draining, &evacuated] {
        let mut fleet = four();
        remove_local(&mut fleet);
        let windows = run_surge(&mut fleet);
        let refused: u32 = windows.iter().map(|window| window.refused).sum();
        assert_eq!(refused, 0, "{windows:?}");
    }
}
