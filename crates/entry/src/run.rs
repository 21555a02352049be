//! Runs an entry host from its start to the end of its drain. See docs/design.md §11.

use std::{sync::Arc, time::Duration};

use marjorampick_link::exit::Exit;
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::{mpsc, oneshot},
};

use crate::{
    settings::Settings,
    shared::{Request, Shared},
    start::{CALLERS, Threads, start},
    thread::Ended,
};

/// Longest time for leaving the members. While the store is away, the others remove the host later.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time for the last messages to the peers.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs an entry host until it is asked to stop, and drains it.
pub fn run(settings: Settings) -> eyre::Result<Exit> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> eyre::Result<Exit> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (shared, requests) = Shared::new(settings.host.name.clone(), settings.host.region.clone());
    let (ended, mut endings) = Ended::channel();
    let threads = Threads::new(ended);
    let (replaced, mut taken) = oneshot::channel();
    start(&settings, &shared, requests, replaced, &threads).await?;
    log::info!("main: host {} started", settings.host.name);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        Ok(()) = &mut taken => {}
        Some(name) = endings.recv() => {
            log::error!("main: the thread {name} has ended");
            return Ok(Exit::Failure);
        }
    }
    let exit = drain(&shared, &settings, &mut endings).await;
    finish(&mut endings).await;
    Ok(exit)
}

/// Stops gracefully: look-ups leave the host out at once, open requests end, the host leaves.
async fn drain(
    shared: &Arc<Shared>,
    settings: &Settings,
    endings: &mut mpsc::UnboundedReceiver<&'static str>,
) -> Exit {
    log::info!("main: draining");
    let started = shared.now();
    shared.start_draining();
    let (answer, left) = oneshot::channel();
    let asked = shared.control.send(Request::Drain).await;
    // The caller threads end when the look-up lifetime has passed and every open request has ended.
    // Routes have deadlines, which bound this wait.
    let mut serving = settings.callers.threads;
    while serving > 0 {
        match endings.recv().await {
            Some(CALLERS) => serving -= 1,
            Some(name) => {
                log::error!("main: the thread {name} has ended");
                return Exit::Failure;
            }
            None => return Exit::Failure,
        }
    }
    let leaving = shared.control.send(Request::Leave(answer)).await;
    if asked.is_err() || leaving.is_err() {
        log::error!("main: the control thread has ended");
        return Exit::Failure;
    }
    match tokio::time::timeout(LEAVE_TIMEOUT, left).await {
        Ok(Ok(())) => log::info!("main: left the members"),
        _ => log::warn!("main: could not leave the members; the other hosts will remove this one"),
    }
    let elapsed = shared.now().saturating_sub(started);
    log::info!("main: drained in {} ms", elapsed.as_millis());
    Exit::Success
}

/// Waits until the last messages to the peers have left; the other threads end with the process.
async fn finish(endings: &mut mpsc::UnboundedReceiver<&'static str>) {
    let closed = async { while endings.recv().await.is_some_and(|name| name != "peers") {} };
    if tokio::time::timeout(CLOSE_TIMEOUT, closed).await.is_err() {
        log::warn!("main: the connections to the peers are still open");
    }
}
