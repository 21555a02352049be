//! The answer of a backend server on its way to the caller.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::Response;
use http_body::Frame;
use hyper::body::Incoming;

use super::{
    Callers,
    arrival::Call,
    body::{Answer, Meter},
    choice::Target,
    claims::Claim,
    headers,
    metrics::{self, InFlight, Labels},
    pool::Connection,
};

/// An answer's head with the connection that it came from.
pub(crate) struct Reply {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    /// When the request was sent, on the host's clock.
    pub(crate) sent_at: Duration,
    /// Bytes of the request's head.
    pub(crate) request_bytes: u64,
}

/// One exchange whose answer's body is being passed on.
pub(crate) struct Exchange {
    callers: Arc<Callers>,
    connection: Option<Connection>,
    reusable: bool,
    target: Target,
    claim: Option<Claim>,
    sent_at: Duration,
    ended: Ended,
    _in_flight: InFlight,
}

/// Notes the end of an exchange in the metrics when it is dropped.
struct Ended {
    labels: Labels,
    started: Instant,
    outcome: &'static str,
}

impl Drop for Ended {
    fn drop(&mut self) {
        metrics::ended(&self.labels, self.outcome, self.started.elapsed());
    }
}

impl Exchange {
    /// A piece of the body arrived.
    pub(crate) fn received(&mut self, frame: &Frame<Bytes>) {
        if let Some(claim) = &mut self.claim {
            claim.received(frame);
        }
    }

    /// The whole answer arrived.
    pub(crate) fn finish(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        self.ended.outcome = "answered";
        if self.reusable {
            let pool = &self.target.instance().pool;
            pool.give_back(Instant::now(), connection);
        }
        if let Some(claim) = self.claim.take() {
            claim.complete();
        }
    }

    /// The answer was cut short.
    pub(crate) fn fail(&mut self, error: &io::Error) {
        let instance = self.target.instance();
        log::debug!("callers: {}: answer failed: {error}", instance.name);
        let now = self.callers.shared.now();
        instance.status().failed(now, self.sent_at);
        self.ended.outcome = "cut";
        self.connection = None;
    }
}

/// Passes an answer on to the caller.
pub(crate) fn pass_on(
    callers: &Arc<Callers>,
    call: &Call,
    target: Target,
    reply: Reply,
    mut claim: Option<Claim>,
    in_flight: InFlight,
) -> Response<Body> {
    let (mut head, body) = reply.response.into_parts();
    let reusable = !headers::says_close(&head.headers);
    headers::strip(&mut head.headers);
    if let Some(claim) = &mut claim {
        claim.answered(head.status, &head.headers);
    }
    let meter = target.crosses.then(|| {
        let due = reply.request_bytes + headers::length(&head.headers);
        Meter::new(callers.clone(), call.service.clone(), due)
    });
    let exchange = Exchange {
        callers: callers.clone(),
        connection: Some(reply.connection),
        reusable,
        target,
        claim,
        sent_at: reply.sent_at,
        ended: Ended { labels: call.labels.clone(), started: call.started, outcome: "cancelled" },
        _in_flight: in_flight,
    };
    let answer = Answer::new(body, exchange, meter, call.stall_limit);
    Response::from_parts(head, Body::new(answer))
}
