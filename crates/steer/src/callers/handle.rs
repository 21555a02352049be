//! Answers one request.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::{Body as _, Incoming};
use marjorampick_core::steering::fleet::Choice;
use marjorampick_link::wire::headers::strip_hop_by_hop;
use tokio::time::timeout;

use super::{
    forward::{self, Ending},
    refusal::{Reason, Refusal},
    routing::{self, Call},
};
use crate::{
    backend::answer::Answer,
    clock,
    constants::{DEFAULT_REQUEST_TIMEOUT, MAX_REQUEST_BODY_BYTES},
    events::{Event, Rank},
    lending::Lending,
    metrics,
    state::State,
};

/// One request in the count of those that have not ended, until it is dropped.
struct InFlight<'a>(&'a State);

impl<'a> InFlight<'a> {
    fn start(state: &'a State) -> Self {
        state.in_flight.set(state.in_flight.get() + 1);
        Self(state)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get().saturating_sub(1));
    }
}

/// Answers a request, whatever happens.
pub(crate) async fn answer(
    state: &Rc<State>,
    lending: &Lending,
    request: Request<Incoming>,
    is_ambiguous: bool,
) -> Response<Full<Bytes>> {
    let _in_flight = InFlight::start(state);
    let started = clock::now();
    state.wait_until_ready().await;
    let (parts, body) = request.into_parts();
    let mut response = if is_ambiguous {
        refuse(state, None, Refusal::new(Reason::BadRequest), started)
    } else {
        match routing::identify(state, parts, started) {
            Ok(call) => run(state, lending, &call, body).await,
            Err(refusal) => {
                // Closing a connection with unread bytes would reset it under the answer.
                discard(body).await;
                refuse(state, None, refusal, started)
            }
        }
    };
    if state.is_draining.get() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn run(
    state: &Rc<State>,
    lending: &Lending,
    call: &Call,
    body: Incoming,
) -> Response<Full<Bytes>> {
    if let Err(refusal) = admit(state, lending, call).await {
        discard(body).await;
        return refuse(state, Some(call), refusal, call.started);
    }
    let body = match receive(call, body).await {
        Ok(body) => body,
        Err(refusal) => return refuse(state, Some(call), refusal, call.started),
    };
    let Ending { result, choice, attempts } = forward::forward(state, call, &body).await;
    let response = match result {
        Ok(answer) => pass_on(answer),
        Err(refusal) => {
            metrics::refused(refusal.reason.name());
            if refusal.reason.is_not_run() {
                give_back(state, call);
            }
            note(
                state,
                call,
                refusal.reason.name(),
                &refusal.into_response(),
                choice.as_ref(),
                attempts,
            );
            return refusal.into_response();
        }
    };
    note(state, call, "answered", &response, choice.as_ref(), attempts);
    response
}

/// Takes a token of the workspace's limit, if need be one that another host lends.
async fn admit(state: &State, lending: &Lending, call: &Call) -> Result<(), Refusal> {
    let (Some(name), Some(limits)) = (&call.workspace, call.limits()) else {
        return Ok(());
    };
    let take = || state.rates.borrow_mut().acquire(clock::now(), name, limits);
    let mut taken = take();
    if taken.is_err() && lending.wait(state, name, limits).await {
        taken = take();
    }
    lending.ask(state, name, limits);
    taken.map_err(|exceeded| Refusal::after(Reason::OverRate, exceeded.retry_after))
}

/// Gives back the token of a request that has not run.
fn give_back(state: &State, call: &Call) {
    if let Some(name) = &call.workspace {
        state.rates.borrow_mut().refund(name);
    }
}

/// Reads the whole body.
async fn receive(call: &Call, body: Incoming) -> Result<Bytes, Refusal> {
    let allowed = MAX_REQUEST_BODY_BYTES.min(call.plan.limits.max_body_bytes);
    if body.size_hint().lower() > allowed as u64 {
        return Err(Refusal::new(Reason::TooLong));
    }
    let left = call.end.saturating_sub(clock::now());
    match timeout(left, Limited::new(body, allowed).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(_)) => Err(Refusal::new(Reason::BadRequest)),
        Err(_) => Err(Refusal::new(Reason::LateUnsent)),
    }
}

/// Reads and drops a body, for a bounded time.
async fn discard(body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    let read = Limited::new(body, MAX_REQUEST_BODY_BYTES).collect();
    if !matches!(timeout(DEFAULT_REQUEST_TIMEOUT, read).await, Ok(Ok(_))) {
        log::debug!("callers: the body of a refused request did not end");
    }
}

fn pass_on(answer: Answer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.head.status;
    *response.headers_mut() = answer.head.headers;
    strip_hop_by_hop(response.headers_mut());
    response
}

fn refuse(
    state: &State,
    call: Option<&Call>,
    refusal: Refusal,
    started: Duration,
) -> Response<Full<Bytes>> {
    let reason = refusal.reason.name();
    metrics::refused(reason);
    let response = refusal.into_response();
    match call {
        Some(call) => note(state, call, reason, &response, None, 0),
        None => {
            let elapsed_ms = clock::now().saturating_sub(started).as_millis();
            let event = Event::Request {
                id: "",
                route: "",
                workspace: "",
                service: "",
                instance: "",
                remote: false,
                known: false,
                expected_ms: 0,
                status: response.status().as_u16(),
                reason,
                attempts: 0,
                elapsed_ms,
                limit_ms: 0,
                plan: state.plan.borrow().as_ref().map_or(0, |plan| plan.version),
                store_age_ms: state.store_age_ms(),
            };
            state.log.write(Rank::Failure, event);
        }
    }
    response
}

fn note(
    state: &State,
    call: &Call,
    reason: &str,
    response: &Response<Full<Bytes>>,
    choice: Option<&Choice>,
    attempts: u32,
) {
    let elapsed = clock::now().saturating_sub(call.started);
    let status = response.status();
    let workspace = call.workspace.clone().unwrap_or_default();
    metrics::ended(&call.service, &workspace, status.as_u16(), elapsed);
    let event = Event::Request {
        id: call.id_text(),
        route: &call.route.name,
        workspace: &workspace,
        service: &call.service,
        instance: choice.map_or("", |choice| &choice.id),
        remote: choice.is_some_and(|choice| choice.is_remote),
        known: choice.is_some_and(|choice| choice.is_cached),
        expected_ms: choice
            .map_or(0, |choice| Duration::from_secs_f64(choice.cost_seconds).as_millis()),
        status: status.as_u16(),
        reason,
        attempts,
        elapsed_ms: elapsed.as_millis(),
        limit_ms: call.end.saturating_sub(call.started).as_millis(),
        plan: call.plan.version,
        store_age_ms: state.store_age_ms(),
    };
    let rank = if status.is_success() { Rank::Success } else { Rank::Failure };
    state.log.write(rank, event);
}
