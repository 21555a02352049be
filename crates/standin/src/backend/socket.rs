//! Socket that the faults can write to beside the HTTP library.

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

/// One accepted connection, shared by the HTTP library and the faults.
#[derive(Clone)]
pub(super) struct Socket {
    stream: Arc<TcpStream>,
    appended: Arc<Mutex<Bytes>>,
}

impl Socket {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self { stream: Arc::new(stream), appended: Arc::default() }
    }

    /// Sends `bytes` directly after the next bytes that the HTTP library writes.
    pub(super) fn append(&self, bytes: Bytes) {
        *super::lock(&self.appended) = bytes;
    }

    /// Writes `bytes` now; a full send buffer drops the rest.
    pub(super) fn write_now(&self, bytes: &[u8]) {
        if let Err(error) = self.stream.try_write(bytes) {
            log::debug!("backend: fault not written: {error}");
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
        let mut appended = super::lock(&self.appended);
        if length == bytes.len() && appended.has_remaining() {
            let rest = std::mem::take(&mut *appended);
            self.write_now(&rest);
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
