//! The configuration in force: routes, services, workspaces and their keys.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running it again does no harm.
    Idempotent,
    /// It must run at most once for each request of a caller.
    AtMostOnce,
}

/// Part of a route's traffic that goes to one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Destination {
    /// Service that runs the requests.
    pub service: Arc<str>,
    /// Share of the route's requests, relative to the other parts.
    pub weight: f64,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that callers name, in lower case.
    pub host: Arc<str>,
    /// Prefix of the paths, with a slash at both ends.
    pub prefix: Arc<str>,
    /// How often a request may run.
    pub idempotency: Idempotency,
    /// Longest time that a caller is kept waiting.
    pub timeout: Option<Duration>,
    /// Time within which an answer is of full use.
    pub target_latency: Option<Duration>,
    /// Rank, where 0 is the most urgent.
    pub priority: u8,
    /// Services, at least one.
    pub destinations: Vec<Destination>,
    /// Most instances that may run one request.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub is_public: bool,
    /// Whether an instance is faster with objects that it handled lately.
    pub is_sticky: bool,
    /// Regions in which requests may run; all when empty.
    pub home_regions: Vec<Arc<str>>,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// How long an instance is cold after its start.
    pub warmup: Duration,
    /// Requests per second that a cold instance tolerates, from all hosts together.
    pub cold_rate: f64,
}

/// One workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Requests per second over all hosts; 0 means no limit.
    pub rate: f64,
    /// Requests above the rate at once, over all hosts.
    pub burst: f64,
    /// Rank that replaces the route's, where 0 is the most urgent.
    pub priority: Option<u8>,
    /// Regions in which its requests may run; all when empty.
    pub home_regions: Vec<Arc<str>>,
}

/// What a caller may send, and for how long it may be silent.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Largest head, in bytes.
    pub max_header_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// The whole configuration.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Versions grow; a smaller one never replaces a larger one.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<Arc<str>, Service>,
    /// Workspaces by name. When there are none, no route needs a key.
    pub workspaces: HashMap<Arc<str>, Workspace>,
    /// Limits for callers.
    pub limits: Limits,
    /// Routes by host, longest prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Workspace of each key.
    keys: HashMap<Arc<str>, Arc<str>>,
}

impl Plan {
    /// The configuration `version` with these routes and keys.
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

    /// Route of `path` at `host`: the one with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_ref()))
    }

    /// Workspace that holds `key`.
    pub fn workspace_of(&self, key: &str) -> Option<&Arc<str>> {
        self.keys.get(key)
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
