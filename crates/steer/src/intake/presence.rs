//! Whether the caller at the other end of a connection is still there.

use std::{
    cell::RefCell,
    io,
    mem::MaybeUninit,
    pin::Pin,
    rc::{Rc, Weak},
    task::{Context, Poll},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Stream of a caller's connection, of which a [`Presence`] can be asked while the HTTP library has it.
pub(crate) struct Shared(Rc<RefCell<TcpStream>>);

impl Shared {
    /// Shares a connection.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(Rc::new(RefCell::new(stream)))
    }

    /// Tells whether the caller is still there.
    pub(crate) fn presence(&self) -> Presence {
        Presence(Rc::downgrade(&self.0))
    }
}

/// Tells whether a caller is still there.
#[derive(Clone, Debug, Default)]
pub(crate) struct Presence(Weak<RefCell<TcpStream>>);

impl Presence {
    /// Whether the caller has closed its connection.
    ///
    /// Asks the kernel. The runtime learns of the end of a connection only between the tasks that it runs, which
    /// is seconds later on a slow machine, and a request that is sent on by then runs for nobody. See
    /// docs/incidents/inc-callers-gone.md.
    pub(crate) fn has_left(&self) -> bool {
        let Some(stream) = self.0.upgrade() else {
            return false;
        };
        let stream = stream.borrow();
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&*stream).peek(&mut byte) {
            Ok(length) => length == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

impl AsyncRead for Shared {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_read(context, buffer)
    }
}

impl AsyncWrite for Shared {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write_vectored(context, pieces)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_shutdown(context)
    }
}
