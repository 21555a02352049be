//! HTTP/1.1 client with a timeout for every request and no connection pool.
//!
//! It is used for infrequent requests, such as those for the platform's list of hosts and those of
//! the operators' command. A pooled connection might die unnoticed between two of them.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

/// Largest accepted response body.
const BODY_LIMIT_BYTES: usize = 8 * 1024 * 1024;

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
}

impl Fault {
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
        }
    }
}

impl std::error::Error for Fault {}

/// Sends `request`, whose URI must be absolute, over a new connection and reads the whole response.
/// Opening the connection may take up to `time_limit`, and so may the request.
pub async fn send(request: Request<Bytes>, time_limit: Duration) -> Result<Response<Bytes>, Fault> {
    let mut connection = Connection::open(request.uri(), time_limit).await?;
    connection.send(request, time_limit).await
}

/// Connection for requests that are sent one after the other.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Connects to the IP address and port of `uri`; the port is 80 by default.
    pub async fn open(uri: &Uri, time_limit: Duration) -> Result<Self, Fault> {
        let address = socket_address(uri)?;
        let connected = timeout(time_limit, TcpStream::connect(address)).await;
        let timed_out = || Fault::NotSent(std::io::ErrorKind::TimedOut.into());
        let stream = connected.map_err(|_| timed_out())?.map_err(Fault::NotSent)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) =
            handshake.map_err(|error| Fault::NotSent(std::io::Error::other(error)))?;
        let driver = tokio::spawn(async move { drop(connection.await) });
        Ok(Self { sender, driver })
    }

    /// Sends `request`, whose URI must be absolute, and reads the whole response.
    pub async fn send(
        &mut self,
        request: Request<Bytes>,
        time_limit: Duration,
    ) -> Result<Response<Bytes>, Fault> {
        match timeout(time_limit, self.exchange(request)).await {
            Ok(result) => result.map_err(|error| Fault::ConnectionFailed(error.to_string())),
            Err(_) => Err(Fault::TimedOut),
        }
    }

    async fn exchange(
        &mut self,
        mut request: Request<Bytes>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let host = request.uri().authority().map(ToString::to_string);
        let target = request.uri().path_and_query().cloned();
        if let Some(host) = host {
            request.headers_mut().insert(header::HOST, host.parse()?);
        }
        *request.uri_mut() = target.map_or_else(|| Uri::from_static("/"), Uri::from);
        self.sender.ready().await?;
        let response = self.sender.send_request(request.map(Full::new)).await?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, BODY_LIMIT_BYTES).collect().await?.to_bytes();
        Ok(Response::from_parts(parts, body))
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

type ExchangeError = Box<dyn std::error::Error + Send + Sync>;
