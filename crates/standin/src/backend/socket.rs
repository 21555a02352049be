//! Socket to which faults can write directly, bypassing the HTTP library.

use std::{
    io,
    net::Shutdown,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, ready},
};

use bytes::{Buf, Bytes};
use marjorampick_link::socket;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// An accepted connection, shared by the HTTP library and the faults.
#[derive(Clone)]
pub(super) struct Socket {
    stream: Arc<TcpStream>,
    /// Bytes to send directly after the next write of the HTTP library.
    trailing: Arc<Mutex<Bytes>>,
}

impl Socket {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self { stream: Arc::new(stream), trailing: Arc::default() }
    }

    /// Sends `bytes` directly after the next write of the HTTP library.
    pub(super) fn write_after_next(&self, bytes: Bytes) {
        *super::lock(&self.trailing) = bytes;
    }

    /// Writes `bytes` at once. Bytes that the send buffer cannot take are dropped.
    pub(super) fn write_now(&self, bytes: &[u8]) {
        if let Err(error) = self.stream.try_write(bytes) {
            log::debug!("backend: cannot write the bytes of a fault: {error}");
        }
    }

    /// Closes the connection in both directions.
    pub(super) fn close(&self) {
        let socket = std::os::fd::AsFd::as_fd(&*self.stream).try_clone_to_owned();
        if let Ok(socket) = socket {
            std::net::TcpStream::from(socket).shutdown(Shutdown::Both).ok();
        }
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
        let length = ready!(socket::poll_write(&self.stream, context, bytes))?;
        let mut trailing = super::lock(&self.trailing);
        if length == bytes.len() && trailing.has_remaining() {
            let bytes = std::mem::take(&mut *trailing);
            self.write_now(&bytes);
        }
        Poll::Ready(Ok(length))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.close();
        Poll::Ready(Ok(()))
    }
}
