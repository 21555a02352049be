//! Connection to a backend server.

use std::{
    io,
    mem::MaybeUninit,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{HeaderName, Method, header};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpSocket, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    time::timeout,
};

use super::{
    answer::{Answer, Head, Malformed, Parser},
    memory::{Exhausted, Memory, Reservation},
};
use crate::constants::{
    CONNECT_TIMEOUT, KEEP_ALIVE_MARGIN, MAX_FAILED_IDS, MAX_SKIPPED_ANSWERS, TCP_USER_TIMEOUT,
};

/// Free space in the buffer before each read, in bytes. Requests with a body up to this size are
/// sent with a single write.
const READ_BUFFER_BYTES: usize = 4096;

/// Request in the form in which it is sent.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method, on which depends whether the answer has a body.
    pub method: Method,
    /// Encoded head, including the empty line at its end.
    pub head: Bytes,
    /// Body, not encoded further.
    pub body: Bytes,
    /// Request id, which the answer repeats.
    pub id: Bytes,
    /// Name of the header that carries the id.
    pub id_header: HeaderName,
}

/// Why an exchange ended without an answer.
#[derive(Debug)]
pub enum Fault {
    /// The connection failed, for example because it was reset.
    Transport(io::Error),
    /// The instance closed the connection before the answer was complete.
    Closed,
    /// The received bytes are not a valid answer, for the stated reason.
    Malformed(&'static str),
    /// The answers in transit take all of the memory for them.
    OutOfMemory,
}

impl Fault {
    /// Description for the log.
    pub fn reason(&self) -> String {
        match self {
            Self::Transport(error) => format!("connection failed: {error}"),
            Self::Closed => "connection ended before the answer".to_owned(),
            Self::Malformed(reason) => format!("malformed answer: {reason}"),
            Self::OutOfMemory => "the answers in transit take too much memory".to_owned(),
        }
    }
}

impl From<io::Error> for Fault {
    fn from(error: io::Error) -> Self {
        Self::Transport(error)
    }
}

impl From<Malformed> for Fault {
    fn from(Malformed(reason): Malformed) -> Self {
        Self::Malformed(reason)
    }
}

impl From<Exhausted> for Fault {
    fn from(_: Exhausted) -> Self {
        Self::OutOfMemory
    }
}

/// Open connection, which is closed when it is dropped, with a reset while an exchange has not ended.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    /// Whether an exchange has begun and not ended.
    is_exchanging: bool,
    /// Whether bytes of the current request may have been sent.
    may_have_sent: bool,
    /// Whether the connection has carried a request before the current one.
    is_used: bool,
    /// Ids of the requests that were answered without a success. A faulty instance may repeat such an
    /// answer, which would be taken for that of another request with the same id.
    failed_ids: Vec<Bytes>,
}

/// Receives each head as soon as it is whole, with whether it answers the current request.
pub type OnHead<'a> = &'a mut dyn FnMut(&Head, bool);

impl Connection {
    /// Opens a connection to the instance at `address`.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        Self::new(stream)
    }

    /// Opens a connection to another host from the IP address by which that host knows this one.
    pub async fn open_from(
        own_ip: IpAddr,
        address: SocketAddr,
        limit: Duration,
    ) -> io::Result<Self> {
        let socket = if own_ip.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.bind(SocketAddr::new(own_ip, 0))?;
        Self::new(timeout(limit, socket.connect(address)).await??)
    }

    fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        let (buffer, failed_ids) = (BytesMut::new(), Vec::new());
        Ok(Self {
            stream,
            buffer,
            is_exchanging: false,
            may_have_sent: false,
            is_used: false,
            failed_ids,
        })
    }

    /// Whether bytes of the last request may have been sent.
    pub fn may_have_sent(&self) -> bool {
        self.may_have_sent
    }

    /// Whether an answer to a request with this id can be told from those to earlier requests. Without an
    /// id that takes a new connection.
    pub fn may_carry(&self, id: &[u8]) -> bool {
        !id.is_empty() && !self.failed_ids.iter().any(|failed| *failed == id)
    }

    /// Whether the idle connection is open and has no unread bytes, which would precede the next
    /// answer.
    pub fn is_reusable(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        let has_no_data = matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        has_no_data && self.buffer.is_empty()
    }

    /// Sends a request and reads its answer. Skips answers to other requests.
    ///
    /// Also returns whether the connection can be reused.
    pub async fn exchange(
        &mut self,
        request: &Request,
        memory: &Memory,
        on_head: OnHead<'_>,
    ) -> Result<(Answer, bool), Fault> {
        self.may_have_sent = false;
        self.is_exchanging = true;
        let (answer, is_written) = self.send_and_receive(request, memory, on_head).await?;
        self.is_exchanging = !is_written;
        self.is_used = true;
        if !answer.head.status.is_success() {
            self.failed_ids.push(request.id.clone());
        }
        let is_persistent = answer.head.is_persistent
            && !answer.is_ended_by_close
            && !marjorampick_link::wire::headers::says_close(&answer.head.headers);
        let has_room = self.failed_ids.len() < MAX_FAILED_IDS;
        Ok((answer, is_persistent && is_written && has_room && self.buffer.is_empty()))
    }

    /// Sends and reads concurrently, as the answer may arrive before the whole body has been sent.
    /// Also returns whether sending has ended.
    async fn send_and_receive(
        &mut self,
        request: &Request,
        memory: &Memory,
        on_head: OnHead<'_>,
    ) -> Result<(Answer, bool), Fault> {
        let Self { stream, buffer, may_have_sent, is_used, .. } = self;
        let (mut read_half, mut write_half) = stream.split();
        let sending = send(&mut write_half, request, may_have_sent);
        let reservation = memory.reserve();
        let source = Source { is_used: *is_used, on_head };
        let receiving = receive(&mut read_half, buffer, reservation, request, source);
        tokio::pin!(sending, receiving);
        let mut is_written = false;
        loop {
            tokio::select! {
                biased;
                answer = &mut receiving => return Ok((answer?, is_written)),
                // After a failed write the answer may still arrive, so reading continues.
                written = &mut sending, if !is_written => {
                    is_written = true;
                    if let Err(error) = written {
                        log::debug!("backend: write failed: {error}");
                    }
                }
            }
        }
    }
}

impl Drop for Connection {
    /// Makes the kernel drop the bytes of a request that was given up. It would go on sending them, and an instance
    /// could get the request after it has said that it leaves.
    fn drop(&mut self) {
        if self.is_exchanging
            && let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
        {
            log::debug!("backend: cannot reset a connection: {error}");
        }
    }
}

async fn send(
    write_half: &mut WriteHalf<'_>,
    request: &Request,
    may_have_sent: &mut bool,
) -> io::Result<()> {
    write_half.writable().await?;
    // From here on, bytes of the request may have been sent.
    *may_have_sent = true;
    if request.body.len() <= READ_BUFFER_BYTES {
        let joined = [request.head.as_ref(), request.body.as_ref()].concat();
        return write_half.write_all(&joined).await;
    }
    write_half.write_all(&request.head).await?;
    write_half.write_all(&request.body).await
}

/// Connection from which an answer is received.
struct Source<'a> {
    /// Whether it has carried another request before, or sent what was no answer to this one.
    is_used: bool,
    on_head: OnHead<'a>,
}

impl Source<'_> {
    /// Handles a head that is whole. Returns whether it answers the request.
    fn record_head(&mut self, head: &Head, request: &Request) -> Result<bool, Fault> {
        let is_own = is_answer_to(head, request, self.is_used);
        (self.on_head)(head, matches!(is_own, Ok(true)));
        self.is_used |= !matches!(is_own, Ok(true));
        is_own
    }
}

/// Receives the answer to a request.
async fn receive(
    read_half: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    mut reservation: Reservation<'_>,
    request: &Request,
    mut source: Source<'_>,
) -> Result<Answer, Fault> {
    let mut parser = Parser::default();
    let mut skipped = 0;
    // Whether the answer that is being received is that to the request; `None` before its head.
    let mut is_own = None;
    loop {
        while let Some(answer) = parser.next(buffer, &request.method)? {
            let is_own_answer = match is_own.take() {
                Some(is_own) => is_own,
                None => source.record_head(&answer.head, request)?,
            };
            if is_own_answer {
                return Ok(answer);
            }
            log::debug!("backend: skipped an answer to another request");
            skipped += 1;
            if skipped > MAX_SKIPPED_ANSWERS {
                return Err(Fault::Malformed("too many answers to other requests"));
            }
        }
        if let (None, Some(head)) = (is_own, parser.head()) {
            is_own = Some(source.record_head(head, request)?);
        }
        reservation.resize(buffer.len() + parser.held_bytes())?;
        buffer.reserve(READ_BUFFER_BYTES);
        if read_half.read_buf(buffer).await? == 0 {
            let answer = parser.end_of_stream().ok_or(Fault::Closed)?;
            return if is_own == Some(true) { Ok(answer) } else { Err(Fault::Closed) };
        }
    }
}

/// Whether the answer repeats the request's id.
///
/// An answer that is not a success need not have one, but then it may be a late answer to an earlier
/// request on a used connection. As a rejection it would promise that this request has not run.
fn is_answer_to(head: &Head, request: &Request, is_used: bool) -> Result<bool, Fault> {
    match head.headers.get(&request.id_header) {
        Some(id) => Ok(id.as_bytes() == request.id),
        None if head.status.is_success() => Ok(false),
        None if is_used => Err(Fault::Malformed("failure without an id on a used connection")),
        None => Ok(true),
    }
}

/// Time for which the instance keeps the idle connection open according to the `Keep-Alive` header,
/// minus a margin; `None` without that information.
pub fn keep_alive_time(answer: &Answer) -> Option<Duration> {
    let value = answer.head.headers.get(header::HeaderName::from_static("keep-alive"))?;
    let parameters = value.to_str().ok()?.split(',');
    let seconds =
        parameters.filter_map(|parameter| parameter.trim().strip_prefix("timeout=")).next()?;
    let announced = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(announced.saturating_sub(KEEP_ALIVE_MARGIN))
}
