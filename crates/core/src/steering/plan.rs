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
    /// Whether answers are large, so that it matters which links they cross.
    pub has_large_answers: bool,
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

/// Whether `region` is among these home regions, of which none allows any region. A region that is not
/// known is no home.
pub fn is_home(home_regions: &[Arc<str>], region: Option<&Arc<str>>) -> bool {
    home_regions.is_empty() || region.is_some_and(|region| home_regions.contains(region))
}

/// Limits on callers' requests and connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for sending a request head.
    pub header_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// Kind of a configuration's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Route.
    Route,
    /// Backend service.
    Service,
    /// Workspace.
    Workspace,
}

impl Kind {
    /// Name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Route => "route",
            Self::Service => "service",
            Self::Workspace => "workspace",
        }
    }
}

/// Requests that a route covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scope {
    /// Value of the request's host header, in lower case.
    pub host: Arc<str>,
    /// Prefix of the request paths, with a slash at both ends.
    pub prefix: Arc<str>,
}

/// Entry that this version of the program cannot use. It costs that entry alone: all others are in
/// force. See docs/OPERATIONS.md.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Omission {
    /// Kind of the entry.
    pub kind: Kind,
    /// Name of the entry.
    pub name: Arc<str>,
    /// Why the entry is not used.
    pub reason: String,
    /// Requests of an omitted route, which are refused; `None` if that part is not readable either.
    pub scope: Option<Scope>,
    /// Whether API keys of an omitted workspace may be unknown.
    pub has_unknown_keys: bool,
}

/// What the configuration says about the requests to a host name and path.
#[derive(Clone, Copy, Debug)]
pub enum Match<'a> {
    /// They have a route.
    Route(&'a Arc<Route>),
    /// They have a route that this version of the program cannot use.
    Omitted,
    /// They have no route.
    Nothing,
}

/// Route, or `None` for one that is omitted.
#[derive(Clone, Debug)]
struct Entry {
    prefix: Arc<str>,
    route: Option<Arc<Route>>,
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
    /// Entries that this version of the program cannot use.
    pub omissions: Vec<Omission>,
    /// Routes by host name, longest prefix first.
    routes: HashMap<Arc<str>, Vec<Entry>>,
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
        let mut by_host: HashMap<Arc<str>, Vec<Entry>> = HashMap::new();
        for route in routes {
            let (host, prefix) = (route.host.clone(), route.prefix.clone());
            by_host.entry(host).or_default().push(Entry { prefix, route: Some(Arc::new(route)) });
        }
        let omissions = Vec::new();
        let mut plan =
            Self { version, services, workspaces, limits, omissions, routes: by_host, keys };
        plan.sort_routes();
        plan
    }

    /// Adds the entries that this version of the program cannot use.
    pub fn with_omissions(mut self, omissions: Vec<Omission>) -> Self {
        for scope in omissions.iter().filter_map(|omission| omission.scope.as_ref()) {
            let entry = Entry { prefix: scope.prefix.clone(), route: None };
            self.routes.entry(scope.host.clone()).or_default().push(entry);
        }
        self.omissions = omissions;
        self.sort_routes();
        self
    }

    /// Returns what applies to requests to `host` and `path`: the route with the longest prefix that
    /// `path` starts with. A shorter one does not stand in for an omitted route, as it may lead to
    /// another service.
    pub fn find(&self, host: &str, path: &str) -> Match<'_> {
        let entries = self.routes.get(host).map_or(&[][..], Vec::as_slice);
        match entries.iter().find(|entry| path.starts_with(entry.prefix.as_ref())) {
            Some(Entry { route: Some(route), .. }) => Match::Route(route),
            Some(_) => Match::Omitted,
            None => Match::Nothing,
        }
    }

    /// Returns the route of `host` with the longest prefix that `path` starts with, unless it is omitted.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        match self.find(host, path) {
            Match::Route(route) => Some(route),
            Match::Omitted | Match::Nothing => None,
        }
    }

    /// Returns the workspace that owns the API key. It may be omitted, so that it is not in
    /// [`Self::workspaces`].
    pub fn workspace_of(&self, key: &str) -> Option<&Arc<str>> {
        self.keys.get(key)
    }

    /// Whether routes that are not public require an API key.
    pub fn requires_keys(&self) -> bool {
        !self.workspaces.is_empty() || self.omits(|omission| omission.kind == Kind::Workspace)
    }

    /// Whether a key that is not known may belong to an omitted workspace.
    pub fn has_unknown_keys(&self) -> bool {
        self.omits(|omission| omission.has_unknown_keys)
    }

    /// Routes with large answers.
    pub fn large_answer_routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        let routes = self.routes.values().flatten().filter_map(|entry| entry.route.as_ref());
        routes.filter(|route| route.has_large_answers)
    }

    /// Number of routes in force.
    pub fn route_count(&self) -> usize {
        self.routes.values().flatten().filter(|entry| entry.route.is_some()).count()
    }

    fn omits(&self, is_such: impl Fn(&Omission) -> bool) -> bool {
        self.omissions.iter().any(is_such)
    }

    fn sort_routes(&mut self) {
        for entries in self.routes.values_mut() {
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.prefix.len()));
        }
    }
}
