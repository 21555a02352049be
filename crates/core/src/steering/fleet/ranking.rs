//! Order of the instances for an object.
//!
//! A rendezvous hash gives all hosts the same order without any coordination. While the first
//! instance is full, requests go to the second one, and not to whichever has the least load: that
//! would scatter the object over all instances, each of which would have to load it and would
//! displace others.

use std::{sync::Arc, time::Duration};

use crate::{
    rendezvous,
    steering::{cache::Position, instance::Instance},
};

/// First and second instance for an object among those that take requests at their usual rate.
pub(super) struct Ranking {
    first: Option<Arc<str>>,
    second: Option<Arc<str>>,
}

impl Ranking {
    pub(super) fn new(now: Duration, key: rendezvous::Key, candidates: &[&Instance]) -> Self {
        let mut first: Option<(u64, &Instance)> = None;
        let mut second: Option<(u64, &Instance)> = None;
        for instance in candidates.iter().filter(|i| !i.is_cold(now) && i.is_available(now)) {
            let weight = key.weight(&instance.endpoint.id);
            if first.is_none_or(|(first_weight, _)| weight > first_weight) {
                second = first.replace((weight, instance));
            } else if second.is_none_or(|(second_weight, _)| weight > second_weight) {
                second = Some((weight, instance));
            }
        }
        let id = |ranked: Option<(u64, &Instance)>| ranked.map(|(_, i)| i.endpoint.id.clone());
        Self { first: id(first), second: id(second) }
    }

    /// Position of the instance in the order.
    pub(super) fn position(&self, instance: &Instance) -> Position {
        let id = Some(&instance.endpoint.id);
        if id == self.first.as_ref() {
            Position::First
        } else if id == self.second.as_ref() {
            Position::Second
        } else {
            Position::Later
        }
    }
}
