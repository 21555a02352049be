//! A caller's connection: its bytes are scanned, and it must take its answers in time.

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

use super::framing::Scanner;

/// Connection of a caller.
pub struct Stream<S> {
    inner: S,
    scanner: Scanner,
    ambiguous: Arc<AtomicBool>,
    write_limit: Duration,
    stall: Option<Pin<Box<Sleep>>>,
}

impl<S> Stream<S> {
    /// Wraps a connection.
    ///
    /// `ambiguous` is set before the library sees a request whose length can be read in two ways. A
    /// caller that takes no byte for `write_limit` loses its connection, as it would hold a slot of
    /// a backend server meanwhile.
    pub fn new(
        inner: S,
        line_limit: usize,
        write_limit: Duration,
        ambiguous: Arc<AtomicBool>,
    ) -> Self {
        Self { inner, scanner: Scanner::new(line_limit), ambiguous, write_limit, stall: None }
    }

    /// Passes the result of a write on, or fails when writes have stalled for too long.
    fn limit(
        &mut self,
        written: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stall = None;
            return written;
        }
        let limit = self.write_limit;
        let stall = self.stall.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(stall.as_mut().poll(context));
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
        let before = buffer.filled().len();
        ready!(Pin::new(&mut this.inner).poll_read(context, buffer))?;
        let is_ambiguous = this.ambiguous.load(Ordering::Acquire)
            || this.scanner.scan(&buffer.filled()[before..]).is_err();
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
        this.limit(written, context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.inner).poll_write_vectored(context, pieces);
        this.limit(written, context)
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
