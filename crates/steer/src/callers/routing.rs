//! What a request's head says, and what the configuration makes of it.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri, header, request::Parts};
use marjorampick_core::{
    rendezvous,
    steering::plan::{Idempotency, Plan, Route, Workspace},
};
use marjorampick_link::wire::headers::strip_hop_by_hop;

use super::refusal::{Reason, Refusal};
use crate::{
    codec::Headers,
    constants::{DEFAULT_REQUEST_TIMEOUT, STARTUP_RETRY_AFTER},
    state::State,
};

/// Most bytes of a path and query.
const TARGET_BYTES: usize = 16 * 1024;

/// A request that may run.
pub(crate) struct Call {
    pub(crate) plan: Rc<Plan>,
    pub(crate) route: Arc<Route>,
    /// Workspace of the key; `None` on open routes.
    pub(crate) workspace: Option<Arc<str>>,
    pub(crate) service: Arc<str>,
    /// Hash of the object that it concerns, where instances remember objects.
    pub(crate) object: Option<u64>,
    pub(crate) id: Bytes,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Headers for the instance, without those that the host sets itself.
    pub(crate) headers: HeaderMap,
    pub(crate) started: Duration,
    /// When the caller has its final answer at the latest.
    pub(crate) end: Duration,
}

impl Call {
    pub(crate) fn is_idempotent(&self) -> bool {
        self.route.idempotency == Idempotency::Idempotent
    }

    /// Limits of the workspace.
    pub(crate) fn limits(&self) -> Option<&Workspace> {
        self.plan.workspaces.get(self.workspace.as_ref()?)
    }

    /// Rank of the request, where 0 is the most urgent.
    pub(crate) fn priority(&self) -> u8 {
        self.limits().and_then(|limits| limits.priority).unwrap_or(self.route.priority)
    }

    pub(crate) fn id_text(&self) -> &str {
        std::str::from_utf8(&self.id).unwrap_or_default()
    }
}

/// Decides by the head alone whether a request may run.
pub(crate) fn identify(state: &State, parts: Parts, started: Duration) -> Result<Call, Refusal> {
    let names = &state.codec.headers;
    let plan = state.plan.borrow().clone();
    let plan = plan.ok_or_else(|| Refusal::after(Reason::Starting, STARTUP_RETRY_AFTER))?;
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    if target.len() > TARGET_BYTES || parts.uri.authority().is_some() {
        return Err(Refusal::new(Reason::BadRequest));
    }
    let host = host(&parts.headers).ok_or_else(|| Refusal::new(Reason::BadRequest))?;
    let route = plan.route(&host, parts.uri.path()).cloned();
    let route = route.ok_or_else(|| Refusal::new(Reason::NoRoute))?;
    let workspace = authorize(&plan, &route, &parts.headers, &names.key)?;
    let part = state.next_destination(&route);
    let service = route.destinations[part].service.clone();
    let object = route.is_sticky.then(|| object(&parts.headers, names.object_cookie)).flatten();
    let id = parts.headers.get(&names.request_id).map(|id| Bytes::copy_from_slice(id.as_bytes()));
    let granted = time_left(&parts.headers, &names.time_left).unwrap_or(DEFAULT_REQUEST_TIMEOUT);
    let limit = route.timeout.map_or(granted, |timeout| timeout.min(granted));
    Ok(Call {
        object: object.map(|object| object_hash(&route, object)),
        id: id.unwrap_or_default(),
        method: parts.method,
        uri: parts.uri,
        headers: forwarded(parts.headers, names),
        started,
        end: started + limit,
        plan,
        route,
        workspace,
        service,
    })
}

/// Name of the host that the caller wants, in lower case and without a port.
fn host(headers: &HeaderMap) -> Option<String> {
    let mut values = headers.get_all(header::HOST).iter();
    let (Some(host), None) = (values.next(), values.next()) else {
        return None;
    };
    let host = host.to_str().ok()?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Some(name.to_ascii_lowercase())
}

/// Workspace whose key came with the request; `None` where no key is needed.
fn authorize(
    plan: &Plan,
    route: &Route,
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<Arc<str>>, Refusal> {
    if route.is_public || plan.workspaces.is_empty() {
        return Ok(None);
    }
    let mut keys = headers.get_all(name).iter();
    let (Some(key), None) = (keys.next(), keys.next()) else {
        return Err(Refusal::new(Reason::UnknownKey));
    };
    let workspace = key.to_str().ok().and_then(|key| plan.workspace_of(key.trim()));
    workspace.cloned().map(Some).ok_or_else(|| Refusal::new(Reason::UnknownKey))
}

/// Value of the cookie that names the object.
fn object<'a>(headers: &'a HeaderMap, cookie: &str) -> Option<&'a str> {
    let cookies = headers.get_all(header::COOKIE).iter();
    let mut pairs =
        cookies.filter_map(|value| value.to_str().ok()).flat_map(|value| value.split(';'));
    pairs.find_map(|pair| {
        let (name, value) = pair.trim().split_once('=')?;
        (name == cookie).then_some(value)
    })
}

/// Objects of different routes are different objects.
fn object_hash(route: &Route, object: &str) -> u64 {
    rendezvous::Key::new([route.name.as_ref(), object]).weight("")
}

fn time_left(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let milliseconds = headers.get(name)?.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_millis(milliseconds))
}

/// Headers that an instance gets, without those that the host sets itself.
fn forwarded(mut headers: HeaderMap, names: &Headers) -> HeaderMap {
    strip_hop_by_hop(&mut headers);
    let own = [&names.key, &names.workspace, &names.expected_instance, &names.time_left];
    for name in own {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers
}

/// Milliseconds as a header value.
pub(crate) fn milliseconds(time: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}
