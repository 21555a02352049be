//! Responses and their bodies, which a fault may cut short.

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

/// Largest chunk of the filling of a body, in bytes.
const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// Delay before a body fails to close the connection. When a body fails, the HTTP library drops the
/// bytes that it has not written yet.
const CLOSE_DELAY: Duration = Duration::from_millis(10);

/// Body of a response: a text that is filled up to a length. A fault may withhold its end.
pub(super) struct Body {
    /// Unsent part of the text at the start.
    text: Bytes,
    /// Number of bytes still to be sent, including those of `text`.
    remaining: usize,
    /// Length to declare in the head; none for a chunked body.
    declared_length: Option<usize>,
    end: End,
    /// Delay before [`End::Close`] takes effect, once it has begun.
    close_delay: Option<Pin<Box<Sleep>>>,
}

/// What follows the last byte of a [`Body`].
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    /// The response is complete.
    Complete,
    /// The connection is closed.
    Close,
    /// Nothing is sent, and the connection stays open.
    Silence,
}

impl Body {
    /// Creates a complete body.
    pub(super) fn text(text: impl Into<Bytes>) -> Self {
        let text = text.into();
        Self {
            remaining: text.len(),
            declared_length: Some(text.len()),
            text,
            end: End::Complete,
            close_delay: None,
        }
    }

    /// Creates a body of `length` bytes, which starts with `text`.
    pub(super) fn filled(text: impl Into<Bytes>, length: usize) -> Self {
        let mut text = text.into();
        text.truncate(length);
        Self {
            text,
            remaining: length,
            declared_length: Some(length),
            end: End::Complete,
            close_delay: None,
        }
    }

    /// Cuts the body after `sent` bytes, which `end` follows. The declared length stays.
    pub(super) fn cut_after(mut self, sent: usize, end: End) -> Self {
        self.remaining = self.remaining.min(sent);
        self.text.truncate(self.remaining);
        self.end = end;
        self
    }

    /// Declares no length, so that the body is sent in chunks.
    pub(super) fn chunked(mut self) -> Self {
        self.declared_length = None;
        self
    }

    fn next_chunk(&mut self) -> Bytes {
        let chunk = if self.text.is_empty() {
            Bytes::from(vec![b'.'; self.remaining.min(MAX_CHUNK_BYTES)])
        } else {
            std::mem::take(&mut self.text)
        };
        self.remaining -= chunk.len();
        chunk
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
            return Poll::Ready(Some(Ok(Frame::data(self.next_chunk()))));
        }
        match self.end {
            End::Complete => Poll::Ready(None),
            End::Close => {
                let delay = self.close_delay.get_or_insert_with(|| Box::pin(sleep(CLOSE_DELAY)));
                ready!(delay.as_mut().poll(context));
                Poll::Ready(Some(Err(io::Error::other("connection closed by a fault"))))
            }
            End::Silence => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == 0 && self.end == End::Complete
    }

    fn size_hint(&self) -> SizeHint {
        self.declared_length
            .map_or_else(SizeHint::default, |length| SizeHint::with_exact(length as u64))
    }
}

/// Creates a response with a short text.
pub(super) fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::text(text));
    *response.status_mut() = status;
    response
}
