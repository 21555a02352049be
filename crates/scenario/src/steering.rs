//! Replays load patterns on the decisions of [`marjorampick_core::steering`] in virtual time.
//!
//! Every host has a fleet of its own, as in production, so that what the hosts believe and what the
//! instances have cached can drift apart. The overloads that outlived their cause, and how the
//! decisions were changed by these replays, are described in docs/steering-study.md.

pub mod competition;
mod direct;
pub mod noise;
pub mod pattern;
mod world;

use std::time::Duration;

use noise::Selection;
use pattern::{Pattern, Window};

/// Length of the windows in which [`play`] sums up what the callers got.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Plays a pattern and returns what the callers got in each window.
pub fn play(pattern: &Pattern, seed: u64) -> Vec<Window> {
    world::World::new(pattern.clone(), Selection::Reported, seed).run().windows
}

/// Plays a pattern and returns what the callers got by class and second, and how busy the slots were.
pub fn play_classes(pattern: &Pattern, seed: u64) -> competition::Outcomes {
    world::World::new(pattern.clone(), Selection::Reported, seed).run().classes
}

/// Mean worth of the windows from `from` to `to`.
pub fn mean_worth(windows: &[Window], from: usize, to: usize) -> f64 {
    let part = &windows[from..to];
    part.iter().map(Window::worth).sum::<f64>() / part.len() as f64
}
