//! Objects that an instance is believed to have cached, and how long they stay there.
//!
//! An instance that handled an object recently takes a fraction of the time for it, until other
//! objects displace it. When an overload scatters the objects over all instances, each of them
//! displaces the objects of the others, and most requests have to load theirs. A host that goes on
//! believing in its own earlier requests keeps that going. So only answers show what an instance
//! has: one that took the time for loading shows that the object had been displaced, and how fast
//! that happens. See docs/steering-study.md.

use std::{collections::HashMap, time::Duration};

/// Longest time for which an object is believed to stay cached.
const MAX_RESIDENCE: Duration = Duration::from_secs(40);

/// Number of objects that are tracked for one instance.
const MAX_TRACKED_OBJECTS: usize = 128;

/// Smallest age of an object that counts, in seconds.
const MIN_AGE_SECONDS: f64 = 0.05;

/// Objects of one instance.
#[derive(Clone, Debug, Default)]
pub struct Contents {
    /// When the instance last answered a request of this host for the object.
    answered_at: HashMap<u64, Duration>,
}

impl Contents {
    /// Time since the instance's last answer about the object; `None` if there was none.
    pub fn age(&self, now: Duration, object: u64) -> Option<Duration> {
        self.answered_at.get(&object).map(|at| now.saturating_sub(*at))
    }

    /// Records an answer about an object, which the instance has cached from now on.
    pub fn record(&mut self, now: Duration, object: u64) {
        if self.answered_at.len() >= MAX_TRACKED_OBJECTS && !self.answered_at.contains_key(&object)
        {
            let oldest = self.answered_at.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(object, _)| *object) {
                self.answered_at.remove(&oldest);
            }
        }
        self.answered_at.insert(object, now);
    }

    /// Forgets all objects, for example because the instance may have started anew.
    pub fn clear(&mut self) {
        self.answered_at.clear();
    }
}

/// How long the instances of a service keep an object after a request for it.
#[derive(Clone, Debug)]
pub struct Residence {
    time: Duration,
    updated_at: Duration,
}

impl Residence {
    /// Before any answer, objects are believed to stay for the longest time.
    pub fn new(now: Duration) -> Self {
        Self { time: MAX_RESIDENCE, updated_at: now }
    }

    /// Time for which an object is believed to stay. Evidence of displaced objects gets old: an
    /// object that is gone after `t` may stay for `t + s` when `s` has passed.
    pub fn time(&self, now: Duration) -> Duration {
        (self.time + now.saturating_sub(self.updated_at)).min(MAX_RESIDENCE)
    }

    /// Records whether an object was still cached at this age. One time may come from an answer
    /// that was slow for another reason, so that it moves the estimate only halfway, on a
    /// logarithmic scale.
    pub fn record(&mut self, now: Duration, age: Duration, was_cached: bool) {
        let time = self.time(now);
        if was_cached == (age < time) {
            return;
        }
        let seconds = (time.as_secs_f64() * age.as_secs_f64().max(MIN_AGE_SECONDS)).sqrt();
        self.time = Duration::from_secs_f64(seconds);
        self.updated_at = now;
    }
}

/// What a host knows about whether an instance has cached a request's object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Position {
    /// The instance answered this host about the object a short time ago, or the request has no
    /// object.
    Known,
    /// The instance is the first one for the object in the order of all hosts.
    First,
    /// The instance is the second one.
    Second,
    /// The instance comes later in the order.
    Later,
}
