//! Background tasks of the process, none of which may end unseen.
//!
//! A host whose feed has ended goes on with what it knew, and its callers suffer from every change that it
//! misses. So the end of a task is logged and counted, and ends the process in order; where the task handles
//! what others wrote, a panic costs only the entry that caused it. See docs/OPERATIONS.md.

use std::{
    any::Any,
    panic::{AssertUnwindSafe, catch_unwind},
};

use futures_util::FutureExt as _;
use tokio::{sync::mpsc, task::JoinHandle};

use crate::{
    events::{Event, Rank},
    metrics,
    state::State,
};

/// A task that has ended although the process goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Name of the task.
    pub task: &'static str,
    /// Why it ended.
    pub reason: String,
}

/// Starts tasks and reports their end.
#[derive(Clone, Debug)]
pub struct Supervisor(mpsc::UnboundedSender<Ended>);

impl Supervisor {
    /// A supervisor, and the tasks that have ended.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Ended>) {
        let (sender, ended) = mpsc::unbounded_channel();
        (Self(sender), ended)
    }

    /// Runs a task on this thread. The receiver of [`Self::new`] gets its end, also by a panic.
    pub fn spawn(
        &self,
        task: &'static str,
        future: impl Future<Output = ()> + 'static,
    ) -> JoinHandle<()> {
        let sender = self.0.clone();
        tokio::task::spawn_local(async move {
            let reason = match AssertUnwindSafe(future).catch_unwind().await {
                Ok(()) => "it returned".to_owned(),
                Err(panic) => panic_text(panic.as_ref()),
            };
            // Without a receiver the process is about to end.
            sender.send(Ended { task, reason }).ok();
        })
    }
}

/// Logs and counts a task that has ended.
pub(crate) fn record_end(state: &State, ended: &Ended) {
    let Ended { task, reason } = ended;
    metrics::record_ended_task(task);
    state.log.write(Rank::Notice, Event::TaskEnded { task, reason });
}

/// Runs a task that serves one connection or request. A panic ends it alone.
pub(crate) async fn contain_task(
    state: &State,
    task: &'static str,
    future: impl Future<Output = ()>,
) {
    if let Err(panic) = AssertUnwindSafe(future).catch_unwind().await {
        record_end(state, &Ended { task, reason: panic_text(panic.as_ref()) });
    }
}

/// Handles one entry or message that others wrote, and returns its result, or the text of the panic that
/// it caused.
pub fn contain<T>(handle: impl FnOnce() -> T) -> Result<T, String> {
    catch_unwind(AssertUnwindSafe(handle)).map_err(|panic| panic_text(panic.as_ref()))
}

fn panic_text(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    format!("panic: {}", text.unwrap_or("without a text"))
}
