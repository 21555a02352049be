//! Detects requests with ambiguous framing, which allow request smuggling.
//!
//! The HTTP library resolves such requests silently: it drops `Content-Length` when there is a
//! `Transfer-Encoding`, and accepts repeated equal lengths. A server behind or before us may
//! resolve them differently and then treat the rest of one request as the start of another. The
//! scanner sees the bytes of a caller's connection before the library does. See docs/design.md §10.

/// Parses the framing of the requests on one connection.
#[derive(Debug)]
pub struct Scanner {
    state: State,
    line: Vec<u8>,
    line_limit_bytes: usize,
    head: Head,
    /// Requests whose last byte has been scanned.
    request_count: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    /// Remaining bytes of a body with a `Content-Length`.
    Body(u64),
    ChunkSize,
    /// Remaining bytes of the chunk and its line end.
    Chunk(u64),
    Trailers,
}

/// Which part of a request comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Position {
    /// The first byte of a request.
    Start,
    /// The rest of a request head.
    Head,
    /// The rest of a body.
    Body,
}

/// Parts of a request head that determine the framing of the body.
#[derive(Debug, Default)]
struct Head {
    line_count: usize,
    content_length: Option<u64>,
    is_chunked: bool,
}

/// The framing of a message is ambiguous or invalid, or one of its lines is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ambiguous;

impl Scanner {
    /// Creates a scanner for a new connection. Lines of more than `line_limit_bytes` are rejected.
    pub fn new(line_limit_bytes: usize) -> Self {
        Self {
            state: State::Head,
            line: Vec::new(),
            line_limit_bytes,
            head: Head::default(),
            request_count: 0,
        }
    }

    /// Scans `bytes`, the next ones that were read from the connection.
    pub fn scan(&mut self, mut bytes: &[u8]) -> Result<(), Ambiguous> {
        while !bytes.is_empty() {
            bytes = match self.state {
                State::Body(remaining) => self.skip_body(bytes, remaining),
                State::Chunk(remaining) => {
                    self.skip(bytes, remaining, State::Chunk, State::ChunkSize)
                }
                State::Head | State::ChunkSize | State::Trailers => self.take_line(bytes)?,
            };
        }
        Ok(())
    }

    /// Which part of a request comes next.
    pub fn position(&self) -> Position {
        match self.state {
            State::Head if self.head.line_count == 0 && self.line.is_empty() => Position::Start,
            State::Head => Position::Head,
            State::Body(_) | State::ChunkSize | State::Chunk(_) | State::Trailers => Position::Body,
        }
    }

    /// Number of requests that have arrived to their last byte.
    pub fn request_count(&self) -> u64 {
        self.request_count
    }

    /// Lines of the request head that is being scanned.
    pub fn head_lines(&self) -> usize {
        self.head.line_count
    }

    /// Skips bytes of a body with a `Content-Length`, of which `remaining` are left, and returns the rest.
    fn skip_body<'a>(&mut self, bytes: &'a [u8], remaining: u64) -> &'a [u8] {
        let rest = self.skip(bytes, remaining, State::Body, State::Head);
        if self.state == State::Head {
            self.end_request();
        }
        rest
    }

    /// Skips up to `remaining` bytes and returns the rest of `bytes`. The next state is `current`
    /// with the remaining number, or `next` after the last byte.
    fn skip<'a>(
        &mut self,
        bytes: &'a [u8],
        remaining: u64,
        current: fn(u64) -> State,
        next: State,
    ) -> &'a [u8] {
        let skipped = remaining.min(bytes.len() as u64);
        self.state = if skipped < remaining { current(remaining - skipped) } else { next };
        &bytes[skipped as usize..]
    }

    /// Takes the bytes up to the next line end and returns the rest.
    fn take_line<'a>(&mut self, bytes: &'a [u8]) -> Result<&'a [u8], Ambiguous> {
        let end = bytes.iter().position(|&byte| byte == b'\n');
        let (part, rest) = bytes.split_at(end.map_or(bytes.len(), |end| end + 1));
        if self.line.len() + part.len() > self.line_limit_bytes {
            return Err(Ambiguous);
        }
        self.line.extend_from_slice(part);
        if end.is_some() {
            let line = std::mem::take(&mut self.line);
            self.handle_line(line.trim_ascii_end())?;
            self.line = line;
            self.line.clear();
        }
        Ok(rest)
    }

    fn handle_line(&mut self, line: &[u8]) -> Result<(), Ambiguous> {
        match self.state {
            State::Head if line.is_empty() => self.end_head(),
            State::Head => self.head.add_line(line)?,
            State::ChunkSize => self.state = parse_chunk_size(line)?,
            State::Trailers if line.is_empty() => self.end_request(),
            State::Trailers | State::Body(_) | State::Chunk(_) => {}
        }
        Ok(())
    }

    fn end_head(&mut self) {
        let head = std::mem::take(&mut self.head);
        match (head.is_chunked, head.content_length) {
            (true, _) => self.state = State::ChunkSize,
            (false, Some(length)) if length > 0 => self.state = State::Body(length),
            // An empty head is an empty line before a request, which HTTP/1.1 allows.
            (false, _) if head.line_count == 0 => {}
            (false, _) => self.end_request(),
        }
    }

    fn end_request(&mut self) {
        self.request_count += 1;
        self.state = State::Head;
    }
}

impl Head {
    fn add_line(&mut self, line: &[u8]) -> Result<(), Ambiguous> {
        self.line_count += 1;
        // The first line is the request line.
        if self.line_count == 1 {
            return Ok(());
        }
        let Some(colon) = line.iter().position(|&byte| byte == b':') else {
            return Ok(());
        };
        let name = line[..colon].trim_ascii();
        let value = line[colon + 1..].trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            if self.content_length.is_some() || self.is_chunked {
                return Err(Ambiguous);
            }
            self.content_length = Some(parse_number(value, 10)?);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            let has_framing = self.content_length.is_some() || self.is_chunked;
            if has_framing || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(Ambiguous);
            }
            self.is_chunked = true;
        }
        Ok(())
    }
}

fn parse_chunk_size(line: &[u8]) -> Result<State, Ambiguous> {
    const LINE_END_BYTES: u64 = 2;
    let size = line.split(|&byte| byte == b';').next().unwrap_or_default();
    match parse_number(size.trim_ascii(), 16)? {
        0 => Ok(State::Trailers),
        size => size.checked_add(LINE_END_BYTES).map(State::Chunk).ok_or(Ambiguous),
    }
}

/// Parses a number that consists of digits only. The standard parser would accept a sign as well.
pub fn parse_number(digits: &[u8], radix: u32) -> Result<u64, Ambiguous> {
    let text = std::str::from_utf8(digits).map_err(|_| Ambiguous)?;
    if !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(Ambiguous);
    }
    u64::from_str_radix(text, radix).map_err(|_| Ambiguous)
}
