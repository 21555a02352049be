//! Idle connections to one backend server. Each connection carries one request at a time.
//!
//! A connection returns to the pool only after a complete exchange. It is reused only if it is open
//! and has no unread bytes, which the next caller would get as its response. A caller thread uses
//! only connections that it opened: a connection's task ends with the runtime of its thread, and
//! the threads end at different times in a drain. See docs/design.md §10.

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

/// Open connection, which is closed when it is dropped.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Body>,
    pub(crate) socket: Socket,
    task: AbortHandle,
    thread: ThreadIndex,
}

/// Index of a caller thread. Connections belong to the thread that opened them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ThreadIndex(pub(crate) usize);

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection to the backend server at `address`, with a task on the current runtime.
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

    /// Whether the idle connection is open and has no unread bytes.
    fn is_reusable(&self) -> bool {
        self.sender.is_ready() && self.socket.is_quiet()
    }
}

struct Idle {
    connection: Connection,
    idle_since: Instant,
}

/// Idle connections to one backend server, the most recently used one last.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Mutex<Vec<Idle>>,
}

impl Pool {
    /// Takes the most recently used idle connection of `thread` that is still reusable.
    ///
    /// For a request that must run at most once, it must have been used within
    /// [`NON_IDEMPOTENT_IDLE_TIMEOUT`].
    /// Connections that turn out to be closed or to have unread bytes are dropped.
    pub(crate) fn take(
        &self,
        now: Instant,
        thread: ThreadIndex,
        is_at_most_once: bool,
    ) -> Option<Connection> {
        let max_idle_time =
            if is_at_most_once { NON_IDEMPOTENT_IDLE_TIMEOUT } else { CONNECTION_IDLE_TIMEOUT };
        let mut idle = self.lock();
        loop {
            let is_candidate = |idle: &Idle| {
                idle.connection.thread == thread && was_used_within(idle, now, max_idle_time)
            };
            let index = idle.iter().rposition(is_candidate)?;
            let connection = idle.remove(index).connection;
            if connection.is_reusable() {
                return Some(connection);
            }
        }
    }

    /// Adds a connection whose exchange is complete. A full pool closes it instead.
    pub(crate) fn put(&self, now: Instant, connection: Connection) {
        let mut idle = self.lock();
        if idle.len() < IDLE_CONNECTIONS_LIMIT {
            idle.push(Idle { connection, idle_since: now });
        }
    }

    /// Closes connections that have been idle for too long or that the backend server has closed.
    pub(crate) fn remove_expired(&self, now: Instant) {
        let is_kept = |idle: &Idle| {
            was_used_within(idle, now, CONNECTION_IDLE_TIMEOUT)
                && !idle.connection.sender.is_closed()
        };
        self.lock().retain(is_kept);
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        let idle = std::mem::take(&mut *self.lock());
        drop(idle);
    }

    /// Number of idle connections.
    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

fn was_used_within(idle: &Idle, now: Instant, limit: Duration) -> bool {
    now.saturating_duration_since(idle.idle_since) < limit
}
