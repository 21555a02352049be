//! Load of the instances on one side: in the host's own region, or in all others.
//!
//! Traffic comes in waves that differ by region, and a region may have few of the instances. So one
//! side may be full while the other one has free slots.

/// Sums over the instances of one side that take requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Side {
    requests: f64,
    busy_slots: f64,
    slots: f64,
}

impl Side {
    /// Adds an instance with this number of requests and slots.
    pub(super) fn add(&mut self, requests: f64, slots: f64) {
        self.requests += requests;
        self.busy_slots += requests.min(slots);
        self.slots += slots;
    }

    /// Number of slots.
    pub(super) fn slots(&self) -> f64 {
        self.slots
    }

    /// Requests, also those in queues, relative to the slots; 1 without instances.
    pub(super) fn load_ratio(&self) -> f64 {
        if self.slots > 0.0 { self.requests / self.slots } else { 1.0 }
    }

    /// Fraction of the slots that are busy; 1 without instances.
    pub(super) fn busy_ratio(&self) -> f64 {
        if self.slots > 0.0 { self.busy_slots / self.slots } else { 1.0 }
    }
}
