//! Body of a response to a caller, which is complete or streamed from an instance.
//!
//! A large answer is handled by the task that sent the request, which passes the head and then one
//! piece after the other to the connection of the caller. Dropping the body ends that task. A body
//! whose task ends without [`Writer::finish`] fails, so that the HTTP library closes the connection
//! and the response does not look complete. See docs/design/large-responses.md.

use std::{
    cell::RefCell,
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{Response, Version, header};
use http_body_util::Full;
use hyper::body::{Frame, SizeHint};
use marjorampick_link::wire::headers::strip_hop_by_hop;
use tokio::sync::{mpsc, oneshot};

use crate::{
    backend::{
        answer::Head,
        memory::{Exhausted, Room, Window},
    },
    intake::presence::Presence,
};

/// Body of a response.
pub(crate) enum Body {
    /// A body that is complete.
    Full(Full<Bytes>),
    /// A body of which pieces follow.
    Streamed(Stream),
}

/// Receives the pieces of a body.
pub(crate) struct Stream {
    pieces: mpsc::UnboundedReceiver<Part>,
    has_ended: bool,
}

/// Part of a streamed body.
enum Part {
    Piece(Bytes),
    End,
}

/// The response broke off before its end.
#[derive(Debug)]
pub(crate) struct BrokenOff;

impl fmt::Display for BrokenOff {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the response broke off")
    }
}

impl std::error::Error for BrokenOff {}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            Self::Full(body) => Pin::new(body).poll_frame(context).map_err(|never| match never {}),
            Self::Streamed(stream) => stream.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(body) => body.is_end_stream(),
            Self::Streamed(stream) => stream.has_ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(body) => body.size_hint(),
            // A known length is in the head.
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}

impl Stream {
    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        self.pieces.poll_recv(context).map(|part| match part {
            Some(Part::Piece(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Part::End) => {
                self.has_ended = true;
                None
            }
            None => Some(Err(BrokenOff)),
        })
    }
}

/// Where the response to one request may be started before its body is complete.
pub(crate) struct Sink {
    caller: Presence,
    /// Whether the caller can tell that a body without a length broke off.
    allows_chunks: bool,
    start: RefCell<Option<oneshot::Sender<Response<Body>>>>,
}

/// Sends the body of a response that has been started.
pub(crate) struct Writer {
    pieces: mpsc::UnboundedSender<Part>,
    window: Window,
}

/// A sink for the response to a caller's request of this version, and the response if it is started.
pub(crate) fn sink(
    version: Version,
    caller: Presence,
) -> (Sink, oneshot::Receiver<Response<Body>>) {
    let (sender, started) = oneshot::channel();
    let allows_chunks = version >= Version::HTTP_11;
    (Sink { caller, allows_chunks, start: RefCell::new(Some(sender)) }, started)
}

impl Sink {
    /// Whether the caller has closed its connection, so that nobody gets the response.
    pub(crate) fn is_abandoned(&self) -> bool {
        self.caller.has_left()
    }

    /// Whether an answer with this head may be streamed. Before HTTP/1.1 the end of the connection
    /// ends a body without a length, so that one that broke off would look complete.
    pub(crate) fn allows(&self, head: &Head) -> bool {
        self.allows_chunks || head.headers.contains_key(header::CONTENT_LENGTH)
    }

    /// Starts the response, whose body must stay within the window. Of several attempts only one may
    /// start it.
    pub(crate) fn start(&self, head: &Head, window: Window) -> Writer {
        let (sender, pieces) = mpsc::unbounded_channel();
        let mut response = Response::new(Body::Streamed(Stream { pieces, has_ended: false }));
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers.clone();
        strip_hop_by_hop(response.headers_mut());
        if let Some(start) = self.start.take() {
            // Without a receiver the caller has left, which the writer sees.
            start.send(response).ok();
        }
        Writer { pieces: sender, window }
    }
}

impl Writer {
    /// Waits until there is room for the next piece.
    pub(crate) async fn room(&self) -> Result<Room, Exhausted> {
        self.window.room().await
    }

    /// Waits until the caller has left.
    pub(crate) async fn closed(&self) {
        self.pieces.closed().await;
    }

    /// Sends a piece. One to a caller that has left is dropped.
    pub(crate) fn send(&self, room: Room, piece: Bytes) {
        if !piece.is_empty() {
            self.pieces.send(Part::Piece(room.hold(piece))).ok();
        }
    }

    /// Marks the body as complete.
    pub(crate) fn finish(self) {
        self.pieces.send(Part::End).ok();
    }
}
