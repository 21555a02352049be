//! Reads and writes a TCP stream through a shared reference, and ends a listener without losing
//! connections.
//!
//! Tokio implements `AsyncRead` and `AsyncWrite` only for exclusive access, and the halves of a
//! split stream cannot be cloned. The pool of backend connections and the fault injection of the
//! backend stand-in use a stream that the HTTP library uses at the same time.

use std::{
    io,
    task::{Context, Poll, ready},
};

use tokio::{
    io::ReadBuf,
    net::{TcpListener, TcpStream},
};

/// Works as [`tokio::io::AsyncRead::poll_read`].
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

/// Works as [`tokio::io::AsyncWrite::poll_write`].
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

/// Closes a listener and returns the connections that the kernel had queued, which it would reset.
///
/// The runtime may not know of them yet, so that an `accept` that does not wait could miss them. A
/// connection that its peer has closed is left out.
pub fn accept_queued(listener: TcpListener) -> io::Result<Vec<TcpStream>> {
    let listener = listener.into_std()?;
    let mut streams = Vec::new();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                streams.push(TcpStream::from_std(stream)?);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(streams),
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) => return Err(error),
        }
    }
}
