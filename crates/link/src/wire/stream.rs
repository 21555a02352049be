//! Connection of a caller, with a check of the request framing and a timeout for stalled writes.

use std::{
    future::Future as _,
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

use super::framing::{Position, Scanner};

/// Stream of a caller's connection.
pub struct Stream<S> {
    inner: S,
    scanner: Scanner,
    ambiguous: Arc<AtomicBool>,
    write_timeout: Duration,
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl<S> Stream<S> {
    /// Wraps a connection.
    ///
    /// `ambiguous` is set before the HTTP library sees a request that [`Scanner::scan`] rejects. A
    /// caller that takes no byte for `write_timeout` loses its connection, as it would hold a slot
    /// of a backend server meanwhile.
    pub fn new(
        inner: S,
        line_limit_bytes: usize,
        write_timeout: Duration,
        ambiguous: Arc<AtomicBool>,
    ) -> Self {
        Self {
            inner,
            scanner: Scanner::new(line_limit_bytes),
            ambiguous,
            write_timeout,
            stall_timer: None,
        }
    }

    /// Which part of a request the connection brings next.
    pub fn position(&self) -> Position {
        self.scanner.position()
    }

    /// Number of requests that have arrived to their last byte.
    pub fn request_count(&self) -> u64 {
        self.scanner.request_count()
    }

    /// Lines of the request head that is being read.
    pub fn head_lines(&self) -> usize {
        self.scanner.head_lines()
    }

    /// Returns the result of a write, or a timeout error if no write has made progress for the
    /// write timeout.
    fn check_stall(
        &mut self,
        written: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stall_timer = None;
            return written;
        }
        let timeout = self.write_timeout;
        let timer = self.stall_timer.get_or_insert_with(|| Box::pin(sleep(timeout)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut this.inner).poll_read(context, buffer))?;
        let is_ambiguous = this.ambiguous.load(Ordering::Acquire)
            || this.scanner.scan(&buffer.filled()[filled_before..]).is_err();
        this.ambiguous.store(is_ambiguous, Ordering::Release);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.inner).poll_write(context, bytes);
        this.check_stall(written, context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.inner).poll_write_vectored(context, pieces);
        this.check_stall(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
