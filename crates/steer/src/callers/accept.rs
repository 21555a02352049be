//! Listeners for callers and for other hosts, which serve HTTP/1.1 connections until the host drains.

use std::{
    cell::Cell,
    convert::Infallible,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use eyre::WrapErr as _;
use http::Request;
use hyper::{body::Incoming, service::service_fn};
use marjorampick_link::socket::accept_queued;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
    time::{sleep, timeout},
};

use super::{
    body::Body,
    handle::{self, Sender},
};
use crate::{
    constants::{ACCEPT_RETRY_DELAY, FIRST_REQUEST_TIME},
    intake::{
        connection,
        gate::{Admitted, Gate},
        progress::Progress,
    },
    lending::Lending,
    state::State,
    tasks,
};

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Callers.
    Callers,
    /// Other hosts, which pass on requests of their callers. Others are refused.
    Hosts,
}

/// Binds a listener. The returned future accepts connections until `closing` is true.
pub async fn listen(
    state: Rc<State>,
    lending: Rc<Lending>,
    side: Side,
    closing: watch::Receiver<bool>,
) -> eyre::Result<impl Future<Output = ()>> {
    let listeners = &state.settings.listeners;
    let address = match side {
        Side::Callers => listeners.callers,
        Side::Hosts => listeners.peers,
    };
    let listener = TcpListener::bind(address).await;
    let listener = listener.wrap_err_with(|| format!("cannot listen on {address}"))?;
    Ok(accept(state, lending, side, listener, closing))
}

async fn accept(
    state: Rc<State>,
    lending: Rc<Lending>,
    side: Side,
    listener: TcpListener,
    closing: watch::Receiver<bool>,
) {
    let accept_one = |stream| spawn_connection(&state, &lending, side, stream, &closing);
    let mut closed = closing.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closed.wait_for(|closing| *closing) => break,
        };
        match accepted {
            Ok((stream, _)) => accept_one(stream),
            Err(error) => {
                log::warn!("callers: accept failed: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    match accept_queued(listener) {
        Ok(streams) => streams.into_iter().for_each(accept_one),
        Err(error) => log::warn!("callers: cannot accept the queued connections: {error}"),
    }
}

/// Serves a connection on a task of its own, if there is room for it.
fn spawn_connection(
    state: &Rc<State>,
    lending: &Rc<Lending>,
    side: Side,
    stream: TcpStream,
    closing: &watch::Receiver<bool>,
) {
    let gate = match side {
        Side::Callers => &state.caller_gate,
        Side::Hosts => &state.host_gate,
    };
    let Some(admitted) = gate.admit(&stream) else {
        return;
    };
    let open = OpenConnection::start(state);
    // A future that is passed on by value takes its size again at each step.
    let serving = serve(state.clone(), lending.clone(), side, admitted, stream, closing.clone());
    let serving = Box::pin(serving);
    tokio::task::spawn_local(async move {
        tasks::contain_task(&open.0, "connection", serving).await;
    });
}

/// Counts a connection as open until it is dropped.
struct OpenConnection(Rc<State>);

impl OpenConnection {
    fn start(state: &Rc<State>) -> Self {
        state.open_connections.set(state.open_connections.get() + 1);
        Self(state.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open_connections.set(self.0.open_connections.get().saturating_sub(1));
    }
}

/// Serves one connection, which is closed after the current request once `closing` is true. A new
/// connection may still bring its first request.
async fn serve(
    state: Rc<State>,
    lending: Rc<Lending>,
    side: Side,
    admitted: Admitted,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
) {
    let sender = match (side, stream.peer_addr()) {
        (Side::Hosts, Ok(address)) => Sender::Host(address),
        // A connection that has ended brings no request.
        (Side::Hosts, Err(_)) => return,
        (Side::Callers, address) => Sender::Caller(address.ok().map(|address| address.ip())),
    };
    let max_header_bytes = state.max_header_bytes();
    let has_ambiguous_framing = Arc::new(AtomicBool::new(false));
    let first_request = Rc::new(FirstRequest::default());
    let started = first_request.clone();
    let is_ambiguous = has_ambiguous_framing.clone();
    let service = |gate: Rc<Gate>, progress: Rc<Progress>| {
        service_fn(move |request: Request<Incoming>| {
            started.record();
            let state = state.clone();
            let lending = lending.clone();
            let (gate, progress) = (gate.clone(), progress.clone());
            let is_ambiguous = is_ambiguous.load(Ordering::Acquire);
            async move {
                let (parts, body) = request.into_parts();
                let Some(_memory) = gate.reserve_request(progress.address(), &parts) else {
                    return Ok(handle::refuse_for_memory(&state, body).map(Body::Full));
                };
                let request = Request::from_parts(parts, body);
                let presence = progress.presence();
                let responding =
                    handle::respond(&state, &lending, sender, presence, request, is_ambiguous);
                Ok::<_, Infallible>(responding.await)
            }
        })
    };
    let stopping = async {
        // A closed channel means that the host stops, too.
        closing.wait_for(|closing| *closing).await.ok();
        first_request.wait().await;
    };
    connection::serve(admitted, stream, max_header_bytes, has_ambiguous_framing, service, stopping)
        .await;
}

/// Whether a connection has brought a request yet. The HTTP library closes a connection without one
/// as soon as it is told to stop, although the request may be on its way.
#[derive(Default)]
struct FirstRequest {
    has_started: Cell<bool>,
    started: Notify,
}

impl FirstRequest {
    fn record(&self) {
        self.has_started.set(true);
        self.started.notify_one();
    }

    /// Waits for the first request, up to [`FIRST_REQUEST_TIME`].
    async fn wait(&self) {
        if !self.has_started.get() {
            // After the timeout the connection is closed.
            timeout(FIRST_REQUEST_TIME, self.started.notified()).await.ok();
        }
    }
}
