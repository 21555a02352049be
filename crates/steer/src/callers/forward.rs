//! Chooses an instance for a request, and retries at other instances where that is allowed.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use marjorampick_core::{
    rendezvous::Key,
    steering::fleet::{Choice, Criteria, Rejection},
};

use super::{
    attempt::{self, Failure},
    refusal::{Reason, Refusal},
    routing::Call,
};
use crate::{
    backend::answer::Answer,
    clock,
    constants::{MAX_RETRIES, MIN_ATTEMPT_TIME, NO_INSTANCE_RETRY_AFTER},
    quarantine::{self, Admitted},
    state::State,
};

/// Final outcome of a request.
pub(crate) struct Outcome {
    /// Answer of an instance, or refusal of this host.
    pub(crate) result: Result<Answer, Refusal>,
    /// Instance that answered, or that got the last attempt.
    pub(crate) choice: Option<Choice>,
    /// Number of attempts that reached an instance, as far as known.
    pub(crate) attempts: u32,
}

/// Sends a request to instances until one answers or no retry is allowed.
pub(crate) async fn forward(state: &Rc<State>, call: &Call, body: &Bytes) -> Outcome {
    state.count_request(&call.service);
    let mut tried_ids: Vec<Arc<str>> = Vec::new();
    let mut attempts = 0;
    let mut may_have_run = false;
    let mut is_on_trial = false;
    let mut last_failure: Option<Failure> = None;
    let mut last_choice: Option<Choice> = None;
    loop {
        // A trial that has not reached an instance goes on at the next one.
        let admitted = match is_on_trial && attempts == 0 {
            true => Ok(Admitted::OnTrial),
            false => admit(state, call, body).await,
        };
        is_on_trial = admitted == Ok(Admitted::OnTrial);
        let remaining = call.deadline.saturating_sub(clock::now());
        let chosen = admitted.and_then(|_| choose(state, call, &tried_ids, remaining));
        let choice = match chosen {
            Ok(choice) => choice,
            Err(refusal) => {
                let result = final_result(last_failure, may_have_run, refusal);
                return Outcome { result, choice: last_choice, attempts };
            }
        };
        tried_ids.push(choice.id.clone());
        let failure = match attempt::run(state, call, body, &choice, remaining).await {
            Ok(answer) => {
                return Outcome {
                    result: Ok(answer),
                    choice: Some(choice),
                    attempts: attempts + 1,
                };
            }
            Err(failure) => failure,
        };
        last_choice = Some(choice);
        attempts += u32::from(failure.has_reached_instance);
        may_have_run |= failure.may_have_run;
        let is_retried = may_retry(state, call, &failure, attempts, tried_ids.len());
        let retry_after = failure.retry_after;
        last_failure = Some(failure);
        if !is_retried {
            let refusal = Refusal::with_retry_after(Reason::Shed, retry_after);
            let result = final_result(last_failure, may_have_run, refusal);
            return Outcome { result, choice: last_choice, attempts };
        }
    }
}

fn choose(
    state: &Rc<State>,
    call: &Call,
    tried_ids: &[Arc<str>],
    remaining: Duration,
) -> Result<Choice, Refusal> {
    if remaining < MIN_ATTEMPT_TIME {
        return Err(Refusal::with_retry_after(Reason::LateUnsent, NO_INSTANCE_RETRY_AFTER));
    }
    let criteria = Criteria {
        service: &call.service,
        route: &call.route.name,
        route_regions: &call.route.home_regions,
        workspace_regions: call.workspace().map_or(&[], |workspace| &workspace.home_regions),
        object_hash: call.object_hash,
        excluded: tried_ids,
        priority: call.priority(),
        target_latency: call.route.target_latency,
        locality_draw: locality_draw(call),
        admission_draw: unit_interval(Key::new([call.id_text()]).weight("admission")),
    };
    let chosen = state.fleet.borrow_mut().choose(clock::now(), &criteria);
    chosen.map_err(|rejection| match rejection {
        Rejection::NoInstance => {
            Refusal::with_retry_after(Reason::NoInstance, NO_INSTANCE_RETRY_AFTER)
        }
        Rejection::NoCapacity { retry_after } => {
            Refusal::with_retry_after(Reason::Full, retry_after)
        }
        Rejection::Unreached { retry_after } => {
            Refusal::with_retry_after(Reason::Unreached, retry_after)
        }
        Rejection::ShiftLimited { retry_after } => {
            Refusal::with_retry_after(Reason::Shift, retry_after)
        }
    })
}

/// Refuses a request that crashes instances.
async fn admit(state: &Rc<State>, call: &Call, body: &Bytes) -> Result<Admitted, Refusal> {
    let admitted = quarantine::admit(state, call, body).await;
    admitted.map_err(|left| Refusal::with_retry_after(Reason::Quarantined, left))
}

/// Value of [`Criteria::locality_draw`]. All requests for one object get the same value, so that
/// they stay in one region and its instances keep the object cached.
fn locality_draw(call: &Call) -> f64 {
    let hash = call.object_hash.unwrap_or_else(|| Key::new([call.id_text()]).weight(""));
    unit_interval(hash)
}

/// Maps a hash to a number from 0 to below 1.
fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// Whether a request may be sent to another instance after a failure. Takes a retry from the budget
/// if the failed attempt reached an instance. `attempts` counts the attempts that reached an
/// instance, `tries` all of them.
fn may_retry(
    state: &Rc<State>,
    call: &Call,
    failure: &Failure,
    attempts: u32,
    tries: usize,
) -> bool {
    let is_safe = call.is_idempotent() || !failure.may_have_run;
    let needs_budget = failure.has_reached_instance;
    is_safe
        && attempts < call.route.max_attempts
        && tries <= MAX_RETRIES
        && (!needs_budget || state.try_retry(&call.service))
}

/// Result for the caller when no attempt succeeded: the server error that ended the last attempt,
/// if there is one, and otherwise a refusal. `refusal` applies only if the request has certainly
/// not run.
fn final_result(
    last_failure: Option<Failure>,
    may_have_run: bool,
    refusal: Refusal,
) -> Result<Answer, Refusal> {
    let Some(failure) = last_failure else {
        return Err(refusal);
    };
    if let Some(answer) = failure.answer {
        return Ok(*answer);
    }
    match (may_have_run, failure.has_timed_out) {
        (false, _) => Err(refusal),
        (true, true) => Err(Refusal::new(Reason::Late)),
        (true, false) => Err(Refusal::new(Reason::Lost)),
    }
}
