//! Finds the route, workspace and deadline of a request from its head.

use std::{cell::OnceCell, rc::Rc, str::FromStr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri, header, request::Parts};
use marjorampick_core::{
    rendezvous,
    steering::{
        plan::{Idempotency, Match, Plan, Route, Workspace},
        quarantine::Fingerprint,
    },
};
use marjorampick_link::wire::headers::strip_hop_by_hop;

use super::{
    carry::{ATTEMPTS_HEADER, REASON_HEADER, VERSION_HEADER},
    refusal::{Reason, Refusal},
};
use crate::{
    codec::Headers,
    constants::{DEFAULT_REQUEST_TIMEOUT, NO_INSTANCE_RETRY_AFTER, STARTUP_RETRY_AFTER},
    state::State,
};

/// Largest path and query, in bytes.
const MAX_TARGET_BYTES: usize = 16 * 1024;

/// Where a request came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A caller.
    Caller,
    /// Another host, which does not reach the instances.
    Host {
        /// Name of the host.
        name: Arc<str>,
        /// Number of instances that the request may have reached already.
        attempts: u32,
    },
}

/// A request with a route and, unless the route needs none, a valid API key.
pub(crate) struct Call {
    /// Configuration that applies to the request until its end.
    pub(crate) plan: Rc<Plan>,
    pub(crate) route: Arc<Route>,
    /// Name of the workspace that owns the API key; `None` if no key is required.
    pub(crate) workspace_name: Option<Arc<str>>,
    /// Service that runs the request.
    pub(crate) service: Arc<str>,
    /// Hash of the object that the request is about, if the route is sticky.
    pub(crate) object_hash: Option<u64>,
    /// Id that the caller gave the request; empty without one.
    pub(crate) id: Bytes,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// Headers to forward to the instance, without those that the host sets.
    pub(crate) headers: HeaderMap,
    /// API key of the caller, which only another host gets.
    pub(crate) api_key: Option<HeaderValue>,
    /// Where the request came from.
    pub(crate) origin: Origin,
    pub(crate) arrived_at: Duration,
    /// Time by which the caller must have its answer.
    pub(crate) deadline: Duration,
    /// Set by [`Self::fingerprint`].
    fingerprint: OnceCell<Fingerprint>,
}

impl Call {
    pub(crate) fn is_idempotent(&self) -> bool {
        self.route.idempotency == Idempotency::Idempotent
    }

    /// Whether another host passed the request on, so that this one must not.
    pub(crate) fn is_carried(&self) -> bool {
        self.origin != Origin::Caller
    }

    /// Name of the host that passed the request on; empty if it came from a caller.
    pub(crate) fn carried_for(&self) -> &str {
        match &self.origin {
            Origin::Caller => "",
            Origin::Host { name, .. } => name,
        }
    }

    /// Number of instances that the request may have reached before it came here.
    pub(crate) fn earlier_attempts(&self) -> u32 {
        match &self.origin {
            Origin::Caller => 0,
            Origin::Host { attempts, .. } => *attempts,
        }
    }

    /// Workspace that owns the API key; `None` if no key is required.
    pub(crate) fn workspace(&self) -> Option<&Workspace> {
        self.plan.workspaces.get(self.workspace_name.as_ref()?)
    }

    /// Priority of the request, where 0 is the most urgent.
    pub(crate) fn priority(&self) -> u8 {
        self.workspace().and_then(|workspace| workspace.priority).unwrap_or(self.route.priority)
    }

    /// What identifies the request at all hosts and attempts; `body` is its body.
    pub(crate) fn fingerprint(&self, body: &Bytes) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let target = self.uri.path_and_query().map_or("/", |target| target.as_str());
            let host = host_name(&self.headers).unwrap_or_default();
            let workspace = self.workspace_name.as_deref().unwrap_or_default();
            let words = [self.method.as_str(), &host, target, workspace];
            Fingerprint::new(words.map(str::as_bytes).into_iter().chain([body.as_ref()]))
        })
    }

    /// The fingerprint for the log, if it was needed.
    pub(crate) fn known_fingerprint(&self) -> Option<String> {
        self.fingerprint.get().map(ToString::to_string)
    }

    /// Request id for the log; empty if it is not valid UTF-8.
    pub(crate) fn id_text(&self) -> &str {
        std::str::from_utf8(&self.id).unwrap_or_default()
    }
}

/// Finds the route, workspace and deadline of a request, or refuses it.
///
/// `peer` is the name of the host that passed the request on.
pub(crate) fn resolve(
    state: &State,
    parts: Parts,
    arrived_at: Duration,
    peer: Option<Arc<str>>,
) -> Result<Call, Refusal> {
    let names = &state.codec.headers;
    let plan = state.plan.borrow().clone();
    let plan =
        plan.ok_or_else(|| Refusal::with_retry_after(Reason::Starting, STARTUP_RETRY_AFTER))?;
    if let Some(peer) = &peer {
        check_version(state, &plan, peer, &parts.headers)?;
    }
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    if target.len() > MAX_TARGET_BYTES || parts.uri.authority().is_some() {
        return Err(Refusal::new(Reason::BadRequest));
    }
    let host = host_name(&parts.headers).ok_or_else(|| Refusal::new(Reason::BadRequest))?;
    let route = match plan.find(&host, parts.uri.path()) {
        Match::Route(route) => route.clone(),
        Match::Omitted => return Err(unsupported()),
        Match::Nothing => return Err(judge_denial(state, Refusal::new(Reason::NoRoute))),
    };
    let workspace_name = authorize(&plan, &route, &parts.headers, &names.api_key);
    let workspace_name = workspace_name.map_err(|refusal| judge_denial(state, refusal))?;
    let destination = state.next_destination(&route);
    let service = route.destinations[destination].service.clone();
    let object =
        route.is_sticky.then(|| object_name(&parts.headers, names.object_cookie)).flatten();
    let id = parts.headers.get(&names.request_id).map(|id| Bytes::copy_from_slice(id.as_bytes()));
    let requested =
        requested_timeout(&parts.headers, &names.time_left).unwrap_or(DEFAULT_REQUEST_TIMEOUT);
    let timeout = route.timeout.map_or(requested, |timeout| timeout.min(requested));
    let origin = peer.map_or(Origin::Caller, |name| {
        let attempts = number(&parts.headers, ATTEMPTS_HEADER);
        Origin::Host { name, attempts: attempts.unwrap_or_default() }
    });
    let api_key = parts.headers.get(&names.api_key).cloned();
    Ok(Call {
        api_key,
        origin,
        object_hash: object.map(|object| object_hash(&route, object)),
        id: id.unwrap_or_default(),
        method: parts.method,
        uri: parts.uri,
        headers: forwarded_headers(parts.headers, names),
        arrived_at,
        deadline: arrived_at + timeout,
        fingerprint: OnceCell::new(),
        plan,
        route,
        workspace_name,
        service,
    })
}

/// Refuses a request of a host that knows of a later configuration, by which it may have another route, key
/// or home than here. An earlier version of the program does not tell.
fn check_version(
    state: &State,
    plan: &Plan,
    peer: &Arc<str>,
    headers: &HeaderMap,
) -> Result<(), Refusal> {
    let version = number(headers, VERSION_HEADER).unwrap_or_default();
    state.hear_version(peer, version);
    match version <= plan.version {
        true => Ok(()),
        false => Err(Refusal::behind()),
    }
}

/// Number in a header between hosts.
fn number<N: FromStr>(headers: &HeaderMap, name: &str) -> Option<N> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Host name from the `Host` header, in lower case and without a port; `None` unless there is
/// exactly one.
fn host_name(headers: &HeaderMap) -> Option<String> {
    let mut values = headers.get_all(header::HOST).iter();
    let (Some(host), None) = (values.next(), values.next()) else {
        return None;
    };
    let host = host.to_str().ok()?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Some(name.to_ascii_lowercase())
}

/// Returns the name of the workspace that owns the request's API key, or `None` if no key is
/// required.
fn authorize(
    plan: &Plan,
    route: &Route,
    headers: &HeaderMap,
    key_header: &HeaderName,
) -> Result<Option<Arc<str>>, Refusal> {
    if route.is_public || !plan.requires_keys() {
        return Ok(None);
    }
    let mut keys = headers.get_all(key_header).iter();
    let (Some(key), None) = (keys.next(), keys.next()) else {
        return Err(Refusal::new(Reason::UnknownKey));
    };
    match key.to_str().ok().and_then(|key| plan.workspace_of(key.trim())) {
        Some(workspace) if plan.workspaces.contains_key(workspace) => Ok(Some(workspace.clone())),
        Some(_) => Err(unsupported()),
        None if plan.has_unknown_keys() => Err(unsupported()),
        None => Err(Refusal::new(Reason::UnknownKey)),
    }
}

/// Refusal of a request that has no route or key here. A configuration that this host misses may have both.
fn judge_denial(state: &State, denial: Refusal) -> Refusal {
    match state.is_behind() {
        true => Refusal::behind(),
        false => denial,
    }
}

/// Refusal of a request whose route or workspace is omitted from the configuration in force. Hosts with
/// a newer version of the program may know it.
fn unsupported() -> Refusal {
    Refusal::with_retry_after(Reason::Unsupported, NO_INSTANCE_RETRY_AFTER)
}

/// Value of the cookie that identifies the object.
fn object_name<'a>(headers: &'a HeaderMap, cookie: &str) -> Option<&'a str> {
    let cookies = headers.get_all(header::COOKIE).iter();
    let mut pairs =
        cookies.filter_map(|value| value.to_str().ok()).flat_map(|value| value.split(';'));
    pairs.find_map(|pair| {
        let (name, value) = pair.trim().split_once('=')?;
        (name == cookie).then_some(value)
    })
}

/// Hash of an object's name. Includes the route, as the same name on another route means another
/// object.
fn object_hash(route: &Route, object: &str) -> u64 {
    rendezvous::Key::new([route.name.as_ref(), object]).weight("")
}

/// Timeout that the caller states in its header.
fn requested_timeout(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let milliseconds = headers.get(name)?.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_millis(milliseconds))
}

/// Headers to forward to an instance. Removes those that the host sets, and the caller's API key.
fn forwarded_headers(mut headers: HeaderMap, names: &Headers) -> HeaderMap {
    strip_hop_by_hop(&mut headers);
    let removed = [
        names.api_key.as_str(),
        names.workspace.as_str(),
        names.expected_instance.as_str(),
        names.time_left.as_str(),
        ATTEMPTS_HEADER,
        VERSION_HEADER,
        REASON_HEADER,
    ];
    for name in removed {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers
}

/// Header value of a duration in milliseconds.
pub(crate) fn milliseconds(time: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}
