//! Incremental parser for the HTTP answers of backend servers.
//!
//! An instance may send an unsolicited answer before the one to the current request, so the parser
//! must be able to skip a complete answer and continue with the next. The HTTP library doesn't
//! support this.

use bytes::{Buf as _, Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use marjorampick_link::wire::{
    framing::{Ambiguous, parse_number},
    length::Length,
    status,
};

use crate::constants::{
    MAX_ANSWER_BYTES, MAX_ANSWER_HEAD_BYTES, MAX_ANSWER_HEADERS, MAX_BUFFERED_ANSWER_BYTES,
    MAX_CHUNK_LINE_BYTES, MAX_FAILURE_BYTES, MAX_INTERIM_ANSWERS,
};

/// End of a line in a head and in a chunked body.
const LINE_BREAK: &[u8] = b"\r\n";

/// Head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Status code.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Whether connections of this HTTP version are persistent by default.
    pub is_persistent: bool,
}

/// A complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status and headers.
    pub head: Head,
    /// Body with its transfer coding removed.
    pub body: Bytes,
    /// Whether the end of the connection marked the end of the body.
    pub is_ended_by_close: bool,
}

/// The received bytes are not a valid answer, for the stated reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// By its length in bytes.
    Length(usize),
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// Parses consecutive answers of one connection.
#[derive(Debug, Default)]
pub struct Parser {
    /// Head of the answer whose body is being parsed.
    head: Option<(Head, Framing)>,
    /// Part of the body that has been received and not been taken.
    body: BytesMut,
    /// Bytes of the body that were taken before its end.
    taken_bytes: usize,
    chunk_position: Position,
    interim_answers: usize,
    trailer_bytes: usize,
}

/// Position in a chunked body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    /// At the line with the size of the next chunk.
    #[default]
    Size,
    /// Within the data of a chunk, of which this many bytes are missing.
    Data(usize),
    /// At the line break after the data.
    DataEnd,
    /// In the trailer section, after the last chunk.
    Trailer,
}

impl Parser {
    /// Removes the next answer from the start of `buffer` and returns it, or `None` if it is not
    /// complete yet. `method` is the method of the request.
    pub fn next(
        &mut self,
        buffer: &mut BytesMut,
        method: &Method,
    ) -> Result<Option<Answer>, Malformed> {
        while self.head.is_none() {
            let Some(head) = parse_head(buffer)? else {
                return Ok(None);
            };
            // Skips interim answers (1xx), which precede the final one.
            if !head.status.is_informational() {
                let framing = body_framing(&head, method)?;
                self.head = Some((head, framing));
                continue;
            }
            self.interim_answers += 1;
            if self.interim_answers > MAX_INTERIM_ANSWERS {
                return Err(Malformed("too many interim answers"));
            }
        }
        let framing = self.head.as_ref().map(|(_, framing)| *framing);
        let is_complete = match framing {
            Some(Framing::Length(length)) => self.read_sized_body(buffer, length),
            Some(Framing::Chunked) => self.read_chunked_body(buffer)?,
            Some(Framing::UntilClose) | None => {
                self.body.extend_from_slice(buffer);
                buffer.clear();
                false
            }
        };
        if self.taken_bytes + self.body.len() > MAX_ANSWER_BYTES {
            return Err(Malformed("the body exceeds the size limit"));
        }
        Ok(if is_complete { self.take_answer(false) } else { None })
    }

    /// Handles the orderly end of the connection. Returns the current answer if its body extends to
    /// the end of the connection, and `None` if no answer is complete.
    pub fn end_of_stream(&mut self) -> Option<Answer> {
        match self.head {
            Some((_, Framing::UntilClose)) => self.take_answer(true),
            _ => None,
        }
    }

    /// Head of the answer whose body is not complete yet.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref().map(|(head, _)| head)
    }

    /// Whether the current answer is too large to be buffered.
    pub fn is_large(&self) -> bool {
        self.known_bytes() > MAX_BUFFERED_ANSWER_BYTES
    }

    /// Whether the current answer is a failure that is too large to be buffered.
    pub fn is_large_failure(&self) -> bool {
        let is_failure = self.head().is_some_and(|head| !head.status.is_success());
        is_failure && self.known_bytes() > MAX_FAILURE_BYTES
    }

    /// Length of the current body: the announced one, or as much as has come without one.
    fn known_bytes(&self) -> usize {
        match self.head {
            Some((_, Framing::Length(length))) => length,
            Some(_) => self.body.len(),
            None => 0,
        }
    }

    /// Takes what has been received of the current body, up to a size. The answer that [`Self::next`]
    /// returns later has only the rest.
    pub fn take_body(&mut self, max_bytes: usize) -> Bytes {
        let taken = self.body.split_to(max_bytes.min(self.body.len()));
        self.taken_bytes += taken.len();
        taken.freeze()
    }

    /// Memory that the parser holds for the body, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.body.capacity()
    }

    fn take_answer(&mut self, is_ended_by_close: bool) -> Option<Answer> {
        let Self { head, body, .. } = std::mem::take(self);
        let (head, _) = head?;
        Some(Answer { head, body: body.freeze(), is_ended_by_close })
    }

    /// Moves body bytes from `buffer`. Returns whether the body is complete.
    fn read_sized_body(&mut self, buffer: &mut BytesMut, length: usize) -> bool {
        let missing = length - self.taken_bytes - self.body.len();
        let data = buffer.split_to(missing.min(buffer.len()));
        if self.body.is_empty() {
            self.body = data;
        } else {
            self.body.extend_from_slice(&data);
        }
        self.taken_bytes + self.body.len() == length
    }

    /// Moves decoded chunks from `buffer`. Returns whether the body is complete.
    fn read_chunked_body(&mut self, buffer: &mut BytesMut) -> Result<bool, Malformed> {
        loop {
            match self.chunk_position {
                Position::Size => {
                    let Some(end) = line_end(buffer) else {
                        if buffer.len() > MAX_CHUNK_LINE_BYTES {
                            return Err(Malformed(
                                "the line with a chunk's size exceeds the size limit",
                            ));
                        }
                        return Ok(false);
                    };
                    let size = parse_chunk_line(&buffer[..end])?;
                    buffer.advance(end + LINE_BREAK.len());
                    self.chunk_position =
                        if size == 0 { Position::Trailer } else { Position::Data(size) };
                }
                Position::Data(missing) => {
                    let data = buffer.split_to(missing.min(buffer.len()));
                    self.body.extend_from_slice(&data);
                    if data.len() < missing {
                        self.chunk_position = Position::Data(missing - data.len());
                        return Ok(false);
                    }
                    self.chunk_position = Position::DataEnd;
                }
                Position::DataEnd => {
                    if buffer.len() < LINE_BREAK.len() {
                        return Ok(false);
                    }
                    if !buffer.starts_with(LINE_BREAK) {
                        return Err(Malformed("missing line break after a chunk"));
                    }
                    buffer.advance(LINE_BREAK.len());
                    self.chunk_position = Position::Size;
                }
                Position::Trailer => {
                    let end = line_end(buffer);
                    let line_bytes = end.map_or(buffer.len(), |end| end + LINE_BREAK.len());
                    if self.trailer_bytes + line_bytes > MAX_ANSWER_HEAD_BYTES {
                        return Err(Malformed("the trailers exceed the size limit"));
                    }
                    let Some(end) = end else {
                        return Ok(false);
                    };
                    self.trailer_bytes += line_bytes;
                    let line = buffer.split_to(line_bytes);
                    if end == 0 {
                        return Ok(true);
                    }
                    if !is_field(&line[..end]) {
                        return Err(Malformed("invalid trailer"));
                    }
                }
            }
        }
    }
}

/// Position of the next line break.
fn line_end(buffer: &[u8]) -> Option<usize> {
    buffer.windows(LINE_BREAK.len()).position(|bytes| bytes == LINE_BREAK)
}

/// Size of a chunk according to the line before it, whose extensions are ignored. A line without a size
/// must not pass for that of the last chunk.
fn parse_chunk_line(line: &[u8]) -> Result<usize, Malformed> {
    let has_control = line.iter().any(|byte| byte.is_ascii_control() && *byte != b'\t');
    let size = line.split(|byte| *byte == b';').next().unwrap_or_default();
    match parse_number(size.trim_ascii_end(), 16) {
        Ok(size) if !has_control => accepted_bytes(size),
        _ => Err(Malformed("invalid line with a chunk's size")),
    }
}

/// Checks that a length does not exceed the limit.
fn accepted_bytes(length: u64) -> Result<usize, Malformed> {
    let length = usize::try_from(length).ok().filter(|length| *length <= MAX_ANSWER_BYTES);
    length.ok_or(Malformed("the body exceeds the size limit"))
}

/// Whether a line is a header field.
fn is_field(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return false;
    };
    HeaderName::from_bytes(&line[..colon]).is_ok()
        && HeaderValue::from_bytes(line[colon + 1..].trim_ascii()).is_ok()
}

/// Removes the next head from the start of `buffer`, or returns `None` if it is not complete yet.
fn parse_head(buffer: &mut BytesMut) -> Result<Option<Head>, Malformed> {
    let mut parsed = [httparse::EMPTY_HEADER; MAX_ANSWER_HEADERS];
    let mut response = httparse::Response::new(&mut parsed);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() > MAX_ANSWER_HEAD_BYTES => {
            return Err(Malformed("the head exceeds the size limit"));
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Malformed("the head is not valid HTTP")),
    };
    if !has_whole_line_breaks(&buffer[..length]) {
        return Err(Malformed("a line of the head ends without a carriage return"));
    }
    let status = StatusCode::from_u16(response.code.unwrap_or_default())
        .ok()
        .filter(|status| status.is_informational() || status::is_final(*status))
        .ok_or(Malformed("invalid status code"))?;
    let is_persistent = response.version == Some(1);
    let mut headers = HeaderMap::with_capacity(response.headers.len());
    for field in response.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(field.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(Malformed("invalid header"));
        };
        headers.append(name, value);
    }
    buffer.advance(length);
    Ok(Some(Head { status, headers, is_persistent }))
}

/// Whether each line ends with a whole line break. The library takes a line feed alone for one, so that a
/// stray one could end the head in its middle.
fn has_whole_line_breaks(head: &[u8]) -> bool {
    head.split_inclusive(|byte| *byte == b'\n').all(|line| line.ends_with(LINE_BREAK))
}

/// Determines the framing of the body. Answers whose framing is ambiguous are rejected, as the rest
/// of the body could be taken for another answer. That holds also where the length is that of a body
/// which does not follow, since the caller gets it.
fn body_framing(head: &Head, method: &Method) -> Result<Framing, Malformed> {
    let length = Length::read(&head.headers);
    let length = length.map_err(|Ambiguous| Malformed("ambiguous or invalid body length"))?;
    if length == Length::Chunked && !head.is_persistent {
        return Err(Malformed("chunks before HTTP/1.1"));
    }
    if head.status == StatusCode::NO_CONTENT && !length.is_empty() {
        return Err(Malformed("a body of an answer that can have none"));
    }
    let has_no_body = method == Method::HEAD
        || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if has_no_body {
        return Ok(Framing::Length(0));
    }
    match length {
        Length::Unstated => Ok(Framing::UntilClose),
        Length::Chunked => Ok(Framing::Chunked),
        Length::Bytes(length) => accepted_bytes(length).map(Framing::Length),
    }
}
