//! What an instance says about itself in the headers of an answer: its limit, that it leaves, and that
//! it wants a pause. See docs/platform.md.

use std::{rc::Rc, time::Duration};

use http::{HeaderName, StatusCode};
use marjorampick_core::steering::{fleet::Choice, limit::Statement};

use super::routing::Call;
use crate::{
    backend::answer::Head,
    clock,
    events::{Event, Rank},
    limits,
    state::State,
};

/// Answer whose statements are read, with the request that it answers.
#[derive(Clone, Copy)]
struct Source<'a> {
    state: &'a State,
    call: &'a Call,
    choice: &'a Choice,
    /// When the request was sent.
    sent_at: Duration,
    head: &'a Head,
}

/// Records the statements of an answer, as soon as its head is whole, to a request that was sent at
/// `sent_at`. Returns whether the instance leaves.
///
/// An answer that the chosen instance neither ran nor rejected may come from another one, and says
/// nothing. One to another request (`is_own` is false) is late: of what it says, only that the instance
/// leaves still holds.
pub(super) fn record(
    state: &Rc<State>,
    call: &Call,
    choice: &Choice,
    sent_at: Duration,
    head: &Head,
    is_own: bool,
) -> bool {
    let names = &state.codec.headers;
    let is_executed = head.headers.contains_key(&names.response_stamp);
    let is_rejected = head.headers.contains_key(&names.not_run);
    let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    if is_misdirected || !(is_executed || is_rejected) {
        return false;
    }
    let source = Source { state, call, choice, sent_at, head };
    if is_own {
        record_limit(source, is_executed);
    }
    if is_own && head.status == StatusCode::SERVICE_UNAVAILABLE {
        record_pause(source);
    }
    record_leaving(source)
}

/// Records the limit of the instance. An answer to a request that ran says by its silence that there is
/// none; a rejection without a limit says nothing.
fn record_limit(source: Source<'_>, is_executed: bool) {
    let Source { state, call, choice, sent_at, head } = source;
    let names = &state.codec.headers;
    let statement = if head.headers.contains_key(&names.limit) {
        value(source, &names.limit, state.codec.parse_limit).map(Statement::Limited)
    } else {
        is_executed.then_some(Statement::Unlimited)
    };
    let Some(statement) = statement else {
        return;
    };
    let now = clock::now();
    let change = state.fleet.borrow_mut().record_limit(now, choice, sent_at, statement);
    limits::log_changes(state, limits::Source::Answer(call.id_text()), change);
    limits::announce(state, &choice.id, choice.incarnation);
}

fn record_pause(source: Source<'_>) {
    let Source { state, call, choice, sent_at, .. } = source;
    let sent_at_ms = clock::unix_milliseconds(sent_at);
    let pause = value(source, &state.codec.headers.pause, state.codec.parse_pause);
    let recorded = pause.and_then(|pause| {
        state.fleet.borrow_mut().record_pause(clock::now(), choice, pause, sent_at_ms)
    });
    if let Some(pause) = recorded {
        let (id, request) = (&choice.id, call.id_text());
        let event = Event::InstancePaused { id, request, pause_ms: pause.as_millis() };
        state.log.write(Rank::Notice, event);
    }
}

/// Records that the instance leaves, and closes its idle connections. Returns whether it leaves.
fn record_leaving(source: Source<'_>) -> bool {
    let Source { state, call, choice, sent_at, .. } = source;
    let parsed = value(source, &state.codec.headers.leaving, state.codec.parse_leaving);
    let is_leaving = parsed == Some(true);
    if is_leaving {
        state.pool.borrow_mut().remove(&(choice.id.clone(), choice.incarnation));
        let sent_at_ms = clock::unix_milliseconds(sent_at);
        if state.fleet.borrow_mut().record_leaving(clock::now(), choice, sent_at_ms) {
            let request = Some(call.id_text());
            let event = Event::InstanceLeaving { id: &choice.id, request, told_by: None };
            state.log.write(Rank::Notice, event);
        }
    }
    is_leaving
}

/// Parsed value of a header; `None` without one. An invalid value is logged.
fn value<T>(source: Source<'_>, name: &HeaderName, parse: fn(&str) -> Option<T>) -> Option<T> {
    let Source { state, call, choice, head, .. } = source;
    let value = head.headers.get(name)?;
    let parsed = value.to_str().ok().and_then(parse);
    if parsed.is_none() {
        let event = Event::InvalidStatement {
            id: &choice.id,
            request: call.id_text(),
            header: name.as_str(),
            value: &String::from_utf8_lossy(value.as_bytes()),
        };
        state.log.write(Rank::Failure, event);
    }
    parsed
}
