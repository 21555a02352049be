//! Attempt to run a request at one instance.

use std::{io::ErrorKind, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{StatusCode, header};
use marjorampick_core::steering::{
    fleet::Choice, instance::Outcome, load::Report, plan::Idempotency, retry,
};
use tokio::time::timeout;

use super::{
    body::Sink,
    crash,
    encode::encode,
    forward,
    homes::{Homes, Target},
    routing::{Call, milliseconds},
    statement,
    stream::{self, CALLER_LEFT, End},
};
use crate::{
    backend::{
        answer::{Answer, Head},
        connection::{Connection, Fault, Large, Reply, Request, keep_alive_time},
        pool::Key,
    },
    clock,
    events::{Event, Rank},
    metrics, quarantine, reach,
    state::State,
};

/// Why an attempt gave no answer that the caller should get.
pub(crate) struct Failure {
    /// Whether the instance may have run the request.
    pub(crate) may_have_run: bool,
    /// Whether the request reached an instance, as far as known.
    pub(crate) has_reached_instance: bool,
    /// Whether the deadline passed.
    pub(crate) has_timed_out: bool,
    /// Whether the instance was not reached, so that another host may reach it.
    pub(crate) is_unreached: bool,
    /// Whether the connection could not be opened in time, rather than being refused.
    pub(crate) has_hung: bool,
    /// Whether the caller closed its connection before the request was sent.
    pub(crate) has_caller_left: bool,
    /// Suggested delay before the caller repeats the request if it has not run.
    pub(crate) retry_after: Duration,
    /// The instance's server error, which the caller gets if this was the last attempt.
    pub(crate) answer: Option<Box<Answer>>,
    /// Description for the log.
    pub(crate) reason: String,
}

impl Failure {
    fn not_run(reason: String, has_reached_instance: bool) -> Self {
        Self {
            may_have_run: false,
            has_reached_instance,
            has_timed_out: false,
            is_unreached: false,
            has_hung: false,
            has_caller_left: false,
            retry_after: retry::delay_after_rejection(None),
            answer: None,
            reason,
        }
    }

    fn unreached(reason: String) -> Self {
        Self { is_unreached: true, ..Self::not_run(reason, false) }
    }

    fn may_have_run(reason: String) -> Self {
        Self {
            may_have_run: true,
            has_reached_instance: true,
            has_timed_out: false,
            is_unreached: false,
            has_hung: false,
            has_caller_left: false,
            retry_after: retry::delay_after_rejection(None),
            answer: None,
            reason,
        }
    }
}

/// Counts a request at an instance in the fleet until it ends. Dropping the guard without calling
/// [`Self::end`], because the caller left, records the request as cancelled.
struct Guard<'a> {
    state: &'a Rc<State>,
    service: &'a Arc<str>,
    choice: &'a Choice,
    has_ended: bool,
}

impl<'a> Guard<'a> {
    fn start(state: &'a Rc<State>, service: &'a Arc<str>, choice: &'a Choice) -> Self {
        let now = clock::now();
        state.fleet.borrow_mut().start_request(now, choice);
        state.silence.record_sent(now);
        Self { state, service, choice, has_ended: false }
    }

    fn end(mut self, outcome: Outcome, report: Option<Report>) {
        self.has_ended = true;
        if let Outcome::Answered(time) = outcome {
            metrics::record_prediction(self.service, self.choice.prediction, time);
        }
        let mut fleet = self.state.fleet.borrow_mut();
        if let Some(is_used) = fleet.end_request(clock::now(), self.choice, outcome, report) {
            let event = Event::CostPrediction { service: self.service, is_used };
            self.state.log.write(Rank::Notice, event);
        }
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            let mut fleet = self.state.fleet.borrow_mut();
            fleet.end_request(clock::now(), self.choice, Outcome::Cancelled, None);
        }
    }
}

/// Sends a request to the chosen instance and waits for its answer, of which a large one goes to `sink`.
/// `limit` includes the time for opening a connection.
pub(crate) async fn run(
    state: &Rc<State>,
    call: &Call,
    body: &Bytes,
    choice: &Choice,
    limit: Duration,
    sink: &Sink,
) -> Result<forward::Reply, Failure> {
    let key: Key = (choice.id.clone(), choice.incarnation);
    let is_at_most_once = call.route.idempotency == Idempotency::AtMostOnce;
    let started_at = clock::now();
    let id = call.id_text().as_bytes();
    let pooled = state.pool.borrow_mut().take(started_at, &key, is_at_most_once, id);
    let is_pooled = pooled.is_some();
    if !is_pooled && !state.fleet.borrow().may_connect(started_at, &call.service, &choice.id) {
        let reason = "no instance of the service is reached".to_owned();
        return Err(Failure::unreached(reason));
    }
    let guard = Guard::start(state, &call.service, choice);
    let opened = match pooled {
        Some(connection) => Ok(connection),
        None => Connection::open(choice.address).await,
    };
    if !is_pooled {
        reach::record(state, &call.service, &choice.id, opened.as_ref().err());
    }
    let mut connection = match opened {
        Ok(connection) => connection,
        Err(error) => {
            guard.end(Outcome::TransportError, None);
            state.silence.record_failure();
            let has_hung = error.kind() == ErrorKind::TimedOut;
            let failure = Failure::unreached(format!("cannot connect: {error}"));
            let failure = Failure { has_hung, ..failure };
            return Err(record_failure(state, call, choice, failure));
        }
    };
    if !state.fleet.borrow().may_send(clock::now(), choice) {
        guard.end(Outcome::Cancelled, None);
        let reason = "the instance stopped taking requests while the connection was opened";
        let failure = Failure::not_run(reason.to_owned(), false);
        return Err(record_failure(state, call, choice, failure));
    }
    if sink.is_abandoned() {
        guard.end(Outcome::Cancelled, None);
        let failure = Failure::not_run(CALLER_LEFT.to_owned(), false);
        let failure = Failure { has_caller_left: true, ..failure };
        return Err(record_failure(state, call, choice, failure));
    }
    let homes = match Homes::judge(state, call) {
        Ok(homes) if homes.allow(choice.region.as_ref()) => homes,
        judged => {
            guard.end(Outcome::Cancelled, None);
            let reason = match judged {
                Ok(_) => "the request's homes have moved while the connection was opened",
                Err(_) => "this host has fallen behind while the connection was opened",
            };
            let failure = Failure::not_run(reason.to_owned(), false);
            return Err(record_failure(state, call, choice, failure));
        }
    };
    let region = choice.region.as_deref().unwrap_or_default();
    homes.record(state, call, &Target::Instance(&choice.id), region);
    let request = encode_request(state, call, body, choice);
    let sent_at = clock::now();
    let remaining = limit.saturating_sub(clock::now().saturating_sub(started_at));
    let mut is_leaving = false;
    let mut on_head = |head: &Head, is_own| {
        is_leaving |= statement::record(state, call, choice, started_at, head, is_own);
        is_own && is_usable(state, head) && sink.allows(head)
    };
    let exchange = connection.exchange(&request, &state.answer_memory, &mut on_head);
    let result = timeout(remaining, exchange).await;
    let elapsed = clock::now().saturating_sub(started_at);
    match result {
        Ok(Ok(Reply::Whole(answer, is_reusable))) => {
            state.silence.record_contact(clock::now());
            if answer.head.headers.contains_key(&state.codec.headers.response_stamp) {
                quarantine::record_answer(state, call, body, choice, sent_at);
            }
            if is_reusable && !is_leaving {
                let keep_alive = keep_alive_time(&answer.head);
                state.pool.borrow_mut().put(clock::now(), key, connection, keep_alive);
            }
            let answer = classify(state, call, choice, guard, answer, elapsed)?;
            Ok(forward::Reply::Whole(answer))
        }
        Ok(Ok(Reply::Large(large))) => {
            state.silence.record_contact(clock::now());
            let times = Times { started_at, sent_at, deadline: started_at + limit };
            let attempt = Attempt { state, call, body, choice, times, is_leaving };
            attempt.stream(guard, connection, *large, sink).await
        }
        Ok(Err(fault)) => {
            record_unreached(state, call, choice, &fault);
            // The instance may have closed a pooled connection because it was idle, which is not a
            // failure.
            let is_idle_close = is_pooled && matches!(fault, Fault::Transport(_) | Fault::Closed);
            guard.end(
                if is_idle_close { Outcome::Cancelled } else { Outcome::TransportError },
                None,
            );
            let failure = if connection.may_have_sent() {
                if matches!(fault, Fault::Transport(_) | Fault::Closed) {
                    crash::investigate(state, call, body, choice, started_at);
                }
                Failure::may_have_run(fault.reason())
            } else {
                Failure::not_run(fault.reason(), false)
            };
            Err(record_failure(state, call, choice, failure))
        }
        Err(_) => {
            guard.end(Outcome::TimedOut, None);
            // The other connections to the instance may hang as well.
            state.pool.borrow_mut().remove(&key);
            let reason = format!("no answer within {} ms", limit.as_millis());
            let failure = Failure { has_timed_out: true, ..Failure::may_have_run(reason) };
            Err(record_failure(state, call, choice, failure))
        }
    }
}

/// Records a connection on which the instance acknowledged nothing.
fn record_unreached(state: &Rc<State>, call: &Call, choice: &Choice, fault: &Fault) {
    if let Fault::Transport(error) = fault
        && error.kind() == ErrorKind::TimedOut
    {
        reach::record(state, &call.service, &choice.id, Some(error));
    }
}

/// Times of an attempt.
#[derive(Clone, Copy)]
struct Times {
    started_at: Duration,
    /// When the request was sent, after the connection had been opened.
    sent_at: Duration,
    deadline: Duration,
}

/// Attempt whose answer is passed on while it is being received.
struct Attempt<'a> {
    state: &'a Rc<State>,
    call: &'a Call,
    body: &'a Bytes,
    choice: &'a Choice,
    times: Times,
    /// Whether the instance said that it leaves.
    is_leaving: bool,
}

impl Attempt<'_> {
    /// Passes a large answer on. An error means that nothing was sent to the caller.
    async fn stream(
        &self,
        guard: Guard<'_>,
        mut connection: Connection,
        mut large: Large,
        sink: &Sink,
    ) -> Result<forward::Reply, Failure> {
        let Self { state, call, choice, times, .. } = self;
        let waits_from = clock::now();
        let left = times.deadline.saturating_sub(waits_from);
        let Ok(Ok(window)) = timeout(left, state.answer_memory.reserve_window()).await else {
            guard.end(Outcome::Cancelled, None);
            let failure = Failure::may_have_run(Fault::OutOfMemory.reason());
            let failure = Failure { has_timed_out: true, ..failure };
            return Err(record_failure(state, call, choice, failure));
        };
        let memory_wait = clock::now().saturating_sub(waits_from);
        let writer = sink.start(&large.head, window);
        let streamed = stream::run(&mut connection, &mut large, writer, times.deadline).await;
        let elapsed = clock::now().saturating_sub(times.started_at);
        let elapsed = elapsed.saturating_sub(streamed.held + memory_wait);
        self.record_streamed(guard, connection, &large.head, &streamed.end, elapsed);
        let (status, reason) = (large.head.status, streamed.end.reason());
        Ok(forward::Reply::Streamed { status, reason })
    }

    /// Records the end of a streamed answer, which took the instance `elapsed`.
    fn record_streamed(
        &self,
        guard: Guard<'_>,
        connection: Connection,
        head: &Head,
        end: &End,
        elapsed: Duration,
    ) {
        let Self { state, call, body, choice, times, is_leaving } = self;
        let key: Key = (choice.id.clone(), choice.incarnation);
        let report = load_report(state, head);
        let failure = match end {
            End::Complete { is_reusable } => {
                quarantine::record_answer(state, call, body, choice, times.sent_at);
                if *is_reusable && !is_leaving {
                    let keep_alive = keep_alive_time(head);
                    state.pool.borrow_mut().put(clock::now(), key, connection, keep_alive);
                }
                guard.end(Outcome::Answered(elapsed), report);
                metrics::record_attempt(&call.service, "answered");
                return;
            }
            // The guard records it as cancelled.
            End::CallerLeft => return,
            End::Failed(fault) => {
                record_unreached(state, call, choice, fault);
                guard.end(Outcome::TransportError, report);
                if matches!(fault, Fault::Transport(_) | Fault::Closed) {
                    crash::investigate(state, call, body, choice, times.started_at);
                }
                Failure::may_have_run(format!("broke off: {}", fault.reason()))
            }
            End::TimedOut => {
                guard.end(Outcome::TimedOut, report);
                state.pool.borrow_mut().remove(&key);
                Failure::may_have_run("broke off: the deadline passed".to_owned())
            }
        };
        record_failure(state, call, choice, failure);
    }
}

/// Whether the caller gets an answer with this head: the instance ran the request, and a retry would not
/// help.
fn is_usable(state: &State, head: &Head) -> bool {
    let names = &state.codec.headers;
    head.status != StatusCode::MISDIRECTED_REQUEST
        && !head.status.is_server_error()
        && !head.headers.contains_key(&names.not_run)
        && head.headers.contains_key(&names.response_stamp)
        && !head.headers.contains_key(header::CONTENT_ENCODING)
}

/// Load that the instance reports in a head.
fn load_report(state: &State, head: &Head) -> Option<Report> {
    let value = head.headers.get(&state.codec.headers.load)?;
    value.to_str().ok().and_then(state.codec.parse_load)
}

/// Decides whether the caller gets the answer, and records the outcome in the instance's state.
fn classify(
    state: &Rc<State>,
    call: &Call,
    choice: &Choice,
    guard: Guard<'_>,
    answer: Answer,
    elapsed: Duration,
) -> Result<Answer, Failure> {
    let names = &state.codec.headers;
    let headers = &answer.head.headers;
    let report = load_report(state, &answer.head);
    let status = answer.head.status;
    let failure = if status == StatusCode::MISDIRECTED_REQUEST {
        guard.end(Outcome::Cancelled, None);
        state.fleet.borrow_mut().remove_stale(&choice.id);
        Failure::not_run("another instance has the address".to_owned(), true)
    } else if headers.contains_key(&names.not_run) {
        guard.end(Outcome::Shed, report);
        let reason = format!("refused with {}", status.as_u16());
        let retry_after = retry::delay_after_rejection(report);
        Failure { retry_after, ..Failure::not_run(reason, true) }
    } else if !headers.contains_key(&names.response_stamp)
        || headers.contains_key(header::CONTENT_ENCODING)
    {
        guard.end(Outcome::TransportError, report);
        Failure::may_have_run(format!(
            "answer with status {} was not made by the instance",
            status.as_u16()
        ))
    } else if status.is_server_error() {
        guard.end(Outcome::ServerError, report);
        let reason = format!("failed with {}", status.as_u16());
        Failure { answer: Some(Box::new(answer)), ..Failure::may_have_run(reason) }
    } else {
        guard.end(Outcome::Answered(elapsed), report);
        metrics::record_attempt(&call.service, "answered");
        return Ok(answer);
    };
    Err(record_failure(state, call, choice, failure))
}

/// Records a failed attempt in the metrics and the log.
fn record_failure(state: &Rc<State>, call: &Call, choice: &Choice, failure: Failure) -> Failure {
    let outcome = if failure.may_have_run { "failed" } else { "not_run" };
    metrics::record_attempt(&call.service, outcome);
    let event = Event::Attempt {
        id: call.id_text(),
        instance: &choice.id,
        reason: &failure.reason,
        may_have_run: failure.may_have_run,
        elapsed_ms: clock::now().saturating_sub(call.arrived_at).as_millis(),
        cost: choice.cost_seconds,
    };
    state.log.write(Rank::Failure, event);
    failure
}

/// Encodes the request for the instance.
fn encode_request(state: &Rc<State>, call: &Call, body: &Bytes, choice: &Choice) -> Request {
    let names = &state.codec.headers;
    let remaining = milliseconds(call.deadline.saturating_sub(clock::now()));
    let mut headers = vec![
        (names.time_left.as_str(), remaining.as_bytes()),
        (names.expected_instance.as_str(), choice.id.as_bytes()),
    ];
    let workspace = call.workspace_name.as_ref();
    headers.extend(workspace.map(|name| (names.workspace.as_str(), name.as_bytes())));
    encode(call, body, &headers, &names.request_id)
}
