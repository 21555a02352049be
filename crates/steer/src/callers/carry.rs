//! Passes a request on to another host that reaches the instances.
//!
//! This host acts as the caller does: with the caller's own key, on a connection to the other host, which
//! finds the route, takes the token of the workspace's rate and chooses the instance as for any request.
//! Only the listener differs: what comes there is never passed on again, so that no request goes in
//! circles, and only hosts may use it. See docs/platform.md.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use marjorampick_core::steering::helper::{Candidate, Criteria, Outcome};
use tokio::time::timeout;

use super::{
    body::Sink,
    encode::encode,
    forward,
    homes::{Homes, Target},
    refusal::{Reason, Refusal},
    routing::{Call, milliseconds},
    stream::{self, End},
};
use crate::{
    backend::{
        answer::{Answer, Head},
        connection::{Connection, Large, Reply, Request},
    },
    clock,
    constants::{
        HELPER_ANSWER_MARGIN, HELPER_CONNECT_TIMEOUT, MAX_HELPERS_ASKED, MIN_ATTEMPT_TIME,
    },
    metrics,
    state::State,
};

/// Header with the number of instances that the request may have reached before it was passed on.
pub(crate) const ATTEMPTS_HEADER: &str = "marjorampick-attempts";

/// Header with the latest version of the configuration that the host which passes a request on knows to be in
/// force.
pub(crate) const VERSION_HEADER: &str = "marjorampick-version";

/// Header with the reason of a refusal by the host to which a request was passed on.
pub(crate) const REASON_HEADER: &str = "marjorampick-reason";

/// What became of a request that was to be passed on.
pub(super) enum Carried {
    /// A helper returned the answer of an instance, or one of its own that is final.
    Answered {
        /// The answer, without the headers between hosts.
        reply: Box<forward::Reply>,
        /// Name of the helper.
        helper: Arc<str>,
    },
    /// It may have run, but the helper gave no answer.
    Lost {
        /// Whether the deadline passed.
        has_timed_out: bool,
        /// Name of the helper.
        helper: Arc<str>,
    },
    /// It has not run; `refusal` is that of the last helper, if one was asked.
    NotRun {
        /// Refusal for the caller.
        refusal: Option<Refusal>,
    },
}

/// Host that is asked to run a request.
#[derive(Clone, Debug)]
struct Helper {
    name: Arc<str>,
    region: Arc<str>,
    domain: Arc<str>,
    address: SocketAddr,
}

/// Counts a request as running at a helper until it ends. Dropping the guard without calling
/// [`Self::end`], because the caller left, records it as cancelled.
struct Guard<'a> {
    state: &'a State,
    call: &'a Call,
    helper: Helper,
    has_ended: bool,
}

impl<'a> Guard<'a> {
    fn start(state: &'a State, call: &'a Call, helper: &Helper) -> Self {
        state.helpers.borrow_mut().start(&helper.name);
        Self { state, call, helper: helper.clone(), has_ended: false }
    }

    fn end(mut self, outcome: Outcome) {
        self.record(outcome);
    }

    fn record(&mut self, outcome: Outcome) {
        self.has_ended = true;
        let (service, Helper { name, domain, .. }) = (&self.call.service, &self.helper);
        self.state.helpers.borrow_mut().end(clock::now(), name, domain, service, outcome);
        metrics::record_carried(outcome_name(outcome));
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.record(Outcome::Cancelled);
        }
    }
}

/// Passes a request on. `attempts` is the number of instances that it may have reached already. A large
/// answer goes to `sink`.
pub(super) async fn run(
    state: &Rc<State>,
    call: &Call,
    body: &Bytes,
    attempts: u32,
    sink: &Sink,
) -> Carried {
    let mut refusal = None;
    let mut asked: Vec<Arc<str>> = Vec::new();
    while asked.len() < MAX_HELPERS_ASKED {
        let remaining = call.deadline.saturating_sub(clock::now());
        if remaining < MIN_ATTEMPT_TIME {
            break;
        }
        let Some(chosen) = choose(state, call, &asked) else {
            break;
        };
        let helper = chosen.name.clone();
        asked.push(helper.clone());
        let guard = Guard::start(state, call, &chosen);
        let key = (helper.clone(), 0);
        let is_at_most_once = !call.is_idempotent();
        let pooled = state.helper_pool.borrow_mut().take(
            clock::now(),
            &key,
            is_at_most_once,
            call.id_text().as_bytes(),
        );
        let opened = match pooled {
            Some(connection) => Ok(connection),
            None => {
                let own_ip = state.settings.listeners.peers.ip();
                Connection::open_from(own_ip, chosen.address, HELPER_CONNECT_TIMEOUT).await
            }
        };
        let Ok(mut connection) = opened else {
            guard.end(Outcome::Failed);
            continue;
        };
        if sink.is_abandoned() {
            guard.end(Outcome::Cancelled);
            refusal = Some(Refusal::new(Reason::CallerLeft));
            break;
        }
        let homes = Homes::in_force(state, call);
        if !criteria(call, &homes, &asked).allow(&chosen.region) {
            guard.end(Outcome::Cancelled);
            continue;
        }
        homes.record(state, call, &Target::Helper(&helper), &chosen.region);
        let request = encode_request(state, call, body, attempts);
        let limit = call.deadline.saturating_sub(clock::now()) + HELPER_ANSWER_MARGIN;
        let mut on_head = |head: &Head, is_own| {
            is_own && !head.headers.contains_key(REASON_HEADER) && sink.allows(head)
        };
        let exchange = connection.exchange(&request, &state.answer_memory, &mut on_head);
        match timeout(limit, exchange).await {
            Ok(Ok(Reply::Large(large))) => {
                return stream(state, call, guard, connection, *large, sink).await;
            }
            Ok(Ok(Reply::Whole(answer, is_reusable))) => {
                if is_reusable {
                    state.helper_pool.borrow_mut().put(clock::now(), key, connection, None);
                }
                match refusal_of(&answer) {
                    Some((outcome, refused)) => {
                        guard.end(outcome);
                        refusal = Some(refused);
                        if outcome == Outcome::Answered {
                            break;
                        }
                    }
                    None => {
                        guard.end(Outcome::Answered);
                        let reply = Box::new(forward::Reply::Whole(without_reason(answer)));
                        return Carried::Answered { reply, helper };
                    }
                }
            }
            Ok(Err(_)) if !connection.may_have_sent() => guard.end(Outcome::Failed),
            Ok(Err(_)) => {
                guard.end(Outcome::Failed);
                return Carried::Lost { has_timed_out: false, helper };
            }
            Err(_) => {
                guard.end(Outcome::Failed);
                state.helper_pool.borrow_mut().remove(&key);
                return Carried::Lost { has_timed_out: true, helper };
            }
        }
    }
    Carried::NotRun { refusal }
}

/// Passes a large answer of a helper on.
async fn stream(
    state: &Rc<State>,
    call: &Call,
    guard: Guard<'_>,
    mut connection: Connection,
    mut large: Large,
    sink: &Sink,
) -> Carried {
    let helper = guard.helper.name.clone();
    let key = (helper.clone(), 0);
    let deadline = call.deadline + HELPER_ANSWER_MARGIN;
    let left = deadline.saturating_sub(clock::now());
    let Ok(Ok(window)) = timeout(left, state.answer_memory.reserve_window()).await else {
        return Carried::Lost { has_timed_out: true, helper };
    };
    let writer = sink.start(&large.head, window);
    let streamed = stream::run(&mut connection, &mut large, writer, deadline).await;
    match streamed.end {
        End::Complete { is_reusable } => {
            if is_reusable {
                state.helper_pool.borrow_mut().put(clock::now(), key, connection, None);
            }
            guard.end(Outcome::Answered);
        }
        // The guard records it as cancelled.
        End::CallerLeft => {}
        // The helper reached the instance, which may have been the one that failed.
        End::Failed(_) => guard.end(Outcome::Answered),
        End::TimedOut => {
            guard.end(Outcome::Failed);
            state.helper_pool.borrow_mut().remove(&key);
        }
    }
    let (status, reason) = (large.head.status, streamed.end.reason());
    Carried::Answered { reply: Box::new(forward::Reply::Streamed { status, reason }), helper }
}

/// Chooses a host that may help.
fn choose(state: &State, call: &Call, asked: &[Arc<str>]) -> Option<Helper> {
    let hosts = state.hosts.borrow();
    let candidates = hosts.iter().map(|(name, host)| Candidate {
        name,
        region: &host.registration.region,
        domain: &host.registration.failure_domain,
        is_lost: host.registration.reach.lost.contains(&call.service),
    });
    let homes = Homes::in_force(state, call);
    let criteria = criteria(call, &homes, asked);
    let helpers = state.helpers.borrow();
    let fleet = state.fleet.borrow();
    let name = helpers.choose(clock::now(), fleet.locality(), candidates, &criteria)?;
    let registration = &hosts.get(&name)?.registration;
    let (region, domain) = (registration.region.clone(), registration.failure_domain.clone());
    Some(Helper { name, region, domain, address: registration.peers })
}

/// What decides which hosts may help; `asked` are those that were asked already.
fn criteria<'a>(call: &'a Call, homes: &'a Homes, asked: &'a [Arc<str>]) -> Criteria<'a> {
    Criteria {
        id: call.id_text(),
        service: &call.service,
        route_regions: homes.of_helpers(),
        workspace_regions: homes.of_workspace(),
        excluded: asked,
    }
}

/// Encodes the request as the caller would send it.
fn encode_request(state: &State, call: &Call, body: &Bytes, attempts: u32) -> Request {
    let names = &state.codec.headers;
    let remaining = milliseconds(call.deadline.saturating_sub(clock::now()));
    let (attempts, version) =
        (HeaderValue::from(attempts), HeaderValue::from(demanded_version(state, call)));
    let mut headers = vec![
        (names.time_left.as_str(), remaining.as_bytes()),
        (ATTEMPTS_HEADER, attempts.as_bytes()),
        (VERSION_HEADER, version.as_bytes()),
    ];
    headers.extend(call.api_key.as_ref().map(|key| (names.api_key.as_str(), key.as_bytes())));
    encode(call, body, &headers, &names.request_id)
}

/// Version of the configuration that a helper must have. One that this host has only heard of is demanded for
/// requests with homes: this host runs all others itself by the configuration that it has.
pub(super) fn demanded_version(state: &State, call: &Call) -> u64 {
    match Homes::in_force(state, call).bind() {
        true => state.settled_version(),
        false => state.settled_own_version(),
    }
}

/// The refusal in an answer by which a helper says that the request has not run, and what it says of the
/// helper; `None` for any other answer.
fn refusal_of(answer: &Answer) -> Option<(Outcome, Refusal)> {
    let reason = answer.head.headers.get(REASON_HEADER)?.to_str().ok()?;
    let outcome = match reason {
        name if name == Reason::Unreached.name() => Outcome::Unreached,
        name if name == Reason::Busy.name() || name == Reason::Stopping.name() => Outcome::Busy,
        name if name == Reason::Behind.name() => Outcome::Behind,
        name if name == Reason::Stranger.name() => Outcome::Failed,
        _ => Outcome::Answered,
    };
    let reason = match answer.head.status {
        StatusCode::TOO_MANY_REQUESTS => Reason::OverRate,
        StatusCode::SERVICE_UNAVAILABLE if outcome == Outcome::Behind => Reason::Behind,
        StatusCode::SERVICE_UNAVAILABLE => Reason::HelperRefused,
        _ => return None,
    };
    let seconds = answer.head.headers.get(header::RETRY_AFTER);
    let seconds = seconds.and_then(|value| value.to_str().ok()?.parse().ok());
    let retry_after = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    Some((outcome, Refusal { reason, retry_after }))
}

fn without_reason(mut answer: Answer) -> Answer {
    answer.head.headers.remove(REASON_HEADER);
    answer
}

/// Name of an outcome in the metrics.
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::Unreached => "unreached",
        Outcome::Busy => "busy",
        Outcome::Behind => "behind",
        Outcome::Failed => "failed",
        Outcome::Cancelled => "cancelled",
    }
}
