//! Connection to a backend server.

use std::{
    io,
    mem::MaybeUninit,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use bytes::{Buf as _, BufMut as _, Bytes, BytesMut, buf::Chain};
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
    CONNECT_TIMEOUT, KEEP_ALIVE_MARGIN, MAX_FAILED_IDS, MAX_SKIPPED_ANSWERS, STREAM_PIECE_BYTES,
    TCP_USER_TIMEOUT,
};

/// Free space in the buffer before each read, in bytes.
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

/// Receives each head as soon as it is whole, with whether it answers the current request. Returns
/// whether the answer may be streamed.
pub type OnHead<'a> = &'a mut dyn FnMut(&Head, bool) -> bool;

/// Answer to a request.
#[derive(Debug)]
pub enum Reply {
    /// The complete answer, and whether the connection can be reused.
    Whole(Answer, bool),
    /// An answer whose body follows. [`Connection::next_part`] returns it.
    Large(Box<Large>),
}

/// Large answer that is being received.
#[derive(Debug)]
pub struct Large {
    /// Status and headers.
    pub head: Head,
    parser: Parser,
    method: Method,
    id: Bytes,
    unsent: Unsent,
}

/// Part of the body of a large answer.
#[derive(Debug)]
pub enum Part {
    /// Bytes that others follow.
    Piece(Bytes),
    /// The last bytes, of which there may be none, and whether the connection can be reused.
    Last(Bytes, bool),
}

/// Request that is being sent.
#[derive(Debug)]
struct Unsent {
    /// Head and body, as far as they have not been sent. Empty once a write has failed.
    rest: Chain<Bytes, Bytes>,
    /// Error of the write that failed.
    failure: Option<io::Error>,
}

impl Unsent {
    fn new(request: &Request) -> Self {
        Self { rest: request.head.clone().chain(request.body.clone()), failure: None }
    }

    fn has_remaining(&self) -> bool {
        self.rest.has_remaining()
    }

    /// Whether all of the request was sent.
    fn is_sent(&self) -> bool {
        !self.has_remaining() && self.failure.is_none()
    }

    /// Drops the rest after a failed write.
    fn fail(&mut self, error: io::Error) {
        log::debug!("backend: write failed: {error}");
        self.rest.advance(self.rest.remaining());
        self.failure = Some(error);
    }

    /// Fails if the end of the connection, which a read has met, may be a reset.
    ///
    /// The kernel reports the error of a connection once. If a write takes it, reads return the end of
    /// the stream. Only a broken pipe says that the instance had closed its side in order before.
    fn check_end(&mut self) -> Result<(), Fault> {
        match self.failure.take() {
            Some(error) if error.kind() != io::ErrorKind::BrokenPipe => {
                Err(Fault::Transport(error))
            }
            _ => Ok(()),
        }
    }
}

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

    /// Sends a request and reads its answer, of a large one only the head if `on_head` allows it. Skips
    /// answers to other requests.
    pub async fn exchange(
        &mut self,
        request: &Request,
        memory: &Memory,
        on_head: OnHead<'_>,
    ) -> Result<Reply, Fault> {
        self.may_have_sent = false;
        self.is_exchanging = true;
        let mut unsent = Unsent::new(request);
        let received = self.send_and_receive(request, &mut unsent, memory, on_head).await?;
        self.is_used = true;
        Ok(match received {
            Received::Whole(answer) => {
                if answer.is_ended_by_close {
                    unsent.check_end()?;
                }
                let is_reusable = self.finish(&request.id, &answer, &unsent);
                Reply::Whole(answer, is_reusable)
            }
            Received::Large(head, parser) => {
                let (method, id) = (request.method.clone(), request.id.clone());
                Reply::Large(Box::new(Large { head, parser, method, id, unsent }))
            }
        })
    }

    /// Reads the next part of a large answer. Can be called again if it is cancelled.
    pub async fn next_part(&mut self, large: &mut Large) -> Result<Part, Fault> {
        loop {
            let piece = large.parser.take_body(STREAM_PIECE_BYTES);
            if !piece.is_empty() {
                return Ok(Part::Piece(piece));
            }
            let is_closed = self.read_part(&mut large.unsent).await? == 0;
            let mut answer = large.parser.next(&mut self.buffer, &large.method)?;
            if answer.is_none() && is_closed {
                large.unsent.check_end()?;
                answer = Some(large.parser.end_of_stream().ok_or(Fault::Closed)?);
            }
            if let Some(answer) = answer {
                let is_reusable = self.finish(&large.id, &answer, &large.unsent);
                return Ok(Part::Last(answer.body, is_reusable));
            }
        }
    }

    /// Reads what has come of an answer while the rest of the request is sent. Returns the number of
    /// bytes, which is 0 at the end of the connection.
    async fn read_part(&mut self, unsent: &mut Unsent) -> io::Result<usize> {
        let Self { stream, buffer, may_have_sent, .. } = self;
        let (mut read_half, mut write_half) = stream.split();
        buffer.reserve(STREAM_PIECE_BYTES);
        let mut free = buffer.limit(STREAM_PIECE_BYTES);
        loop {
            tokio::select! {
                biased;
                read = read_half.read_buf(&mut free) => return read,
                () = send(&mut write_half, unsent, may_have_sent), if unsent.has_remaining() => {}
            }
        }
    }

    /// Records the end of an exchange. Returns whether the connection can be reused.
    fn finish(&mut self, id: &Bytes, answer: &Answer, unsent: &Unsent) -> bool {
        self.is_exchanging = unsent.has_remaining();
        if !answer.head.status.is_success() {
            self.failed_ids.push(id.clone());
        }
        let is_persistent = answer.head.is_persistent
            && !answer.is_ended_by_close
            && !marjorampick_link::wire::headers::says_close(&answer.head.headers);
        let has_room = self.failed_ids.len() < MAX_FAILED_IDS;
        is_persistent && unsent.is_sent() && has_room && self.buffer.is_empty()
    }

    /// Sends and reads concurrently, as the answer may arrive before the whole body has been sent.
    async fn send_and_receive(
        &mut self,
        request: &Request,
        unsent: &mut Unsent,
        memory: &Memory,
        on_head: OnHead<'_>,
    ) -> Result<Received, Fault> {
        let Self { stream, buffer, may_have_sent, is_used, .. } = self;
        let (mut read_half, mut write_half) = stream.split();
        let mut is_written = false;
        let sending = send(&mut write_half, unsent, may_have_sent);
        let reservation = memory.reserve();
        let source = Source { is_used: *is_used, on_head };
        let receiving = receive(&mut read_half, buffer, reservation, request, source);
        tokio::pin!(sending, receiving);
        loop {
            tokio::select! {
                biased;
                received = &mut receiving => return received,
                () = &mut sending, if !is_written => is_written = true,
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

/// Sends the rest of a request. After a failed write the answer may still arrive, so that the rest is
/// dropped and reading continues.
async fn send(write_half: &mut WriteHalf<'_>, unsent: &mut Unsent, may_have_sent: &mut bool) {
    if let Err(error) = try_send(write_half, unsent, may_have_sent).await {
        unsent.fail(error);
    }
}

async fn try_send(
    write_half: &mut WriteHalf<'_>,
    unsent: &mut Unsent,
    may_have_sent: &mut bool,
) -> io::Result<()> {
    write_half.writable().await?;
    // From here on, bytes of the request may have been sent.
    *may_have_sent = true;
    while unsent.has_remaining() {
        if write_half.write_buf(&mut unsent.rest).await? == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
    }
    Ok(())
}

/// What has been received of the answer to a request.
enum Received {
    Whole(Answer),
    /// An answer whose body is large. The parser has the part that has come.
    Large(Head, Parser),
}

/// What an answer that is being received is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// The answer to the request.
    Own {
        /// Whether it may be streamed.
        may_stream: bool,
    },
    /// An answer to another request.
    Other,
}

/// Connection from which an answer is received.
struct Source<'a> {
    /// Whether it has carried another request before, or sent what was no answer to this one.
    is_used: bool,
    on_head: OnHead<'a>,
}

impl Source<'_> {
    /// Handles a head that is whole.
    fn record_head(&mut self, head: &Head, request: &Request) -> Result<Kind, Fault> {
        let is_own = is_answer_to(head, request, self.is_used);
        let may_stream = (self.on_head)(head, matches!(is_own, Ok(true)));
        self.is_used |= !matches!(is_own, Ok(true));
        Ok(if is_own? { Kind::Own { may_stream } } else { Kind::Other })
    }
}

/// Receives the answer to a request.
async fn receive(
    read_half: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    mut reservation: Reservation<'_>,
    request: &Request,
    mut source: Source<'_>,
) -> Result<Received, Fault> {
    let mut parser = Parser::default();
    let mut skipped = 0;
    // Kind of the answer that is being received; `None` before its head.
    let mut kind = None;
    loop {
        while let Some(answer) = parser.next(buffer, &request.method)? {
            let kind_of_answer = match kind.take() {
                Some(kind) => kind,
                None => source.record_head(&answer.head, request)?,
            };
            if kind_of_answer != Kind::Other {
                return Ok(Received::Whole(answer));
            }
            log::debug!("backend: skipped an answer to another request");
            skipped += 1;
            if skipped > MAX_SKIPPED_ANSWERS {
                return Err(Fault::Malformed("too many answers to other requests"));
            }
        }
        if let Some(head) = parser.head() {
            let kind = match kind {
                Some(kind) => kind,
                None => *kind.insert(source.record_head(head, request)?),
            };
            if kind == (Kind::Own { may_stream: true }) && parser.is_large() {
                return Ok(Received::Large(head.clone(), parser));
            }
            if kind == Kind::Other {
                drop(parser.take_body(usize::MAX));
            } else if parser.is_large_failure() {
                return Err(Fault::Malformed("the body of a failure exceeds the size limit"));
            }
        }
        reservation.resize(buffer.capacity() + parser.held_bytes())?;
        buffer.reserve(READ_BUFFER_BYTES);
        if read_half.read_buf(buffer).await? == 0 {
            let answer = parser.end_of_stream().ok_or(Fault::Closed)?;
            let is_own = matches!(kind, Some(Kind::Own { .. }));
            return if is_own { Ok(Received::Whole(answer)) } else { Err(Fault::Closed) };
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
pub fn keep_alive_time(head: &Head) -> Option<Duration> {
    let value = head.headers.get(header::HeaderName::from_static("keep-alive"))?;
    let parameters = value.to_str().ok()?.split(',');
    let seconds =
        parameters.filter_map(|parameter| parameter.trim().strip_prefix("timeout=")).next()?;
    let announced = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(announced.saturating_sub(KEEP_ALIVE_MARGIN))
}
