//! Claims of requests that must not run twice. See docs/design.md §8.

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

/// Header of an answer that was kept from the first request with the same key.
const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");

/// Headers that, with method and target, tell one request from another.
const FINGERPRINT_HEADERS: [HeaderName; 3] =
    [header::CONTENT_TYPE, header::CONTENT_ENCODING, HeaderName::from_static("content-digest")];

/// What the claim's owner decided.
pub(crate) enum Decision {
    /// The request may be sent; with its claim if it has one.
    Run(Option<Claim>),
    /// The request ran before.
    Replay(Response<Body>),
}

/// A granted claim. Its end is reported when it is dropped, with what is known by then.
pub(crate) struct Claim {
    callers: Arc<Callers>,
    name: Name,
    state: Option<State>,
    head: Option<Kept>,
}

/// The answer as far as it was received.
struct Kept {
    status: StatusCode,
    headers: Vec<(Arc<str>, Arc<str>)>,
    body: Option<Vec<u8>>,
}

impl Claim {
    fn new(callers: Arc<Callers>, name: Name) -> Self {
        Self { callers, name, state: None, head: None }
    }

    /// The request is about to be sent: from now on it may run.
    pub(crate) fn mark_sending(&mut self) {
        self.state = Some(State::Unknown);
    }

    /// No byte left for a backend server, so that the same request may be sent later.
    pub(crate) fn mark_not_sent(&mut self) {
        self.state = None;
    }

    /// The head of the answer arrived: the request ran.
    pub(crate) fn record_head(&mut self, status: StatusCode, headers: &HeaderMap) {
        let text = |value: &HeaderValue| value.to_str().ok().map(Arc::from);
        let headers = headers
            .iter()
            .filter_map(|(name, value)| Some((Arc::from(name.as_str()), text(value)?)));
        self.state = Some(State::DoneWithoutAnswer);
        self.head = Some(Kept { status, headers: headers.collect(), body: Some(Vec::new()) });
    }

    /// A piece of the answer's body arrived.
    pub(crate) fn received(&mut self, frame: &Frame<Bytes>) {
        let (Some(kept), Some(data)) = (&mut self.head, frame.data_ref()) else {
            return;
        };
        kept.body = kept.body.take().and_then(|mut body| {
            body.extend_from_slice(data);
            (body.len() <= CLAIM_BODY_LIMIT_BYTES).then_some(body)
        });
    }

    /// The whole answer arrived.
    pub(crate) fn complete(mut self) {
        let Some(kept) = self.head.take() else {
            return;
        };
        if let Some(body) = kept.body {
            self.state = Some(State::Done(Outcome {
                status: kept.status.as_u16(),
                headers: kept.headers,
                body: body.into(),
            }));
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let completion = Completion { name: self.name.clone(), state: self.state.take() };
        report(&self.callers, completion);
    }
}

/// Reports the end of a claim, later if the control thread's queue is full.
fn report(callers: &Arc<Callers>, completion: Completion) {
    let control = callers.shared.control.clone();
    let Err(error) = control.try_send(Request::Completed(completion)) else {
        return;
    };
    if let Ok(runtime) = tokio::runtime::Handle::try_current() {
        // A closed queue means that the process ends.
        runtime.spawn(async move { control.send(error.into_inner()).await.ok() });
    }
}

/// A question whose answer has not come. Dropping it leaves no claim behind: a grant that arrives
/// afterwards is given back, as the request was not sent.
struct Question {
    callers: Arc<Callers>,
    name: Name,
    answer: Option<oneshot::Receiver<Verdict>>,
}

impl Question {
    async fn verdict(mut self, call: &Call) -> Verdict {
        let Some(answer) = &mut self.answer else {
            return Verdict::Unavailable;
        };
        match tokio::time::timeout(call.time_left(), answer).await {
            Ok(verdict) => {
                self.answer = None;
                verdict.unwrap_or(Verdict::Unavailable)
            }
            Err(_) => Verdict::Unavailable,
        }
    }
}

impl Drop for Question {
    fn drop(&mut self) {
        let (Some(answer), Ok(runtime)) =
            (self.answer.take(), tokio::runtime::Handle::try_current())
        else {
            return;
        };
        let callers = self.callers.clone();
        let name = self.name.clone();
        runtime.spawn(async move {
            if let Ok(Verdict::Granted) = answer.await {
                report(&callers, Completion { name, state: None });
            }
        });
    }
}

/// Asks whether the request may run, if its route and its headers require that.
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
        // Names are not empty, so that open routes share no claim with a workspace.
        workspace: call.workspace.clone().unwrap_or_default(),
        key: key(&outgoing.headers)?,
    };
    let fingerprint = fingerprint(call, outgoing).await?;
    let (answer, answered) = oneshot::channel();
    let request = Request::Claim { name: name.clone(), fingerprint, answer };
    if callers.shared.control.try_send(request).is_err() {
        return Err(unavailable());
    }
    let question =
        Question { callers: callers.clone(), name: name.clone(), answer: Some(answered) };
    decide(callers, name, question.verdict(call).await)
}

fn decide(callers: &Arc<Callers>, name: Name, verdict: Verdict) -> Result<Decision, Refusal> {
    match verdict {
        Verdict::Granted => Ok(Decision::Run(Some(Claim::new(callers.clone(), name)))),
        Verdict::Done(outcome) => Ok(Decision::Replay(replay(&outcome))),
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
        Verdict::Unavailable => Err(unavailable()),
    }
}

fn unavailable() -> Refusal {
    let detail = "the hosts that keep the claim can't answer now";
    Refusal::not_run(Code::ClaimUnavailable, detail)
}

fn key(headers: &HeaderMap) -> Result<Arc<str>, Refusal> {
    let mut values = headers.get_all(&IDEMPOTENCY_KEY).iter();
    match (values.next().map(HeaderValue::to_str), values.next()) {
        (Some(Ok(key)), None) if !key.is_empty() => Ok(Arc::from(key)),
        _ => Err(Refusal::bad_request("exactly one Idempotency-Key is allowed")),
    }
}

/// Hash of method, target, body headers and, for small bodies, the body. All hosts compute the same.
async fn fingerprint(call: &Call, outgoing: &mut Outgoing) -> Result<u64, Refusal> {
    let mut hash = Sha256::new();
    let mut add = |part: &[u8]| {
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
        let body = read(call, outgoing.body.take()).await?;
        add(&body);
        outgoing.body = (!body.is_empty()).then(|| full(body));
    }
    let digest = hash.finalize();
    Ok(digest.iter().take(8).fold(0, |number, byte| (number << 8) | u64::from(*byte)))
}

async fn read(call: &Call, body: Option<Body>) -> Result<Bytes, Refusal> {
    let Some(body) = body else {
        return Ok(Bytes::new());
    };
    match tokio::time::timeout(call.time_left(), body.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(_)) => Err(Refusal::bad_request("the body was cut short")),
        Err(_) => Err(Refusal::not_run(Code::Deadline, "the body did not arrive in time")),
    }
}

fn full(bytes: impl Into<Bytes>) -> Body {
    let body = Full::new(bytes.into());
    Body::new(body.map_err(|never| -> io::Error { match never {} }))
}

fn replay(outcome: &Outcome) -> Response<Body> {
    let mut response = Response::new(full(outcome.body.to_vec()));
    *response.status_mut() = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    for (name, value) in &outcome.headers {
        let name = HeaderName::try_from(name.as_ref());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    response
}
