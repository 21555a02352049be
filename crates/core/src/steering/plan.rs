//! The configuration in force: routes, services, workspaces, API keys and limits for callers.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running the request again has no further effect.
    Idempotent,
    /// Each request of a caller must run at most once.
    AtMostOnce,
}

/// Service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Destination {
    /// Service that runs the requests.
    pub service: Arc<str>,
    /// Share of the route's requests, relative to the weights of the other destinations.
    pub weight: f64,
}

/// Mapping from a host name and a path prefix to services, with the rules for their requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Value of the request's host header, in lower case.
    pub host: Arc<str>,
    /// Prefix of the request paths, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Longest time that a caller waits for an answer.
    pub timeout: Option<Duration>,
    /// Latency up to which an answer is on time.
    pub target_latency: Option<Duration>,
    /// Priority of the requests, where 0 is the most urgent.
    pub priority: u8,
    /// Services that run the requests, at least one.
    pub destinations: Vec<Destination>,
    /// Largest number of instances that may receive one request.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Whether an instance answers faster for objects that it handled recently.
    pub is_sticky: bool,
    /// Regions in which requests may run; any region when empty.
    pub home_regions: Vec<Arc<str>>,
}

/// Backend service and the behaviour of its cold instances.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// How long an instance is cold after its start.
    pub warmup: Duration,
    /// Requests per second that a cold instance can take from all hosts together.
    pub cold_rate: f64,
}

/// Workspace of a caller: its rate limit, priority and regions.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Requests per second over all hosts; 0 means no limit.
    pub rate: f64,
    /// Requests that may exceed the rate at once, over all hosts.
    pub burst: f64,
    /// Priority that overrides the route's, where 0 is the most urgent.
    pub priority: Option<u8>,
    /// Regions in which its requests may run; any region when empty.
    pub home_regions: Vec<Arc<str>>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// Complete configuration of one version.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Version number, which only increases: a lower version never replaces a higher one.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<Arc<str>, Service>,
    /// Workspaces by name. When there are none, no route requires an API key.
    pub workspaces: HashMap<Arc<str>, Workspace>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Routes by host name, longest prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Workspace of each API key.
    keys: HashMap<Arc<str>, Arc<str>>,
}

impl Plan {
    /// Builds the configuration of `version`; `keys` maps each API key to its workspace.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<Arc<str>, Service>,
        workspaces: HashMap<Arc<str>, Workspace>,
        keys: HashMap<Arc<str>, Arc<str>>,
        limits: Limits,
    ) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { version, services, workspaces, limits, routes: by_host, keys }
    }

    /// Returns the route of `host` with the longest prefix that `path` starts with.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_ref()))
    }

    /// Returns the workspace that owns the API key.
    pub fn workspace_of(&self, key: &str) -> Option<&Arc<str>> {
        self.keys.get(key)
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
