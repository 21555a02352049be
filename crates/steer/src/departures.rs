//! Tells the other hosts of instances that leave, and applies what they tell.
//!
//! A host asks the store about once a second and hears nothing while the store refuses it. The first
//! host to hear that an instance leaves tells all others, as hosts ask at different moments. See
//! docs/incidents/inc-drain.md.

use std::{cell::RefCell, rc::Rc, time::Duration};

use marjorampick_core::steering::{departure::Departure, history::Era};
use tokio::time::sleep;

use crate::{
    clock,
    events::{Event, Rank},
    peers::Message,
    state::State,
    tasks,
};

/// Most instances in one message, so that it fits into a datagram.
const MAX_ANNOUNCED: usize = 256;

/// Pauses before an announcement is repeated, as a datagram may be lost.
const REPEAT_PAUSES: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(450)];

/// Departures that were heard from the store and wait until they are announced together.
#[derive(Debug, Default)]
pub(crate) struct Outbox(RefCell<Vec<Departure>>);

impl Outbox {
    /// Adds the departure of an instance at `revision` of `era`, unless another host has announced it.
    pub(crate) fn add(&self, state: &State, id: &str, era: Era, revision: u64) {
        let departure = state.fleet.borrow().unannounced_departure(id, era, revision);
        self.0.borrow_mut().extend(departure);
    }

    /// Announces all departures, or drops them if this host is not the first to hear of them, as after
    /// a full read.
    pub(crate) fn flush(&self, state: &Rc<State>, is_announced: bool) {
        let departures = self.0.take();
        if is_announced && !departures.is_empty() {
            let state = state.clone();
            tokio::task::spawn_local(async move {
                let announcing = announce_repeatedly(&state, &departures);
                tasks::contain_task(&state, "announcement", announcing).await;
            });
        }
    }
}

async fn announce_repeatedly(state: &State, departures: &[Departure]) {
    announce(state, departures);
    for pause in REPEAT_PAUSES {
        sleep(pause).await;
        announce(state, departures);
    }
}

fn announce(state: &State, departures: &[Departure]) {
    for chunk in departures.chunks(MAX_ANNOUNCED) {
        state.announce(Message::Leaving(chunk.to_vec()));
    }
}

/// Applies the announcement of another host.
pub(crate) fn apply(state: &State, instances: &[Departure], host: &str) {
    let now = clock::now();
    for departure in instances {
        if state.fleet.borrow_mut().record_departure(now, departure) {
            let id = &departure.id;
            let event = Event::InstanceLeaving { id, request: None, told_by: Some(host) };
            state.log.write(Rank::Notice, event);
        }
    }
}
