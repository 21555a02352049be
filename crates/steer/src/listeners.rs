//! HTTP listeners for look-ups, the readiness check and metrics.
//!
//! Gotham requires a context that can be sent between threads, so the handlers read only what the
//! host publishes in its [`Snapshot`].

use std::{
    net::SocketAddr,
    panic::AssertUnwindSafe,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
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
    service::call_handler,
    state::{State as Exchange, StateData},
};
use http::{Request, Response, StatusCode, Uri};
use hyper::{body::Incoming, service::service_fn};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::{
    codec::Codec,
    constants::ACCEPT_RETRY_DELAY,
    directory,
    intake::connection,
    state::{Snapshot, State},
    tasks,
};

/// Largest request head at these listeners, in bytes.
const MAX_HEADER_BYTES: usize = 8 * 1024;

/// Shared context of the handlers.
#[derive(Clone)]
pub struct Context(Arc<AssertUnwindSafe<Inner>>);

impl StateData for Context {}

struct Inner {
    snapshot: Arc<Snapshot>,
    codec: Codec,
    lookup_lifetime: Duration,
    metrics_handle: PrometheusHandle,
}

impl Context {
    /// Creates the context of all listeners. `lookup_lifetime` is the time to live of look-up
    /// responses.
    pub fn new(
        snapshot: Arc<Snapshot>,
        codec: Codec,
        lookup_lifetime: Duration,
        metrics_handle: PrometheusHandle,
    ) -> Self {
        Self(Arc::new(AssertUnwindSafe(Inner { snapshot, codec, lookup_lifetime, metrics_handle })))
    }
}

/// Returns the router of the look-up listener.
pub fn lookup_router(context: Context) -> Router {
    let path = context.0.codec.lookup_path;
    single_route(context, path, handle_lookup)
}

/// Returns the router of the readiness listener.
pub fn readiness_router(context: Context) -> Router {
    let path = context.0.codec.ready_path;
    single_route(context, path, handle_readiness)
}

/// Returns the router of the metrics listener.
pub fn metrics_router(context: Context) -> Router {
    single_route(context, "/metrics", handle_metrics)
}

/// Listens on `address`. The returned future serves `router`.
///
/// Gotham's own loop accepts connections without limits and waits for requests without end.
pub async fn serve(
    state: &Rc<State>,
    address: SocketAddr,
    router: Router,
) -> eyre::Result<impl Future<Output = ()> + use<>> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.wrap_err_with(|| format!("cannot listen on {address}"))?;
    let (state, router) = (state.clone(), Arc::new(router));
    Ok(async move {
        loop {
            match listener.accept().await {
                Ok((stream, address)) => spawn_connection(&state, &router, stream, address),
                Err(error) => {
                    log::warn!("listeners: accept failed: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    })
}

/// Serves a connection on a task of its own, if there is room for it.
fn spawn_connection(
    state: &Rc<State>,
    router: &Arc<Router>,
    stream: TcpStream,
    address: SocketAddr,
) {
    let Some(admitted) = state.service_gate.admit(&stream) else {
        return;
    };
    let (state, router) = (state.clone(), router.clone());
    tokio::task::spawn_local(async move {
        let service = |_, _| {
            service_fn(move |request: Request<Incoming>| {
                let exchange = Exchange::from_request(request, address);
                call_handler(router.clone(), AssertUnwindSafe(exchange))
            })
        };
        let never = future::pending();
        let serving = Box::pin(connection::serve(
            admitted,
            stream,
            MAX_HEADER_BYTES,
            Arc::new(AtomicBool::new(false)),
            service,
            never,
        ));
        tasks::contain_task(&state, "connection", serving).await;
    });
}

fn single_route(
    context: Context,
    path: &str,
    handler: fn(Exchange) -> (Exchange, Response<Body>),
) -> Router {
    let (chain, pipelines) = single_pipeline(single_middleware(StateMiddleware::new(context)));
    build_router(chain, pipelines, |route| {
        route.get(path).to(handler);
    })
}

fn handle_lookup(exchange: Exchange) -> (Exchange, Response<Body>) {
    let Context(inner) = exchange.borrow::<Context>();
    let query = (inner.codec.parse_lookup)(exchange.borrow::<Uri>());
    let response = match query {
        Some(query) => {
            let hosts = inner.snapshot.hosts.load();
            let names = inner.snapshot.large_answer_names.load();
            let has_large_answers = names.contains(query.name.to_ascii_lowercase().as_str());
            let addresses = directory::addresses(&hosts, &query, has_large_answers);
            let body = (inner.codec.encode_addresses)(&addresses, inner.lookup_lifetime);
            create_response(&exchange, StatusCode::OK, mime::APPLICATION_JSON, body)
        }
        None => empty_response(&exchange, StatusCode::BAD_REQUEST),
    };
    (exchange, response)
}

fn handle_readiness(exchange: Exchange) -> (Exchange, Response<Body>) {
    let Context(inner) = exchange.borrow::<Context>();
    let is_ready = inner.snapshot.is_ready.load(Ordering::Acquire);
    let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let response = empty_response(&exchange, status);
    (exchange, response)
}

fn handle_metrics(exchange: Exchange) -> (Exchange, Response<Body>) {
    let Context(inner) = exchange.borrow::<Context>();
    let text = inner.metrics_handle.render();
    let response = create_response(&exchange, StatusCode::OK, mime::TEXT_PLAIN, text);
    (exchange, response)
}

fn empty_response(exchange: &Exchange, status: StatusCode) -> Response<Body> {
    create_response(exchange, status, mime::TEXT_PLAIN, "")
}
