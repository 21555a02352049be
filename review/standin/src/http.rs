//! Minimal HTTP/1.1 for the stand-ins: heads, bodies with a length, and whole answers.

use std::{collections::BTreeMap, io, net::SocketAddr};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// Request or answer with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    /// Headers with names in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Why an exchange ended without a whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Broken {
    /// The connection could not be opened, or closed before the first byte of the answer.
    NoAnswer(String),
    /// It closed after this many bytes of the body.
    BrokenOff(usize),
}

/// Connection on which messages follow each other.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self { stream, buffer: Vec::new() }
    }

    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect(address).await?))
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16 * 1024];
        let length = self.stream.read(&mut piece).await?;
        self.buffer.extend_from_slice(&piece[..length]);
        Ok(length)
    }

    /// Reads the next head; `None` at the end of the connection.
    async fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break end;
            }
            if self.fill().await? == 0 {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let pairs = lines.filter_map(|line| line.split_once(':'));
        let headers =
            pairs.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Ok(Some(Message { line, headers: headers.collect(), body: Vec::new() }))
    }

    /// Reads the next request; `None` at the end of the connection.
    pub async fn read_request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head().await? else {
            return Ok(None);
        };
        let length = message.header("content-length").parse().unwrap_or(0);
        while self.buffer.len() < length {
            if self.fill().await? == 0 {
                return Ok(None);
            }
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(Some(message))
    }

    /// Sends a request and reads the whole answer.
    pub async fn exchange(&mut self, request: &[u8]) -> Result<Message, Broken> {
        let failed = |error: io::Error| Broken::NoAnswer(error.to_string());
        self.stream.write_all(request).await.map_err(failed)?;
        let head = self.read_head().await.map_err(failed)?;
        let mut answer = head.ok_or_else(|| Broken::NoAnswer("closed".to_owned()))?;
        if answer.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            answer.body = self.read_chunks().await?;
            return Ok(answer);
        }
        let length: usize = answer.header("content-length").parse().unwrap_or(0);
        while self.buffer.len() < length {
            if !matches!(self.fill().await, Ok(1..)) {
                return Err(Broken::BrokenOff(self.buffer.len()));
            }
        }
        answer.body = self.buffer.drain(..length).collect();
        Ok(answer)
    }

    async fn read_chunks(&mut self) -> Result<Vec<u8>, Broken> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = self.buffer.windows(2).position(|part| part == b"\r\n") {
                    break end;
                }
                if !matches!(self.fill().await, Ok(1..)) {
                    return Err(Broken::BrokenOff(body.len()));
                }
            };
            let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            let size = line.split(';').next().unwrap_or_default().trim();
            let size =
                usize::from_str_radix(size, 16).map_err(|_| Broken::BrokenOff(body.len()))?;
            self.buffer.drain(..end + 2);
            while self.buffer.len() < size + 2 {
                if !matches!(self.fill().await, Ok(1..)) {
                    return Err(Broken::BrokenOff(body.len() + self.buffer.len()));
                }
            }
            body.extend(self.buffer.drain(..size));
            self.buffer.drain(..2);
            if size == 0 {
                return Ok(body);
            }
        }
    }
}

/// Encodes an answer.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
