//! The caller listener: accepts connections, serves them, and drains.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    panic::AssertUnwindSafe,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use futures_util::FutureExt as _;
use gotham::{helpers::http::Body, service::call_handler, state::State};
use http::{HeaderValue, Request, Response, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::{GracefulShutdown, Watcher},
};
use marjorampick_link::wire::stream::Stream;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
};
use tokio_rustls::TlsAcceptor;

use super::{
    Callers, Settings,
    constants::ACCEPT_RETRY_DELAY,
    handler::Entry,
    metrics,
    refusal::{Code, Refusal},
};

/// Interval at which the listener looks for the start of a drain.
const DRAIN_CHECK: Duration = Duration::from_millis(50);

/// Interval at which idle backend connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Time in which the connections that were accepted last send their requests.
const LAST_REQUESTS: Duration = Duration::from_millis(100);

/// Header that gotham turns into a string without checking it.
const REQUEST_ID: &str = "x-request-id";

/// Serves callers until the host has drained.
///
/// After [`crate::shared::Shared::start_draining`] the listener accepts connections for the look-up
/// lifetime, as callers have answers that name this host. It then closes, and the function returns
/// when every open request has ended.
pub async fn serve(
    listener: TcpListener,
    tls: Option<TlsAcceptor>,
    callers: Arc<Callers>,
) -> io::Result<()> {
    let server = Server {
        graceful: GracefulShutdown::new(),
        permits: Arc::new(Semaphore::new(callers.settings.connections)),
        tls,
        entry: Entry::new(callers.clone(), callers.next_lane()),
        callers,
    };
    let drain_started = server.accept_until_drained(&listener).await;
    server.accept_waiting(&listener);
    drop(listener);
    // The library closes connections that have not sent a byte yet, although a request may be on
    // its way on those that were accepted last.
    tokio::time::sleep(LAST_REQUESTS).await;
    server.graceful.shutdown().await;
    let elapsed = drain_started.elapsed();
    metrics::drained(elapsed);
    log::info!("callers: drained in {} ms", elapsed.as_millis());
    Ok(())
}

struct Server {
    graceful: GracefulShutdown,
    permits: Arc<Semaphore>,
    tls: Option<TlsAcceptor>,
    callers: Arc<Callers>,
    entry: Entry,
}

impl Server {
    /// Accepts until the look-up lifetime after the start of the drain; answers that start.
    async fn accept_until_drained(&self, listener: &TcpListener) -> Instant {
        let mut drain_started: Option<Instant> = None;
        let mut swept = Instant::now();
        let mut check = tokio::time::interval(DRAIN_CHECK);
        loop {
            tokio::select! {
                accepted = self.accept(listener) => self.start(accepted).await,
                _ = check.tick() => {}
            }
            if swept.elapsed() >= SWEEP_INTERVAL {
                swept = Instant::now();
                self.callers.fleet.sweep(swept);
            }
            if self.callers.shared.is_draining() {
                let started = *drain_started.get_or_insert_with(Instant::now);
                if started.elapsed() >= self.callers.settings.lookup_lifetime {
                    return started;
                }
            }
        }
    }

    async fn accept(&self, listener: &TcpListener) -> io::Result<Accepted> {
        // A closed semaphore can't occur, since nothing closes it.
        let permit = self.permits.clone().acquire_owned().await;
        let permit = permit.map_err(io::Error::other)?;
        let (stream, peer) = listener.accept().await?;
        Ok(Accepted { stream, peer, permit })
    }

    async fn start(&self, accepted: io::Result<Accepted>) {
        match accepted {
            Ok(accepted) => self.spawn(accepted),
            Err(error) => {
                log::warn!("callers: accept failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }

    /// Accepts the connections that the kernel has already established.
    fn accept_waiting(&self, listener: &TcpListener) {
        while let Some(Ok(accepted)) = self.accept(listener).now_or_never() {
            self.spawn(accepted);
        }
    }

    fn spawn(&self, accepted: Accepted) {
        let watcher = self.graceful.watcher();
        let settings = self.callers.settings.clone();
        let entry = self.entry.clone();
        let Accepted { stream, peer, permit } = accepted;
        stream.set_nodelay(true).ok();
        match self.tls.clone() {
            None => {
                tokio::spawn(serve_connection(stream, peer, entry, settings, watcher, permit));
            }
            Some(tls) => {
                tokio::spawn(async move {
                    let limit = settings.header_time;
                    match tokio::time::timeout(limit, tls.accept(stream)).await {
                        Ok(Ok(stream)) => {
                            serve_connection(stream, peer, entry, settings, watcher, permit).await;
                        }
                        Ok(Err(error)) => log::debug!("callers: TLS handshake failed: {error}"),
                        Err(_) => log::debug!("callers: TLS handshake timed out"),
                    }
                });
            }
        }
    }
}

struct Accepted {
    stream: TcpStream,
    peer: SocketAddr,
    permit: OwnedSemaphorePermit,
}

async fn serve_connection<S>(
    stream: S,
    peer: SocketAddr,
    entry: Entry,
    settings: Settings,
    watcher: Watcher,
    _permit: OwnedSemaphorePermit,
) where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let ambiguous = Arc::new(AtomicBool::new(false));
    let stream = Stream::new(stream, settings.header_bytes, settings.write_time, ambiguous.clone());
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(settings.header_time)
        .max_headers(settings.headers)
        .max_header_size(settings.header_bytes)
        .max_buf_size(settings.header_bytes);
    let service = service_fn(move |request| {
        let entry = entry.clone();
        let is_ambiguous = ambiguous.load(Ordering::Acquire);
        async move { Ok::<_, Infallible>(answer(entry, peer, is_ambiguous, request).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    if let Err(error) = watcher.watch(connection).await {
        log::debug!("callers: connection ended: {error}");
    }
}

async fn answer(
    entry: Entry,
    peer: SocketAddr,
    is_ambiguous: bool,
    request: Request<Incoming>,
) -> Response<Body> {
    if is_ambiguous {
        return refuse_and_close("the length of the request can be read in two ways");
    }
    let id = request.headers().get(REQUEST_ID);
    if id.is_some_and(|id| id.to_str().is_err()) {
        return refuse_and_close("X-Request-Id holds other characters than printable ASCII");
    }
    let state = AssertUnwindSafe(State::from_request(request, peer));
    call_handler(entry, state).await.unwrap_or_else(|error| {
        log::error!("callers: handler failed: {error}");
        // The handler may have failed after the request was sent.
        Refusal::unknown(Code::BackendFailed, "the entry host failed").into_response()
    })
}

fn refuse_and_close(detail: &'static str) -> Response<Body> {
    let mut response = Refusal::not_run(Code::BadRequest, detail).into_response();
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}
