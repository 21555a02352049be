//! The caller listener: accepts connections, serves them, and drains when the host stops.

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

use gotham::{helpers::http::Body, service::call_handler, state::State};
use http::{HeaderValue, Request, Response, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::{GracefulShutdown, Watcher},
};
use marjorampick_link::{socket::accept_queued, wire::stream::Stream};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
};
use tokio_rustls::TlsAcceptor;

use super::{
    Callers, Settings,
    constants::ACCEPT_RETRY_DELAY,
    handler::Dispatcher,
    metrics,
    refusal::{Code, Refusal},
};

/// Interval at which the listener checks whether the host is draining.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which idle connections to backend servers are checked.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time that the last accepted connections have to send their first bytes before the shutdown.
const LAST_REQUESTS_WAIT: Duration = Duration::from_millis(100);

/// Header whose value gotham converts to a string without checking it.
const REQUEST_ID: &str = "x-request-id";

/// Serves callers until the host has drained.
///
/// After [`crate::shared::Shared::start_draining`] the listener still accepts connections for
/// [`Settings::lookup_lifetime`], as callers hold cached look-up answers that name this host. It
/// then closes, and the function returns when every open request has ended.
pub async fn serve(
    listener: TcpListener,
    tls: Option<TlsAcceptor>,
    callers: Arc<Callers>,
) -> io::Result<()> {
    let server = Server {
        graceful: GracefulShutdown::new(),
        permits: Arc::new(Semaphore::new(callers.settings.max_connections)),
        tls,
        dispatcher: Dispatcher::new(callers.clone(), callers.next_thread_index()),
        callers,
    };
    let drain_started = server.accept_until_drained(&listener).await;
    server.accept_queued(listener)?;
    // hyper's graceful shutdown closes connections that have not sent a byte yet, although the
    // request of a connection that was accepted last may still be in transit.
    tokio::time::sleep(LAST_REQUESTS_WAIT).await;
    server.graceful.shutdown().await;
    let elapsed = drain_started.elapsed();
    metrics::record_drain(elapsed);
    log::info!("callers: drained in {} ms", elapsed.as_millis());
    Ok(())
}

/// The caller listener of one caller thread.
struct Server {
    graceful: GracefulShutdown,
    permits: Arc<Semaphore>,
    tls: Option<TlsAcceptor>,
    callers: Arc<Callers>,
    dispatcher: Dispatcher,
}

impl Server {
    /// Accepts connections until the look-up lifetime has passed since the drain started; returns
    /// when it started.
    async fn accept_until_drained(&self, listener: &TcpListener) -> Instant {
        let mut drain_started: Option<Instant> = None;
        let mut last_idle_check = Instant::now();
        let mut drain_check = tokio::time::interval(DRAIN_CHECK_INTERVAL);
        loop {
            tokio::select! {
                accepted = self.accept(listener) => self.spawn_or_delay(accepted).await,
                _ = drain_check.tick() => {}
            }
            if last_idle_check.elapsed() >= IDLE_CHECK_INTERVAL {
                last_idle_check = Instant::now();
                self.callers.fleet.close_idle_connections(last_idle_check);
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
        // Acquiring fails only on a closed semaphore, and nothing closes this one.
        let permit = self.permits.clone().acquire_owned().await;
        let permit = permit.map_err(io::Error::other)?;
        let (stream, peer) = listener.accept().await?;
        Ok(Accepted { stream, peer, permit })
    }

    /// Serves an accepted connection; after a failed accept, waits before the next one.
    async fn spawn_or_delay(&self, accepted: io::Result<Accepted>) {
        match accepted {
            Ok(accepted) => self.spawn(accepted),
            Err(error) => {
                log::warn!("callers: accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }

    /// Closes the listener and serves the connections that were queued, up to the limit on open ones.
    fn accept_queued(&self, listener: TcpListener) -> io::Result<()> {
        for stream in accept_queued(listener)? {
            let (Ok(peer), Ok(permit)) =
                (stream.peer_addr(), self.permits.clone().try_acquire_owned())
            else {
                continue;
            };
            self.spawn(Accepted { stream, peer, permit });
        }
        Ok(())
    }

    /// Serves a connection in its own task, after the TLS handshake if the listener uses TLS.
    fn spawn(&self, accepted: Accepted) {
        let watcher = self.graceful.watcher();
        let settings = self.callers.settings.clone();
        let dispatcher = self.dispatcher.clone();
        let Accepted { stream, peer, permit } = accepted;
        stream.set_nodelay(true).ok();
        match self.tls.clone() {
            None => {
                tokio::spawn(serve_connection(stream, peer, dispatcher, settings, watcher, permit));
            }
            Some(tls) => {
                tokio::spawn(async move {
                    let handshake_timeout = settings.header_timeout;
                    match tokio::time::timeout(handshake_timeout, tls.accept(stream)).await {
                        Ok(Ok(stream)) => {
                            serve_connection(stream, peer, dispatcher, settings, watcher, permit)
                                .await;
                        }
                        Ok(Err(error)) => log::debug!("callers: TLS handshake failed: {error}"),
                        Err(_) => log::debug!("callers: TLS handshake timed out"),
                    }
                });
            }
        }
    }
}

/// An accepted connection, with the permit that counts it in the limit on open connections.
struct Accepted {
    stream: TcpStream,
    peer: SocketAddr,
    permit: OwnedSemaphorePermit,
}

async fn serve_connection<S>(
    stream: S,
    peer: SocketAddr,
    dispatcher: Dispatcher,
    settings: Settings,
    watcher: Watcher,
    _permit: OwnedSemaphorePermit,
) where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let ambiguous = Arc::new(AtomicBool::new(false));
    let stream =
        Stream::new(stream, settings.max_header_bytes, settings.write_timeout, ambiguous.clone());
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(settings.header_timeout)
        .max_headers(settings.max_headers)
        .max_header_size(settings.max_header_bytes)
        .max_buf_size(settings.max_header_bytes);
    let service = service_fn(move |request| {
        let dispatcher = dispatcher.clone();
        let is_ambiguous = ambiguous.load(Ordering::Acquire);
        async move { Ok::<_, Infallible>(respond(dispatcher, peer, is_ambiguous, request).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    if let Err(error) = watcher.watch(connection).await {
        log::debug!("callers: connection ended with an error: {error}");
    }
}

async fn respond(
    dispatcher: Dispatcher,
    peer: SocketAddr,
    is_ambiguous: bool,
    request: Request<Incoming>,
) -> Response<Body> {
    if is_ambiguous {
        return refuse_and_close("the length of the request can be read in two ways");
    }
    let request_id = request.headers().get(REQUEST_ID);
    if request_id.is_some_and(|id| id.to_str().is_err()) {
        return refuse_and_close("X-Request-Id holds other characters than printable ASCII");
    }
    let state = AssertUnwindSafe(State::from_request(request, peer));
    call_handler(dispatcher, state).await.unwrap_or_else(|error| {
        log::error!("callers: handler failed: {error}");
        // The handler may have failed after it sent the request to a backend server.
        Refusal::unknown(Code::BackendFailed, "the entry host failed").into_response()
    })
}

fn refuse_and_close(detail: &'static str) -> Response<Body> {
    let mut response = Refusal::not_run(Code::BadRequest, detail).into_response();
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}
