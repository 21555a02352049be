//! The caller listener: accepts connections and serves them until the host drains.

use std::{
    convert::Infallible,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use eyre::WrapErr as _;
use http::Request;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use marjorampick_link::wire::stream::Stream;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

use super::handle;
use crate::{
    constants::{ACCEPT_RETRY_DELAY, WRITE_TIMEOUT},
    lending::Lending,
    state::State,
};

/// Largest head before a configuration says otherwise, in bytes.
const HEADER_BYTES: usize = 32 * 1024;

/// Smallest buffer that the HTTP library takes, in bytes.
const LEAST_BUFFER_BYTES: usize = 8 * 1024;

/// Idle time of connections before a configuration says otherwise.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Starts to accept callers, until `closing` is true.
pub async fn listen(
    state: Rc<State>,
    lending: Rc<Lending>,
    closing: watch::Receiver<bool>,
) -> eyre::Result<()> {
    let address = state.settings.listeners.callers;
    let listener = TcpListener::bind(address).await;
    let listener = listener.wrap_err_with(|| format!("cannot listen on {address}"))?;
    tokio::task::spawn_local(accept(state, lending, listener, closing));
    Ok(())
}

async fn accept(
    state: Rc<State>,
    lending: Rc<Lending>,
    listener: TcpListener,
    mut closing: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(
                    state.clone(),
                    lending.clone(),
                    stream,
                    closing.clone(),
                ));
            }
            Err(error) => {
                log::warn!("callers: accept failed: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one connection.
async fn serve(
    state: Rc<State>,
    lending: Rc<Lending>,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("callers: cannot set the no-delay option: {error}");
    }
    let (header_bytes, idle_time) = match state.plan.borrow().as_ref() {
        Some(plan) => (plan.limits.max_header_bytes, plan.limits.idle_timeout),
        None => (HEADER_BYTES, IDLE_TIME),
    };
    let ambiguous = Arc::new(AtomicBool::new(false));
    let stream = Stream::new(stream, header_bytes, WRITE_TIMEOUT, ambiguous.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let state = state.clone();
        let lending = lending.clone();
        let is_ambiguous = ambiguous.load(Ordering::Acquire);
        async move { Ok::<_, Infallible>(handle::answer(&state, &lending, request, is_ambiguous).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library counts the idle time before a request as part of the time for its head.
        .header_read_timeout(idle_time)
        .max_buf_size(header_bytes.max(LEAST_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = closing.wait_for(|closing| *closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("callers: connection ended: {error}");
    }
}
