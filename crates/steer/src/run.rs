//! Entry point of the process: startup, signal handling, maintenance and graceful shutdown.

use std::{path::Path, rc::Rc, time::Duration};

use marjorampick_core::steering::grace::Period;
use marjorampick_link::exit::Exit;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::{mpsc, watch},
    task::LocalSet,
    time::{interval, sleep, timeout},
};

use crate::{
    callers::accept::{self, Side},
    clock,
    codec::Codec,
    constants::{CLOSE_DELAY_RATIO, GRACE_MARGIN, MAINTENANCE_INTERVAL},
    events::{Event, Log, Rank},
    feed::{self, relay::Inbox},
    lending::Lending,
    limits,
    listeners::{self, Context},
    metrics,
    peers::{self, Message, Socket},
    quarantine, reach, registration,
    settings::{self, Settings},
    state::State,
    store::Client,
    tasks::{self, Supervisor},
};

/// Interval at which a drain checks whether requests are still in flight.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Maintenance ticks between two log events about closed connections, at most one for each listener and cause.
const REPORT_TICKS: u32 = 4;

/// Maximum time to wait at shutdown for the removal of the registration.
const DEREGISTRATION_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs an entry host until SIGTERM or SIGINT, or until a background task ends, and then drains it. `settings` were read from
/// `file`, which is validated again on SIGHUP.
pub fn run(file: &Path, settings: Settings, codec: Codec) -> eyre::Result<Exit> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let log = Log::start(settings.host.name.clone(), settings.log_lines_per_second)?;
    let (state, announcements) = State::new(settings, codec, log);
    LocalSet::new().block_on(&runtime, serve(file, state, announcements))
}

async fn serve(
    file: &Path,
    state: Rc<State>,
    announcements: mpsc::Receiver<Message>,
) -> eyre::Result<Exit> {
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
    let metrics_handle = metrics::install()?;
    let client = Client::new(state.settings.store.address, state.codec.store.clone());
    let (stopping_sender, stopping) = watch::channel(false);
    let (closing_sender, closing) = watch::channel(false);
    let (socket, sender) = Socket::open(state.settings.listeners.peers).await?;
    let socket = Rc::new(socket);
    let lending = Rc::new(Lending::new(socket.clone()));
    let inbox = Rc::new(Inbox::default());
    let (supervisor, mut ended) = Supervisor::new();
    start_listeners(&state, &supervisor, metrics_handle.clone()).await?;
    let feed = feed::run(state.clone(), client.clone(), socket.clone(), inbox.clone());
    supervisor.spawn("feed", feed);
    supervisor.spawn("parts", sender.run(state.clone()));
    supervisor.spawn("announce", peers::announce(state.clone(), socket.clone(), announcements));
    supervisor.spawn("limits", limits::run(state.clone(), client.clone()));
    supervisor.spawn("reach", reach::run(state.clone()));
    supervisor.spawn("judge", quarantine::judge(state.clone()));
    supervisor.spawn("verdicts", quarantine::publish(state.clone(), client.clone()));
    let registration = registration::run(state.clone(), client.clone(), stopping);
    let registration_task = supervisor.spawn("registration", registration);
    let messages = peers::run(state.clone(), socket.clone(), lending.clone(), inbox);
    supervisor.spawn("peers", messages);
    let maintenance = run_maintenance(state.clone(), client, metrics_handle, lending.clone());
    supervisor.spawn("maintenance", maintenance);
    let validation = validate_on_hang_up(state.clone(), file.to_owned(), hang_up);
    supervisor.spawn("settings", validation);
    let hosts_closing = closing.clone();
    let accept_hosts = accept::listen(state.clone(), lending.clone(), Side::Hosts, hosts_closing);
    supervisor.spawn("hosts", accept_hosts.await?);
    let accept_callers = accept::listen(state.clone(), lending, Side::Callers, closing);
    supervisor.spawn("callers", accept_callers.await?);
    let exit = tokio::select! {
        _ = terminate.recv() => Exit::Success,
        _ = interrupt.recv() => Exit::Success,
        Some(ended) = ended.recv() => {
            tasks::record_end(&state, &ended);
            Exit::Failure
        }
    };
    drain(&state, &stopping_sender, &closing_sender).await;
    timeout(DEREGISTRATION_TIMEOUT, registration_task).await.ok();
    Ok(exit)
}

/// Starts the listeners for look-ups, readiness and metrics.
async fn start_listeners(
    state: &Rc<State>,
    supervisor: &Supervisor,
    metrics_handle: PrometheusHandle,
) -> eyre::Result<()> {
    let lifetime = state.settings.lookup_lifetime;
    let context =
        Context::new(state.snapshot.clone(), state.codec.clone(), lifetime, metrics_handle);
    let addresses = &state.settings.listeners;
    let lookup = listeners::lookup_router(context.clone());
    supervisor.spawn("lookup", listeners::serve(state, addresses.lookup, lookup).await?);
    let readiness = listeners::readiness_router(context.clone());
    supervisor.spawn("readiness", listeners::serve(state, addresses.readiness, readiness).await?);
    let metrics = listeners::metrics_router(context);
    supervisor.spawn("metrics", listeners::serve(state, addresses.metrics, metrics).await?);
    Ok(())
}

/// Shuts down gracefully: removes the host from look-ups, gives callers time to switch to other
/// hosts, closes their connections, and waits for the requests in flight.
async fn drain(
    state: &Rc<State>,
    stopping_sender: &watch::Sender<bool>,
    closing_sender: &watch::Sender<bool>,
) {
    let started_at = clock::now();
    let grace_period = state.settings.grace_period;
    let period = Period::start(started_at, grace_period.saturating_sub(GRACE_MARGIN));
    state.grace.set(Some(period));
    state.publish_readiness();
    state.hosts.borrow_mut().remove(&state.settings.host.name);
    state.publish_hosts();
    stopping_sender.send_replace(true);
    state.log.write(Rank::Notice, Event::Stopping { in_flight: state.in_flight.get() });
    sleep(grace_period.mul_f64(CLOSE_DELAY_RATIO)).await;
    closing_sender.send_replace(true);
    // Lets the listener and the connections see that they are to close.
    sleep(DRAIN_CHECK_INTERVAL * 4).await;
    // A connection ends when its last answer is sent, which takes a slow caller longer than the request.
    let is_open = || state.in_flight.get() > 0 || state.open_connections.get() > 0;
    while is_open() && clock::now() < period.end() {
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
    let in_flight = state.in_flight.get();
    let after_ms = clock::now().saturating_sub(started_at).as_millis();
    state.log.write(Rank::Notice, Event::Stopped { in_flight, after_ms });
    state.log.close();
}

/// Periodically removes expired state and updates metrics.
async fn run_maintenance(
    state: Rc<State>,
    client: Client,
    metrics_handle: PrometheusHandle,
    lending: Rc<Lending>,
) {
    let mut ticks = interval(MAINTENANCE_INTERVAL);
    let mut tick_count: u32 = 0;
    loop {
        ticks.tick().await;
        tick_count = tick_count.wrapping_add(1);
        feed::remove_expired(&state);
        lending.remove_expired_requests();
        let now = clock::now();
        state.pool.borrow_mut().remove_expired(now);
        state.helper_pool.borrow_mut().remove_expired(now);
        state.helpers.borrow_mut().remove_expired(now);
        limits::update(&state);
        sweep_connections(&state, tick_count.is_multiple_of(REPORT_TICKS));
        metrics::set_in_flight(state.in_flight.get());
        metrics::set_missing_configuration(state.lag.borrow().time(now).unwrap_or_default());
        if tick_count.is_multiple_of(10) {
            metrics_handle.run_upkeep();
            registration::remove_expired_seats(&state, &client).await;
        }
    }
}

/// Closes connections that are overdue. With `is_report`, logs how many were closed or refused.
fn sweep_connections(state: &State, is_report: bool) {
    let times = state.connection_times();
    for gate in [&state.caller_gate, &state.host_gate, &state.service_gate] {
        gate.sweep(times);
        let closed = if is_report { gate.take_closed() } else { Vec::new() };
        for (cause, count) in closed {
            let (listener, cause) = (gate.name(), cause.name());
            let event = Event::ConnectionsClosed { listener, cause, count };
            state.log.write(Rank::Notice, event);
        }
    }
}

/// Validates the settings file again on SIGHUP. Changed settings take effect only at a restart.
async fn validate_on_hang_up(state: Rc<State>, file: std::path::PathBuf, mut hang_up: Signal) {
    while hang_up.recv().await.is_some() {
        let reason =
            settings::read(&file).map_or_else(|faults| faults.to_string(), |_| String::new());
        let event = Event::Reload { valid: reason.is_empty(), reason: &reason };
        state.log.write(Rank::Notice, event);
    }
}
