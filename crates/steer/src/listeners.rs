//! Look-ups, the readiness check and metrics, which read what the host has published.

use std::{
    net::SocketAddr,
    panic::AssertUnwindSafe,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use eyre::WrapErr as _;
use futures_util::future;
use gotham::{
    helpers::http::{Body, response::create_response},
    middleware::state::StateMiddleware,
    pipeline::{single_middleware, single_pipeline},
    prelude::*,
    router::{Router, build_router},
    state::{State as Exchange, StateData},
};
use http::{Response, StatusCode, Uri};
use marjorampick_core::rendezvous;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;

use crate::{
    codec::{Codec, Query},
    constants::MAX_LOOKUP_ADDRESSES,
    state::{Registration, Snapshot},
};

/// What the handlers read.
#[derive(Clone)]
pub struct Context(Arc<AssertUnwindSafe<Inner>>);

impl StateData for Context {}

struct Inner {
    snapshot: Arc<Snapshot>,
    codec: Codec,
    lifetime: Duration,
    metrics: PrometheusHandle,
}

impl Context {
    /// Context of all three listeners.
    pub fn new(
        snapshot: Arc<Snapshot>,
        codec: Codec,
        lifetime: Duration,
        metrics: PrometheusHandle,
    ) -> Self {
        Self(Arc::new(AssertUnwindSafe(Inner { snapshot, codec, lifetime, metrics })))
    }
}

/// Routes of the look-up listener.
pub fn lookup_router(context: Context) -> Router {
    let path = context.0.codec.lookup_path;
    route(context, path, look_up)
}

/// Routes of the readiness listener.
pub fn readiness_router(context: Context) -> Router {
    let path = context.0.codec.ready_path;
    route(context, path, check)
}

/// Routes of the metrics listener.
pub fn metrics_router(context: Context) -> Router {
    route(context, "/metrics", render)
}

/// Serves `router` at `address` on a task of its own.
pub async fn serve(address: SocketAddr, router: Router) -> eyre::Result<()> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.wrap_err_with(|| format!("cannot listen on {address}"))?;
    tokio::spawn(gotham::bind_server(listener, router, future::ok));
    Ok(())
}

fn route(
    context: Context,
    path: &str,
    handler: fn(Exchange) -> (Exchange, Response<Body>),
) -> Router {
    let (chain, pipelines) = single_pipeline(single_middleware(StateMiddleware::new(context)));
    build_router(chain, pipelines, |route| {
        route.get(path).to(handler);
    })
}

fn look_up(exchange: Exchange) -> (Exchange, Response<Body>) {
    let Context(inner) = exchange.borrow::<Context>();
    let question = (inner.codec.parse_lookup)(exchange.borrow::<Uri>());
    let response = match question {
        Some(question) => {
            let hosts = inner.snapshot.hosts.load();
            let addresses = lookup_addresses(&hosts, &question);
            let body = (inner.codec.encode_addresses)(&addresses, inner.lifetime);
            create_response(&exchange, StatusCode::OK, mime::APPLICATION_JSON, body)
        }
        None => empty(&exchange, StatusCode::BAD_REQUEST),
    };
    (exchange, response)
}

/// Hosts of the caller's region; all hosts when it has none.
pub fn lookup_addresses(hosts: &[Registration], question: &Query) -> Vec<SocketAddr> {
    let is_near = |host: &&Registration| host.region.as_ref() == question.region;
    let near: Vec<SocketAddr> = hosts.iter().filter(is_near).map(|host| host.callers).collect();
    let mut addresses =
        if near.is_empty() { hosts.iter().map(|host| host.callers).collect() } else { near };
    if addresses.len() > MAX_LOOKUP_ADDRESSES {
        let key = format!("{}/{}", question.domain, question.name);
        addresses.sort_by_key(|address| rendezvous::weight(&key, &address.to_string()));
        addresses.truncate(MAX_LOOKUP_ADDRESSES);
    }
    addresses
}

fn check(exchange: Exchange) -> (Exchange, Response<Body>) {
    let Context(inner) = exchange.borrow::<Context>();
    let is_ready = inner.snapshot.is_ready.load(Ordering::Acquire);
    let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let response = empty(&exchange, status);
    (exchange, response)
}

fn render(exchange: Exchange) -> (Exchange, Response<Body>) {
    let Context(inner) = exchange.borrow::<Context>();
    let text = inner.metrics.render();
    let response = create_response(&exchange, StatusCode::OK, mime::TEXT_PLAIN, text);
    (exchange, response)
}

fn empty(exchange: &Exchange, status: StatusCode) -> Response<Body> {
    create_response(exchange, status, mime::TEXT_PLAIN, "")
}
