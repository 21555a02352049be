//! The thread `admin`: metrics, status and documents for operators.
//!
//! `docs/admin.md` gives the interface. Reads come from published state; edits go through the control
//! thread. Faults are answered as JSON problems with all findings.

mod documents;
pub mod problem;
mod status;

use std::{panic::AssertUnwindSafe, sync::Arc};

use gotham::{
    helpers::http::{Body, response::create_response},
    middleware::state::StateMiddleware,
    pipeline::{single_middleware, single_pipeline},
    prelude::*,
    router::{Router, build_router},
    state::{State, StateData},
};
use http::{Response, StatusCode};
use marjorampick_core::document::Digest;

use crate::shared::Shared;

/// What the handlers need.
pub struct Context {
    /// State of the host.
    pub shared: Arc<Shared>,
    /// Digest of the operators' token.
    pub token_digest: Digest,
    /// Answers the metrics in the Prometheus text format.
    pub render_metrics: Box<dyn Fn() -> String + Send + Sync>,
}

#[derive(Clone)]
struct ContextHandle(Arc<AssertUnwindSafe<Context>>);

impl StateData for ContextHandle {}

/// Routes of the admin listener.
pub fn router(context: Context) -> Router {
    let handle = ContextHandle(Arc::new(AssertUnwindSafe(context)));
    let (chain, pipelines) = single_pipeline(single_middleware(StateMiddleware::new(handle)));
    build_router(chain, pipelines, |route| {
        route.get("/healthz").to(health);
        route.get("/metrics").to(metrics);
        route.get("/status").to(status::get);
        route.get("/documents").to(documents::list);
        route.get("/documents/:service").to(documents::get);
        route.put("/documents/:service").to_async(documents::put);
        route.delete("/documents/:service").to_async(documents::remove);
    })
}

fn context(state: &State) -> &Context {
    &state.borrow::<ContextHandle>().0
}

/// Whether the process runs; a draining or outdated host is healthy too.
fn health(state: State) -> (State, Response<Body>) {
    let response = create_response(&state, StatusCode::OK, mime::TEXT_PLAIN, "ok\n");
    (state, response)
}

fn metrics(state: State) -> (State, Response<Body>) {
    let text = (context(&state).render_metrics)();
    let response = create_response(&state, StatusCode::OK, mime::TEXT_PLAIN_UTF_8, text);
    (state, response)
}
