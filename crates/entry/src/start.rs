//! Starts the threads of an entry host and the queues between them.

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
    thread::{self, Ended},
    tls,
};

/// Name of the caller threads.
pub(crate) const CALLERS: &str = "callers";

/// Events that may wait for the control thread.
const EVENT_QUEUE_LENGTH: usize = 4096;

/// Messages that may wait for the peers thread.
const PEER_QUEUE_LENGTH: usize = 4096;

/// Calls that may wait for the store thread.
const CALL_QUEUE_LENGTH: usize = 256;

/// Interval between two upkeeps of the metrics.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Starts threads that report their end.
pub(crate) struct Threads {
    ended: Ended,
}

impl Threads {
    pub(crate) fn new(ended: Ended) -> Self {
        Self { ended }
    }

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

/// Starts every thread.
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
    let (events, received) = mpsc::channel(EVENT_QUEUE_LENGTH);
    let peers = start_peers(settings, &host, events.clone(), threads).await?;
    let store = start_store(settings, shared, events.clone(), threads)?;
    start_probes(settings, shared, callers.clone(), events, threads)?;
    let queues = control::Queues { requests, events: received, peers, store, replaced };
    let state = shared.clone();
    threads.spawn("control", move || control::run(host, state, queues))?;
    start_admin(settings, shared, listeners.admin, threads)?;
    let router = lookup::router(shared.clone(), &settings.lookup)?;
    serve_http("lookup", listeners.lookup, router, threads)?;
    start_callers(settings, &callers, &listeners.callers, threads)
}

/// Listening sockets, opened before any thread starts, so that a fault ends the start.
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

/// Starts the peer transport and answers the queue of messages to send.
async fn start_peers(
    settings: &Settings,
    host: &Host,
    events: mpsc::Sender<Event>,
    threads: &Threads,
) -> eyre::Result<mpsc::Sender<Transmission>> {
    let credentials = credentials(settings)?;
    let from = host.sender();
    let address = settings.peers.bind.unwrap_or(from.peer);
    let (outgoing, messages) = mpsc::channel(PEER_QUEUE_LENGTH);
    let (opened, opening) = oneshot::channel();
    threads
        .spawn("peers", move || peers::run(address, from, credentials, messages, events, opened))?;
    opening.await.wrap_err("the peers thread has ended")??;
    Ok(outgoing)
}

/// Starts the list of hosts and the probes of backend servers, which share a thread.
fn start_probes(
    settings: &Settings,
    shared: &Arc<Shared>,
    callers: Arc<Callers>,
    events: mpsc::Sender<Event>,
    threads: &Threads,
) -> eyre::Result<()> {
    let platform = settings.platform.clone();
    let shared = shared.clone();
    threads.spawn("probes", move || async move {
        tokio::join!(platform::run(platform, events), probes::run(shared, callers));
    })
}

/// Starts the admin listener and the upkeep of the metrics that it renders.
fn start_admin(
    settings: &Settings,
    shared: &Arc<Shared>,
    listener: std::net::TcpListener,
    threads: &Threads,
) -> eyre::Result<()> {
    let recorder = metrics::install().wrap_err("the metrics cannot be recorded")?;
    let upkeep = recorder.clone();
    threads.spawn("metrics", move || upkeep_of(upkeep))?;
    let context = admin::Context {
        shared: shared.clone(),
        token_digest: settings.admin.token_digest,
        render_metrics: Box::new(move || recorder.render()),
    };
    serve_http("admin", listener, admin::router(context), threads)
}

fn new_callers(settings: &Settings, shared: &Arc<Shared>, host: &Host) -> Arc<Callers> {
    let limits = callers::Settings {
        connections: settings.callers.max_connections_per_thread,
        lookup_lifetime: settings.lookup.lifetime,
        ..callers::Settings::default()
    };
    let tokens = Tokens::of_ledger(host.ledger().clone(), shared.clone());
    Callers::new(shared.clone(), limits, tokens)
}

/// Starts the caller threads, which share one listening socket.
fn start_callers(
    settings: &Settings,
    callers: &Arc<Callers>,
    listener: &std::net::TcpListener,
    threads: &Threads,
) -> eyre::Result<()> {
    let tls = settings.callers.tls.as_ref().map(tls::acceptor).transpose()?;
    for _ in 0..settings.callers.threads {
        let listener = listener.try_clone()?;
        let state = callers.clone();
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

/// Starts the store thread and answers the queue of its calls.
fn start_store(
    settings: &Settings,
    shared: &Arc<Shared>,
    events: mpsc::Sender<Event>,
    threads: &Threads,
) -> eyre::Result<mpsc::Sender<store::Call>> {
    let shared = shared.clone();
    let store = settings.store.clone();
    let (calls, waiting) = mpsc::channel(CALL_QUEUE_LENGTH);
    threads.spawn("store", move || async move {
        let client = Store::new(store.endpoints, &store.prefix);
        store::run(shared, client, waiting, events).await;
    })?;
    Ok(calls)
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
    let identity = Identity { member, currency_source: settings.currency.source };
    Host::new(identity, settings.peers.seeds.clone(), rand::random)
}
