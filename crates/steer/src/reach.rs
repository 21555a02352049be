//! Finds out which services this host reaches. See docs/platform.md.

use std::{io, sync::Arc};

use marjorampick_core::steering::fleet::ReachChange;

use crate::{
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
