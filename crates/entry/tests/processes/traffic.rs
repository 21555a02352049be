//! Callers, requests and backend servers of the service `signing`.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use marjorampick_core::document::Digest;
use marjorampick_link::hosts::{Host as ListedHost, List, State};
use marjorampick_standin::backend::{Backend, Settings};
use serde_json::Value;
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

use crate::support::{Host, Platform, wait_until};

/// API key that no test withdraws.
pub(crate) const KEY: &str = "anchor-key";

/// Consecutive signings that a host must serve before a test goes on.
const CONSECUTIVE_SIGNINGS: u32 = 8;

/// Timeout of a caller; longer than the 1.5 s deadline of `/sign` and `/status`.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Document of `signing` with one workspace for each API key, named by the key's index.
pub(crate) fn keyed_document(keys: &[&str]) -> String {
    let route = |path: &str, idempotent: bool, deadline: u64| {
        format!(
            "[[route]]\npath = \"{path}\"\nclass = \"signing\"\n\
             idempotent = {idempotent}\ndeadline_ms = {deadline}\n"
        )
    };
    let mut text = "service = \"signing\"\n".to_owned();
    text += &route("/sign", false, 1500);
    text += &route("/status", true, 1500);
    text += &route("/upload", false, 20_000);
    text += "[[region]]\nname = \"north\"\nweight = 1\nslots_per_backend = 30\n";
    for (index, key) in keys.iter().enumerate() {
        let digest = Digest::of_key(key.as_bytes()).to_text();
        text += &format!(
            "[[workspace]]\nname = \"workspace-{index}\"\nrate_per_second = 1000.0\n\
             burst = 2000\nkeys = [\"{digest}\"]\n"
        );
    }
    text
}

/// Starts `count` backend servers and replaces the host list by them.
pub(crate) fn start_backends(
    platform: &Platform,
    count: usize,
    service_time: Duration,
) -> Vec<Arc<Backend>> {
    let mut backends = Vec::new();
    let mut hosts = Vec::new();
    for index in 0..count {
        let listener = platform.runtime.block_on(TcpListener::bind("127.0.0.1:0"));
        let listener = listener.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let listed = listed_backend(index, address);
        let backend = Backend::new(Settings {
            name: listed.name.clone(),
            slots: 30,
            service_time,
            ..Settings::default()
        });
        platform.runtime.spawn(backend.clone().serve(listener));
        backends.push(backend);
        hosts.push(listed);
    }
    platform.host_list.replace(List { hosts });
    backends
}

/// Entry of the host list for a backend server.
pub(crate) fn listed_backend(index: usize, address: SocketAddr) -> ListedHost {
    ListedHost {
        name: format!("backend-{index}").into(),
        service: Some("signing".into()),
        region: "north".into(),
        domain: "north-0".into(),
        address,
        state: State::Live,
    }
}

/// Writes a document with these API keys and waits until every host serves requests with every key,
/// and signings. Returns the document's revision.
///
/// Signings need claims, which are refused until the members are in force.
pub(crate) fn publish_document(platform: &Platform, hosts: &[Host<'_>], keys: &[&str]) -> u64 {
    let edited = hosts[0].edit_document(0, &keyed_document(keys));
    let revision = edited.expect("an accepted edit");
    for host in hosts {
        for key in keys {
            wait_until(Duration::from_secs(8), "the host serves requests", || {
                let response = send_blocking(platform, host.caller_address(), &Call::status(key));
                response.is_some_and(|response| response.status() == StatusCode::OK)
            });
        }
    }
    let mut attempt = 0;
    for host in hosts {
        // Owner and backup of a claim depend on its key; several signings in a row show that all
        // members respond.
        let mut served = 0;
        wait_until(Duration::from_secs(8), "the host serves signings", || {
            attempt += 1;
            let signing = Call::signing(&format!("first-{attempt}"));
            let response = send_blocking(platform, host.caller_address(), &signing);
            let is_served = response.is_some_and(|response| response.status() == StatusCode::OK);
            served = if is_served { served + 1 } else { 0 };
            served == CONSECUTIVE_SIGNINGS
        });
    }
    revision
}

/// A request of a caller, which can be sent several times.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
}

impl Call {
    /// An idempotent request with an API key.
    pub(crate) fn status(key: &str) -> Self {
        Self {
            method: "GET",
            path: "/status".to_owned(),
            headers: vec![("x-api-key", key.to_owned())],
        }
    }

    /// A request that must run at most once, with `id` as its idempotency key.
    pub(crate) fn signing(id: &str) -> Self {
        Self {
            method: "POST",
            path: "/sign".to_owned(),
            headers: vec![("x-api-key", KEY.to_owned()), ("idempotency-key", id.to_owned())],
        }
    }

    /// Adds a header.
    pub(crate) fn with_header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let mut request =
            Request::builder().method(self.method).uri(&self.path).header(header::HOST, "signing");
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        request.body(Full::default()).expect("a request")
    }
}

/// A connection of a caller that stays open between requests.
pub(crate) struct Connection(SendRequest<Full<Bytes>>);

impl Connection {
    pub(crate) async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = timeout(CALLER_TIMEOUT, TcpStream::connect(address)).await??;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        tokio::spawn(connection);
        Ok(Self(sender))
    }

    /// Sends one request; an error means that no complete response was received.
    pub(crate) async fn send(&mut self, call: &Call) -> io::Result<Response<Bytes>> {
        self.send_within(CALLER_TIMEOUT, call).await
    }

    /// [`Self::send`] with another timeout.
    pub(crate) async fn send_within(
        &mut self,
        limit: Duration,
        call: &Call,
    ) -> io::Result<Response<Bytes>> {
        let exchange = async {
            let response = self.0.send_request(call.request()).await?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await?.to_bytes();
            Ok::<_, hyper::Error>(Response::from_parts(parts, body))
        };
        timeout(limit, exchange).await?.map_err(io::Error::other)
    }
}

/// Sends one request over a new connection; `None` without a complete response.
pub(crate) async fn send(address: SocketAddr, call: &Call) -> Option<Response<Bytes>> {
    let mut connection = Connection::open(address).await.ok()?;
    connection.send(call).await.ok()
}

/// [`send`], for code outside the runtime.
pub(crate) fn send_blocking(
    platform: &Platform,
    address: SocketAddr,
    call: &Call,
) -> Option<Response<Bytes>> {
    platform.runtime.block_on(send(address, call))
}

/// Value of the `marjorampick-outcome` header, or an empty text.
pub(crate) fn outcome(response: &Response<Bytes>) -> &str {
    let value = response.headers().get("marjorampick-outcome");
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// Code in the body of a refusal, or an empty text.
pub(crate) fn refusal_code(response: &Response<Bytes>) -> String {
    let body: Value = serde_json::from_slice(response.body()).unwrap_or_default();
    body["code"].as_str().unwrap_or_default().to_owned()
}

/// Addresses of the caller listeners, from the first host that responds to a look-up; empty if none
/// does.
pub(crate) async fn resolve_hosts(look_up_addresses: &[SocketAddr]) -> Vec<SocketAddr> {
    for address in look_up_addresses {
        let call =
            Call { method: "GET", path: "/lookup?service=signing".to_owned(), headers: Vec::new() };
        let Some(response) = send(*address, &call).await else {
            continue;
        };
        let body: Value = serde_json::from_slice(response.body()).unwrap_or_default();
        let Some(hosts) = body["hosts"].as_array() else {
            continue;
        };
        let parsed = hosts.iter().filter_map(|host| host["address"].as_str());
        return parsed.map(|address| address.parse().expect("an address")).collect();
    }
    Vec::new()
}
