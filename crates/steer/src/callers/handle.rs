//! Handles one request of a caller.

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use marjorampick_core::steering::fleet::Choice;
use marjorampick_link::wire::headers::strip_hop_by_hop;

use super::{
    body::{self, Body, Sink},
    carry::REASON_HEADER,
    forward::{self, Reply},
    receive::{self, discard_body},
    refusal::{Reason, Refusal},
    routing::{self, Call},
    stream::{BROKEN_OFF, CALLER_LEFT},
};
use crate::{
    backend::answer::Answer,
    clock,
    constants::BUSY_RETRY_AFTER,
    events::{Event, Rank},
    intake::presence::Presence,
    lending::Lending,
    metrics, peers,
    state::State,
    tasks,
};

/// Counts a request as in flight until it is dropped.
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

/// Who sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sender {
    /// A caller with this address, if its connection is still open.
    Caller(Option<IpAddr>),
    /// A host at this address, if it is registered.
    Host(SocketAddr),
}

/// Head of a request that is refused before it has a route.
#[derive(Debug, Default)]
struct Unrouted {
    /// Id that the caller gave the request.
    id: Option<HeaderValue>,
    /// Name of the host that passed the request on; `None` if a caller sent it.
    peer: Option<Arc<str>>,
}

/// Sender of a request whose right to send is checked.
struct From {
    ip: Option<IpAddr>,
    /// Name of the host that passed the request on; `None` if a caller sent it.
    peer: Option<Arc<str>>,
}

/// Returns the response to a request, which is refused if its framing is ambiguous.
///
/// If the response is streamed, a task handles the request to its end, and ends early if the body is
/// dropped.
pub(crate) async fn respond(
    state: &Rc<State>,
    lending: &Rc<Lending>,
    sender: Sender,
    presence: Presence,
    request: Request<Incoming>,
    has_ambiguous_framing: bool,
) -> Response<Body> {
    let (sink, mut started) = body::sink(request.version(), presence);
    let (task_state, lending) = (state.clone(), lending.clone());
    let mut responding = Box::pin(async move {
        let (state, sink) = (&task_state, &sink);
        respond_to_sender(state, &lending, sender, request, has_ambiguous_framing, sink).await
    });
    let started = tokio::select! {
        biased;
        response = &mut responding => match response {
            Some(response) => return response.map(Body::Full),
            None => started.await,
        },
        response = &mut started => {
            let state = state.clone();
            tokio::task::spawn_local(async move {
                let streaming = async { drop(responding.await) };
                tasks::contain_task(&state, "response", streaming).await;
            });
            response
        }
    };
    // Without a response, the request ended without one.
    let lost = |_| Refusal::new(Reason::Lost).into_response().map(Body::Full);
    let mut response = started.unwrap_or_else(lost);
    response.headers_mut().remove(REASON_HEADER);
    close_if_draining(state, &mut response);
    response
}

/// Returns the response to a request, or `None` if it was passed to the sink.
async fn respond_to_sender(
    state: &Rc<State>,
    lending: &Lending,
    sender: Sender,
    request: Request<Incoming>,
    has_ambiguous_framing: bool,
    sink: &Sink,
) -> Option<Response<Full<Bytes>>> {
    let _in_flight = InFlight::start(state);
    let address = match sender {
        Sender::Host(address) => address,
        Sender::Caller(ip) => {
            let from = From { ip, peer: None };
            return respond_to(state, lending, from, request, has_ambiguous_framing, sink).await;
        }
    };
    let id = request.headers().get(&state.codec.headers.request_id).cloned();
    let response = if let Some(name) = state.peer_at(address.ip()) {
        let from = From { ip: Some(address.ip()), peer: Some(name) };
        respond_to(state, lending, from, request, has_ambiguous_framing, sink).await
    } else {
        peers::record_dropped(state, address, Reason::Stranger.name());
        let head = Unrouted { id: id.clone(), peer: None };
        Some(refuse_unrouted(state, &head, Refusal::new(Reason::Stranger), clock::now()))
    };
    response.map(|response| mark_for_host(state, response, id))
}

/// Returns the response to a request for whose head there is no memory.
pub(crate) fn refuse_for_memory(state: &Rc<State>, body: Incoming) -> Response<Full<Bytes>> {
    discard_body(state, body);
    let refusal = Refusal::with_retry_after(Reason::NoMemory, BUSY_RETRY_AFTER);
    refuse_unrouted(state, &Unrouted::default(), refusal, clock::now())
}

/// Adds the request's id, without which the other host would take a refusal for an answer to another
/// request, and the reason of a refusal.
fn mark_for_host(
    state: &State,
    mut response: Response<Full<Bytes>>,
    id: Option<HeaderValue>,
) -> Response<Full<Bytes>> {
    let reason = response.extensions().get::<Reason>().copied();
    let headers = response.headers_mut();
    headers.remove(REASON_HEADER);
    if let Some(reason) = reason {
        headers.insert(REASON_HEADER, HeaderValue::from_static(reason.name()));
        let name = &state.codec.headers.request_id;
        id.and_then(|id| headers.insert(name, id));
        if !state.is_draining() && reason != Reason::Stranger {
            headers.remove(header::CONNECTION);
        }
    }
    response
}

/// Returns the response to a request of a caller or host; `None` if it was passed to the sink.
async fn respond_to(
    state: &Rc<State>,
    lending: &Lending,
    from: From,
    request: Request<Incoming>,
    has_ambiguous_framing: bool,
    sink: &Sink,
) -> Option<Response<Full<Bytes>>> {
    let arrived_at = clock::now();
    state.wait_until_ready().await;
    let (parts, body) = request.into_parts();
    let id = parts.headers.get(&state.codec.headers.request_id).cloned();
    let head = Unrouted { id, peer: from.peer.clone() };
    let mut response = if has_ambiguous_framing {
        refuse_unrouted(state, &head, Refusal::new(Reason::BadRequest), arrived_at)
    } else {
        match routing::resolve(state, parts, arrived_at, from.peer) {
            Ok(call) => handle(state, lending, &call, from.ip, body, sink).await?,
            Err(refusal) => {
                discard_body(state, body);
                refuse_unrouted(state, &head, refusal, arrived_at)
            }
        }
    };
    close_if_draining(state, &mut response);
    Some(response)
}

/// Makes the response of a host that stops the last one of its connection.
fn close_if_draining<T>(state: &State, response: &mut Response<T>) {
    if state.is_draining() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
}

/// Admits a request, reads its body and forwards it. Returns the response, or `None` if it was passed to
/// the sink.
async fn handle(
    state: &Rc<State>,
    lending: &Lending,
    call: &Call,
    ip: Option<IpAddr>,
    mut body: Incoming,
    sink: &Sink,
) -> Option<Response<Full<Bytes>>> {
    if receive::is_too_long(call, &body) {
        return Some(refuse(state, call, Refusal::new(Reason::TooLong)));
    }
    // Before the body, which may take long to arrive.
    let room =
        forward::check_grace(state, call).and_then(|()| receive::take_room(state, call, &body));
    let _room = match room {
        Ok(room) => room,
        Err(refusal) => {
            discard_body(state, body);
            return Some(refuse(state, call, refusal));
        }
    };
    if let Err(refusal) = acquire_token(state, lending, call).await {
        discard_body(state, body);
        return Some(refuse(state, call, refusal));
    }
    let received = match receive::read_body(state, call, ip, &mut body).await {
        Ok(received) => received,
        Err(refusal) => {
            if refusal.reason == Reason::NoMemory {
                state.caller_gate.close_stalled_bodies();
                refund_token(state, call);
                discard_body(state, body);
            }
            return Some(refuse(state, call, refusal));
        }
    };
    let outcome = forward::forward(state, call, &received.body, sink).await;
    let (choice, helper) = (outcome.choice, outcome.helper);
    let end =
        End { choice: choice.as_ref(), attempts: outcome.attempts, helper: helper.as_deref() };
    if helper.is_some() {
        // The helper takes a token and counts the request.
        refund_token(state, call);
        state.uncount_request(&call.service);
    }
    match outcome.result {
        Ok(Reply::Whole(answer)) => {
            let response = into_response(answer);
            record_end(state, call, "answered", response.status(), &end);
            Some(response)
        }
        Ok(Reply::Streamed { status, reason }) => {
            record_end(state, call, reason, status, &end);
            None
        }
        Err(refusal) => {
            metrics::record_refusal(refusal.reason.name());
            if refusal.reason == Reason::Full {
                metrics::record_full(&call.service, call.route.priority);
            }
            if refusal.reason.is_not_run() && helper.is_none() {
                refund_token(state, call);
            }
            let response = refusal.into_response();
            record_end(state, call, refusal.reason.name(), response.status(), &end);
            Some(response)
        }
    }
}

/// Takes a token of the workspace's rate limit. If there is none, waits for other hosts to lend
/// some.
async fn acquire_token(state: &State, lending: &Lending, call: &Call) -> Result<(), Refusal> {
    let (Some(name), Some(workspace)) = (&call.workspace_name, call.workspace()) else {
        return Ok(());
    };
    let acquire = || state.rate_limiter.borrow_mut().acquire(clock::now(), name, workspace);
    let mut result = acquire();
    if result.is_err() && lending.wait_for_tokens(state, name, workspace).await {
        result = acquire();
    }
    lending.request_tokens(state, name, workspace);
    result.map_err(|exceeded| Refusal::with_retry_after(Reason::OverRate, exceeded.retry_after))
}

/// Refunds the token of a request that did not run.
fn refund_token(state: &State, call: &Call) {
    if let Some(name) = &call.workspace_name {
        state.rate_limiter.borrow_mut().refund(name);
    }
}

/// Converts an instance's answer to the response for the caller.
fn into_response(answer: Answer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.head.status;
    *response.headers_mut() = answer.head.headers;
    strip_hop_by_hop(response.headers_mut());
    response
}

/// Records a refusal and returns the response.
fn refuse(state: &State, call: &Call, refusal: Refusal) -> Response<Full<Bytes>> {
    let reason = refusal.reason.name();
    metrics::record_refusal(reason);
    let response = refusal.into_response();
    record_end(state, call, reason, response.status(), &End::default());
    response
}

/// The same for a request without a route.
fn refuse_unrouted(
    state: &State,
    head: &Unrouted,
    refusal: Refusal,
    arrived_at: Duration,
) -> Response<Full<Bytes>> {
    let reason = refusal.reason.name();
    metrics::record_refusal(reason);
    let response = refusal.into_response();
    let id = head.id.as_ref().and_then(|id| id.to_str().ok());
    let event = Event::Request {
        id: id.unwrap_or_default(),
        route: "",
        workspace: "",
        service: "",
        instance: "",
        remote: false,
        known: false,
        expected_ms: 0,
        helper: "",
        carried_for: head.peer.as_deref().unwrap_or_default(),
        status: response.status().as_u16(),
        reason,
        attempts: 0,
        elapsed_ms: clock::now().saturating_sub(arrived_at).as_millis(),
        limit_ms: 0,
        plan: state.version(),
        store_age_ms: state.store_age_ms(),
        fingerprint: None,
    };
    state.log.write(Rank::Failure, event);
    response
}

/// Where a request was sent until it ended.
#[derive(Clone, Copy, Debug, Default)]
struct End<'a> {
    choice: Option<&'a Choice>,
    attempts: u32,
    helper: Option<&'a str>,
}

/// Records the end of a request with a route in the metrics and the log.
fn record_end(state: &State, call: &Call, reason: &'static str, status: StatusCode, end: &End<'_>) {
    let End { choice, attempts, helper } = *end;
    let elapsed = clock::now().saturating_sub(call.arrived_at);
    let is_complete = !matches!(reason, BROKEN_OFF | CALLER_LEFT);
    let workspace_name = call.workspace_name.clone().unwrap_or_default();
    let class = if is_complete { metrics::status_class(status.as_u16()) } else { reason };
    metrics::record_request(&call.service, &workspace_name, class, elapsed);
    let event = Event::Request {
        id: call.id_text(),
        route: &call.route.name,
        workspace: &workspace_name,
        service: &call.service,
        instance: choice.map_or("", |choice| &choice.id),
        remote: choice.is_some_and(|choice| choice.is_remote),
        known: choice.is_some_and(|choice| choice.is_cached),
        expected_ms: choice
            .map_or(0, |choice| Duration::from_secs_f64(choice.cost_seconds).as_millis()),
        helper: helper.unwrap_or_default(),
        carried_for: call.carried_for(),
        status: status.as_u16(),
        reason,
        attempts,
        elapsed_ms: elapsed.as_millis(),
        limit_ms: call.deadline.saturating_sub(call.arrived_at).as_millis(),
        plan: call.plan.version,
        store_age_ms: state.store_age_ms(),
        fingerprint: call.known_fingerprint().filter(|_| !status.is_success() || !is_complete),
    };
    let rank = if status.is_success() && is_complete { Rank::Success } else { Rank::Failure };
    state.log.write(rank, event);
}
