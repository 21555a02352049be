//! Reading and writing of a TCP stream that several owners share.
//!
//! The halves that Tokio offers for a shared stream cannot be cloned, and both the pool of backend
//! connections and the faults of the backend stand-in act on a stream beside the HTTP library.

use std::{
    io,
    task::{Context, Poll, ready},
};

use tokio::{io::ReadBuf, net::TcpStream};

/// Reads into the unfilled part of `buffer`, as [`tokio::io::AsyncRead::poll_read`] does.
pub fn poll_read(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        match stream.try_read(buffer.initialize_unfilled()) {
            Ok(length) => {
                buffer.advance(length);
                return Poll::Ready(Ok(()));
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
    }
}

/// Writes some of `bytes`, as [`tokio::io::AsyncWrite::poll_write`] does.
pub fn poll_write(
    stream: &TcpStream,
    context: &mut Context<'_>,
    bytes: &[u8],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match stream.try_write(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            written => return Poll::Ready(written),
        }
    }
}
