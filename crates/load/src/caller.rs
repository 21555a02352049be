//! A caller: asks look-ups which entry host to use, sends requests, tells outcomes apart.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::Deserialize;

use crate::plan::Stream;

/// Longest time for one look-up.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Answer of the look-up listener.
#[derive(Clone, Debug, Deserialize)]
pub struct Lookup {
    /// Entry hosts in order of preference.
    pub hosts: Vec<Target>,
    /// How long the answer may be used.
    pub ttl_seconds: f64,
}

/// One address of a [`Lookup`].
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    /// Address of a caller listener.
    pub address: SocketAddr,
    /// Part of the requests that should go there; 0 for a host to use when no other answers.
    pub weight: f64,
}

impl Lookup {
    /// Addresses to try in turn: one of the hosts with a weight first, chosen by `turn`.
    fn order(&self, turn: usize) -> Vec<SocketAddr> {
        let addresses: Vec<SocketAddr> = self.hosts.iter().map(|host| host.address).collect();
        let near = self.hosts.iter().filter(|host| host.weight > 0.0).count();
        let mut order = rotated(&addresses[..near], turn);
        order.extend(&addresses[near..]);
        order
    }
}

/// What a caller saw of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer with a status below 500 that is no refusal of the system.
    Served,
    /// The system refused and said that the request did not run.
    NotRun(Arc<str>),
    /// Whether the request ran is unknown to the caller.
    Unknown(Arc<str>),
}

/// Client of one stream, with the answer of the last look-up.
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    stream: Stream,
    body: Bytes,
    cached: Mutex<Option<(Instant, Vec<SocketAddr>)>>,
    next: AtomicUsize,
}

impl Caller {
    /// Caller for the requests of `stream`.
    pub fn new(stream: Stream) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(LOOKUP_TIMEOUT));
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        let body = Bytes::from(vec![b'm'; stream.body_bytes]);
        Self { client, stream, body, cached: Mutex::new(None), next: AtomicUsize::new(0) }
    }

    /// Sends one request; `number` makes its idempotency key unique.
    pub async fn call(&self, number: u64) -> Outcome {
        let send = self.send(number);
        match tokio::time::timeout(self.stream.timeout, send).await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::Unknown(Arc::from("caller-timeout")),
        }
    }

    async fn send(&self, number: u64) -> Outcome {
        let addresses = self.addresses().await;
        let mut last = Outcome::NotRun(Arc::from("no-address"));
        for address in addresses {
            match self.exchange(address, number).await {
                Attempt::Ended(outcome) => return outcome,
                Attempt::NotSent => {
                    self.forget();
                    last = Outcome::NotRun(Arc::from("no-connection"));
                }
            }
        }
        last
    }

    async fn exchange(&self, address: SocketAddr, number: u64) -> Attempt {
        let Ok(request) = self.request(address, number) else {
            return Attempt::Ended(Outcome::NotRun(Arc::from("bad-plan")));
        };
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Attempt::NotSent,
            Err(_) => return Attempt::Ended(Outcome::Unknown(Arc::from("connection-lost"))),
        };
        let (head, body) = response.into_parts();
        match body.collect().await {
            Ok(body) => Attempt::Ended(classify(head.status, &head.headers, &body.to_bytes())),
            Err(_) => Attempt::Ended(Outcome::Unknown(Arc::from("answer-cut"))),
        }
    }

    fn request(&self, address: SocketAddr, number: u64) -> http::Result<Request<Full<Bytes>>> {
        let stream = &self.stream;
        let mut request = Request::builder()
            .method(stream.method.clone())
            .uri(format!("http://{address}{}", stream.path))
            .header(header::HOST, stream.service.as_ref());
        if let Some(key) = &stream.key {
            request = request.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        if stream.idempotency_key {
            request = request.header("idempotency-key", format!("{}-{number}", stream.name));
        }
        request.body(Full::new(self.body.clone()))
    }

    /// Addresses in the order in which to try them.
    async fn addresses(&self) -> Vec<SocketAddr> {
        if !self.stream.direct.is_empty() {
            return rotated(&self.stream.direct, self.next.fetch_add(1, Ordering::Relaxed));
        }
        if let Some(addresses) = self.known() {
            return addresses;
        }
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        for host in rotated(&self.stream.lookups, start) {
            let lookup = tokio::time::timeout(LOOKUP_TIMEOUT, self.look_up(host)).await;
            if let Ok(Some(lookup)) = lookup {
                let addresses = lookup.order(start);
                let until = Instant::now() + Duration::from_secs_f64(lookup.ttl_seconds.max(0.0));
                *self.lock() = Some((until, addresses.clone()));
                return addresses;
            }
        }
        Vec::new()
    }

    async fn look_up(&self, host: SocketAddr) -> Option<Lookup> {
        let uri = format!("http://{host}/lookup?service={}", self.stream.service);
        let request = Request::get(uri).body(Full::default()).ok()?;
        let response = self.client.request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        let lookup: Lookup = serde_json::from_slice(&body).ok()?;
        (!lookup.hosts.is_empty()).then_some(lookup)
    }

    fn known(&self) -> Option<Vec<SocketAddr>> {
        let cached = self.lock();
        let (until, addresses) = cached.as_ref()?;
        (Instant::now() < *until).then(|| addresses.clone())
    }

    fn forget(&self) {
        *self.lock() = None;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<(Instant, Vec<SocketAddr>)>> {
        self.cached.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// How one attempt ended.
enum Attempt {
    Ended(Outcome),
    /// No connection came about, so that another address may be tried.
    NotSent,
}

fn classify(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> Outcome {
    let outcome = headers.get("marjorampick-outcome").and_then(|value| value.to_str().ok());
    match outcome {
        Some("not-run") => Outcome::NotRun(code_of(status, body)),
        Some(_) => Outcome::Unknown(code_of(status, body)),
        None if status.is_server_error() => Outcome::Unknown(Arc::from(status.as_str())),
        None => Outcome::Served,
    }
}

/// The `code` of a problem document, or the status when there is none.
fn code_of(status: StatusCode, body: &[u8]) -> Arc<str> {
    let problem: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let code = problem.as_ref().and_then(|problem| problem["code"].as_str());
    Arc::from(code.unwrap_or(status.as_str()))
}

fn rotated(addresses: &[SocketAddr], start: usize) -> Vec<SocketAddr> {
    let count = addresses.len();
    (0..count).map(|index| addresses[(start + index) % count]).collect()
}
