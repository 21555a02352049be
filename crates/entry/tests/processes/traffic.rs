//! Callers and backend servers of the service `signing`.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use marjorampick_core::document::Digest;
use marjorampick_link::hosts::{Host as Line, List, State};
use marjorampick_standin::backend::{Backend, Settings};
use serde_json::Value;
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

use crate::support::{Host, Platform, eventually};

/// Key of a workspace that keeps it.
pub(crate) const KEY: &str = "anchor-key";

/// Signings that are served one after the other before a test goes on.
const SIGNINGS_IN_A_ROW: u32 = 8;

/// Longest wait of a caller, longer than the deadline of the short routes.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Document with one workspace for each key, named by its position.
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

/// Starts `count` backend servers and adds them to the host list.
pub(crate) fn backends(
    platform: &Platform,
    count: usize,
    service_time: Duration,
) -> Vec<Arc<Backend>> {
    let mut backends = Vec::new();
    let mut lines = Vec::new();
    for index in 0..count {
        let listener = platform.runtime.block_on(TcpListener::bind("127.0.0.1:0"));
        let listener = listener.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let line = line(index, address);
        let backend = Backend::new(Settings {
            name: line.name.clone(),
            slots: 30,
            service_time,
            ..Settings::default()
        });
        platform.runtime.spawn(backend.clone().serve(listener));
        backends.push(backend);
        lines.push(line);
    }
    platform.listed.replace(List { hosts: lines });
    backends
}

/// Line of the host list for a backend server.
pub(crate) fn line(index: usize, address: SocketAddr) -> Line {
    Line {
        name: format!("backend-{index}").into(),
        service: Some("signing".into()),
        region: "north".into(),
        domain: "north-0".into(),
        address,
        state: State::Live,
    }
}

/// Puts the document in force and waits until every host serves requests with every key, and
/// signings, which wait for the members to be in force.
pub(crate) fn serve(platform: &Platform, hosts: &[Host<'_>], keys: &[&str]) -> u64 {
    let edited = hosts[0].edit(0, &keyed_document(keys));
    let revision = edited.expect("an accepted edit");
    for host in hosts {
        for key in keys {
            eventually(Duration::from_secs(8), "the host serves requests", || {
                let answer = ask(platform, host.callers(), &Ask::status(key));
                answer.is_some_and(|answer| answer.status() == StatusCode::OK)
            });
        }
    }
    let mut attempt = 0;
    for host in hosts {
        // Owner and backup of a claim depend on its key; several in a row show that all answer.
        let mut served = 0;
        eventually(Duration::from_secs(8), "the host serves signings", || {
            attempt += 1;
            let ask_signing = Ask::signing(&format!("first-{attempt}"));
            let answer = ask(platform, host.callers(), &ask_signing);
            let is_served = answer.is_some_and(|answer| answer.status() == StatusCode::OK);
            served = if is_served { served + 1 } else { 0 };
            served == SIGNINGS_IN_A_ROW
        });
    }
    revision
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
}

impl Ask {
    /// An idempotent request.
    pub(crate) fn status(key: &str) -> Self {
        Self {
            method: "GET",
            path: "/status".to_owned(),
            headers: vec![("x-api-key", key.to_owned())],
        }
    }

    /// A request that must run at most once, with an idempotency key.
    pub(crate) fn signing(id: &str) -> Self {
        Self {
            method: "POST",
            path: "/sign".to_owned(),
            headers: vec![("x-api-key", KEY.to_owned()), ("idempotency-key", id.to_owned())],
        }
    }

    pub(crate) fn with(mut self, name: &'static str, value: &str) -> Self {
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

    /// Sends one request; an error means that there is no complete answer.
    pub(crate) async fn ask(&mut self, ask: &Ask) -> io::Result<Response<Bytes>> {
        self.ask_within(CALLER_TIMEOUT, ask).await
    }

    /// [`Self::ask`] with another timeout.
    pub(crate) async fn ask_within(
        &mut self,
        limit: Duration,
        ask: &Ask,
    ) -> io::Result<Response<Bytes>> {
        let exchange = async {
            let response = self.0.send_request(ask.request()).await?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await?.to_bytes();
            Ok::<_, hyper::Error>(Response::from_parts(parts, body))
        };
        timeout(limit, exchange).await?.map_err(io::Error::other)
    }
}

/// Sends one request over a new connection; `None` without a complete answer.
pub(crate) async fn send(address: SocketAddr, ask: &Ask) -> Option<Response<Bytes>> {
    let mut connection = Connection::open(address).await.ok()?;
    connection.ask(ask).await.ok()
}

/// [`send`] from outside the runtime.
pub(crate) fn ask(platform: &Platform, address: SocketAddr, ask: &Ask) -> Option<Response<Bytes>> {
    platform.runtime.block_on(send(address, ask))
}

/// Value of `Marjorampick-Outcome`, empty without one.
pub(crate) fn outcome(response: &Response<Bytes>) -> &str {
    let value = response.headers().get("marjorampick-outcome");
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// Code of a refusal, empty without one.
pub(crate) fn code(response: &Response<Bytes>) -> String {
    let body: Value = serde_json::from_slice(response.body()).unwrap_or_default();
    body["code"].as_str().unwrap_or_default().to_owned()
}

/// Addresses of the caller listeners from the first host that answers a look-up.
pub(crate) async fn look_up(look_ups: &[SocketAddr]) -> Vec<SocketAddr> {
    for address in look_ups {
        let ask =
            Ask { method: "GET", path: "/lookup?service=signing".to_owned(), headers: Vec::new() };
        let Some(response) = send(*address, &ask).await else {
            continue;
        };
        let answer: Value = serde_json::from_slice(response.body()).unwrap_or_default();
        let Some(hosts) = answer["hosts"].as_array() else {
            continue;
        };
        let parsed = hosts.iter().filter_map(|host| host["address"].as_str());
        return parsed.map(|address| address.parse().expect("an address")).collect();
    }
    Vec::new()
}
