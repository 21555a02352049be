//! Bodies of the answers.

use std::{
    future::Future as _,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body::{Frame, SizeHint};
use tokio::time::{Sleep, sleep};

/// Largest piece of a body that is sent at once.
const PIECE_BYTES: usize = 16 * 1024;

/// Pause before a cut, as the HTTP library drops what it has not written when a body fails.
const CUT_PAUSE: Duration = Duration::from_millis(10);

/// Body of an answer: `length` bytes, of which a fault may hold back the end.
pub(super) struct Body {
    start: Bytes,
    remaining: usize,
    declared: Option<usize>,
    end: End,
    pause: Option<Pin<Box<Sleep>>>,
}

/// What follows the last byte of a [`Body`].
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    /// The answer is complete.
    Complete,
    /// The connection closes.
    Close,
    /// Nothing, while the connection stays open.
    Silence,
}

impl Body {
    /// Complete body.
    pub(super) fn text(text: impl Into<Bytes>) -> Self {
        let start = text.into();
        Self {
            remaining: start.len(),
            declared: Some(start.len()),
            start,
            end: End::Complete,
            pause: None,
        }
    }

    /// Body that starts with `text` and is filled up to `length` bytes.
    pub(super) fn filled(text: impl Into<Bytes>, length: usize) -> Self {
        let mut start = text.into();
        start.truncate(length);
        Self { start, remaining: length, declared: Some(length), end: End::Complete, pause: None }
    }

    /// Sends only `sent` bytes, followed by `end`.
    pub(super) fn ends_early(mut self, sent: usize, end: End) -> Self {
        self.remaining = self.remaining.min(sent);
        self.start.truncate(self.remaining);
        self.end = end;
        self
    }

    /// Leaves the length open, so that it is not declared.
    pub(super) fn chunked(mut self) -> Self {
        self.declared = None;
        self
    }

    fn piece(&mut self) -> Bytes {
        let piece = if self.start.is_empty() {
            Bytes::from(vec![b'.'; self.remaining.min(PIECE_BYTES)])
        } else {
            std::mem::take(&mut self.start)
        };
        self.remaining -= piece.len();
        piece
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.remaining > 0 {
            return Poll::Ready(Some(Ok(Frame::data(self.piece()))));
        }
        match self.end {
            End::Complete => Poll::Ready(None),
            End::Close => {
                let pause = self.pause.get_or_insert_with(|| Box::pin(sleep(CUT_PAUSE)));
                ready!(pause.as_mut().poll(context));
                Poll::Ready(Some(Err(io::Error::other("cut by a fault"))))
            }
            End::Silence => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == 0 && self.end == End::Complete
    }

    fn size_hint(&self) -> SizeHint {
        self.declared.map_or_else(SizeHint::default, |length| SizeHint::with_exact(length as u64))
    }
}

/// Answer with a short text.
pub(super) fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::text(text));
    *response.status_mut() = status;
    response
}
