//! Lifecycle of the process: startup, termination signals and graceful shutdown. See
//! docs/design.md §11.

use std::{sync::Arc, time::Duration};

use marjorampick_link::exit::Exit;
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::{mpsc, oneshot},
};

use crate::{
    settings::Settings,
    shared::{Request, Shared},
    start::{CALLER_THREAD_NAME, Threads, start},
    thread::ExitNotifier,
};

/// Maximum time that a shutdown waits for the host to leave the members. If it cannot leave because
/// the store is unavailable, the other hosts remove it later.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time that a shutdown waits for the peers thread to send its last messages. Longer than
/// the time that the peers thread takes at most.
const PEERS_THREAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs an entry host until SIGTERM or SIGINT or until another incarnation replaces it, and then
/// drains it.
///
/// Fails if the host cannot start. The result is [`Exit::Failure`] if a thread ends unexpectedly.
pub fn run(settings: Settings) -> eyre::Result<Exit> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> eyre::Result<Exit> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (shared, requests) = Shared::new(settings.host.name.clone(), settings.host.region.clone());
    let (notifier, mut ended_threads) = ExitNotifier::channel();
    let threads = Threads::new(notifier);
    let (replaced, mut replacement) = oneshot::channel();
    start(&settings, &shared, requests, replaced, &threads).await?;
    log::info!("main: host {} started", settings.host.name);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        Ok(()) = &mut replacement => {}
        Some(name) = ended_threads.recv() => {
            log::error!("main: thread {name} ended unexpectedly");
            return Ok(Exit::Failure);
        }
    }
    let exit = drain(&shared, &settings, &mut ended_threads).await;
    wait_for_peers_thread(&mut ended_threads).await;
    Ok(exit)
}

/// Shuts down gracefully: removes the host from look-ups, waits until the open requests have ended,
/// and makes the host leave the members.
async fn drain(
    shared: &Arc<Shared>,
    settings: &Settings,
    ended_threads: &mut mpsc::UnboundedReceiver<&'static str>,
) -> Exit {
    log::info!("main: draining");
    let started_at = shared.now();
    shared.start_draining();
    let (answer, has_left) = oneshot::channel();
    let drain_request = shared.control.send(Request::Drain).await;
    // A caller thread ends when the look-up lifetime has passed and its open requests have ended.
    // The deadlines of the routes bound this wait.
    let mut running_caller_threads = settings.callers.threads;
    while running_caller_threads > 0 {
        match ended_threads.recv().await {
            Some(CALLER_THREAD_NAME) => running_caller_threads -= 1,
            Some(name) => {
                log::error!("main: thread {name} ended unexpectedly");
                return Exit::Failure;
            }
            None => return Exit::Failure,
        }
    }
    let leave_request = shared.control.send(Request::Leave(answer)).await;
    if drain_request.is_err() || leave_request.is_err() {
        log::error!("main: thread control ended unexpectedly");
        return Exit::Failure;
    }
    match tokio::time::timeout(LEAVE_TIMEOUT, has_left).await {
        Ok(Ok(())) => log::info!("main: left the members"),
        _ => log::warn!("main: could not leave the members; the other hosts will remove this one"),
    }
    let elapsed = shared.now().saturating_sub(started_at);
    log::info!("main: drained in {} ms", elapsed.as_millis());
    Exit::Success
}

/// Waits until the peers thread has sent its last messages and ended. The other threads end with
/// the process.
async fn wait_for_peers_thread(ended_threads: &mut mpsc::UnboundedReceiver<&'static str>) {
    let closed = async { while ended_threads.recv().await.is_some_and(|name| name != "peers") {} };
    if tokio::time::timeout(PEERS_THREAD_TIMEOUT, closed).await.is_err() {
        log::warn!("main: the peers thread did not end in time; its last messages may be lost");
    }
}
