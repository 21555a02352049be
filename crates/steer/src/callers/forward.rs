//! Chooses an instance for a request, and retries at other instances where that is allowed.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use marjorampick_core::{
    rendezvous::Key,
    steering::fleet::{Choice, Criteria, Rejection},
};

use super::{
    attempt::{self, Failure},
    body::Sink,
    carry::{self, Carried},
    homes::Homes,
    refusal::{Reason, Refusal},
    routing::Call,
};
use crate::{
    backend::answer::Answer,
    clock,
    constants::{
        FAILED_CONNECTIONS_BEFORE_CARRY, MAX_RETRIES, MIN_ATTEMPT_TIME, NO_INSTANCE_RETRY_AFTER,
    },
    quarantine::{self, Admitted},
    state::State,
};

/// What became of an answer that the caller gets.
pub(crate) enum Reply {
    /// It is complete.
    Whole(Answer),
    /// It was passed on while it came, and has ended.
    Streamed {
        /// Status of the answer.
        status: StatusCode,
        /// How it ended, for the log.
        reason: &'static str,
    },
}

/// Final outcome of a request.
pub(crate) struct Outcome {
    /// Answer of an instance, or refusal of this host.
    pub(crate) result: Result<Reply, Refusal>,
    /// Instance that answered, or that got the last attempt.
    pub(crate) choice: Option<Choice>,
    /// Number of attempts that reached an instance, as far as known.
    pub(crate) attempts: u32,
    /// Name of the host that ran the request, or refused it, in place of this one.
    pub(crate) helper: Option<Arc<str>>,
}

/// Sends a request to instances until one answers or no retry is allowed. If this host does not reach
/// them, another host sends it. A large answer goes to `sink`, and is not retried from then on.
pub(crate) async fn forward(state: &Rc<State>, call: &Call, body: &Bytes, sink: &Sink) -> Outcome {
    state.count_request(&call.service);
    let mut progress = Progress { attempts: call.earlier_attempts(), ..Progress::default() };
    // The instance that the other host tried counts, so this host's first attempt is a retry.
    if progress.attempts > 0 && !state.try_retry(&call.service) {
        let refusal = Refusal::with_retry_after(Reason::Shed, NO_INSTANCE_RETRY_AFTER);
        return progress.refused(refusal);
    }
    loop {
        let choice = match progress.next_choice(state, call, body).await {
            Ok(choice) => choice,
            Err(refusal) if progress.may_carry(state, call, refusal.reason) => {
                return progress.carry(state, call, body, sink, refusal).await;
            }
            Err(refusal) => return progress.refused(refusal),
        };
        progress.tried_ids.push(choice.id.clone());
        let remaining = call.deadline.saturating_sub(clock::now());
        let failure = match attempt::run(state, call, body, &choice, remaining, sink).await {
            Ok(reply) => return progress.answered(reply, choice),
            Err(failure) => failure,
        };
        let has_caller_left = failure.has_caller_left;
        let is_retried = progress.record_failure(state, call, choice, failure);
        if has_caller_left {
            return progress.refused(Refusal::new(Reason::CallerLeft));
        }
        if progress.is_unreached(state, call) {
            let refusal = Refusal::with_retry_after(Reason::Unreached, NO_INSTANCE_RETRY_AFTER);
            if call.is_carried() {
                return progress.refused(refusal);
            }
            if progress.may_carry(state, call, Reason::Unreached) {
                return progress.carry(state, call, body, sink, refusal).await;
            }
        }
        if !is_retried {
            let failure = progress.last_failure.as_ref();
            let retry_after = failure.map_or(NO_INSTANCE_RETRY_AFTER, |f| f.retry_after);
            return progress.refused(Refusal::with_retry_after(Reason::Shed, retry_after));
        }
    }
}

/// What has become of a request so far.
#[derive(Default)]
struct Progress {
    tried_ids: Vec<Arc<str>>,
    /// Attempts that reached an instance, as far as known.
    attempts: u32,
    may_have_run: bool,
    is_on_trial: bool,
    /// Attempts that ended as no connection could be opened.
    failed_connections: usize,
    last_failure: Option<Failure>,
    last_choice: Option<Choice>,
}

impl Progress {
    /// Admits the request and chooses its next instance.
    async fn next_choice(
        &mut self,
        state: &Rc<State>,
        call: &Call,
        body: &Bytes,
    ) -> Result<Choice, Refusal> {
        // A trial that has not reached an instance goes on at the next one.
        let admitted = match self.is_on_trial && self.attempts == 0 {
            true => Ok(Admitted::OnTrial),
            false => admit(state, call, body).await,
        };
        self.is_on_trial = admitted == Ok(Admitted::OnTrial);
        admitted?;
        let remaining = call.deadline.saturating_sub(clock::now());
        choose(state, call, body, &self.tried_ids, remaining)
    }

    /// Records a failed attempt. Returns whether the request may be sent to another instance.
    fn record_failure(
        &mut self,
        state: &Rc<State>,
        call: &Call,
        choice: Choice,
        failure: Failure,
    ) -> bool {
        self.last_choice = Some(choice);
        self.attempts += u32::from(failure.has_reached_instance);
        self.may_have_run |= failure.may_have_run;
        self.failed_connections += usize::from(failure.is_unreached);
        let is_retried = may_retry(state, call, &failure, self.attempts, self.tried_ids.len());
        self.last_failure = Some(failure);
        is_retried
    }

    /// Whether the last attempt found no connection, and the next one will probably find none either. A
    /// request that another host passed on has no time for more attempts that hang.
    fn is_unreached(&self, state: &State, call: &Call) -> bool {
        let Some(failure) = self.last_failure.as_ref().filter(|failure| failure.is_unreached)
        else {
            return false;
        };
        self.failed_connections >= FAILED_CONNECTIONS_BEFORE_CARRY
            || (call.is_carried() && failure.has_hung)
            || state.fleet.borrow().is_lost(&call.service)
    }

    /// Whether the request, which this host would refuse for this reason, may be passed on.
    fn may_carry(&self, state: &State, call: &Call, reason: Reason) -> bool {
        let is_reason = match reason {
            Reason::Unreached | Reason::Behind => true,
            Reason::NoInstance | Reason::Full | Reason::Shift => {
                state.fleet.borrow().is_lost(&call.service)
            }
            _ => false,
        };
        let is_safe = call.is_idempotent() || !self.may_have_run;
        is_reason
            && is_safe
            && !call.is_carried()
            && self.attempts < call.route.max_attempts
            && state.is_known_to_others()
    }

    /// Passes the request on. `refusal` applies if no host takes it.
    async fn carry(
        mut self,
        state: &Rc<State>,
        call: &Call,
        body: &Bytes,
        sink: &Sink,
        refusal: Refusal,
    ) -> Outcome {
        let choice = self.last_choice.take();
        match carry::run(state, call, body, self.attempts, sink).await {
            Carried::Answered { reply, helper } => {
                let (result, helper) = (Ok(*reply), Some(helper));
                Outcome { result, choice, attempts: self.attempts, helper }
            }
            Carried::Lost { has_timed_out, helper } => {
                let reason = if has_timed_out { Reason::Late } else { Reason::Lost };
                let (result, helper) = (Err(Refusal::new(reason)), Some(helper));
                Outcome { result, choice, attempts: self.attempts, helper }
            }
            Carried::NotRun { refusal: last } => {
                self.last_choice = choice;
                self.refused(last.unwrap_or(refusal))
            }
        }
    }

    fn answered(self, reply: Reply, choice: Choice) -> Outcome {
        let attempts = self.attempts + 1;
        Outcome { result: Ok(reply), choice: Some(choice), attempts, helper: None }
    }

    fn refused(self, refusal: Refusal) -> Outcome {
        let result = final_result(self.last_failure, self.may_have_run, refusal);
        Outcome { result, choice: self.last_choice, attempts: self.attempts, helper: None }
    }
}

fn choose(
    state: &Rc<State>,
    call: &Call,
    body: &Bytes,
    tried_ids: &[Arc<str>],
    remaining: Duration,
) -> Result<Choice, Refusal> {
    if remaining < MIN_ATTEMPT_TIME {
        return Err(Refusal::with_retry_after(Reason::LateUnsent, NO_INSTANCE_RETRY_AFTER));
    }
    check_grace(state, call)?;
    let homes = Homes::judge(state, call)?;
    let criteria = Criteria {
        service: &call.service,
        route: &call.route.name,
        route_regions: homes.of_route(),
        workspace_regions: homes.of_workspace(),
        object_hash: call.object_hash,
        excluded: tried_ids,
        priority: call.priority(),
        route_priority: call.route.priority,
        target_latency: call.route.target_latency,
        locality_draw: locality_draw(call),
        admission_draw: unit_interval(Key::new([call.id_text()]).weight("admission")),
        body_bytes: body.len() as u64,
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

/// Refuses a request that may last longer than this process, which has been asked to stop. The caller may
/// go to another host at once.
pub(super) fn check_grace(state: &State, call: &Call) -> Result<(), Refusal> {
    let Some(grace) = state.grace.get() else {
        return Ok(());
    };
    let usual = state.fleet.borrow().usual_time(&call.service, &call.route.name);
    match grace.allows(clock::now(), call.deadline, usual) {
        true => Ok(()),
        false => Err(Refusal::with_retry_after(Reason::Stopping, Duration::ZERO)),
    }
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
) -> Result<Reply, Refusal> {
    let Some(failure) = last_failure else {
        return Err(refusal);
    };
    if let Some(answer) = failure.answer {
        return Ok(Reply::Whole(*answer));
    }
    match (may_have_run, failure.has_timed_out) {
        (false, _) => Err(refusal),
        (true, true) => Err(Refusal::new(Reason::Late)),
        (true, false) => Err(Refusal::new(Reason::Lost)),
    }
}
