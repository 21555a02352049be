//! Claims of requests with an idempotency key, which run at most once. See docs/design.md §8.

use std::{io, sync::Arc};

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body::{Body as _, Frame};
use http_body_util::{BodyExt as _, Full};
use marjorampick_core::{
    claim::{Completion, Name, Outcome, State, Verdict},
    constants::CLAIM_BODY_LIMIT_BYTES,
};
use sha2::{Digest as _, Sha256};
use tokio::sync::oneshot;

use super::{
    Callers,
    constants::CLAIM_REQUEST_LIMIT_BYTES,
    headers::IDEMPOTENCY_KEY,
    refusal::{Code, Refusal},
    request::{Call, Outgoing},
};
use crate::shared::Request;

/// Marks a response that was kept from the first request with the same key.
const IDEMPOTENCY_REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");

/// Headers that are part of the fingerprint of a request, besides method and target.
const FINGERPRINT_HEADERS: [HeaderName; 3] =
    [header::CONTENT_TYPE, header::CONTENT_ENCODING, HeaderName::from_static("content-digest")];

/// What is to be done with a request.
pub(crate) enum Decision {
    /// Send it; with its claim if it needs one.
    Run(Option<Claim>),
    /// Return the response of the first request with the same key.
    Replay(Response<Body>),
}

/// A granted claim. When it is dropped, its completion is reported with the state known by then.
pub(crate) struct Claim {
    callers: Arc<Callers>,
    name: Name,
    state: Option<State>,
    response: Option<Partial>,
}

/// The response as far as it was received.
struct Partial {
    status: StatusCode,
    headers: Vec<(Arc<str>, Arc<str>)>,
    /// `None` if the body is too large to be kept.
    body: Option<Vec<u8>>,
}

impl Claim {
    fn new(callers: Arc<Callers>, name: Name) -> Self {
        Self { callers, name, state: None, response: None }
    }

    /// The request is about to be sent, so from now on it may run.
    pub(crate) fn mark_sending(&mut self) {
        self.state = Some(State::Unknown);
    }

    /// The request has not run, so that the same request may be sent later.
    pub(crate) fn mark_not_run(&mut self) {
        self.state = None;
    }

    /// The head of the response arrived, so the request ran.
    pub(crate) fn record_head(&mut self, status: StatusCode, headers: &HeaderMap) {
        let text = |value: &HeaderValue| value.to_str().ok().map(Arc::from);
        let headers = headers
            .iter()
            .filter_map(|(name, value)| Some((Arc::from(name.as_str()), text(value)?)));
        self.state = Some(State::DoneWithoutAnswer);
        self.response =
            Some(Partial { status, headers: headers.collect(), body: Some(Vec::new()) });
    }

    /// A frame of the response body arrived.
    pub(crate) fn record_frame(&mut self, frame: &Frame<Bytes>) {
        let (Some(response), Some(data)) = (&mut self.response, frame.data_ref()) else {
            return;
        };
        response.body = response.body.take().and_then(|mut body| {
            body.extend_from_slice(data);
            (body.len() <= CLAIM_BODY_LIMIT_BYTES).then_some(body)
        });
    }

    /// The whole response arrived.
    pub(crate) fn complete(mut self) {
        let Some(response) = self.response.take() else {
            return;
        };
        if let Some(body) = response.body {
            self.state = Some(State::Done(Outcome {
                status: response.status.as_u16(),
                headers: response.headers,
                body: body.into(),
            }));
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let completion = Completion { name: self.name.clone(), state: self.state.take() };
        report_completion(&self.callers, completion);
    }
}

/// Sends a completion to the control thread; from another task if its queue is full.
fn report_completion(callers: &Arc<Callers>, completion: Completion) {
    let control = callers.shared.control.clone();
    let Err(error) = control.try_send(Request::Completed(completion)) else {
        return;
    };
    if let Ok(runtime) = tokio::runtime::Handle::try_current() {
        // The queue is closed only when the process ends.
        runtime.spawn(async move { control.send(error.into_inner()).await.ok() });
    }
}

/// A requested claim without a verdict yet. If it is dropped, for instance at the deadline, a claim
/// that is granted afterwards is completed as not sent.
struct Acquisition {
    callers: Arc<Callers>,
    name: Name,
    verdict: Option<oneshot::Receiver<Verdict>>,
}

impl Acquisition {
    /// Waits for the verdict until the deadline of the request.
    async fn wait(mut self, call: &Call) -> Verdict {
        let Some(verdict) = &mut self.verdict else {
            return Verdict::Unavailable;
        };
        match tokio::time::timeout(call.time_left(), verdict).await {
            Ok(verdict) => {
                self.verdict = None;
                verdict.unwrap_or(Verdict::Unavailable)
            }
            Err(_) => Verdict::Unavailable,
        }
    }
}

impl Drop for Acquisition {
    fn drop(&mut self) {
        let (Some(verdict), Ok(runtime)) =
            (self.verdict.take(), tokio::runtime::Handle::try_current())
        else {
            return;
        };
        let callers = self.callers.clone();
        let name = self.name.clone();
        runtime.spawn(async move {
            if let Ok(Verdict::Granted) = verdict.await {
                report_completion(&callers, Completion { name, state: None });
            }
        });
    }
}

/// Acquires the claim that a request needs if its route is not idempotent and it has an idempotency
/// key. Any other request may run without a claim.
pub(crate) async fn acquire(
    callers: &Arc<Callers>,
    call: &Call,
    outgoing: &mut Outgoing,
) -> Result<Decision, Refusal> {
    if call.idempotent || !outgoing.headers.contains_key(&IDEMPOTENCY_KEY) {
        return Ok(Decision::Run(None));
    }
    let name = Name {
        service: call.service.clone(),
        // No workspace has an empty name, so open routes share no claim with a workspace.
        workspace: call.workspace.clone().unwrap_or_default(),
        key: idempotency_key(&outgoing.headers)?,
    };
    let fingerprint = fingerprint(call, outgoing).await?;
    let (answer, verdict) = oneshot::channel();
    let request = Request::Claim { name: name.clone(), fingerprint, answer };
    if callers.shared.control.try_send(request).is_err() {
        return Err(claim_unavailable());
    }
    let acquisition =
        Acquisition { callers: callers.clone(), name: name.clone(), verdict: Some(verdict) };
    decide(callers, name, acquisition.wait(call).await)
}

/// Converts a verdict of the claim's owner.
fn decide(callers: &Arc<Callers>, name: Name, verdict: Verdict) -> Result<Decision, Refusal> {
    match verdict {
        Verdict::Granted => Ok(Decision::Run(Some(Claim::new(callers.clone(), name)))),
        Verdict::Done(outcome) => Ok(Decision::Replay(replayed_response(&outcome))),
        Verdict::Running => Err(Refusal::unknown(Code::Running, "the same request is running")),
        Verdict::Unknown => {
            let detail = "whether the first request with this key ran can't be told";
            Err(Refusal::unknown(Code::Unknown, detail))
        }
        Verdict::DoneWithoutAnswer => {
            let detail = "the first request with this key ran, but its answer was not kept";
            Err(Refusal::unknown(Code::Unknown, detail))
        }
        Verdict::Mismatch => {
            let detail = "the key was used for another request";
            Err(Refusal::not_run(Code::IdempotencyMismatch, detail))
        }
        Verdict::Unavailable => Err(claim_unavailable()),
    }
}

fn claim_unavailable() -> Refusal {
    let detail = "the hosts that keep the claim can't answer now";
    Refusal::not_run(Code::ClaimUnavailable, detail)
}

/// Value of the `Idempotency-Key` header, which must occur once.
fn idempotency_key(headers: &HeaderMap) -> Result<Arc<str>, Refusal> {
    let mut values = headers.get_all(&IDEMPOTENCY_KEY).iter();
    match (values.next().map(HeaderValue::to_str), values.next()) {
        (Some(Ok(key)), None) if !key.is_empty() => Ok(Arc::from(key)),
        _ => Err(Refusal::bad_request("exactly one Idempotency-Key is allowed")),
    }
}

/// Hash of method, target, body headers, body length and, for a body of at most
/// [`CLAIM_REQUEST_LIMIT_BYTES`], its content. It must be the same on all hosts.
async fn fingerprint(call: &Call, outgoing: &mut Outgoing) -> Result<u64, Refusal> {
    let mut hash = Sha256::new();
    let mut add = |part: &[u8]| {
        // The length keeps apart requests whose parts differ but are equal when joined.
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    };
    add(outgoing.method.as_str().as_bytes());
    add(outgoing.target.as_str().as_bytes());
    for name in FINGERPRINT_HEADERS {
        add(outgoing.headers.get(&name).map_or(b"", HeaderValue::as_bytes));
    }
    let length = outgoing.body.as_ref().map_or(Some(0), |body| body.size_hint().exact());
    add(&length.unwrap_or(u64::MAX).to_be_bytes());
    if length.is_some_and(|length| length <= CLAIM_REQUEST_LIMIT_BYTES) {
        let body = read_body(call, outgoing.body.take()).await?;
        add(&body);
        outgoing.body = (!body.is_empty()).then(|| full_body(body));
    }
    let digest = hash.finalize();
    Ok(digest.iter().take(8).fold(0, |number, byte| (number << 8) | u64::from(*byte)))
}

/// Reads a whole body into memory.
async fn read_body(call: &Call, body: Option<Body>) -> Result<Bytes, Refusal> {
    let Some(body) = body else {
        return Ok(Bytes::new());
    };
    match tokio::time::timeout(call.time_left(), body.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(_)) => Err(Refusal::bad_request("the body was cut short")),
        Err(_) => Err(Refusal::not_run(Code::Deadline, "the body did not arrive in time")),
    }
}

/// Body that consists of the given bytes.
fn full_body(bytes: impl Into<Bytes>) -> Body {
    let body = Full::new(bytes.into());
    Body::new(body.map_err(|never| -> io::Error { match never {} }))
}

/// Response that was kept from the first request with the same key.
fn replayed_response(outcome: &Outcome) -> Response<Body> {
    let mut response = Response::new(full_body(outcome.body.to_vec()));
    *response.status_mut() = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    for (name, value) in &outcome.headers {
        let name = HeaderName::try_from(name.as_ref());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    headers.insert(IDEMPOTENCY_REPLAYED, HeaderValue::from_static("true"));
    response
}
