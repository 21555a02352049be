//! Gotham handler of the request path: authenticates, limits and forwards requests.

use std::{
    panic::{RefUnwindSafe, UnwindSafe},
    pin::Pin,
    sync::Arc,
    time::Instant,
};

use futures_util::FutureExt as _;
use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    state::State,
};
use http::{HeaderValue, Response, header};

use super::{
    Callers, claims, forward,
    metrics::{self, InFlight, Labels},
    pool::ThreadIndex,
    rate,
    refusal::Refusal,
    request::Incoming,
};

/// Handles the requests of callers that arrive on one thread.
#[derive(Clone)]
pub(crate) struct Dispatcher {
    callers: Arc<Callers>,
    thread: ThreadIndex,
}

// A panic can leave only one request's state inconsistent, and poisoned locks are still used.
impl UnwindSafe for Dispatcher {}
impl RefUnwindSafe for Dispatcher {}

impl Dispatcher {
    /// Handler for the caller thread `thread`.
    pub(crate) fn new(callers: Arc<Callers>, thread: ThreadIndex) -> Self {
        Self { callers, thread }
    }
}

impl NewHandler for Dispatcher {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for Dispatcher {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        let started_at = Instant::now();
        async move {
            let callers = &self.callers;
            let incoming = Incoming::take_from(&mut state, started_at, self.thread);
            let mut labels = Labels::default();
            let mut response = match respond(callers, incoming, &mut labels).await {
                Ok(response) => response,
                Err(refusal) => refuse(refusal, &labels, started_at),
            };
            if callers.shared.is_draining() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok((state, response))
        }
        .boxed()
    }
}

async fn respond(
    callers: &Arc<Callers>,
    incoming: Incoming,
    labels: &mut Labels,
) -> Result<Response<Body>, Refusal> {
    let in_flight = InFlight::start();
    let (call, mut outgoing) = incoming.identify(callers, labels)?;
    rate::acquire_token(callers, &call).await?;
    let claim = match claims::acquire(callers, &call, &mut outgoing).await? {
        claims::Decision::Run(claim) => claim,
        claims::Decision::Replay(response) => {
            metrics::record_request(labels, "replayed", call.started_at.elapsed());
            return Ok(response);
        }
    };
    forward::forward(callers, &call, outgoing, claim, in_flight).await
}

fn refuse(refusal: Refusal, labels: &Labels, started_at: Instant) -> Response<Body> {
    metrics::record_refusal(labels, &refusal);
    metrics::record_request(labels, refusal.outcome.name(), started_at.elapsed());
    refusal.into_response()
}
