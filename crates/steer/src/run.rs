//! Runs the entry host from its start to the end of its drain.

use std::{path::Path, rc::Rc, time::Duration};

use marjorampick_link::exit::Exit;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    task::LocalSet,
    time::{interval, sleep, timeout},
};

use crate::{
    callers, clock,
    codec::Codec,
    constants::{CLOSE_DELAY_RATIO, GRACE_MARGIN, UPKEEP_INTERVAL},
    events::{Event, Log, Rank},
    feed,
    lending::{self, Lending},
    listeners::{self, Context},
    metrics, registration,
    settings::{self, Settings},
    state::State,
    store::Client,
};

/// Interval at which a drain looks whether every request has ended.
const DRAIN_CHECK: Duration = Duration::from_millis(25);

/// Longest time for taking the registration away.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs an entry host with the settings of `file` until it is asked to stop, and drains it.
pub fn run(file: &Path, settings: Settings, codec: Codec) -> eyre::Result<Exit> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let log = Log::start(settings.host.name.clone(), settings.log_lines_per_second)?;
    let state = State::new(settings, codec, log);
    LocalSet::new().block_on(&runtime, serve(file, state))
}

async fn serve(file: &Path, state: Rc<State>) -> eyre::Result<Exit> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hang_up = signal(SignalKind::hangup())?;
    let host = &state.settings.host;
    let start = Event::Start {
        version: env!("CARGO_PKG_VERSION"),
        region: &host.region,
        domain: &host.failure_domain,
    };
    state.log.write(Rank::Notice, start);
    let recorder = metrics::install()?;
    serve_others(&state, recorder.clone()).await?;
    let client = Client::new(state.settings.store.address, state.codec.store.clone());
    let (stopping, stopped) = watch::channel(false);
    let (closing, closed) = watch::channel(false);
    tokio::task::spawn_local(feed::run(state.clone(), client.clone()));
    let present =
        tokio::task::spawn_local(registration::run(state.clone(), client.clone(), stopped));
    let lending = Rc::new(Lending::open(state.settings.listeners.peers).await?);
    tokio::task::spawn_local(lending::run(state.clone(), lending.clone()));
    tokio::task::spawn_local(upkeep(state.clone(), client, recorder, lending.clone()));
    tokio::task::spawn_local(reload(state.clone(), file.to_owned(), hang_up));
    callers::accept::listen(state.clone(), lending, closed).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    drain(&state, &stopping, &closing).await;
    timeout(LEAVE_TIMEOUT, present).await.ok();
    Ok(Exit::Success)
}

async fn serve_others(state: &Rc<State>, recorder: PrometheusHandle) -> eyre::Result<()> {
    let lifetime = state.settings.lookup_lifetime;
    let context = Context::new(state.snapshot.clone(), state.codec.clone(), lifetime, recorder);
    let addresses = &state.settings.listeners;
    listeners::serve(addresses.lookup, listeners::lookup_router(context.clone())).await?;
    listeners::serve(addresses.readiness, listeners::readiness_router(context.clone())).await?;
    listeners::serve(addresses.metrics, listeners::metrics_router(context)).await
}

/// Stops gracefully: look-ups leave the host out, callers move on, open requests end.
async fn drain(state: &Rc<State>, stopping: &watch::Sender<bool>, closing: &watch::Sender<bool>) {
    let started = clock::now();
    state.is_draining.set(true);
    state.publish_readiness();
    state.hosts.borrow_mut().remove(&state.settings.host.name);
    state.publish_hosts();
    stopping.send_replace(true);
    state.log.write(Rank::Notice, Event::Stopping { in_flight: state.in_flight.get() });
    let grace = state.settings.grace_period;
    sleep(grace.mul_f64(CLOSE_DELAY_RATIO)).await;
    closing.send_replace(true);
    let end = started + grace.saturating_sub(GRACE_MARGIN);
    // Requests may still be on their way on connections that are being closed.
    sleep(DRAIN_CHECK * 4).await;
    while state.in_flight.get() > 0 && clock::now() < end {
        sleep(DRAIN_CHECK).await;
    }
    let in_flight = state.in_flight.get();
    let after_ms = clock::now().saturating_sub(started).as_millis();
    state.log.write(Rank::Notice, Event::Stopped { in_flight, after_ms });
    state.log.close();
    // Answers that were just written are still on their way through the sockets' tasks.
    sleep(DRAIN_CHECK).await;
}

async fn upkeep(
    state: Rc<State>,
    client: Client,
    recorder: PrometheusHandle,
    lending: Rc<Lending>,
) {
    let mut due = interval(UPKEEP_INTERVAL);
    let mut rounds: u32 = 0;
    loop {
        due.tick().await;
        rounds = rounds.wrapping_add(1);
        feed::remove_expired(&state);
        lending.remove_expired_requests();
        state.pool.borrow_mut().remove_expired(clock::now());
        metrics::set_in_flight(state.in_flight.get());
        if rounds.is_multiple_of(10) {
            recorder.run_upkeep();
            registration::remove_expired_seats(&state, &client).await;
        }
    }
}

/// Checks the settings again when they may have changed. What they say takes effect at a restart.
async fn reload(state: Rc<State>, file: std::path::PathBuf, mut hang_up: Signal) {
    while hang_up.recv().await.is_some() {
        let reason =
            settings::read(&file).map_or_else(|faults| faults.to_string(), |_| String::new());
        let event = Event::Reload { valid: reason.is_empty(), reason: &reason };
        state.log.write(Rank::Notice, event);
    }
}
