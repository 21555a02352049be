//! Connections to one backend server, one request at a time each.
//!
//! A connection comes back only after a completely finished exchange, and goes out again only if it
//! is open and holds no unread bytes: bytes that nobody asked for would become the answer to the
//! next caller's request. Each caller thread uses connections that it opened itself: their tasks end with
//! its runtime, at different times in a drain. See docs/design.md §10.

use std::{
    io,
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

use gotham::helpers::http::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle};

#[cfg(test)]
mod tests;

use marjorampick_link::wire::socket::Socket;

use super::constants::{
    CHARGE_STEP_BYTES, CONNECTION_IDLE_TIMEOUT, IDLE_CONNECTIONS_LIMIT, NON_IDEMPOTENT_IDLE_TIMEOUT,
};

/// One connection; dropping it closes it.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Body>,
    pub(crate) socket: Socket,
    task: AbortHandle,
    thread: ThreadIndex,
}

/// Number of the caller thread that a connection belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ThreadIndex(pub(crate) usize);

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection whose task runs on the present runtime.
    pub(crate) async fn open(address: SocketAddr, thread: ThreadIndex) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let socket = Socket::new(stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(CHARGE_STEP_BYTES)
            .handshake(TokioIo::new(socket.clone()))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("callers: backend connection ended: {error}");
            }
        });
        Ok(Self { sender, socket, task: task.abort_handle(), thread })
    }

    fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.socket.is_quiet()
    }
}

struct Idle {
    connection: Connection,
    answered: Instant,
}

/// Idle connections of one backend server, the most recently used one last.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Mutex<Vec<Idle>>,
}

impl Pool {
    /// Takes out an idle connection; one that answered recently if `fresh`.
    pub(crate) fn take(
        &self,
        now: Instant,
        thread: ThreadIndex,
        fresh: bool,
    ) -> Option<Connection> {
        let limit = if fresh { NON_IDEMPOTENT_IDLE_TIMEOUT } else { CONNECTION_IDLE_TIMEOUT };
        let mut idle = self.lock();
        loop {
            let fits =
                |idle: &Idle| idle.connection.thread == thread && is_younger(idle, now, limit);
            let newest = idle.iter().rposition(fits)?;
            let connection = idle.remove(newest).connection;
            if connection.is_usable() {
                return Some(connection);
            }
        }
    }

    /// Keeps a connection whose exchange has completely finished.
    pub(crate) fn put(&self, now: Instant, connection: Connection) {
        let answered = now;
        let mut idle = self.lock();
        if idle.len() < IDLE_CONNECTIONS_LIMIT {
            idle.push(Idle { connection, answered });
        }
    }

    /// Closes connections that were idle for too long or were closed by the backend server.
    pub(crate) fn remove_expired(&self, now: Instant) {
        let kept = |idle: &Idle| {
            is_younger(idle, now, CONNECTION_IDLE_TIMEOUT) && !idle.connection.sender.is_closed()
        };
        self.lock().retain(kept);
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        let dropped = std::mem::take(&mut *self.lock());
        drop(dropped);
    }

    /// Number of idle connections.
    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

fn is_younger(idle: &Idle, now: Instant, limit: Duration) -> bool {
    now.saturating_duration_since(idle.answered) < limit
}
