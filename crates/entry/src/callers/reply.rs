//! Converts the response of a backend server to the response for the caller.

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

/// Response of a backend server, whose body is still to be read from `connection`.
pub(crate) struct Reply {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    /// Time at which the request was sent, on the host's clock.
    pub(crate) sent_at: Duration,
    /// Encoded size of the request's headers.
    pub(crate) request_header_bytes: u64,
}

/// Returns the response for the caller, whose body streams the backend server's body.
///
/// If the exchange crosses regions, the headers of request and response are charged with the body.
pub(crate) fn into_response(
    callers: &Arc<Callers>,
    call: &Call,
    target: Target,
    reply: Reply,
    mut claim: Option<Claim>,
    in_flight: InFlight,
) -> Response<Body> {
    let (mut head, body) = reply.response.into_parts();
    let is_reusable = !headers::says_close(&head.headers);
    headers::strip(&mut head.headers);
    if let Some(claim) = &mut claim {
        claim.record_head(head.status, &head.headers);
    }
    let meter = target.crosses_regions.then(|| {
        let header_bytes = reply.request_header_bytes + headers::encoded_bytes(&head.headers);
        Meter::new(callers.clone(), call.service.clone(), header_bytes)
    });
    let exchange = Exchange {
        callers: callers.clone(),
        connection: Some(reply.connection),
        is_reusable,
        target,
        claim,
        sent_at: reply.sent_at,
        recorder: Recorder::new(call),
        _in_flight: in_flight,
    };
    let body = Relayed::new(body, exchange, meter, call.stall_timeout);
    Response::from_parts(head, Body::new(body))
}
