//! One attempt to get an answer from one instance.

use std::{rc::Rc, time::Duration};

use bytes::{BufMut as _, Bytes, BytesMut};
use http::{HeaderValue, StatusCode, header};
use marjorampick_core::steering::{
    fleet::Choice, instance::Outcome, load::Report, plan::Idempotency,
};
use tokio::time::timeout;

use super::routing::{Call, milliseconds};
use crate::{
    backend::{
        answer::Answer,
        connection::{Connection, Fault, Request, keep_alive_time},
        pool::Key,
    },
    clock,
    events::{Event, Rank},
    metrics,
    state::State,
};

/// Why an attempt gave no answer for the caller.
pub(crate) struct Failure {
    /// Whether the instance may have run the request.
    pub(crate) may_have_run: bool,
    /// Whether the request arrived at an instance, as far as known.
    pub(crate) arrived: bool,
    /// Whether the time ran out.
    pub(crate) is_late: bool,
    /// The instance's own failure, which the caller gets if nothing better follows.
    pub(crate) answer: Option<Box<Answer>>,
    /// What happened.
    pub(crate) reason: String,
}

impl Failure {
    fn not_run(reason: String, arrived: bool) -> Self {
        Self { may_have_run: false, arrived, is_late: false, answer: None, reason }
    }

    fn unknown(reason: String) -> Self {
        Self { may_have_run: true, arrived: true, is_late: false, answer: None, reason }
    }
}

/// A request at an instance; dropping it tells the fleet that the caller has left.
struct Sending<'a> {
    state: &'a Rc<State>,
    choice: &'a Choice,
    has_ended: bool,
}

impl<'a> Sending<'a> {
    fn start(state: &'a Rc<State>, choice: &'a Choice, object: Option<u64>) -> Self {
        state.fleet.borrow_mut().start_request(clock::now(), choice, object);
        Self { state, choice, has_ended: false }
    }

    fn end(mut self, outcome: Outcome, report: Option<Report>) {
        self.has_ended = true;
        self.state.fleet.borrow_mut().end_request(clock::now(), self.choice, outcome, report);
    }
}

impl Drop for Sending<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            let mut fleet = self.state.fleet.borrow_mut();
            fleet.end_request(clock::now(), self.choice, Outcome::Cancelled, None);
        }
    }
}

/// Sends a request to the chosen instance and waits for its answer for at most `limit`.
pub(crate) async fn attempt(
    state: &Rc<State>,
    call: &Call,
    body: &Bytes,
    choice: &Choice,
    limit: Duration,
) -> Result<Answer, Failure> {
    let sending = Sending::start(state, choice, call.object);
    let key: Key = (choice.id.clone(), choice.incarnation);
    let fresh = call.route.idempotency == Idempotency::AtMostOnce;
    let started = clock::now();
    let pooled = state.pool.borrow_mut().take(started, &key, fresh);
    let is_pooled = pooled.is_some();
    let opened = match pooled {
        Some(connection) => Ok(connection),
        None => Connection::open(choice.address).await,
    };
    let mut connection = match opened {
        Ok(connection) => connection,
        Err(error) => {
            sending.end(Outcome::TransportError, None);
            let failure = Failure::not_run(format!("cannot connect: {error}"), false);
            return Err(note(state, call, choice, failure));
        }
    };
    let message = message(state, call, body, choice);
    let left = limit.saturating_sub(clock::now().saturating_sub(started));
    let exchanged = timeout(left, connection.exchange(&message)).await;
    let elapsed = clock::now().saturating_sub(started);
    match exchanged {
        Ok(Ok((answer, keeps))) => {
            if keeps {
                let kept = keep_alive_time(&answer);
                state.pool.borrow_mut().put(clock::now(), key, connection, kept);
            }
            judge(state, call, choice, sending, answer, elapsed)
        }
        Ok(Err(fault)) => {
            // A kept connection may have been closed for being idle, which says nothing bad.
            let is_expected = is_pooled && matches!(fault, Fault::Transport(_) | Fault::Closed);
            sending
                .end(if is_expected { Outcome::Cancelled } else { Outcome::TransportError }, None);
            let failure = if connection.may_have_sent() {
                Failure::unknown(fault.reason())
            } else {
                Failure::not_run(fault.reason(), false)
            };
            Err(note(state, call, choice, failure))
        }
        Err(_) => {
            sending.end(Outcome::TimedOut, None);
            // Other connections to the instance may be as silent.
            state.pool.borrow_mut().remove(&key);
            let reason = format!("no answer within {} ms", limit.as_millis());
            let failure = Failure { is_late: true, ..Failure::unknown(reason) };
            Err(note(state, call, choice, failure))
        }
    }
}

/// Decides whether an answer is one for the caller, and what it says about the instance.
fn judge(
    state: &Rc<State>,
    call: &Call,
    choice: &Choice,
    sending: Sending<'_>,
    answer: Answer,
    elapsed: Duration,
) -> Result<Answer, Failure> {
    let names = &state.codec.headers;
    let headers = &answer.head.headers;
    let text = |name| headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
    let report = text(&names.load).and_then(state.codec.load);
    let status = answer.head.status;
    let failure = if status == StatusCode::MISDIRECTED_REQUEST {
        sending.end(Outcome::Cancelled, None);
        state.fleet.borrow_mut().remove_stale(&choice.id);
        Failure::not_run("another instance has the address".to_owned(), true)
    } else if headers.contains_key(&names.not_run) {
        sending.end(Outcome::Shed, report);
        Failure::not_run(format!("refused with {}", status.as_u16()), true)
    } else if !headers.contains_key(&names.stamp) || headers.contains_key(header::CONTENT_ENCODING)
    {
        sending.end(Outcome::TransportError, report);
        Failure::unknown(format!("an answer {} that is not the instance's", status.as_u16()))
    } else if status.is_server_error() {
        sending.end(Outcome::ServerError, report);
        let reason = format!("failed with {}", status.as_u16());
        Failure { answer: Some(Box::new(answer)), ..Failure::unknown(reason) }
    } else {
        sending.end(Outcome::Answered(elapsed), report);
        metrics::attempted(&call.service, "answered");
        return Ok(answer);
    };
    Err(note(state, call, choice, failure))
}

fn note(state: &Rc<State>, call: &Call, choice: &Choice, failure: Failure) -> Failure {
    let outcome = if failure.may_have_run { "failed" } else { "not_run" };
    metrics::attempted(&call.service, outcome);
    let event = Event::Attempt {
        id: call.id_text(),
        instance: &choice.id,
        reason: &failure.reason,
        may_have_run: failure.may_have_run,
        elapsed_ms: clock::now().saturating_sub(call.started).as_millis(),
        cost: choice.cost_seconds,
    };
    state.log.write(Rank::Failure, event);
    failure
}

/// The request as the instance gets it.
fn message(state: &Rc<State>, call: &Call, body: &Bytes, choice: &Choice) -> Request {
    let names = &state.codec.headers;
    let target = call.uri.path_and_query().map_or("/", |target| target.as_str());
    let mut head = BytesMut::with_capacity(512);
    head.put_slice(call.method.as_str().as_bytes());
    head.put_slice(b" ");
    head.put_slice(target.as_bytes());
    head.put_slice(b" HTTP/1.1\r\n");
    let mut add = |name: &str, value: &[u8]| {
        head.put_slice(name.as_bytes());
        head.put_slice(b": ");
        head.put_slice(value);
        head.put_slice(b"\r\n");
    };
    for (name, value) in &call.headers {
        add(name.as_str(), value.as_bytes());
    }
    let left = call.end.saturating_sub(clock::now());
    add(names.time_left.as_str(), milliseconds(left).as_bytes());
    add(names.expected_instance.as_str(), choice.id.as_bytes());
    if let Some(workspace) = &call.workspace {
        add(names.workspace.as_str(), workspace.as_bytes());
    }
    if !body.is_empty() || expects_body(call) {
        add(header::CONTENT_LENGTH.as_str(), body.len().to_string().as_bytes());
    }
    head.put_slice(b"\r\n");
    Request {
        method: call.method.clone(),
        head: head.freeze(),
        body: body.clone(),
        id: call.id.clone(),
        id_header: names.request_id.clone(),
    }
}

fn expects_body(call: &Call) -> bool {
    matches!(call.method.as_str(), "POST" | "PUT" | "PATCH")
}
