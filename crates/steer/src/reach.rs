//! Finds out which services this host reaches. See docs/platform.md.

use std::{io, rc::Rc, sync::Arc};

use futures_util::{StreamExt as _, future, stream::FuturesUnordered};
use marjorampick_core::steering::fleet::{ReachChange, Target};

use crate::{
    backend::connection::Connection,
    clock,
    events::{Event, Rank},
    metrics,
    state::State,
};

/// Records whether a connection to an instance could be opened, and logs what that changes.
pub(crate) fn record(
    state: &State,
    service: &Arc<str>,
    instance: &Arc<str>,
    error: Option<&io::Error>,
) {
    let mut fleet = state.fleet.borrow_mut();
    let Some(change) = fleet.record_connection(clock::now(), instance, error.is_none()) else {
        return;
    };
    metrics::set_lost_services(fleet.lost_services().len());
    let reason = error.map(ToString::to_string).unwrap_or_default();
    let lost_ms = match change {
        ReachChange::Lost => 0,
        ReachChange::Regained(time) => time.as_millis(),
    };
    let event =
        Event::Reach { service, reached: error.is_none(), instance, reason: &reason, lost_ms };
    state.log.write(Rank::Notice, event);
}

/// Other instances to which connections are opened to confirm that one has crashed.
const WITNESSES: usize = 4;

/// Whether this host reaches an instance other than the one with this id.
pub(crate) async fn is_another_reached(state: &Rc<State>, id: &str) -> bool {
    let witnesses = state.fleet.borrow().witnesses(id, WITNESSES);
    let attempts: FuturesUnordered<_> =
        witnesses.into_iter().map(|target| try_open(state, target)).collect();
    attempts.any(future::ready).await
}

/// Opens a connection to an instance, for later requests. Returns whether that succeeded.
async fn try_open(state: &Rc<State>, target: Target) -> bool {
    let opened = Connection::open(target.address).await;
    record(state, &target.service, &target.id, opened.as_ref().err());
    let key = (target.id, target.incarnation);
    opened
        .map(|connection| state.pool.borrow_mut().put(clock::now(), key, connection, None))
        .is_ok()
}
