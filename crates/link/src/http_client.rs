//! HTTP/1.1 requests over fresh connections, with deadlines.
//!
//! Used for the platform's list of hosts and by the operator's command, where a kept connection
//! could have gone silent.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

/// Largest response body, in bytes.
const BODY_LIMIT: usize = 8 * 1024 * 1024;

/// Why a request has no response.
#[derive(Debug)]
pub enum Fault {
    /// The address has no usable host and port, or is no `http` address.
    InvalidUri(String),
    /// No connection was made, so that nothing was sent.
    NotSent(std::io::Error),
    /// The connection failed after the request may have been sent.
    ConnectionFailed(String),
    /// The deadline passed after the request may have been sent.
    TimedOut,
}

impl Fault {
    /// Whether the other side provably received nothing.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::InvalidUri(_) | Self::NotSent(_))
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidUri(uri) => write!(f, "{uri} is no usable http address"),
            Self::NotSent(error) => write!(f, "cannot connect: {error}"),
            Self::ConnectionFailed(error) => write!(f, "the connection failed: {error}"),
            Self::TimedOut => write!(f, "no response before the deadline"),
        }
    }
}

impl std::error::Error for Fault {}

/// Sends `request`, whose URI is absolute, and reads the whole response; `deadline` bounds the
/// connection attempt and the exchange each.
pub async fn send(request: Request<Bytes>, deadline: Duration) -> Result<Response<Bytes>, Fault> {
    let mut connection = Connection::open(request.uri(), deadline).await?;
    connection.send(request, deadline).await
}

/// A connection for a few requests, one after the other.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Connects to the host and port of `uri`.
    pub async fn open(uri: &Uri, deadline: Duration) -> Result<Self, Fault> {
        let address = address(uri)?;
        let connected = timeout(deadline, TcpStream::connect(address)).await;
        let late = || Fault::NotSent(std::io::ErrorKind::TimedOut.into());
        let stream = connected.map_err(|_| late())?.map_err(Fault::NotSent)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) =
            handshake.map_err(|error| Fault::NotSent(std::io::Error::other(error)))?;
        let driver = tokio::spawn(async move { drop(connection.await) });
        Ok(Self { sender, driver })
    }

    /// Sends `request`, whose URI is absolute, and reads the whole response.
    pub async fn send(
        &mut self,
        request: Request<Bytes>,
        deadline: Duration,
    ) -> Result<Response<Bytes>, Fault> {
        match timeout(deadline, self.exchange(request)).await {
            Ok(result) => result.map_err(|error| Fault::ConnectionFailed(error.to_string())),
            Err(_) => Err(Fault::TimedOut),
        }
    }

    async fn exchange(&mut self, mut request: Request<Bytes>) -> Result<Response<Bytes>, Failure> {
        let host = request.uri().authority().map(ToString::to_string);
        let path = request.uri().path_and_query().cloned();
        if let Some(host) = host {
            request.headers_mut().insert(header::HOST, host.parse()?);
        }
        *request.uri_mut() = path.map_or_else(|| Uri::from_static("/"), Uri::from);
        self.sender.ready().await?;
        let response = self.sender.send_request(request.map(Full::new)).await?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, BODY_LIMIT).collect().await?.to_bytes();
        Ok(Response::from_parts(parts, body))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

fn address(uri: &Uri) -> Result<SocketAddr, Fault> {
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

type Failure = Box<dyn std::error::Error + Send + Sync>;
