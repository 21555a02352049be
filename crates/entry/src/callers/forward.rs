//! Sends a request to backend servers until one answers or nothing more may be tried.

use std::sync::Arc;

use gotham::helpers::http::Body;
use http::Response;

use super::{
    Callers,
    attempt::{Attempt, Retry},
    choice,
    claims::Claim,
    constants::RETRIES_PER_REQUEST,
    fleet::Instance,
    metrics::{self, InFlight},
    outcome::Outcome,
    refusal::Refusal,
    reply,
    request::{Call, Outgoing},
};

/// Forwards the request; with retries if it may run twice and has no body.
pub(crate) async fn forward(
    callers: &Arc<Callers>,
    call: &Call,
    mut outgoing: Outgoing,
    mut claim: Option<Claim>,
    in_flight: InFlight,
) -> Result<Response<Body>, Refusal> {
    callers.retries.record_request();
    let mut tried: Vec<Arc<Instance>> = Vec::new();
    let mut refused: Option<Refusal> = None;
    loop {
        let target = match choice::choose(callers, call, &tried).await {
            Ok(target) => target,
            Err(refusal) => return Err(give_up(claim, refused.unwrap_or(refusal))),
        };
        tried.push(target.instance().clone());
        let attempt = Attempt {
            callers,
            call,
            target: &target,
            may_retry: tried.len() <= RETRIES_PER_REQUEST,
        };
        let failure = match attempt.run(&mut outgoing, claim.as_mut()).await {
            Ok(reply) => {
                let response =
                    reply::into_response(callers, call, target, reply, claim.take(), in_flight);
                return Ok(response);
            }
            Err(failure) => failure,
        };
        let refusal = combine(refused, failure.refusal);
        let again = match failure.retry {
            Retry::Never => false,
            Retry::IfBudgetAllows => attempt.may_retry && callers.retries.try_retry(),
            Retry::Charged => true,
        };
        if !again {
            return Err(give_up(claim, refusal));
        }
        metrics::record_retry(&call.service);
        refused = Some(refusal);
    }
}

/// The refusal after several attempts: not run only if none of them may have run.
fn combine(earlier: Option<Refusal>, latest: Refusal) -> Refusal {
    match earlier {
        Some(earlier) if earlier.outcome == Outcome::Unknown => earlier,
        _ => latest,
    }
}

/// Ends the claim of a request that is refused.
fn give_up(claim: Option<Claim>, refusal: Refusal) -> Refusal {
    if let Some(mut claim) = claim
        && refusal.outcome == Outcome::NotRun
    {
        claim.mark_not_sent();
    }
    refusal
}
