//! HTTP client of one stream: looks up entry hosts, sends requests and classifies their outcomes.

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
use marjorampick_link::wire::{length::Length, status};
use serde::Deserialize;

use crate::plan::Stream;

/// Longest time of one look-up, and of establishing a connection.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Response of a look-up listener.
#[derive(Clone, Debug, Deserialize)]
pub struct Lookup {
    /// Entry hosts in order of preference.
    pub hosts: Vec<Target>,
    /// How long the response may be cached, in seconds.
    pub ttl_seconds: f64,
}

/// An entry host in a [`Lookup`].
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    /// Address of the host's listener for callers.
    pub address: SocketAddr,
    /// Fraction of the requests to send to the host; 0 for a fallback that is used only when no
    /// other host responds.
    pub weight: f64,
}

impl Lookup {
    /// Addresses in the order in which to try them: the hosts with a weight, rotated by `turn`,
    /// then the fallbacks.
    fn addresses(&self, turn: usize) -> Vec<SocketAddr> {
        let addresses: Vec<SocketAddr> = self.hosts.iter().map(|host| host.address).collect();
        let weighted_count = self.hosts.iter().filter(|host| host.weight > 0.0).count();
        let mut order = rotate(&addresses[..weighted_count], turn);
        order.extend(&addresses[weighted_count..]);
        order
    }
}

/// Outcome of one request as seen by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response with a status below 500 that is not a refusal by marjorampick.
    Served,
    /// The request did not run: marjorampick refused it and said so, or it could not be sent. With
    /// the code of the cause.
    NotRun(Arc<str>),
    /// The caller cannot know whether the request ran, or too many requests were in flight to send
    /// it. With the code of the cause.
    Unknown(Arc<str>),
}

/// Client of one stream, with a cache of its last look-up.
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    stream: Stream,
    body: Bytes,
    /// Time until which the addresses may be used, and the addresses in order.
    lookup_cache: Mutex<Option<(Instant, Vec<SocketAddr>)>>,
    /// Position at which the next rotation of addresses starts.
    next_turn: AtomicUsize,
}

impl Caller {
    /// Creates the client of `stream`.
    pub fn new(stream: Stream) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(LOOKUP_TIMEOUT));
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        let body = Bytes::from(vec![b'm'; stream.body_bytes]);
        Self {
            client,
            stream,
            body,
            lookup_cache: Mutex::new(None),
            next_turn: AtomicUsize::new(0),
        }
    }

    /// Sends one request and waits for its outcome. `number` must be unique in the stream, as it is
    /// part of the idempotency key.
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
            match self.try_address(address, number).await {
                Attempt::Completed(outcome) => return outcome,
                Attempt::NotConnected => {
                    self.clear_cache();
                    last = Outcome::NotRun(Arc::from("no-connection"));
                }
            }
        }
        last
    }

    async fn try_address(&self, address: SocketAddr, number: u64) -> Attempt {
        let Ok(request) = self.build_request(address, number) else {
            return Attempt::Completed(Outcome::NotRun(Arc::from("bad-plan")));
        };
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Attempt::NotConnected,
            Err(_) => return Attempt::Completed(Outcome::Unknown(Arc::from("connection-lost"))),
        };
        let (head, body) = response.into_parts();
        if !status::is_final(head.status) || Length::read(&head.headers).is_err() {
            return Attempt::Completed(Outcome::Unknown(Arc::from("malformed-answer")));
        }
        match body.collect().await {
            Ok(body) => Attempt::Completed(classify(head.status, &head.headers, &body.to_bytes())),
            Err(_) => Attempt::Completed(Outcome::Unknown(Arc::from("answer-cut"))),
        }
    }

    fn build_request(
        &self,
        address: SocketAddr,
        number: u64,
    ) -> http::Result<Request<Full<Bytes>>> {
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

    /// Addresses in the order in which to try them, from the plan, the cache or a look-up. Empty if
    /// no look-up succeeds.
    async fn addresses(&self) -> Vec<SocketAddr> {
        if !self.stream.direct.is_empty() {
            return rotate(&self.stream.direct, self.next_turn.fetch_add(1, Ordering::Relaxed));
        }
        if let Some(addresses) = self.cached_addresses() {
            return addresses;
        }
        let turn = self.next_turn.fetch_add(1, Ordering::Relaxed);
        for host in rotate(&self.stream.lookups, turn) {
            let lookup = tokio::time::timeout(LOOKUP_TIMEOUT, self.look_up(host)).await;
            if let Ok(Some(lookup)) = lookup {
                let addresses = lookup.addresses(turn);
                let until = Instant::now() + Duration::from_secs_f64(lookup.ttl_seconds.max(0.0));
                *self.lock_cache() = Some((until, addresses.clone()));
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

    fn cached_addresses(&self) -> Option<Vec<SocketAddr>> {
        let cache = self.lock_cache();
        let (until, addresses) = cache.as_ref()?;
        (Instant::now() < *until).then(|| addresses.clone())
    }

    fn clear_cache(&self) {
        *self.lock_cache() = None;
    }

    fn lock_cache(&self) -> std::sync::MutexGuard<'_, Option<(Instant, Vec<SocketAddr>)>> {
        self.lookup_cache.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Result of an attempt at one address.
enum Attempt {
    Completed(Outcome),
    /// The connection could not be established, so that another address may be tried.
    NotConnected,
}

fn classify(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> Outcome {
    let outcome = headers.get("marjorampick-outcome").and_then(|value| value.to_str().ok());
    match outcome {
        Some("not-run") => Outcome::NotRun(error_code(status, body)),
        Some(_) => Outcome::Unknown(error_code(status, body)),
        None if status.is_server_error() => Outcome::Unknown(Arc::from(status.as_str())),
        None => Outcome::Served,
    }
}

/// The `code` of a problem document, or the status if the body is not a problem document.
fn error_code(status: StatusCode, body: &[u8]) -> Arc<str> {
    let problem: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let code = problem.as_ref().and_then(|problem| problem["code"].as_str());
    Arc::from(code.unwrap_or(status.as_str()))
}

/// Addresses in circular order, beginning at position `start`.
fn rotate(addresses: &[SocketAddr], start: usize) -> Vec<SocketAddr> {
    let count = addresses.len();
    (0..count).map(|index| addresses[(start + index) % count]).collect()
}
