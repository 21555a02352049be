//! Forwarders that can drop traffic without closing connections, as a network partition does.

use std::{
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream, UdpSocket,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    runtime::Runtime,
};

const BUFFER_BYTES: usize = 64 * 1024;

/// Forwards TCP connections; a silent one stays open, and its bytes are dropped in both directions.
#[derive(Clone, Default)]
pub(crate) struct Tcp(Arc<TcpState>);

#[derive(Default)]
struct TcpState {
    /// Connections with a smaller number are silent; they are numbered in order of arrival.
    silent_below: AtomicU64,
    /// Number of connections accepted so far.
    accepted: AtomicU64,
    /// New connections are silent from their start.
    new_silent: AtomicBool,
}

impl Tcp {
    /// Listens on `listen` and connects to `target`; returns the address it listens on.
    pub(crate) fn start(
        runtime: &Runtime,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> (Self, SocketAddr) {
        let listener = runtime.block_on(TcpListener::bind(listen));
        let listener = listener.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let forwarder = Self::default();
        runtime.spawn(forwarder.clone().accept(listener, target));
        (forwarder, address)
    }

    /// Makes the connections that are open now silent forever; new ones are forwarded.
    pub(crate) fn silence_open_connections(&self) {
        let accepted = self.0.accepted.load(Ordering::Acquire);
        self.0.silent_below.store(accepted, Ordering::Release);
    }

    /// Makes open connections silent forever, and new ones until this is called with `false`.
    pub(crate) fn set_silent(&self, is_silent: bool) {
        self.0.new_silent.store(is_silent, Ordering::Release);
        self.silence_open_connections();
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr) {
        while let Ok((near, _)) = listener.accept().await {
            let number = self.0.accepted.fetch_add(1, Ordering::AcqRel);
            let Ok(far) = TcpStream::connect(target).await else {
                continue;
            };
            near.set_nodelay(true).ok();
            far.set_nodelay(true).ok();
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::spawn(self.clone().copy(number, near_read, far_write));
            tokio::spawn(self.clone().copy(number, far_read, near_write));
        }
    }

    async fn copy(
        self,
        number: u64,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) -> io::Result<()> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let length = from.read(&mut buffer).await?;
            if self.is_silent(number) {
                // The end of the connection is not forwarded either.
                if length == 0 {
                    std::future::pending::<()>().await;
                }
                continue;
            }
            if length == 0 {
                return to.shutdown().await;
            }
            to.write_all(&buffer[..length]).await?;
        }
    }

    fn is_silent(&self, number: u64) -> bool {
        self.0.new_silent.load(Ordering::Acquire)
            || number < self.0.silent_below.load(Ordering::Acquire)
    }
}

/// Forwards datagrams to one host, except those from or to a blocked address.
#[derive(Clone)]
pub(crate) struct Udp {
    listener: Arc<UdpSocket>,
    target: SocketAddr,
    blocked: Arc<Mutex<Option<IpAddr>>>,
}

impl Udp {
    /// Listens on `listen` for datagrams to `target`.
    pub(crate) fn start(runtime: &Runtime, listen: SocketAddr, target: SocketAddr) -> Self {
        let listener = runtime.block_on(UdpSocket::bind(listen));
        let forwarder = Self {
            listener: Arc::new(listener.expect("a socket")),
            target,
            blocked: Arc::default(),
        };
        runtime.spawn(forwarder.clone().forward());
        forwarder
    }

    /// Drops datagrams exchanged with this address, or all if it is the target's; `None` forwards
    /// all.
    pub(crate) fn set_blocked(&self, address: Option<IpAddr>) {
        *self.blocked.lock().expect("a lock") = address;
    }

    fn is_forwarded(&self, source: SocketAddr) -> bool {
        let blocked = *self.blocked.lock().expect("a lock");
        blocked.is_none_or(|address| address != source.ip() && address != self.target.ip())
    }

    /// Forwards datagrams to the target, with one socket for each sender, so that replies can be
    /// returned to it.
    async fn forward(self) {
        let mut sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let Ok((length, source)) = self.listener.recv_from(&mut buffer).await else {
                continue;
            };
            if !self.is_forwarded(source) {
                continue;
            }
            let socket = match sockets.get(&source) {
                Some(socket) => socket.clone(),
                None => {
                    let any = SocketAddr::from(([127, 0, 0, 1], 0));
                    let socket = Arc::new(UdpSocket::bind(any).await.expect("a socket"));
                    tokio::spawn(self.clone().return_replies(source, socket.clone()));
                    sockets.insert(source, socket.clone());
                    socket
                }
            };
            // QUIC between the hosts tolerates a lost datagram.
            let _ = socket.send_to(&buffer[..length], self.target).await;
        }
    }

    /// Returns datagrams of the target to their sender's address.
    async fn return_replies(self, source: SocketAddr, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            if self.is_forwarded(source) {
                let _ = self.listener.send_to(&buffer[..length], source).await;
            }
        }
    }
}
