//! Starts the threads of an entry host and ends them in order.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eyre::WrapErr;
use futures_util::future;
use gotham::router::Router;
use marjorampick_core::{
    budget::Ledger,
    host::{Host, Identity, event::Event},
    member::Member,
};
use marjorampick_link::{exit::Exit, peer::Credentials, store::Store};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    sync::{mpsc, oneshot},
};

use metrics_exporter_prometheus::PrometheusHandle;

use crate::{
    admin::{self, Admin},
    callers::{self, Callers, tokens::Tokens},
    control, lookup, metrics, peers, platform,
    settings::Settings,
    shared::{Request, Shared},
    store,
    thread::{self, Ended},
    tls,
};

/// Events that may wait for the control thread.
const EVENT_QUEUE_LENGTH: usize = 4096;

/// Messages that may wait for the peers thread.
const PEER_QUEUE_LENGTH: usize = 4096;

/// Calls that may wait for the store thread.
const CALL_QUEUE_LENGTH: usize = 256;

/// Longest time for leaving the members. While the store is away, the others remove the host later.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two upkeeps of the metrics.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Name of the caller threads.
const CALLERS: &str = "callers";

/// Longest time for the last messages to the peers.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs an entry host until it is asked to stop, and drains it.
pub fn run(settings: Settings) -> eyre::Result<Exit> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings))
}

/// Starts threads that report their end.
struct Threads {
    ended: Ended,
}

impl Threads {
    fn spawn<F: Future<Output = ()>>(
        &self,
        name: &'static str,
        work: impl FnOnce() -> F + Send + 'static,
    ) -> eyre::Result<()> {
        let handle = thread::spawn(name, &self.ended, work);
        handle.wrap_err_with(|| format!("cannot start the thread {name}"))?;
        Ok(())
    }
}

async fn serve(settings: Settings) -> eyre::Result<Exit> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (shared, requests) = Shared::new(settings.host.name.clone(), settings.host.region.clone());
    let (ended, mut endings) = Ended::channel();
    let threads = Threads { ended };
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

/// Starts every thread; listeners are opened first, so that a fault ends the start.
async fn start(
    settings: &Settings,
    shared: &Arc<Shared>,
    requests: mpsc::Receiver<Request>,
    replaced: oneshot::Sender<()>,
    threads: &Threads,
) -> eyre::Result<()> {
    let callers_listener = listen(settings.callers.listen).await?;
    let admin_listener = listen(settings.admin.listen).await?;
    let lookup_listener = listen(settings.lookup.listen).await?;
    let credentials = credentials(settings)?;
    let (event_sender, events) = mpsc::channel(EVENT_QUEUE_LENGTH);
    let (outgoing, to_send) = mpsc::channel(PEER_QUEUE_LENGTH);
    let (calls, to_call) = mpsc::channel(CALL_QUEUE_LENGTH);
    let host = new_host(settings);
    let from = host.sender();
    let ledger = host.ledger().clone();
    let (opened, opening) = oneshot::channel();
    let received = event_sender.clone();
    threads.spawn("peers", move || {
        peers::run(from, credentials, to_send, received, opened)
    })?;
    opening.await.wrap_err("the peers thread has ended")??;
    start_store(settings, shared, to_call, event_sender.clone(), threads)?;
    let platform = settings.platform.clone();
    threads.spawn("probes", move || platform::run(platform, event_sender))?;
    let queues = control::Queues {
        requests,
        events,
        peers: outgoing,
        store: calls,
        replaced,
    };
    let state = shared.clone();
    threads.spawn("control", move || control::run(host, state, queues))?;
    let recorder = metrics::install().wrap_err("the metrics cannot be recorded")?;
    let upkeep = recorder.clone();
    threads.spawn("metrics", move || upkeep_of(upkeep))?;
    let admin = Admin {
        shared: shared.clone(),
        token: settings.admin.token,
        metrics: Box::new(move || recorder.render()),
    };
    serve_http("admin", admin_listener, admin::router(admin), threads)?;
    let router = lookup::router(shared.clone(), &settings.lookup);
    serve_http("lookup", lookup_listener, router, threads)?;
    start_callers(settings, shared, ledger, &callers_listener, threads)
}

/// Starts the caller threads, which share one listening socket.
fn start_callers(
    settings: &Settings,
    shared: &Arc<Shared>,
    ledger: Arc<Ledger>,
    listener: &std::net::TcpListener,
    threads: &Threads,
) -> eyre::Result<()> {
    let limits = callers::Settings {
        connections: settings.callers.connections,
        lookup_lifetime: settings.lookup.lifetime,
        ..callers::Settings::default()
    };
    let tokens = Tokens::of_ledger(ledger, shared.clone());
    let state = Callers::new(shared.clone(), limits, tokens);
    let tls = settings
        .callers
        .tls
        .as_ref()
        .map(tls::acceptor)
        .transpose()?;
    for _ in 0..settings.callers.threads {
        let listener = listener.try_clone()?;
        let state = state.clone();
        let tls = tls.clone();
        threads.spawn(CALLERS, move || async move {
            let served = match TcpListener::from_std(listener) {
                Ok(listener) => callers::serve(listener, tls, state).await,
                Err(error) => Err(error),
            };
            if let Err(error) = served {
                log::error!("callers: {error}");
            }
        })?;
    }
    Ok(())
}

/// Samples of histograms that nobody reads would pile up otherwise.
async fn upkeep_of(recorder: PrometheusHandle) {
    let mut interval = tokio::time::interval(UPKEEP_INTERVAL);
    loop {
        interval.tick().await;
        recorder.run_upkeep();
    }
}

fn start_store(
    settings: &Settings,
    shared: &Arc<Shared>,
    calls: mpsc::Receiver<store::Call>,
    events: mpsc::Sender<Event>,
    threads: &Threads,
) -> eyre::Result<()> {
    let shared = shared.clone();
    let store = settings.store.clone();
    threads.spawn("store", move || async move {
        let client = Store::new(store.endpoints, &store.prefix);
        store::run(shared, client, calls, events).await;
    })
}

/// Serves `router` on a thread of its own until the process ends.
fn serve_http(
    name: &'static str,
    listener: std::net::TcpListener,
    router: Router,
    threads: &Threads,
) -> eyre::Result<()> {
    threads.spawn(name, move || async move {
        match TcpListener::from_std(listener) {
            Ok(listener) => gotham::bind_server(listener, router, future::ok).await,
            Err(error) => log::error!("{name}: {error}"),
        }
    })
}

async fn listen(address: SocketAddr) -> eyre::Result<std::net::TcpListener> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.wrap_err_with(|| format!("cannot listen on {address}"))?;
    Ok(listener.into_std()?)
}

fn credentials(settings: &Settings) -> eyre::Result<Credentials> {
    let peers = &settings.peers;
    let credentials = Credentials::read(&peers.authority, &peers.certificate, &peers.key);
    credentials.wrap_err("the peer certificates cannot be used")
}

fn new_host(settings: &Settings) -> Host {
    let member = Member {
        host: settings.host.name.clone(),
        incarnation: rand::random(),
        region: settings.host.region.clone(),
        domain: settings.host.domain.clone(),
        peer: settings.peers.listen,
        callers: settings.callers.listen,
    };
    let identity = Identity {
        member,
        currency: settings.currency.source,
    };
    Host::new(identity, settings.peers.seeds.clone(), rand::random)
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
