//! Forwarders that can go silent without closing a connection, as a failing network does.

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

/// Forwards TCP connections.
#[derive(Clone, Default)]
pub(crate) struct Tcp(Arc<TcpState>);

#[derive(Default)]
struct TcpState {
    /// Connections with a smaller number are silent.
    silent_below: AtomicU64,
    accepted: AtomicU64,
    /// New connections are silent from their start.
    new_silent: AtomicBool,
}

impl Tcp {
    /// Listens on `listen` for connections to `target`; answers the address it listens on.
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

    /// Drops all bytes of the connections that are open now, for good; new ones work.
    pub(crate) fn silence_open(&self) {
        let accepted = self.0.accepted.load(Ordering::Acquire);
        self.0.silent_below.store(accepted, Ordering::Release);
    }

    /// Drops all bytes of open connections for good, and those of new ones until `false` is given.
    pub(crate) fn silence(&self, silent: bool) {
        self.0.new_silent.store(silent, Ordering::Release);
        self.silence_open();
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
                // An end of the connection is not passed on either.
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

/// Forwards datagrams to one host, except from or to addresses that are cut off.
#[derive(Clone)]
pub(crate) struct Udp {
    listener: Arc<UdpSocket>,
    target: SocketAddr,
    cut_off: Arc<Mutex<Option<IpAddr>>>,
}

impl Udp {
    /// Listens on `listen` for datagrams to `target`.
    pub(crate) fn start(runtime: &Runtime, listen: SocketAddr, target: SocketAddr) -> Self {
        let listener = runtime.block_on(UdpSocket::bind(listen));
        let forwarder = Self {
            listener: Arc::new(listener.expect("a socket")),
            target,
            cut_off: Arc::default(),
        };
        runtime.spawn(forwarder.clone().forward());
        forwarder
    }

    /// Drops datagrams between this forwarder and the address; `None` forwards all.
    pub(crate) fn cut_off(&self, address: Option<IpAddr>) {
        *self.cut_off.lock().expect("a lock") = address;
    }

    fn passes(&self, source: SocketAddr) -> bool {
        let cut_off = *self.cut_off.lock().expect("a lock");
        cut_off.is_none_or(|address| address != source.ip() && address != self.target.ip())
    }

    /// Each sender gets a socket of its own, so that answers find their way back.
    async fn forward(self) {
        let mut sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let Ok((length, source)) = self.listener.recv_from(&mut buffer).await else {
                continue;
            };
            if !self.passes(source) {
                continue;
            }
            let socket = match sockets.get(&source) {
                Some(socket) => socket.clone(),
                None => {
                    let any = SocketAddr::from(([127, 0, 0, 1], 0));
                    let socket = Arc::new(UdpSocket::bind(any).await.expect("a socket"));
                    tokio::spawn(self.clone().answer(source, socket.clone()));
                    sockets.insert(source, socket.clone());
                    socket
                }
            };
            // A lost datagram is what the transport allows for.
            let _ = socket.send_to(&buffer[..length], self.target).await;
        }
    }

    async fn answer(self, source: SocketAddr, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            if self.passes(source) {
                let _ = self.listener.send_to(&buffer[..length], source).await;
            }
        }
    }
}
