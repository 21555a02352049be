//! Stream of a connection that reserves memory for what it reads and records its progress.

use std::{
    future::Future as _,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use marjorampick_link::wire::{framing::Position, stream::Stream};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

use super::{
    CONNECTION_BYTES, UNREAD_RESPONSE_BYTES, connections::Cause, pool::Reservation,
    presence::Shared, progress::Progress,
};

/// Bytes of a request head that need no memory beyond [`CONNECTION_BYTES`].
const FREE_HEAD_BYTES: usize = 4096;

/// Memory that each further byte of a head may use: the read buffer, its spare room, and the line that is
/// being scanned.
const BYTES_PER_HEAD_BYTE: usize = 3;

/// Bytes that a connection may read before the others have their turn.
const TURN_BYTES: usize = 64 * 1024;

/// Size below which a read is small, in bytes.
const SMALL_READ_BYTES: usize = 2048;

/// Small reads within one request that follow each other at once. Ordinary requests have fewer.
const MAX_SMALL_READS: usize = 8;

/// Pause before each further read, in which more bytes arrive. 240 callers that sent pieces of 100 bytes took
/// all of the processor time from the ordinary ones.
const SMALL_READ_PAUSE: Duration = Duration::from_millis(10);

/// Most lines of a request head. The HTTP library accepts 100 fields, and would read the rest of the head
/// before it refuses it.
const MAX_HEAD_LINES: usize = 102;

/// Stream of one connection.
pub(crate) struct Metered {
    inner: Stream<Shared>,
    progress: Rc<Progress>,
    reservation: Reservation,
    /// Bytes that were read in a row.
    turn_bytes: usize,
    /// Small reads of the current request.
    small_reads: usize,
    pause: Option<Pin<Box<Sleep>>>,
    /// Bytes of the current head.
    head_bytes: usize,
}

impl Metered {
    pub(super) fn new(
        inner: Stream<Shared>,
        progress: Rc<Progress>,
        reservation: Reservation,
    ) -> Self {
        let (turn_bytes, small_reads, head_bytes) = (0, 0, 0);
        Self { inner, progress, reservation, turn_bytes, small_reads, pause: None, head_bytes }
    }

    /// Reserves memory for `extra` bytes, or closes the connection.
    fn reserve(&mut self, extra: usize) -> io::Result<()> {
        self.reservation.grow_to(CONNECTION_BYTES + extra).map_err(|_| {
            self.progress.close(Cause::NoMemory);
            io::ErrorKind::OutOfMemory.into()
        })
    }

    /// Lets other connections have their turn, and more bytes of small pieces arrive.
    fn poll_turn(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(context));
            self.pause = None;
        }
        if self.turn_bytes >= TURN_BYTES {
            self.turn_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(())
    }

    fn count_read(&mut self, length: usize, position: Position) {
        self.turn_bytes += length;
        if position == Position::Start {
            self.small_reads = 0;
        } else if length < SMALL_READ_BYTES {
            self.small_reads += 1;
        }
        if self.small_reads > MAX_SMALL_READS && length < SMALL_READ_BYTES {
            self.pause = Some(Box::pin(sleep(SMALL_READ_PAUSE)));
        }
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
        ready!(this.poll_turn(context));
        let read = Pin::new(&mut this.inner).poll_read(context, buffer);
        if read.is_pending() {
            this.turn_bytes = 0;
        }
        ready!(read)?;
        let length = buffer.filled().len() - filled_before;
        let position = this.inner.position();
        this.count_read(length, position);
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
        this.progress.record_read(length, position, this.inner.request_count());
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
