//! Reads answers off a connection, by the bytes that have arrived so far.
//!
//! An instance may send an answer that nobody waits for at the place where the next one is due, so
//! the reader must be able to pass over a whole answer and go on. The HTTP library cannot do that.

use bytes::{Buf as _, Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};

use crate::constants::{MAX_ANSWER_BYTES, MAX_ANSWER_HEAD_BYTES, MAX_ANSWER_HEADERS};

/// Head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Status.
    pub status: StatusCode,
    /// Headers as they were sent.
    pub headers: HeaderMap,
    /// Whether the protocol version keeps connections open by default.
    pub keeps_alive: bool,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Head.
    pub head: Head,
    /// Body without its transfer coding.
    pub body: Bytes,
    /// Whether the body ended with the connection.
    pub ended_connection: bool,
}

/// The bytes are no answer in the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Garbled(pub &'static str);

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// Reads one answer after the other.
#[derive(Debug, Default)]
pub struct Reader {
    head: Option<(Head, Framing)>,
    body: BytesMut,
    chunk: Chunk,
}

/// Position in a chunked body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Chunk {
    #[default]
    Size,
    Data(usize),
    DataEnd,
    Trailer,
}

impl Reader {
    /// Takes the next answer out of `buffer`, or `None` when it is not complete yet.
    pub fn next(
        &mut self,
        buffer: &mut BytesMut,
        method: &Method,
    ) -> Result<Option<Answer>, Garbled> {
        while self.head.is_none() {
            let Some(head) = parse_head(buffer)? else {
                return Ok(None);
            };
            // Interim answers precede the final one.
            if !head.status.is_informational() {
                let framing = framing(&head, method)?;
                self.head = Some((head, framing));
            }
        }
        let framing = self.head.as_ref().map(|(_, framing)| *framing);
        let complete = match framing {
            Some(Framing::Length(length)) => self.take_length(buffer, length),
            Some(Framing::Chunked) => self.take_chunks(buffer)?,
            Some(Framing::UntilClose) | None => {
                self.body.extend_from_slice(buffer);
                buffer.clear();
                false
            }
        };
        if self.body.len() > MAX_ANSWER_BYTES {
            return Err(Garbled("the answer is too long"));
        }
        Ok(if complete { self.finish(false) } else { None })
    }

    /// The instance closed the connection in order; answers the answer if it ends with it.
    pub fn close(&mut self) -> Option<Answer> {
        match self.head {
            Some((_, Framing::UntilClose)) => self.finish(true),
            _ => None,
        }
    }

    fn finish(&mut self, ended_connection: bool) -> Option<Answer> {
        let (head, _) = self.head.take()?;
        self.chunk = Chunk::Size;
        let body = std::mem::take(&mut self.body).freeze();
        Some(Answer { head, body, ended_connection })
    }

    fn take_length(&mut self, buffer: &mut BytesMut, length: usize) -> bool {
        let missing = length - self.body.len();
        let part = buffer.split_to(missing.min(buffer.len()));
        if self.body.is_empty() {
            self.body = part;
        } else {
            self.body.extend_from_slice(&part);
        }
        self.body.len() == length
    }

    fn take_chunks(&mut self, buffer: &mut BytesMut) -> Result<bool, Garbled> {
        loop {
            match self.chunk {
                Chunk::Size => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((length, size))) => {
                        buffer.advance(length);
                        let size = usize::try_from(size).unwrap_or(usize::MAX);
                        if size > MAX_ANSWER_BYTES {
                            return Err(Garbled("the answer is too long"));
                        }
                        self.chunk = if size == 0 { Chunk::Trailer } else { Chunk::Data(size) };
                    }
                    Ok(httparse::Status::Partial) => return Ok(false),
                    Err(_) => return Err(Garbled("bad chunk size")),
                },
                Chunk::Data(left) => {
                    let part = buffer.split_to(left.min(buffer.len()));
                    self.body.extend_from_slice(&part);
                    if part.len() < left {
                        self.chunk = Chunk::Data(left - part.len());
                        return Ok(false);
                    }
                    self.chunk = Chunk::DataEnd;
                }
                Chunk::DataEnd => {
                    if buffer.len() < 2 {
                        return Ok(false);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(Garbled("a chunk does not end where it should"));
                    }
                    buffer.advance(2);
                    self.chunk = Chunk::Size;
                }
                Chunk::Trailer => {
                    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
                        return Ok(false);
                    };
                    buffer.advance(end + 2);
                    if end == 0 {
                        return Ok(true);
                    }
                }
            }
        }
    }
}

fn parse_head(buffer: &mut BytesMut) -> Result<Option<Head>, Garbled> {
    let mut parsed = [httparse::EMPTY_HEADER; MAX_ANSWER_HEADERS];
    let mut response = httparse::Response::new(&mut parsed);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() > MAX_ANSWER_HEAD_BYTES => {
            return Err(Garbled("the head is too long"));
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Garbled("the head is no HTTP")),
    };
    let status = StatusCode::from_u16(response.code.unwrap_or_default())
        .map_err(|_| Garbled("the status is no number of three digits"))?;
    let keeps_alive = response.version == Some(1);
    let mut headers = HeaderMap::with_capacity(response.headers.len());
    for field in response.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(field.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(Garbled("a header is malformed"));
        };
        headers.append(name, value);
    }
    buffer.advance(length);
    Ok(Some(Head { status, headers, keeps_alive }))
}

fn framing(head: &Head, method: &Method) -> Result<Framing, Garbled> {
    let has_no_body = method == Method::HEAD
        || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if has_no_body {
        return Ok(Framing::Length(0));
    }
    let mut lengths = head.headers.get_all(header::CONTENT_LENGTH).iter();
    let mut codings = head.headers.get_all(header::TRANSFER_ENCODING).iter();
    match (lengths.next(), codings.next(), lengths.next().is_some(), codings.next().is_some()) {
        (None, None, ..) => Ok(Framing::UntilClose),
        (Some(length), None, false, _) => {
            let length = length.to_str().ok().and_then(|text| text.parse::<usize>().ok());
            match length {
                Some(length) if length <= MAX_ANSWER_BYTES => Ok(Framing::Length(length)),
                _ => Err(Garbled("the length cannot be used")),
            }
        }
        (None, Some(coding), _, false) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(Framing::Chunked)
        }
        _ => Err(Garbled("the length can be read in two ways")),
    }
}
