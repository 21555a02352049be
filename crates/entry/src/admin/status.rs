//! Handler of `GET /status`.

use gotham::{
    helpers::http::{Body, response::create_response},
    state::State,
};
use http::{Response, StatusCode};
use serde_json::json;

use super::context;

/// Returns the host's currency, membership and revisions, and the members, as JSON.
pub(super) fn get(state: State) -> (State, Response<Body>) {
    let shared = &context(&state).shared;
    let status = shared.status.load();
    let body = json!({
        "host": shared.host,
        "region": shared.region,
        "current": shared.is_current(),
        "draining": shared.is_draining(),
        "member": status.is_member,
        "revision": status.revision,
        "held": status.held_revision,
        "in_force": status.in_force_revision,
        "members": status.members,
    });
    let body = body.to_string();
    let response = create_response(&state, StatusCode::OK, mime::APPLICATION_JSON, body);
    (state, response)
}
