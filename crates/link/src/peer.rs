//! Transport between entry hosts: QUIC with mutual TLS, one unidirectional stream for each message.
//!
//! Streams are independent, so a large update doesn't delay heartbeats. Each peer has its own
//! bounded queue and task, so an unresponsive peer doesn't delay the others. Messages may be lost,
//! delayed or delivered twice, for which `marjorampick-core` allows. See docs/design.md §4 and §5.

mod queue;
mod tls;

#[cfg(test)]
mod tests;

use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, UdpSocket},
    sync::{Arc, Mutex},
    time::Duration,
};

use marjorampick_core::message::{Envelope, Message, Sender};
use quinn::{Connection, Endpoint, EndpointConfig, TransportConfig, VarInt};
use tokio::{runtime::Handle, sync::mpsc, task::JoinHandle, time::timeout};

use self::queue::Queue;
pub use self::tls::{Credentials, Fault};
use crate::{certificate::FLEET_NAME, convert};

/// Largest accepted message. An update may contain every document of the fleet.
const MESSAGE_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Time without a packet after which a connection is closed. Shorter than
/// [`marjorampick_core::constants::SUSPICION_TIMEOUT`], so that a dead connection is replaced
/// before its host is suspected.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Interval of keep-alive packets: at least two fit into the idle timeout. Longer than the interval
/// of heartbeats, so that none are sent while heartbeats are.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(600);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay after a failed connection attempt.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout for writing one message.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for reading one message.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of streams that one peer may have open at the same time.
const STREAMS_PER_CONNECTION_LIMIT: u32 = 256;

/// Number of messages that may wait for one peer.
const QUEUE_LIMIT_MESSAGES: usize = 512;

/// Number of peers that may have a queue at the same time. Bounded because addresses are taken from
/// the messages of peers.
const PEER_LIMIT: usize = 4096;

/// Sends messages to other entry hosts and receives theirs.
pub struct Peers {
    endpoint: Endpoint,
    local: Sender,
    outbound: Mutex<HashMap<SocketAddr, Outbound>>,
    accept_task: JoinHandle<()>,
    runtime: Handle,
}

/// Queue of one peer and the task that sends its messages.
struct Outbound {
    queue: Arc<Queue>,
    send_task: JoinHandle<()>,
}

impl Peers {
    /// Opens the endpoint at the peer address of `local`; see [`Self::open_at`].
    pub fn open(
        local: Sender,
        credentials: &Credentials,
        received: mpsc::Sender<Envelope>,
    ) -> Result<Self, Fault> {
        let address = local.peer;
        Self::open_at(address, local, credentials, received)
    }

    /// Opens the endpoint at `address` and passes messages from peers on to `received`. Peers send
    /// to the peer address of `local`, which a proxy may forward to `address`.
    ///
    /// Must be called within a Tokio runtime. While `received` is full, each further message waits
    /// in a task of its own.
    pub fn open_at(
        address: SocketAddr,
        local: Sender,
        credentials: &Credentials,
        received: mpsc::Sender<Envelope>,
    ) -> Result<Self, Fault> {
        let transport = Arc::new(transport_config());
        let mut server = tls::server_config(credentials)?;
        server.transport_config(transport.clone());
        let mut client = tls::client_config(credentials)?;
        client.transport_config(transport);
        let mut endpoint = bind(address, server).map_err(Fault::Bind)?;
        endpoint.set_default_client_config(client);
        let accept_task = tokio::spawn(accept_connections(endpoint.clone(), received));
        let runtime = Handle::current();
        Ok(Self { endpoint, local, outbound: Mutex::default(), accept_task, runtime })
    }

    /// Queues a message for the peer at `to`. A full queue drops its oldest heartbeat, or if it has
    /// none its oldest message.
    pub fn send(&self, to: SocketAddr, message: Message) {
        let is_heartbeat = matches!(message, Message::Heartbeat(_) | Message::HeartbeatReply(_));
        let envelope = Envelope { from: self.local.clone(), message };
        if let Some(queue) = self.queue(to) {
            queue.push(convert::encode(&envelope), is_heartbeat);
        }
    }

    /// Drops the queues of peers whose address is not `known`, and ends their tasks.
    pub fn retain(&self, known: impl Fn(&SocketAddr) -> bool) {
        if let Ok(mut outbound) = self.outbound.lock() {
            outbound.retain(|address, peer| {
                let is_known = known(address);
                if !is_known {
                    peer.send_task.abort();
                }
                is_known
            });
        }
    }

    /// Waits up to `grace` until the queues are empty and then closes all connections, which may
    /// take `grace` again.
    pub async fn close(&self, grace: Duration) {
        let deadline = tokio::time::Instant::now() + grace;
        while self.has_queued_messages() && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        self.endpoint.close(VarInt::from_u32(0), b"leaving");
        let _ = timeout(grace, self.endpoint.wait_idle()).await;
    }

    fn has_queued_messages(&self) -> bool {
        let outbound = self.outbound.lock();
        outbound.is_ok_and(|outbound| outbound.values().any(|peer| !peer.queue.is_empty()))
    }

    fn queue(&self, to: SocketAddr) -> Option<Arc<Queue>> {
        let mut outbound = self.outbound.lock().ok()?;
        if !outbound.contains_key(&to) && outbound.len() >= PEER_LIMIT {
            return None;
        }
        let peer = outbound.entry(to).or_insert_with(|| {
            let queue = Arc::new(Queue::new(QUEUE_LIMIT_MESSAGES));
            let sending = send_queued(self.endpoint.clone(), to, queue.clone());
            Outbound { queue, send_task: self.runtime.spawn(sending) }
        });
        Some(peer.queue.clone())
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.accept_task.abort();
        self.retain(|_| false);
    }
}

fn transport_config() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(IDLE_TIMEOUT.try_into().ok())
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .max_concurrent_uni_streams(VarInt::from_u32(STREAMS_PER_CONNECTION_LIMIT))
        .max_concurrent_bidi_streams(VarInt::from_u32(0))
        .datagram_receive_buffer_size(None);
    transport
}

fn bind(address: SocketAddr, server: quinn::ServerConfig) -> io::Result<Endpoint> {
    let socket = UdpSocket::bind(address)?;
    let runtime = Arc::new(quinn::TokioRuntime);
    Endpoint::new(EndpointConfig::default(), Some(server), socket, runtime)
}

/// Sends the queued messages of one peer over a connection that is reopened after it has failed. A
/// message whose sending fails is lost.
async fn send_queued(endpoint: Endpoint, to: SocketAddr, queue: Arc<Queue>) {
    let mut connection: Option<Connection> = None;
    loop {
        let bytes = queue.pop().await;
        let open = connection.take().filter(|open| open.close_reason().is_none());
        let open = match open {
            Some(open) => Some(open),
            None => connect(&endpoint, to).await,
        };
        let Some(open) = open else {
            tokio::time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        match timeout(WRITE_TIMEOUT, write_message(&open, &bytes)).await {
            Ok(Ok(())) => connection = Some(open),
            Ok(Err(error)) => log::debug!("peers: failed to send a message to {to}: {error}"),
            Err(_) => open.close(VarInt::from_u32(1), b"silent"),
        }
    }
}

async fn connect(endpoint: &Endpoint, to: SocketAddr) -> Option<Connection> {
    let connecting = match endpoint.connect(to, FLEET_NAME) {
        Ok(connecting) => connecting,
        Err(error) => {
            log::warn!("peers: cannot connect to {to}: {error}");
            return None;
        }
    };
    match timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(connection)) => {
            log::debug!("peers: connected to {to}");
            Some(connection)
        }
        Ok(Err(error)) => {
            log::debug!("peers: cannot connect to {to}: {error}");
            None
        }
        Err(_) => {
            log::debug!("peers: connecting to {to} timed out");
            None
        }
    }
}

async fn write_message(connection: &Connection, bytes: &[u8]) -> io::Result<()> {
    let mut stream = connection.open_uni().await?;
    stream.write_all(bytes).await?;
    stream.finish()?;
    Ok(())
}

async fn accept_connections(endpoint: Endpoint, received: mpsc::Sender<Envelope>) {
    while let Some(incoming) = endpoint.accept().await {
        let received = received.clone();
        tokio::spawn(async move {
            match incoming.await {
                Ok(connection) => receive_messages(connection, received).await,
                Err(error) => log::info!("peers: refused a connection: {error}"),
            }
        });
    }
}

/// Receives the messages of one connection. The peer's certificate must be valid for the sender
/// that each of them states.
async fn receive_messages(connection: Connection, received: mpsc::Sender<Envelope>) {
    let address = connection.remote_address();
    let identity = Arc::new(tls::Identity::from_connection(&connection));
    while let Ok(stream) = connection.accept_uni().await {
        let received = received.clone();
        let identity = identity.clone();
        tokio::spawn(async move {
            match read_message(stream, &identity).await {
                Ok(envelope) => {
                    let _ = received.send(envelope).await;
                }
                Err(fault) => log::warn!("peers: dropped a message from {address}: {fault}"),
            }
        });
    }
}

async fn read_message(
    mut stream: quinn::RecvStream,
    identity: &tls::Identity,
) -> Result<Envelope, Fault> {
    let bytes = timeout(READ_TIMEOUT, stream.read_to_end(MESSAGE_LIMIT_BYTES)).await;
    let bytes = bytes
        .map_err(|_| Fault::TimedOut)?
        .map_err(|error| Fault::Incomplete(error.to_string()))?;
    let envelope = convert::decode(&bytes).map_err(Fault::Undecodable)?;
    if !identity.is_valid_for(&envelope.from.host) {
        return Err(Fault::WrongSender(envelope.from.host));
    }
    Ok(envelope)
}
