//! The answer of a backend server, and its way to the caller.

use std::{sync::Arc, time::Duration};

use gotham::helpers::http::Body;
use http::Response;
use hyper::body::Incoming;

use super::{
    Callers,
    body::{Meter, Relayed},
    choice::Target,
    claims::Claim,
    exchange::{Exchange, Recorder},
    headers,
    metrics::InFlight,
    pool::Connection,
    request::Call,
};

/// An answer's head with the connection that it came from.
pub(crate) struct Reply {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    /// When the request was sent, on the host's clock.
    pub(crate) sent_at: Duration,
    /// Bytes of the request's head.
    pub(crate) request_head_bytes: u64,
}

/// Passes an answer on to the caller.
pub(crate) fn into_response(
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
        claim.record_head(head.status, &head.headers);
    }
    let meter = target.crosses_regions.then(|| {
        let due = reply.request_head_bytes + headers::encoded_bytes(&head.headers);
        Meter::new(callers.clone(), call.service.clone(), due)
    });
    let exchange = Exchange {
        callers: callers.clone(),
        connection: Some(reply.connection),
        reusable,
        target,
        claim,
        sent_at: reply.sent_at,
        recorder: Recorder::new(call),
        _in_flight: in_flight,
    };
    let body = Relayed::new(body, exchange, meter, call.stall_timeout);
    Response::from_parts(head, Body::new(body))
}
