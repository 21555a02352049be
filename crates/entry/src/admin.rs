//! HTTP listener for operators, on the thread `admin`: health, metrics, status and documents.
//!
//! `docs/admin.md` describes the interface. Reads use the published status; edits go through the
//! control thread. Errors are returned as [`problem::Problem`] with all findings.

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

/// State that the handlers use.
pub struct Context {
    /// State of the host.
    pub shared: Arc<Shared>,
    /// Digest of the bearer token that operators present.
    pub token_digest: Digest,
    /// Renders the metrics in the Prometheus text format.
    pub render_metrics: Box<dyn Fn() -> String + Send + Sync>,
}

/// The context as gotham requires its state: cheap to clone and unwind-safe.
#[derive(Clone)]
struct ContextHandle(Arc<AssertUnwindSafe<Context>>);

impl StateData for ContextHandle {}

/// Builds the router of the admin listener.
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
        route.delete("/documents/:service").to_async(documents::delete);
    })
}

fn context(state: &State) -> &Context {
    &state.borrow::<ContextHandle>().0
}

/// Reports that the process is running. A host that is draining or not current is healthy, too.
fn health(state: State) -> (State, Response<Body>) {
    let response = create_response(&state, StatusCode::OK, mime::TEXT_PLAIN, "ok\n");
    (state, response)
}

fn metrics(state: State) -> (State, Response<Body>) {
    let text = (context(&state).render_metrics)();
    let response = create_response(&state, StatusCode::OK, mime::TEXT_PLAIN_UTF_8, text);
    (state, response)
}
