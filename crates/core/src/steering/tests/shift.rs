//! Tests of the limit on how fast the share of remote requests rises.

use std::time::Duration;

use super::{
    super::{
        fleet::{Criteria, Fleet, Rejection},
        instance::Endpoint,
    },
    support::{answer, at, criteria, endpoint, four_instances, name, send},
};
use crate::rendezvous;

/// Largest rise of the remote share between two windows (`max_shift` of both deployments).
const MAX_SHARE_RISE: f64 = 0.15;

/// Windows in which the remote share is measured.
const WINDOW: Duration = Duration::from_secs(2);

/// Length of the simulation, in milliseconds.
const SIMULATED_MS: u64 = 24_000;

/// Time of the surge, in milliseconds.
const SURGE_MS: std::ops::Range<u64> = 8_000..16_000;

/// Requests of one window by the region that they ran in, and those refused.
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

/// Sends thirty requests a second that may run anywhere, and ten with the south as home region, or
/// eight times as many of these during the surge. Each is answered before the next one is sent.
fn run_surge(fleet: &mut Fleet) -> Vec<Window> {
    let homes = [name("south")];
    let south = Criteria { route_regions: &homes, ..criteria() };
    let mut windows = vec![Window::default(); 12];
    for millisecond in 0..SIMULATED_MS {
        let is_unbound = millisecond % 33 == 0;
        let interval_ms = if SURGE_MS.contains(&millisecond) { 12 } else { 100 };
        let is_southern = millisecond % interval_ms == 0;
        for (_, criteria) in
            [(is_unbound, &criteria()), (is_southern, &south)].into_iter().filter(|due| due.0)
        {
            let window = &mut windows[millisecond as usize / WINDOW.as_millis() as usize];
            let now = at(millisecond);
            match send(fleet, now, criteria) {
                Ok(choice) => {
                    let count =
                        if choice.is_remote { &mut window.remote } else { &mut window.local };
                    *count += 1.0;
                    answer(fleet, now, &choice, 0, 0);
                }
                Err(rejection) => {
                    assert!(matches!(rejection, Rejection::ShiftLimited { .. }), "{rejection:?}");
                    window.refused += 1;
                }
            }
        }
    }
    windows
}

/// Regression test for the scenario deploy/days/lowered-limit.toml of Kärnerand, seed 476706537580,
/// verdict SHIFT. A workspace with its home in one region sent eight times its rate to the hosts of
/// another one, whose remote share rose from 0.27 to 0.58 within two seconds.
#[test]
fn remote_share_rises_by_bounded_steps() {
    let windows = run_surge(&mut four_instances());
    let rises = windows.windows(2).map(|pair| pair[1].remote_share() - pair[0].remote_share());
    let highest = rises.fold(0.0, f64::max);
    assert!(highest <= MAX_SHARE_RISE, "{highest}: {windows:?}");
    assert!(windows[4].refused > 0, "{windows:?}");
}

/// Guards against refusals before a surge and long after it.
#[test]
fn steady_requests_are_not_refused() {
    let windows = run_surge(&mut four_instances());
    let steady = windows[..4].iter().chain(&windows[10..]);
    let refused: u32 = steady.map(|window| window.refused).sum();
    assert_eq!(refused, 0, "{windows:?}");
}

/// Guards against refusing requests because of random arrivals: twenty requests a second arrive at
/// random times, and a quarter of them have the south as home region.
#[test]
fn random_arrivals_are_not_refused() {
    const REQUESTS: u32 = 2400;
    let homes = [name("south")];
    let south = Criteria { route_regions: &homes, ..criteria() };
    let mut fleet = four_instances();
    let mut refused = 0;
    for number in 0..REQUESTS {
        let random = rendezvous::Key::new([number.to_string().as_str()]).weight("");
        let millisecond = u64::from(number) * 50 + random % 50;
        let criteria = if (random >> 32).is_multiple_of(4) { &south } else { &criteria() };
        match send(&mut fleet, at(millisecond), criteria) {
            Ok(choice) => answer(&mut fleet, at(millisecond), &choice, 0, 0),
            Err(_) => refused += 1,
        }
    }
    assert!(refused * 100 < REQUESTS, "{refused} of {REQUESTS}");
}

/// Guards against refusing remote requests when the host's own region has no usable instance.
#[test]
fn remote_requests_are_not_limited_without_local_instances() {
    let lost = |fleet: &mut Fleet| {
        fleet.deregister("n1", None);
        fleet.deregister("n2", None);
    };
    let draining = |fleet: &mut Fleet| {
        for (id, domain) in [("n1", "north-a"), ("n2", "north-b")] {
            fleet.register(at(0), Endpoint { is_draining: true, ..endpoint(id, domain) });
        }
    };
    let evacuated = |fleet: &mut Fleet| {
        for domain in ["north-a", "north-b"] {
            fleet.set_evacuated(at(0), &name(domain), true);
        }
    };
    for remove_local in [&lost as &dyn Fn(&mut Fleet), &draining, &evacuated] {
        let mut fleet = four_instances();
        remove_local(&mut fleet);
        let windows = run_surge(&mut fleet);
        let refused: u32 = windows.iter().map(|window| window.refused).sum();
        assert_eq!(refused, 0, "{windows:?}");
    }
}
