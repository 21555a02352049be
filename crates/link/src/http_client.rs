//! HTTP/1.1 client with a timeout for every request and no connection pool.
//!
//! It is used for infrequent requests, such as those for the platform's list of hosts and those of
//! the operators' command. A pooled connection might die unnoticed between two of them.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Request, Response, Uri, header};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Body, Incoming},
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

use crate::wire::{framing::Ambiguous, length::Length, socket::Socket};

/// Largest accepted response body.
pub const BODY_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// What a request may take. A response that keeps coming is not ended before `total`, however large it is:
/// a request that is repeated after its time on a slow link would never succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest time until the head of the response.
    pub head: Duration,
    /// Longest time without a byte of its body.
    pub silence: Duration,
    /// Longest time for all of it.
    pub total: Duration,
    /// Largest body in bytes.
    pub body_bytes: usize,
}

impl Limits {
    /// A response of any size that is accepted, within this time.
    pub fn within(time: Duration) -> Self {
        Self { head: time, silence: time, total: time, body_bytes: BODY_LIMIT_BYTES }
    }
}

/// Why a request got no response.
#[derive(Debug)]
pub enum Fault {
    /// The URI is not an `http` URI with an IP address as its host.
    InvalidUri(String),
    /// The connection could not be opened, so nothing was sent.
    NotSent(std::io::Error),
    /// The connection failed or the response was unusable; the request may have been sent.
    ConnectionFailed(String),
    /// No complete response arrived in time; the request may have been sent.
    TimedOut,
    /// The body of the response is larger than the caller accepts; the request was executed.
    TooLarge,
}

impl Fault {
    fn failed(error: &hyper::Error) -> Self {
        Self::ConnectionFailed(error.to_string())
    }

    /// Whether it is certain that the server received nothing.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::InvalidUri(_) | Self::NotSent(_))
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidUri(uri) => write!(f, "{uri} is not a usable http address"),
            Self::NotSent(error) => write!(f, "cannot connect: {error}"),
            Self::ConnectionFailed(error) => write!(f, "the connection failed: {error}"),
            Self::TimedOut => write!(f, "no response before the deadline"),
            Self::TooLarge => write!(f, "the response is too large"),
        }
    }
}

impl std::error::Error for Fault {}

/// Sends `request`, whose URI must be absolute, over a new connection and reads the whole response.
/// Opening the connection may take up to `time_limit`, and so may the request.
pub async fn send(request: Request<Bytes>, time_limit: Duration) -> Result<Response<Bytes>, Fault> {
    send_within(request, time_limit, Limits::within(time_limit)).await
}

/// Sends `request` like [`send`]. Opening the connection may take up to `connect_limit`, and the request
/// what `limits` allow.
pub async fn send_within(
    request: Request<Bytes>,
    connect_limit: Duration,
    limits: Limits,
) -> Result<Response<Bytes>, Fault> {
    let mut connection = Connection::open(request.uri(), connect_limit).await?;
    connection.send_within(request, limits).await
}

/// Connection for requests that are sent one after the other.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    socket: Socket,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Connects to the IP address and port of `uri`; the port is 80 by default.
    pub async fn open(uri: &Uri, time_limit: Duration) -> Result<Self, Fault> {
        let address = socket_address(uri)?;
        let connected = timeout(time_limit, TcpStream::connect(address)).await;
        let timed_out = || Fault::NotSent(std::io::ErrorKind::TimedOut.into());
        let stream = connected.map_err(|_| timed_out())?.map_err(Fault::NotSent)?;
        let socket = Socket::new(stream);
        let handshake = http1::handshake(TokioIo::new(socket.clone())).await;
        let (sender, connection) =
            handshake.map_err(|error| Fault::NotSent(std::io::Error::other(error)))?;
        let driver = tokio::spawn(async move { drop(connection.await) });
        Ok(Self { sender, socket, driver })
    }

    /// Sends `request`, whose URI must be absolute, and reads the whole response.
    pub async fn send(
        &mut self,
        request: Request<Bytes>,
        time_limit: Duration,
    ) -> Result<Response<Bytes>, Fault> {
        self.send_within(request, Limits::within(time_limit)).await
    }

    /// Sends `request` like [`Self::send`], within `limits`.
    pub async fn send_within(
        &mut self,
        request: Request<Bytes>,
        limits: Limits,
    ) -> Result<Response<Bytes>, Fault> {
        let exchange = self.exchange(request, limits);
        timeout(limits.total, exchange).await.unwrap_or(Err(Fault::TimedOut))
    }

    async fn exchange(
        &mut self,
        mut request: Request<Bytes>,
        limits: Limits,
    ) -> Result<Response<Bytes>, Fault> {
        let host = request.uri().authority().map(ToString::to_string);
        let target = request.uri().path_and_query().cloned();
        if let Some(host) = host {
            let host = host.parse().map_err(|_| Fault::InvalidUri(host))?;
            request.headers_mut().insert(header::HOST, host);
        }
        *request.uri_mut() = target.map_or_else(|| Uri::from_static("/"), Uri::from);
        let sending = async {
            self.sender.ready().await?;
            self.socket.start_request();
            self.sender.send_request(request.map(Full::new)).await
        };
        let sent = timeout(limits.head, sending).await.map_err(|_| Fault::TimedOut)?;
        let (parts, body) = sent.map_err(|error| Fault::failed(&error))?.into_parts();
        Length::read(&parts.headers).map_err(|Ambiguous| {
            Fault::ConnectionFailed("the end of the response can't be told".to_owned())
        })?;
        let body = read_body(body, limits).await?;
        Ok(Response::from_parts(parts, body))
    }
}

/// Reads a whole body, within `limits`.
async fn read_body(mut body: Incoming, limits: Limits) -> Result<Bytes, Fault> {
    let is_too_large = |bytes: u64| bytes > limits.body_bytes as u64;
    if is_too_large(body.size_hint().lower()) {
        return Err(Fault::TooLarge);
    }
    let mut collected = BytesMut::new();
    loop {
        let frame = timeout(limits.silence, body.frame()).await.map_err(|_| Fault::TimedOut)?;
        let Some(frame) = frame.transpose().map_err(|error| Fault::failed(&error))? else {
            return Ok(collected.freeze());
        };
        if let Ok(data) = frame.into_data() {
            collected.extend_from_slice(&data);
        }
        if is_too_large(collected.len() as u64) {
            return Err(Fault::TooLarge);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

fn socket_address(uri: &Uri) -> Result<SocketAddr, Fault> {
    let fault = || Fault::InvalidUri(uri.to_string());
    if uri.scheme_str() != Some("http") {
        return Err(fault());
    }
    let authority = uri.authority().ok_or_else(fault)?;
    let port = authority.port_u16().unwrap_or(80);
    let host = authority.host().trim_matches(['[', ']']);
    let address = host.parse().map_err(|_| fault())?;
    Ok(SocketAddr::new(address, port))
}
