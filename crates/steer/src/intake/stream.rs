//! Stream of a connection that reserves memory for what it reads and records its progress.

use std::{
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use marjorampick_link::wire::{framing::Position, stream::Stream};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::{
    CONNECTION_BYTES, UNREAD_RESPONSE_BYTES, connections::Cause, pool::Reservation,
    progress::Progress,
};

/// Bytes of a request head that need no memory beyond [`CONNECTION_BYTES`].
const FREE_HEAD_BYTES: usize = 4096;

/// Memory that each further byte of a head may use: the read buffer, its spare room, and the line that is
/// being scanned.
const BYTES_PER_HEAD_BYTE: usize = 3;

/// Bytes that a connection may read before the others have their turn.
const TURN_BYTES: usize = 64 * 1024;

/// Most lines of a request head. The HTTP library accepts 100 fields, and would read the rest of the head
/// before it refuses it.
const MAX_HEAD_LINES: usize = 102;

/// Stream of one connection.
pub(crate) struct Metered {
    inner: Stream<TcpStream>,
    progress: Rc<Progress>,
    reservation: Reservation,
    /// Bytes that were read in a row.
    turn_bytes: usize,
    /// Bytes of the current head.
    head_bytes: usize,
}

impl Metered {
    pub(super) fn new(
        inner: Stream<TcpStream>,
        progress: Rc<Progress>,
        reservation: Reservation,
    ) -> Self {
        Self { inner, progress, reservation, turn_bytes: 0, head_bytes: 0 }
    }

    /// Reserves memory for `extra` bytes, or closes the connection.
    fn reserve(&mut self, extra: usize) -> io::Result<()> {
        self.reservation.grow_to(CONNECTION_BYTES + extra).map_err(|_| {
            self.progress.close(Cause::NoMemory);
            io::ErrorKind::OutOfMemory.into()
        })
    }

    fn record_write(&mut self, written: &Poll<io::Result<usize>>) -> io::Result<()> {
        match written {
            Poll::Ready(Ok(length)) => self.progress.record_written(*length),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => {
                self.progress.set_blocked(true);
                self.reserve(UNREAD_RESPONSE_BYTES)?;
            }
        }
        Ok(())
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let filled_before = buffer.filled().len();
        if this.turn_bytes >= TURN_BYTES {
            this.turn_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = Pin::new(&mut this.inner).poll_read(context, buffer);
        if read.is_pending() {
            this.turn_bytes = 0;
        }
        ready!(read)?;
        let length = buffer.filled().len() - filled_before;
        this.turn_bytes += length;
        let position = this.inner.position();
        if position == Position::Head {
            if this.inner.head_lines() > MAX_HEAD_LINES {
                this.progress.close(Cause::LargeHead);
                return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            }
            this.head_bytes += length;
            let extra = this.head_bytes.saturating_sub(FREE_HEAD_BYTES) * BYTES_PER_HEAD_BYTE;
            this.reserve(extra)?;
        } else {
            this.head_bytes = 0;
        }
        this.progress.record_read(length, position);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.inner).poll_write(context, bytes);
        this.record_write(&written)?;
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.inner).poll_write_vectored(context, pieces);
        this.record_write(&written)?;
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The library flushes when it has written all that it has.
        self.progress.set_blocked(false);
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
