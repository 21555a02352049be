//! Stand-in for a backend server: slots, cold start, load shedding, drain and faults.
//!
//! Paths below `/_admin` and the paths `/health` and `/load` belong to the stand-in itself; every
//! other path runs a request. See docs/design.md §1, §2.

mod fault;
mod record;
mod response;
mod service;
mod socket;

use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use hyper::server::conn::http1;
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, Semaphore},
};

pub use fault::{FAULT_HEADER, Fault};
pub use record::{Record, RequestHead};

/// Response header that states that a refused request did not run. The entry hosts rely on it.
pub const OUTCOME_HEADER: &str = "marjorampick-outcome";

/// Delay after a failed accept, for instance when no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Settings of one backend server.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Maximum number of concurrent requests. Further ones are refused before they run.
    pub slots: usize,
    /// Duration of the run of one request.
    pub service_time: Duration,
    /// Time after the start in which requests run slower.
    pub cold_start: Duration,
    /// Factor of the service time directly after the start. It falls linearly to 1 over
    /// `cold_start`.
    pub cold_factor: f64,
    /// Age of the figures that `/load` and `/health` report.
    pub report_lag: Duration,
    /// Number of running requests that `/load` reports instead of the actual one.
    pub reported_load: Option<u64>,
    /// State that `/health` reports instead of the actual one.
    pub reported_health: Option<Arc<str>>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: Arc::from("backend"),
            slots: 9,
            service_time: Duration::ZERO,
            cold_start: Duration::ZERO,
            cold_factor: 1.0,
            report_lag: Duration::ZERO,
            reported_load: None,
            reported_health: None,
        }
    }
}

/// A backend server.
pub struct Backend {
    settings: Settings,
    started: Instant,
    slots: Arc<Semaphore>,
    /// Number of connections accepted so far.
    connections: AtomicU64,
    draining: AtomicBool,
    /// Notified when the listener is to be closed.
    listener_closed: Notify,
    record: Mutex<Record>,
    history: Mutex<record::History>,
    fault_plan: Mutex<Option<fault::Plan>>,
}

impl Backend {
    /// Creates a backend server, which [`Backend::serve`] runs on a listener.
    pub fn new(settings: Settings) -> Arc<Self> {
        Arc::new(Self {
            slots: Arc::new(Semaphore::new(settings.slots)),
            settings,
            started: Instant::now(),
            connections: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            listener_closed: Notify::new(),
            record: Mutex::default(),
            history: Mutex::default(),
            fault_plan: Mutex::default(),
        })
    }

    /// Serves until [`Backend::drain`] is called and the open requests have ended.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) -> io::Result<()> {
        let graceful = GracefulShutdown::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.listener_closed.notified() => break,
            };
            match accepted {
                Ok((stream, _)) => self.clone().spawn(stream, graceful.watcher()),
                Err(error) => {
                    log::warn!("backend: accept failed: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        drop(listener);
        graceful.shutdown().await;
        Ok(())
    }

    fn spawn(self: Arc<Self>, stream: TcpStream, watcher: hyper_util::server::graceful::Watcher) {
        stream.set_nodelay(true).ok();
        let socket = socket::Socket::new(stream);
        let connection = self.connections.fetch_add(1, Ordering::Relaxed);
        let service = service::Service::new(self, socket.clone(), connection);
        let service = hyper::service::service_fn(move |request| service.clone().call(request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(socket), service);
        let connection = watcher.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("backend: connection ended: {error}");
            }
        });
    }

    /// Starts the drain: `/health` reports `draining`, the listener closes, and open requests
    /// finish.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
        self.listener_closed.notify_one();
    }

    /// Announces the drain in `/health` and in responses, but leaves the listener open.
    pub fn announce_drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Applies `fault` to the next `requests` requests without a [`FAULT_HEADER`] of their own.
    pub fn plan(&self, fault: Fault, requests: u64) {
        *lock(&self.fault_plan) = Some(fault::Plan { fault, requests });
    }

    /// Copy of the record of all requests so far.
    pub fn record(&self) -> Record {
        lock(&self.record).clone()
    }

    /// Number of requests that are running.
    pub fn running(&self) -> u64 {
        (self.settings.slots - self.slots.available_permits()) as u64
    }

    fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Service time of a request that starts now.
    fn service_time(&self) -> Duration {
        let Settings { service_time, cold_start, cold_factor, .. } = self.settings;
        let age = self.started.elapsed();
        if age >= cold_start {
            return service_time;
        }
        let progress = age.as_secs_f64() / cold_start.as_secs_f64();
        service_time.mul_f64(cold_factor + (1.0 - cold_factor) * progress)
    }
}

/// Locks a mutex, also after a panic of a holder: no holder leaves its data inconsistent.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
