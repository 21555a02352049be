//! Starts the threads of an entry host and creates the queues between them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eyre::WrapErr;
use futures_util::future;
use gotham::router::Router;
use marjorampick_core::{
    host::{Host, Identity, event::Event},
    member::Member,
};
use marjorampick_link::{peer::Credentials, store::Store};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
};

use crate::{
    admin,
    callers::{self, Callers, tokens::Tokens},
    control, lookup, metrics,
    peers::{self, Transmission},
    platform, probes,
    settings::Settings,
    shared::{Request, Shared},
    store,
    thread::{self, ExitNotifier},
    tls,
};

/// Name of each caller thread.
pub(crate) const CALLER_THREAD_NAME: &str = "callers";

/// Maximum number of events that wait for the control thread.
const EVENT_QUEUE_LENGTH: usize = 4096;

/// Maximum number of messages that wait for the peers thread.
const PEER_QUEUE_LENGTH: usize = 4096;

/// Maximum number of calls that wait for the store thread.
const STORE_QUEUE_LENGTH: usize = 256;

/// Interval between two maintenance runs of the metrics recorder.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Starts threads whose end is reported to the main thread.
pub(crate) struct Threads {
    notifier: ExitNotifier,
}

impl Threads {
    pub(crate) fn new(notifier: ExitNotifier) -> Self {
        Self { notifier }
    }

    fn spawn<F: Future<Output = ()>>(
        &self,
        name: &'static str,
        make_future: impl FnOnce() -> F + Send + 'static,
    ) -> eyre::Result<()> {
        let handle = thread::spawn(name, &self.notifier, make_future);
        handle.wrap_err_with(|| format!("cannot start the thread {name}"))?;
        Ok(())
    }
}

/// Opens the listening sockets and starts all threads.
pub(crate) async fn start(
    settings: &Settings,
    shared: &Arc<Shared>,
    requests: mpsc::Receiver<Request>,
    replaced: oneshot::Sender<()>,
    threads: &Threads,
) -> eyre::Result<()> {
    let listeners = Listeners::open(settings).await?;
    let host = new_host(settings);
    let callers = new_callers(settings, shared, &host);
    let (events, event_queue) = mpsc::channel(EVENT_QUEUE_LENGTH);
    let peers = start_peers(settings, &host, events.clone(), threads).await?;
    let store = start_store(settings, shared, events.clone(), threads)?;
    start_probes(settings, shared, callers.clone(), events, threads)?;
    let queues = control::Queues { requests, events: event_queue, peers, store, replaced };
    let control_shared = shared.clone();
    threads.spawn("control", move || control::run(host, control_shared, queues))?;
    start_admin(settings, shared, listeners.admin, threads)?;
    let router = lookup::router(shared.clone(), &settings.lookup)?;
    serve_http("lookup", listeners.lookup, router, threads)?;
    start_callers(settings, &callers, &listeners.callers, threads)
}

/// Listening sockets. All are opened before any thread starts, so that an error aborts the startup.
struct Listeners {
    callers: std::net::TcpListener,
    admin: std::net::TcpListener,
    lookup: std::net::TcpListener,
}

impl Listeners {
    async fn open(settings: &Settings) -> eyre::Result<Self> {
        Ok(Self {
            callers: listen(settings.callers.listen).await?,
            admin: listen(settings.admin.listen).await?,
            lookup: listen(settings.lookup.listen).await?,
        })
    }
}

/// Starts the peers thread and returns the queue of messages to send, once its socket is open.
async fn start_peers(
    settings: &Settings,
    host: &Host,
    events: mpsc::Sender<Event>,
    threads: &Threads,
) -> eyre::Result<mpsc::Sender<Transmission>> {
    let credentials = read_credentials(settings)?;
    let sender = host.sender();
    let address = settings.peers.bind.unwrap_or(sender.peer);
    let (messages, message_queue) = mpsc::channel(PEER_QUEUE_LENGTH);
    let (opened, open_result) = oneshot::channel();
    threads.spawn("peers", move || {
        peers::run(address, sender, credentials, message_queue, events, opened)
    })?;
    open_result.await.wrap_err("thread peers ended before its socket was open")??;
    Ok(messages)
}

/// Starts the thread that polls the platform's list of hosts and probes the backend servers.
fn start_probes(
    settings: &Settings,
    shared: &Arc<Shared>,
    callers: Arc<Callers>,
    events: mpsc::Sender<Event>,
    threads: &Threads,
) -> eyre::Result<()> {
    let platform_settings = settings.platform.clone();
    let shared = shared.clone();
    threads.spawn("probes", move || async move {
        tokio::join!(platform::run(platform_settings, events), probes::run(shared, callers));
    })
}

/// Starts the admin listener and the maintenance of the metrics that it returns.
fn start_admin(
    settings: &Settings,
    shared: &Arc<Shared>,
    listener: std::net::TcpListener,
    threads: &Threads,
) -> eyre::Result<()> {
    let recorder = metrics::install().wrap_err("cannot install the metrics recorder")?;
    let maintained_recorder = recorder.clone();
    threads.spawn("metrics", move || maintain_metrics(maintained_recorder))?;
    let context = admin::Context {
        shared: shared.clone(),
        token_digest: settings.admin.token_digest,
        render_metrics: Box::new(move || recorder.render()),
    };
    serve_http("admin", listener, admin::router(context), threads)
}

fn new_callers(settings: &Settings, shared: &Arc<Shared>, host: &Host) -> Arc<Callers> {
    let caller_settings = callers::Settings {
        max_connections: settings.callers.max_connections_per_thread,
        lookup_lifetime: settings.lookup.lifetime,
        ..callers::Settings::default()
    };
    let tokens = Tokens::from_ledger(host.ledger().clone(), shared.clone());
    Callers::new(shared.clone(), caller_settings, tokens)
}

/// Starts the caller threads, which all accept connections from one listening socket.
fn start_callers(
    settings: &Settings,
    callers: &Arc<Callers>,
    listener: &std::net::TcpListener,
    threads: &Threads,
) -> eyre::Result<()> {
    let acceptor = settings.callers.tls.as_ref().map(tls::acceptor).transpose()?;
    for _ in 0..settings.callers.threads {
        let listener = listener.try_clone()?;
        let callers = callers.clone();
        let acceptor = acceptor.clone();
        threads.spawn(CALLER_THREAD_NAME, move || async move {
            let result = match TcpListener::from_std(listener) {
                Ok(listener) => callers::serve(listener, acceptor, callers).await,
                Err(error) => Err(error),
            };
            if let Err(error) = result {
                log::error!("callers: {error}");
            }
        })?;
    }
    Ok(())
}

/// Runs the recorder's maintenance at intervals. Without it, the samples of histograms accumulate
/// until somebody reads the metrics.
async fn maintain_metrics(recorder: PrometheusHandle) {
    let mut interval = tokio::time::interval(METRICS_UPKEEP_INTERVAL);
    loop {
        interval.tick().await;
        recorder.run_upkeep();
    }
}

/// Starts the store thread and returns the queue of its calls.
fn start_store(
    settings: &Settings,
    shared: &Arc<Shared>,
    events: mpsc::Sender<Event>,
    threads: &Threads,
) -> eyre::Result<mpsc::Sender<store::Call>> {
    let shared = shared.clone();
    let store_settings = settings.store.clone();
    let (calls, call_queue) = mpsc::channel(STORE_QUEUE_LENGTH);
    threads.spawn("store", move || async move {
        let client = Store::new(store_settings.endpoints, &store_settings.prefix);
        store::run(shared, client, call_queue, events).await;
    })?;
    Ok(calls)
}

/// Starts a thread that serves `router` until the process ends.
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

fn read_credentials(settings: &Settings) -> eyre::Result<Credentials> {
    let peers = &settings.peers;
    let credentials = Credentials::read(&peers.authority, &peers.certificate, &peers.key);
    credentials.wrap_err("cannot use the certificates for the connections to peers")
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
    let identity = Identity { member, currency_source: settings.currency.source };
    Host::new(identity, settings.peers.seeds.clone(), rand::random)
}
