//! Forwards a request to backend servers until one responds or no retry is allowed.

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

/// Returns the response of a backend server, or a refusal after the last attempt failed.
///
/// A request of which nothing was sent is retried at another backend server. Any other one is
/// retried only if it is idempotent and has no body. Retries are limited by the retry budget.
pub(crate) async fn forward(
    callers: &Arc<Callers>,
    call: &Call,
    mut outgoing: Outgoing,
    mut claim: Option<Claim>,
    in_flight: InFlight,
) -> Result<Response<Body>, Refusal> {
    callers.retries.record_request();
    let mut tried: Vec<Arc<Instance>> = Vec::new();
    let mut last_refusal: Option<Refusal> = None;
    loop {
        let target = match choice::choose(callers, call, &tried).await {
            Ok(target) => target,
            Err(refusal) => return Err(refuse(claim, last_refusal.unwrap_or(refusal))),
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
        let refusal = merge(last_refusal, failure.refusal);
        let is_retried = match failure.retry {
            Retry::Never => false,
            Retry::IfBudgetAllows => attempt.may_retry && callers.retries.try_retry(),
            Retry::Charged => true,
        };
        if !is_retried {
            return Err(refuse(claim, refusal));
        }
        metrics::record_retry(&call.service);
        last_refusal = Some(refusal);
    }
}

/// Merges the refusals of several attempts. The outcome is [`Outcome::NotRun`] only if none of them
/// may have run.
fn merge(earlier: Option<Refusal>, latest: Refusal) -> Refusal {
    match earlier {
        Some(earlier) if earlier.outcome == Outcome::Unknown => earlier,
        _ => latest,
    }
}

/// Releases the claim if the refused request has not run, and returns the refusal.
fn refuse(claim: Option<Claim>, refusal: Refusal) -> Refusal {
    if let Some(mut claim) = claim
        && refusal.outcome == Outcome::NotRun
    {
        claim.mark_not_run();
    }
    refusal
}
