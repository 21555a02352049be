//! One connection to a backend server.

use std::{io, mem::MaybeUninit, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderName, Method, header};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    time::timeout,
};

use super::answer::{Answer, Garbled, Reader};
use crate::constants::{CONNECT_TIMEOUT, KEEP_ALIVE_MARGIN, TCP_USER_TIMEOUT};

/// Bytes for which there is room when more is read.
const READ_BYTES: usize = 4096;

/// A request as it is sent.
#[derive(Clone, Debug)]
pub struct Message {
    /// Method, which decides whether an answer has a body.
    pub method: Method,
    /// Head, to its empty line.
    pub head: Bytes,
    /// Body.
    pub body: Bytes,
    /// Id that the answer repeats.
    pub id: Bytes,
    /// Header that holds the id.
    pub id_header: HeaderName,
}

/// Why an exchange has no answer.
#[derive(Debug)]
pub enum Fault {
    /// The connection failed.
    Broken(io::Error),
    /// The connection ended before the answer did.
    Ended,
    /// What came is no answer.
    Garbled(&'static str),
}

impl Fault {
    /// What happened, in a few words.
    pub fn reason(&self) -> String {
        match self {
            Self::Broken(error) => format!("connection failed: {error}"),
            Self::Ended => "connection ended before the answer".to_owned(),
            Self::Garbled(reason) => format!("unusable answer: {reason}"),
        }
    }
}

impl From<io::Error> for Fault {
    fn from(error: io::Error) -> Self {
        Self::Broken(error)
    }
}

impl From<Garbled> for Fault {
    fn from(Garbled(reason): Garbled) -> Self {
        Self::Garbled(reason)
    }
}

/// An open connection; dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    /// Whether a byte of the present request may have left.
    is_sent: bool,
}

impl Connection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        Ok(Self { stream, buffer: BytesMut::new(), is_sent: false })
    }

    /// Whether a byte of the last request may have left.
    pub fn is_sent(&self) -> bool {
        self.is_sent
    }

    /// Whether the idle connection is open and holds no unread bytes.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        let is_silent = matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        is_silent && self.buffer.is_empty()
    }

    /// Sends a request and reads its answer; answers with other ids are passed over.
    ///
    /// Answers whether the connection can be used again, too.
    pub async fn exchange(&mut self, message: &Message) -> Result<(Answer, bool), Fault> {
        self.is_sent = false;
        let (answer, is_written) = self.converse(message).await?;
        let keeps = answer.head.keeps_alive
            && !answer.ended_connection
            && !marjorampick_link::wire::headers::says_close(&answer.head.headers);
        Ok((answer, keeps && is_written && self.buffer.is_empty()))
    }

    /// Sends and reads at the same time, as an answer may come before the whole body has left.
    /// Answers whether all of it has.
    async fn converse(&mut self, message: &Message) -> Result<(Answer, bool), Fault> {
        let Self { stream, buffer, is_sent } = self;
        let (mut input, mut output) = stream.split();
        let mut reader = Reader::default();
        let writing = send(&mut output, message, is_sent);
        let receiving = receive(&mut input, buffer, &mut reader, message);
        tokio::pin!(writing, receiving);
        let mut is_written = false;
        loop {
            tokio::select! {
                biased;
                answer = &mut receiving => return Ok((answer?, is_written)),
                // After a failed write an answer may still be on its way; reading tells.
                written = &mut writing, if !is_written => {
                    is_written = true;
                    if let Err(error) = written {
                        log::debug!("backend: write failed: {error}");
                    }
                }
            }
        }
    }
}

async fn send(output: &mut WriteHalf<'_>, message: &Message, is_sent: &mut bool) -> io::Result<()> {
    output.writable().await?;
    // Counts as sent from the moment at which a byte may leave.
    *is_sent = true;
    if message.body.len() <= READ_BYTES {
        let whole = [message.head.as_ref(), message.body.as_ref()].concat();
        return output.write_all(&whole).await;
    }
    output.write_all(&message.head).await?;
    output.write_all(&message.body).await
}

async fn receive(
    input: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    reader: &mut Reader,
    message: &Message,
) -> Result<Answer, Fault> {
    loop {
        while let Some(answer) = reader.next(buffer, &message.method)? {
            if belongs(&answer, message) {
                return Ok(answer);
            }
            log::debug!("backend: passed over an answer to another request");
        }
        buffer.reserve(READ_BYTES);
        if input.read_buf(buffer).await? == 0 {
            return reader.close().filter(|answer| belongs(answer, message)).ok_or(Fault::Ended);
        }
    }
}

/// Whether the answer repeats the request's id. Failures need not repeat it.
fn belongs(answer: &Answer, message: &Message) -> bool {
    match answer.head.headers.get(&message.id_header) {
        Some(id) => id.as_bytes() == message.id,
        None => !answer.head.status.is_success(),
    }
}

/// How long the instance keeps the connection open when idle, less a margin; `None` if it does not
/// say.
pub fn keep_alive(answer: &Answer) -> Option<Duration> {
    let value = answer.head.headers.get(header::HeaderName::from_static("keep-alive"))?;
    let parts = value.to_str().ok()?.split(',');
    let seconds = parts.filter_map(|part| part.trim().strip_prefix("timeout=")).next()?;
    let announced = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(announced.saturating_sub(KEEP_ALIVE_MARGIN))
}
