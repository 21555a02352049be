//! Connection to a backend server that knows whether a byte of the present request has left.

use std::{
    io,
    mem::MaybeUninit,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    task::{Context, Poll},
};

use crate::socket;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// No byte of the present request has left.
const UNSENT: u8 = 0;
/// A byte of the present request may have left.
const SENT: u8 = 1;
/// No byte of the present request has left and none will: writes fail.
const SEALED: u8 = 2;

/// Socket shared by the HTTP library's task and the pool.
#[derive(Clone)]
pub struct Socket {
    stream: Arc<TcpStream>,
    state: Arc<AtomicU8>,
}

impl Socket {
    /// Wraps a new connection.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream: Arc::new(stream), state: Arc::new(AtomicU8::new(UNSENT)) }
    }

    /// Starts a new request on an idle connection.
    pub fn start_request(&self) {
        self.state.store(UNSENT, Ordering::Release);
    }

    /// Prevents further writes if nothing was sent; answers whether that is certain.
    pub fn seal(&self) -> bool {
        let sealed =
            self.state.compare_exchange(UNSENT, SEALED, Ordering::AcqRel, Ordering::Acquire);
        matches!(sealed, Ok(_) | Err(SEALED))
    }

    /// Whether the idle connection is open and holds no unread bytes.
    ///
    /// Asks the kernel, as the HTTP library's task may not have seen the bytes yet.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*self.stream).peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        socket::poll_read(&self.stream, context, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        // Marked before the write: a byte counts as sent from the moment at which it may leave.
        let marked = self.state.compare_exchange(UNSENT, SENT, Ordering::AcqRel, Ordering::Acquire);
        if marked == Err(SEALED) {
            return Poll::Ready(Err(io::Error::other("the request was given up")));
        }
        socket::poll_write(&self.stream, context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let shutdown = SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write);
        Poll::Ready(shutdown)
    }
}
