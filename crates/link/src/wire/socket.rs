//! Connection of a client that tracks whether a byte of the current request may have been sent, which
//! decides whether the request may be retried elsewhere, and checks the line breaks of the response's head.

use std::{
    io,
    mem::MaybeUninit,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    task::{Context, Poll, ready},
};

use super::line_break::{self, Stray};
use crate::socket;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// No byte of the current request was sent.
const UNSENT: u8 = 0;
/// A byte of the current request may have been sent.
const SENT: u8 = 1;
/// No byte of the current request was sent and none can be, as writes fail.
const SEALED: u8 = 2;

/// TCP stream that the task of the HTTP library and the connection pool share.
#[derive(Clone)]
pub struct Socket {
    stream: Arc<TcpStream>,
    request_state: Arc<AtomicU8>,
    line_breaks: Arc<line_break::Checker>,
}

impl Socket {
    /// Wraps a new connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream: Arc::new(stream),
            request_state: Arc::new(AtomicU8::new(UNSENT)),
            line_breaks: Arc::default(),
        }
    }

    /// Marks the start of a request on an idle connection.
    pub fn start_request(&self) {
        self.request_state.store(UNSENT, Ordering::Release);
        self.line_breaks.start();
    }

    /// Makes writes fail if no byte of the request was sent. Returns whether it is certain that
    /// none was.
    pub fn seal(&self) -> bool {
        let sealed = self.request_state.compare_exchange(
            UNSENT,
            SEALED,
            Ordering::AcqRel,
            Ordering::Acquire,
        );
        matches!(sealed, Ok(_) | Err(SEALED))
    }

    /// Whether the idle connection is open and has no unread bytes.
    ///
    /// Asks the kernel, as the task of the HTTP library may not have read the bytes or the end of
    /// the stream yet.
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
        let filled_before = buffer.filled().len();
        ready!(socket::poll_read(&self.stream, context, buffer))?;
        let checked = self.line_breaks.check(&buffer.filled()[filled_before..]);
        let stray =
            |_: Stray| io::Error::new(io::ErrorKind::InvalidData, "stray line feed in a head");
        Poll::Ready(checked.map_err(stray))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        // The state changes before the write, so that `seal` never reports an unsent request while
        // a byte is being sent.
        let marked =
            self.request_state.compare_exchange(UNSENT, SENT, Ordering::AcqRel, Ordering::Acquire);
        if marked == Err(SEALED) {
            return Poll::Ready(Err(io::Error::other(
                "the request was cancelled before it was sent",
            )));
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
