//! A caller's request: finds its service, route and workspace, and prepares it for forwarding.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use gotham::{
    helpers::http::Body,
    state::{FromState as _, State, client_addr},
};
use http::{HeaderMap, HeaderValue, Method, Uri, Version, header, uri::PathAndQuery};
use http_body::Body as _;
use marjorampick_core::document::{Document, Route};

use super::{
    Callers, credential,
    headers::{self, REQUEST_TIMEOUT, WORKSPACE},
    metrics::Labels,
    path,
    pool::ThreadIndex,
    refusal::{Code, Refusal},
};

/// A request as it was received, before its service and route are known.
pub(crate) struct Incoming {
    thread: ThreadIndex,
    started_at: Instant,
    peer: Option<SocketAddr>,
    method: Method,
    uri: Uri,
    version: Version,
    headers: HeaderMap,
    body: Body,
}

/// A request whose service, route and workspace are known.
pub(crate) struct Call {
    /// Caller thread that serves the request.
    pub(crate) thread: ThreadIndex,
    pub(crate) started_at: Instant,
    pub(crate) deadline: Instant,
    /// Longest time without a new frame of a response body before the exchange fails.
    pub(crate) stall_timeout: Duration,
    pub(crate) service: Arc<str>,
    /// The caller's workspace; `None` on open routes.
    pub(crate) workspace: Option<Arc<str>>,
    pub(crate) idempotent: bool,
    pub(crate) labels: Labels,
}

/// The part of a request that is sent to a backend server.
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) target: PathAndQuery,
    pub(crate) headers: HeaderMap,
    /// `None` if there is no body, so that the request can be sent again.
    pub(crate) body: Option<Body>,
    /// Whether the body already charges its bytes to the cross-region budget.
    pub(crate) is_metered: bool,
}

impl Call {
    /// Time left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

impl Incoming {
    /// Takes the request out of gotham's state.
    pub(crate) fn take_from(state: &mut State, started_at: Instant, thread: ThreadIndex) -> Self {
        Self {
            thread,
            started_at,
            peer: client_addr(state),
            method: Method::take_from(state),
            uri: Uri::take_from(state),
            version: Version::take_from(state),
            headers: HeaderMap::take_from(state),
            body: Body::take_from(state),
        }
    }

    /// Finds the route and the workspace, and removes what a backend server must not receive, such
    /// as keys. Fills in `labels` as far as it gets, also for a request that is refused.
    pub(crate) fn identify(
        self,
        callers: &Callers,
        labels: &mut Labels,
    ) -> Result<(Call, Outgoing), Refusal> {
        self.check_request_line()?;
        let snapshot = callers.shared.snapshot.load();
        let service = snapshot.services.get(self.service_name()?).ok_or_else(no_route)?;
        labels.service = service.document.service.clone();
        let path = path::normalize(self.uri.path())
            .ok_or_else(|| Refusal::bad_request("the path holds dot segments or broken escapes"))?;
        let route = service.document.route(self.method.as_str(), &path);
        let route = route.ok_or_else(no_route)?;
        labels.class = route.class.clone();
        let workspace = self.authenticate(callers, &service.document, route)?;
        if let Some(workspace) = &workspace {
            labels.workspace = workspace.clone();
        }
        let call = Call {
            thread: self.thread,
            started_at: self.started_at,
            deadline: self.started_at + self.time_limit(route)?,
            stall_timeout: route.deadline,
            service: service.document.service.clone(),
            workspace,
            idempotent: route.idempotent,
            labels: labels.clone(),
        };
        let outgoing = self.into_outgoing(call.workspace.as_deref())?;
        Ok((call, outgoing))
    }

    /// Refuses an absolute target, which names the service a second time besides `Host`, and other
    /// versions than HTTP/1.1, since HTTP/1.0 has no chunked responses.
    fn check_request_line(&self) -> Result<(), Refusal> {
        if self.version != Version::HTTP_11 {
            return Err(Refusal::bad_request("HTTP/1.1 is required"));
        }
        if self.uri.authority().is_some() || self.uri.path_and_query().is_none() {
            return Err(Refusal::bad_request("the target must be a path"));
        }
        Ok(())
    }

    /// Name of the service: the first label of the `Host` header, which must occur once.
    fn service_name(&self) -> Result<&str, Refusal> {
        let mut hosts = self.headers.get_all(header::HOST).iter();
        match (hosts.next(), hosts.next()) {
            (Some(host), None) => {
                let host = host.to_str().map_err(|_| Refusal::bad_request("Host is not ASCII"))?;
                Ok(host.split(['.', ':']).next().unwrap_or_default())
            }
            _ => Err(Refusal::bad_request("exactly one Host is required")),
        }
    }

    /// Workspace of the caller's key; `None` on open routes, which need no key.
    fn authenticate(
        &self,
        callers: &Callers,
        document: &Document,
        route: &Route,
    ) -> Result<Option<Arc<str>>, Refusal> {
        let digest = credential::digest(&self.headers, self.uri.query())?;
        if route.open {
            return Ok(None);
        }
        let digest = digest
            .ok_or_else(|| Refusal::not_run(Code::CredentialMissing, "the route requires a key"))?;
        if !callers.shared.is_current() {
            let detail = "the host can't tell whether its keys are up to date";
            return Err(Refusal::not_run(Code::NotCurrent, detail));
        }
        let workspace = document.workspace_by_digest(&digest).ok_or_else(|| {
            Refusal::not_run(Code::CredentialUnknown, "no workspace has this key")
        })?;
        Ok(Some(workspace.name.clone()))
    }

    /// Time limit of the request: the route's limit, or a shorter one that the caller asks for.
    fn time_limit(&self, route: &Route) -> Result<Duration, Refusal> {
        let Some(value) = self.headers.get(&REQUEST_TIMEOUT) else {
            return Ok(route.deadline);
        };
        let timeout_ms = value.to_str().ok().and_then(|text| text.parse().ok());
        let timeout_ms = timeout_ms
            .ok_or_else(|| Refusal::bad_request("X-Request-Timeout-Ms is not a number"))?;
        Ok(route.deadline.min(Duration::from_millis(timeout_ms)))
    }

    /// The request for the backend server, without hop-by-hop headers and keys.
    fn into_outgoing(self, workspace: Option<&str>) -> Result<Outgoing, Refusal> {
        let mut headers = self.headers;
        headers::strip(&mut headers);
        credential::strip_headers(&mut headers);
        headers.remove(header::EXPECT);
        headers.remove(header::CONTENT_LENGTH);
        if let Some(address) = self.peer.map(|peer| peer.ip()) {
            headers::append_forwarded_for(&mut headers, canonical(address));
        }
        if let Some(value) = workspace.and_then(|name| HeaderValue::from_str(name).ok()) {
            headers.insert(WORKSPACE, value);
        }
        let body = (!self.body.is_end_stream()).then_some(self.body);
        Ok(Outgoing {
            method: self.method,
            target: credential::strip_target(&self.uri)?,
            headers,
            body,
            is_metered: false,
        })
    }
}

/// Converts the IPv4-mapped IPv6 address that a dual-stack listener sees to the IPv4 address.
fn canonical(address: IpAddr) -> IpAddr {
    address.to_canonical()
}

fn no_route() -> Refusal {
    Refusal::not_run(Code::NoRoute, "no route matches the host, method and path")
}
