//! Calls of a store that does not serve this host, beside the questions to other hosts.
//!
//! A call may hang for a second, in which the host must go on learning from the others what the store holds.
//! A probe reads nothing: after an outage the changes can be large, and hundreds of hosts that each read
//! them to no use would keep the store's link from those that need them.

use std::{cell::RefCell, rc::Rc, time::Duration};

use crate::{
    constants::STORE_CALL_TIMEOUT,
    feed::relay::Inbox,
    metrics,
    state::State,
    store::{Call, Client, Fault},
    tasks,
};

/// Prefix of no key.
const NO_KEYS_PREFIX: &str = "marjorampick/probe/";

/// Longest time that a probe takes.
pub(super) const MAX_TIME: Duration = STORE_CALL_TIMEOUT.saturating_mul(2);

/// The latest probe.
#[derive(Debug, Default)]
pub(super) struct Probe {
    result: Rc<RefCell<Option<Result<(), Fault>>>>,
}

impl Probe {
    /// Finds out whether the store serves this host again. The inbox wakes the feed at the end.
    pub(super) fn start(&self, state: &Rc<State>, client: &Client, inbox: &Rc<Inbox>) {
        let state = state.clone();
        let (client, inbox, result) = (client.clone(), inbox.clone(), self.result.clone());
        let probing = async move {
            let prefix = NO_KEYS_PREFIX.to_owned();
            let call = Call::Range { prefix, after: None, may_be_stale: true };
            let reply = client.call(&call).await;
            metrics::record_store_call("probe", reply.is_ok());
            *result.borrow_mut() = Some(reply.map(drop));
            inbox.wake();
        };
        tokio::task::spawn_local(async move {
            tasks::contain_task(&state, "probe", probing).await;
        });
    }

    /// The result of a probe that has ended since the last call.
    pub(super) fn take(&self) -> Option<Result<(), Fault>> {
        self.result.take()
    }
}
