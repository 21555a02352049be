//! Finds requests whose length can be read in two ways.
//!
//! The HTTP library resolves such requests silently: it drops `Content-Length` when there is a
//! `Transfer-Encoding`, and accepts repeated equal lengths. A server behind or before us may
//! resolve them differently and then take the rest of one request for the start of another. The
//! scanner sees the bytes of a caller's connection before the library does. See docs/design.md §10.

/// Follows the messages of one connection.
#[derive(Debug)]
pub struct Scanner {
    state: State,
    line: Vec<u8>,
    line_limit: usize,
    head: Head,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    Sized(u64),
    ChunkSize,
    /// Remaining bytes of the chunk and its line end.
    Chunk(u64),
    Trailer,
}

/// What the head says about the length of the body.
#[derive(Debug, Default)]
struct Head {
    lines: usize,
    length: Option<u64>,
    chunked: bool,
}

/// The length of a request can be read in two ways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ambiguous;

impl Scanner {
    /// A scanner that refuses lines of more than `line_limit` bytes.
    pub fn new(line_limit: usize) -> Self {
        Self { state: State::Head, line: Vec::new(), line_limit, head: Head::default() }
    }

    /// Follows `bytes`, the next ones of the connection.
    pub fn scan(&mut self, mut bytes: &[u8]) -> Result<(), Ambiguous> {
        while !bytes.is_empty() {
            bytes = match self.state {
                State::Sized(left) => self.skip(bytes, left, State::Sized, State::Head),
                State::Chunk(left) => self.skip(bytes, left, State::Chunk, State::ChunkSize),
                State::Head | State::ChunkSize | State::Trailer => self.take_line(bytes)?,
            };
        }
        Ok(())
    }

    fn skip<'a>(
        &mut self,
        bytes: &'a [u8],
        left: u64,
        more: fn(u64) -> State,
        then: State,
    ) -> &'a [u8] {
        let skipped = left.min(bytes.len() as u64);
        self.state = if skipped < left { more(left - skipped) } else { then };
        &bytes[skipped as usize..]
    }

    fn take_line<'a>(&mut self, bytes: &'a [u8]) -> Result<&'a [u8], Ambiguous> {
        let end = bytes.iter().position(|&byte| byte == b'\n');
        let (part, rest) = bytes.split_at(end.map_or(bytes.len(), |end| end + 1));
        if self.line.len() + part.len() > self.line_limit {
            return Err(Ambiguous);
        }
        self.line.extend_from_slice(part);
        if end.is_some() {
            let line = std::mem::take(&mut self.line);
            self.end_line(line.trim_ascii_end())?;
            self.line = line;
            self.line.clear();
        }
        Ok(rest)
    }

    fn end_line(&mut self, line: &[u8]) -> Result<(), Ambiguous> {
        match self.state {
            State::Head if line.is_empty() => self.end_head(),
            State::Head => self.head.add(line)?,
            State::ChunkSize => self.state = chunk(line)?,
            State::Trailer if line.is_empty() => self.state = State::Head,
            State::Trailer | State::Sized(_) | State::Chunk(_) => {}
        }
        Ok(())
    }

    fn end_head(&mut self) {
        // Empty lines before a request are allowed.
        let head = std::mem::take(&mut self.head);
        self.state = match (head.chunked, head.length) {
            (true, _) => State::ChunkSize,
            (false, Some(length)) if length > 0 => State::Sized(length),
            (false, _) => State::Head,
        };
    }
}

impl Head {
    fn add(&mut self, line: &[u8]) -> Result<(), Ambiguous> {
        self.lines += 1;
        if self.lines == 1 {
            return Ok(());
        }
        let Some(colon) = line.iter().position(|&byte| byte == b':') else {
            return Ok(());
        };
        let name = line[..colon].trim_ascii();
        let value = line[colon + 1..].trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            if self.length.is_some() || self.chunked {
                return Err(Ambiguous);
            }
            self.length = Some(number(value, 10)?);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            let repeated = self.length.is_some() || self.chunked;
            if repeated || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(Ambiguous);
            }
            self.chunked = true;
        }
        Ok(())
    }
}

fn chunk(line: &[u8]) -> Result<State, Ambiguous> {
    const LINE_END_BYTES: u64 = 2;
    let size = line.split(|&byte| byte == b';').next().unwrap_or_default();
    match number(size.trim_ascii(), 16)? {
        0 => Ok(State::Trailer),
        size => size.checked_add(LINE_END_BYTES).map(State::Chunk).ok_or(Ambiguous),
    }
}

/// Digits only: the standard parser also accepts a sign.
fn number(digits: &[u8], radix: u32) -> Result<u64, Ambiguous> {
    let text = std::str::from_utf8(digits).map_err(|_| Ambiguous)?;
    if !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(Ambiguous);
    }
    u64::from_str_radix(text, radix).map_err(|_| Ambiguous)
}
