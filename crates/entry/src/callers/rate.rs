//! Rate limit of a workspace: each request takes one token, which another host may lend.

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

/// Takes a token of the workspace's rate limit. If there is none, waits for a loan.
///
/// Requests without a workspace need no token.
pub(crate) async fn acquire_token(callers: &Arc<Callers>, call: &Call) -> Result<(), Refusal> {
    let Some(workspace) = call.workspace.clone() else {
        return Ok(());
    };
    let service = call.service.clone();
    let budget = Budget::Workspace { service, workspace };
    let take = |options| (callers.tokens.take)(&budget, 1, options);
    if take(TakeOptions::with_headroom(false)) {
        return Ok(());
    }
    let give_up_at = Instant::now() + BORROW_TIMEOUT;
    for _ in 0..BORROW_ATTEMPTS {
        let remaining = give_up_at.saturating_duration_since(Instant::now());
        let has_waited =
            !remaining.is_zero() && wait_for_loan(callers, call, &budget, 1, remaining).await;
        if has_waited && take(TakeOptions::with_headroom(true)) {
            return Ok(());
        }
    }
    Err(Refusal::not_run(Code::Rate, "the workspace is over its rate"))
}

/// Requests a loan and waits until it arrives or is denied, at most for `max_wait` or until the
/// request's deadline.
///
/// Returns whether to try again, which is useless if the control thread's queue is full.
pub(crate) async fn wait_for_loan(
    callers: &Callers,
    call: &Call,
    budget: &Budget,
    wanted: u64,
    max_wait: Duration,
) -> bool {
    let (wake, woken) = oneshot::channel();
    let request = Request::TokensNeeded { budget: budget.clone(), wanted, wake };
    if callers.shared.control.try_send(request).is_err() {
        return false;
    }
    let limit = max_wait.min(call.time_left());
    // A timeout counts as success, as the budget refills while the request waits.
    tokio::time::timeout(limit, woken).await.ok();
    true
}
