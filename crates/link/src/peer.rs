//! Transport between entry hosts: QUIC with mutual TLS, one unidirectional stream for each message.
//!
//! Streams are independent, so that a large update does not delay heartbeats. Each peer has a
//! bounded queue and a task of its own, so that a silent peer delays no other. Messages may be lost,
//! delayed or delivered twice; the decisions allow for that. See docs/design.md §4 and §5.

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

/// Largest message, in bytes. An update holds every document of the fleet.
const MESSAGE_LIMIT: usize = 16 * 1024 * 1024;

/// Silence after which a connection is given up. Shorter than
/// [`marjorampick_core::constants::SUSPICION_TIMEOUT`], so that a connection that went silent is
/// replaced before its host is suspected.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Interval of keep-alive packets: at least two within the idle timeout, and longer than the interval
/// of heartbeats, which make them unnecessary.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(600);

/// Longest time for setting up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Wait after a failed connection attempt.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time for writing one message.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time for reading one message.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Streams that one peer may have open at the same time.
const STREAM_LIMIT: u32 = 256;

/// Messages that wait for one peer.
const QUEUE_LENGTH: usize = 512;

/// Peers that may have a queue at the same time; addresses come from messages of peers.
const PEER_LIMIT: usize = 4096;

/// Sends messages to other entry hosts and receives theirs.
pub struct Peers {
    endpoint: Endpoint,
    from: Sender,
    links: Mutex<HashMap<SocketAddr, Link>>,
    receiver: JoinHandle<()>,
    runtime: Handle,
}

/// Queue of one peer and the task that empties it.
struct Link {
    queue: Arc<Queue>,
    task: JoinHandle<()>,
}

impl Peers {
    /// Opens the endpoint at the address of `from`; see [`Self::open_at`].
    pub fn open(
        from: Sender,
        credentials: &Credentials,
        received: mpsc::Sender<Envelope>,
    ) -> Result<Self, Fault> {
        let address = from.peer;
        Self::open_at(address, from, credentials, received)
    }

    /// Opens the endpoint at `address`; messages from peers go to `received`. Peers send to the
    /// address of `from`, which something may forward to `address`.
    ///
    /// Must be called within a Tokio runtime. When `received` is full, streams wait, and with them
    /// the peers that send.
    pub fn open_at(
        address: SocketAddr,
        from: Sender,
        credentials: &Credentials,
        received: mpsc::Sender<Envelope>,
    ) -> Result<Self, Fault> {
        let transport = Arc::new(transport());
        let mut server = tls::server(credentials)?;
        server.transport_config(transport.clone());
        let mut client = tls::client(credentials)?;
        client.transport_config(transport);
        let mut endpoint = bind(address, server).map_err(Fault::Bind)?;
        endpoint.set_default_client_config(client);
        let receiver = tokio::spawn(accept(endpoint.clone(), received));
        Ok(Self { endpoint, from, links: Mutex::default(), receiver, runtime: Handle::current() })
    }

    /// Queues a message; when the queue is full, the oldest heartbeat in it is dropped.
    pub fn send(&self, to: SocketAddr, message: Message) {
        let is_heartbeat = matches!(message, Message::Heartbeat(_) | Message::HeartbeatReply(_));
        let envelope = Envelope { from: self.from.clone(), message };
        if let Some(queue) = self.queue(to) {
            queue.push(convert::encode(&envelope), is_heartbeat);
        }
    }

    /// Ends the tasks of peers that are not among `known`.
    pub fn retain(&self, known: impl Fn(&SocketAddr) -> bool) {
        if let Ok(mut links) = self.links.lock() {
            links.retain(|address, link| {
                let keep = known(address);
                if !keep {
                    link.task.abort();
                }
                keep
            });
        }
    }

    /// Closes all connections after what was queued had `grace` to leave.
    pub async fn close(&self, grace: Duration) {
        let deadline = tokio::time::Instant::now() + grace;
        while self.is_busy() && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        self.endpoint.close(VarInt::from_u32(0), b"leaving");
        let _ = timeout(grace, self.endpoint.wait_idle()).await;
    }

    fn is_busy(&self) -> bool {
        self.links.lock().is_ok_and(|links| links.values().any(|link| !link.queue.is_empty()))
    }

    fn queue(&self, to: SocketAddr) -> Option<Arc<Queue>> {
        let mut links = self.links.lock().ok()?;
        if !links.contains_key(&to) && links.len() >= PEER_LIMIT {
            return None;
        }
        let link = links.entry(to).or_insert_with(|| {
            let queue = Arc::new(Queue::new(QUEUE_LENGTH));
            let task = self.runtime.spawn(deliver(self.endpoint.clone(), to, queue.clone()));
            Link { queue, task }
        });
        Some(link.queue.clone())
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.receiver.abort();
        self.retain(|_| false);
    }
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(IDLE_TIMEOUT.try_into().ok())
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .max_concurrent_uni_streams(VarInt::from_u32(STREAM_LIMIT))
        .max_concurrent_bidi_streams(VarInt::from_u32(0))
        .datagram_receive_buffer_size(None);
    transport
}

fn bind(address: SocketAddr, server: quinn::ServerConfig) -> io::Result<Endpoint> {
    let socket = UdpSocket::bind(address)?;
    let runtime = Arc::new(quinn::TokioRuntime);
    Endpoint::new(EndpointConfig::default(), Some(server), socket, runtime)
}

/// Empties the queue of one peer over a connection that is reopened when it fails.
async fn deliver(endpoint: Endpoint, to: SocketAddr, queue: Arc<Queue>) {
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
        match timeout(WRITE_TIMEOUT, write(&open, &bytes)).await {
            Ok(Ok(())) => connection = Some(open),
            Ok(Err(error)) => log::debug!("peers: a message to {to} is lost: {error}"),
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
            log::debug!("peers: {to} does not answer");
            None
        }
    }
}

async fn write(connection: &Connection, bytes: &[u8]) -> io::Result<()> {
    let mut stream = connection.open_uni().await?;
    stream.write_all(bytes).await?;
    stream.finish()?;
    Ok(())
}

async fn accept(endpoint: Endpoint, received: mpsc::Sender<Envelope>) {
    while let Some(incoming) = endpoint.accept().await {
        let received = received.clone();
        tokio::spawn(async move {
            match incoming.await {
                Ok(connection) => receive(connection, received).await,
                Err(error) => log::info!("peers: a connection was refused: {error}"),
            }
        });
    }
}

/// Reads the messages of one connection, whose certificate names their only allowed sender.
async fn receive(connection: Connection, received: mpsc::Sender<Envelope>) {
    let address = connection.remote_address();
    let identity = Arc::new(tls::Identity::of(&connection));
    while let Ok(stream) = connection.accept_uni().await {
        let received = received.clone();
        let identity = identity.clone();
        tokio::spawn(async move {
            match read(stream, &identity).await {
                Ok(envelope) => {
                    let _ = received.send(envelope).await;
                }
                Err(fault) => log::warn!("peers: a message from {address} is dropped: {fault}"),
            }
        });
    }
}

async fn read(mut stream: quinn::RecvStream, identity: &tls::Identity) -> Result<Envelope, Fault> {
    let bytes = timeout(READ_TIMEOUT, stream.read_to_end(MESSAGE_LIMIT)).await;
    let bytes = bytes
        .map_err(|_| Fault::TimedOut)?
        .map_err(|error| Fault::Incomplete(error.to_string()))?;
    let envelope = convert::decode(&bytes).map_err(Fault::Undecodable)?;
    if !identity.allows(&envelope.from.host) {
        return Err(Fault::WrongSender(envelope.from.host));
    }
    Ok(envelope)
}
