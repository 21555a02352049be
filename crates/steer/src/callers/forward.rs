//! Finds an instance for a request, and another one where that is allowed.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use marjorampick_core::steering::fleet::{Choice, Criteria, Rejection};

use super::{
    attempt::{Failure, attempt},
    refusal::{Reason, Refusal},
    routing::Call,
};
use crate::{
    backend::answer::Answer,
    clock,
    constants::{MAX_RETRIES, MIN_ATTEMPT_TIME, NO_INSTANCE_RETRY_AFTER},
    state::State,
};

/// How a request ended.
pub(crate) struct Ending {
    /// The instance's answer, or the host's own.
    pub(crate) result: Result<Answer, Refusal>,
    /// Instance that answered, or was tried last.
    pub(crate) choice: Option<Choice>,
    /// Attempts that reached an instance, as far as known.
    pub(crate) attempts: u32,
}

/// Runs a request at an instance.
pub(crate) async fn forward(state: &Rc<State>, call: &Call, body: &Bytes) -> Ending {
    state.count_request(&call.service);
    let mut tried: Vec<Arc<str>> = Vec::new();
    let mut attempts = 0;
    let mut may_have_run = false;
    let mut last: Option<Failure> = None;
    let mut chosen: Option<Choice> = None;
    loop {
        let left = call.end.saturating_sub(clock::now());
        let choice = match choose(state, call, &tried, left) {
            Ok(choice) => choice,
            Err(refusal) => {
                let result = conclude(last, may_have_run, refusal);
                return Ending { result, choice: chosen, attempts };
            }
        };
        tried.push(choice.id.clone());
        let failure = match attempt(state, call, body, &choice, left).await {
            Ok(answer) => {
                return Ending { result: Ok(answer), choice: Some(choice), attempts: attempts + 1 };
            }
            Err(failure) => failure,
        };
        chosen = Some(choice);
        attempts += u32::from(failure.arrived);
        may_have_run |= failure.may_have_run;
        let goes_on = may_go_on(state, call, &failure, attempts, tried.len());
        last = Some(failure);
        if !goes_on {
            let refusal = Refusal::after(Reason::Shed, NO_INSTANCE_RETRY_AFTER);
            let result = conclude(last, may_have_run, refusal);
            return Ending { result, choice: chosen, attempts };
        }
    }
}

fn choose(
    state: &Rc<State>,
    call: &Call,
    tried: &[Arc<str>],
    left: Duration,
) -> Result<Choice, Refusal> {
    if left < MIN_ATTEMPT_TIME {
        return Err(Refusal::after(Reason::LateUnsent, NO_INSTANCE_RETRY_AFTER));
    }
    let criteria = Criteria {
        service: &call.service,
        route_regions: &call.route.home_regions,
        workspace_regions: call.limits().map_or(&[], |limits| &limits.home_regions),
        object_hash: call.object,
        excluded: tried,
        priority: call.priority(),
        target_latency: call.route.target_latency,
        locality_draw: draw(call),
    };
    let chosen = state.fleet.borrow_mut().choose(clock::now(), &criteria);
    chosen.map_err(|rejection| match rejection {
        Rejection::NoInstance => Refusal::after(Reason::NoInstance, NO_INSTANCE_RETRY_AFTER),
        Rejection::NoCapacity { retry_after } => Refusal::after(Reason::Full, retry_after),
        Rejection::ShiftLimited { retry_after } => Refusal::after(Reason::Shift, retry_after),
    })
}

/// Requests of one object stay together, so that instances keep knowing their objects.
fn draw(call: &Call) -> f64 {
    let hash = call
        .object
        .unwrap_or_else(|| marjorampick_core::rendezvous::Key::new([call.id_text()]).weight(""));
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// Whether a request may be sent to another instance after a failure.
fn may_go_on(
    state: &Rc<State>,
    call: &Call,
    failure: &Failure,
    attempts: u32,
    tries: usize,
) -> bool {
    let is_safe = call.is_idempotent() || !failure.may_have_run;
    let is_counted = failure.arrived;
    is_safe
        && attempts < call.route.max_attempts
        && tries <= MAX_RETRIES
        && (!is_counted || state.try_retry(&call.service))
}

/// The final answer when no instance gave a good one.
fn conclude(
    last: Option<Failure>,
    may_have_run: bool,
    refusal: Refusal,
) -> Result<Answer, Refusal> {
    let Some(failure) = last else {
        return Err(refusal);
    };
    if let Some(answer) = failure.answer {
        return Ok(*answer);
    }
    match (may_have_run, failure.is_late) {
        (false, _) => Err(refusal),
        (true, true) => Err(Refusal::new(Reason::Late)),
        (true, false) => Err(Refusal::new(Reason::Lost)),
    }
}
