//! The workspace's rate: one token per request, borrowed if the host is short.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use marjorampick_core::{
    budget::Budget,
    constants::{BORROW_ATTEMPTS, BORROW_TIMEOUT},
};
use tokio::sync::oneshot;

use super::{
    Callers,
    refusal::{Code, Refusal},
    request::Call,
    tokens::TakeOptions,
};
use crate::shared::Request;

/// Takes the request's token; open routes need none.
pub(crate) async fn acquire_token(callers: &Arc<Callers>, call: &Call) -> Result<(), Refusal> {
    let Some(workspace) = call.workspace.clone() else {
        return Ok(());
    };
    let service = call.service.clone();
    let budget = Budget::Workspace { service, workspace };
    let take = |taking| (callers.tokens.take)(&budget, 1, taking);
    if take(TakeOptions::with_headroom(false)) {
        return Ok(());
    }
    let until = Instant::now() + BORROW_TIMEOUT;
    for _ in 0..BORROW_ATTEMPTS {
        let left = until.saturating_duration_since(Instant::now());
        let asked = !left.is_zero() && wait_for_loan(callers, call, &budget, 1, left).await;
        if asked && take(TakeOptions::with_headroom(true)) {
            return Ok(());
        }
    }
    Err(Refusal::not_run(Code::Rate, "the workspace is over its rate"))
}

/// Waits until the control thread says that a loan arrived or was denied.
///
/// Answers whether it is worth trying again.
pub(crate) async fn wait_for_loan(
    callers: &Callers,
    call: &Call,
    budget: &Budget,
    wanted: u64,
    longest: Duration,
) -> bool {
    let (wake, woken) = oneshot::channel();
    let request = Request::TokensNeeded { budget: budget.clone(), wanted, wake };
    if callers.shared.control.try_send(request).is_err() {
        return false;
    }
    let limit = longest.min(call.time_left());
    // Tokens also flow in by themselves while the request waits.
    tokio::time::timeout(limit, woken).await.ok();
    true
}
