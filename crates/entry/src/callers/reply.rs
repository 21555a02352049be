//! The answer of a backend server, and its way to the caller.

use std::{sync::Arc, time::Duration};

use gotham::helpers::http::Body;
use http::Response;
use hyper::body::Incoming;

use super::{
    Callers,
    arrival::Call,
    body::{Answer, Meter},
    choice::Target,
    claims::Claim,
    exchange::{Ended, Exchange},
    headers,
    metrics::InFlight,
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
        ended: Ended::new(call),
        _in_flight: in_flight,
    };
    let answer = Answer::new(body, exchange, meter, call.stall_limit);
    Response::from_parts(head, Body::new(answer))
}
