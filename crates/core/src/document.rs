//! The service document, the only interface through which operators control the system.
//!
//! The format is given in docs/design.md §14 and, key by key, in docs/document.md.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use sha2::{Digest as _, Sha256};

use crate::{finding::Findings, reader::Table};

/// Prefix of a key digest in a document.
const DIGEST_PREFIX: &str = "sha256:";

/// Longest deadline of a route. It bounds how long a host takes to drain.
const LONGEST_DEADLINE_MS: u64 = 600_000;

/// Largest rate per second and largest burst of a workspace.
const LARGEST_RATE_OR_BURST: f64 = 1e9;

/// SHA-256 digest of a caller's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of a key as the caller presents it.
    pub fn of_key(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Parses the form `sha256:<64 hex digits>`. The error states the expected form.
    pub fn parse(text: &str) -> Result<Self, String> {
        let expected = || format!("expected {DIGEST_PREFIX} and 64 hexadecimal digits");
        let hex = text.strip_prefix(DIGEST_PREFIX).ok_or_else(expected)?;
        if hex.len() != 64 || !hex.is_ascii() {
            return Err(expected());
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = &hex[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| expected())?;
        }
        Ok(Self(bytes))
    }

    /// The textual form that [`Self::parse`] accepts.
    pub fn to_text(self) -> String {
        let hex: String = self.0.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{DIGEST_PREFIX}{hex}")
    }
}

/// Parsed document of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Name of the service.
    pub service: Arc<str>,
    /// Routes, longest path prefix first.
    pub routes: Vec<Route>,
    /// Regions in which the service may run.
    pub regions: Vec<Region>,
    /// Largest share of the traffic that may move between regions, in percent per second.
    pub shift_percent_per_second: f64,
    /// Share of a region's slots that is reserved for the loss of another region, in percent.
    pub headroom_percent: f64,
    /// Limit on the traffic between regions.
    pub cross_region: CrossRegion,
    /// Workspaces that may call the service.
    pub workspaces: Vec<Workspace>,
}

/// A route of a service, matched by method and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Path prefix that matches at segment boundaries; the longest match wins.
    pub path: Arc<str>,
    /// Methods to which the route applies; empty means every method.
    pub methods: Vec<Arc<str>>,
    /// Class of the requests, a label of metrics.
    pub class: Arc<str>,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Whether requests need no key.
    pub open: bool,
    /// Longest time from the arrival of a request to its response.
    pub deadline: Duration,
}

/// A region in which a service may run.
#[derive(Clone, Debug, PartialEq)]
pub struct Region {
    /// Name of the region.
    pub name: Arc<str>,
    /// Share of the traffic relative to the weights of the other regions.
    pub weight: f64,
    /// Whether all traffic is to move to other regions.
    pub drain: bool,
    /// Largest number of requests that one backend server runs at the same time.
    pub slots_per_backend: u64,
}

/// Limit on the traffic of a service between regions, both directions together.
#[derive(Clone, Debug, PartialEq)]
pub struct CrossRegion {
    /// Sustained volume in bytes per second.
    pub bytes_per_second: u64,
    /// Volume that may cross in a burst after idle time, in bytes.
    pub burst_bytes: u64,
    /// Price of one GiB of traffic between regions, for the forecast.
    pub price_per_gib: f64,
}

/// A workspace that may call the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Arc<str>,
    /// Sustained rate in requests per second over all hosts together.
    pub rate_per_second: f64,
    /// Requests that may arrive in a burst after idle time, over all hosts together.
    pub burst: u64,
    /// Digests of the workspace's keys.
    pub keys: Vec<Digest>,
}

impl Document {
    /// Parses and validates a document. All faults are reported, each with its line and key.
    pub fn parse(source: &str) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let mut table = Table::parse(source, &mut findings);
        let document = Self {
            service: read_name(&mut table, &mut findings, "service"),
            routes: read_routes(&mut table, &mut findings),
            regions: read_regions(&mut table, &mut findings),
            shift_percent_per_second: read_shift(&mut table, &mut findings),
            headroom_percent: read_headroom(&mut table, &mut findings),
            cross_region: read_cross_region(&mut table, &mut findings),
            workspaces: read_workspaces(&mut table, &mut findings),
        };
        table.finish(&mut findings);
        if findings.is_empty() { Ok(document) } else { Err(findings) }
    }

    /// The workspace that owns the key with `digest`.
    pub fn workspace_by_digest(&self, digest: &Digest) -> Option<&Workspace> {
        self.workspaces.iter().find(|workspace| workspace.keys.contains(digest))
    }

    /// The region named `name`.
    pub fn region(&self, name: &str) -> Option<&Region> {
        self.regions.iter().find(|region| region.name.as_ref() == name)
    }

    /// The route with the longest path prefix that matches a request.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.matches(method, path))
    }
}

impl Route {
    fn matches(&self, method: &str, path: &str) -> bool {
        let matches_method =
            self.methods.is_empty() || self.methods.iter().any(|m| m.as_ref() == method);
        matches_method && has_prefix(path, &self.path)
    }
}

/// Whether `prefix` matches `path` at a segment boundary.
fn has_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/'))
}

/// Reads a name. It is limited to lower-case letters, digits and dashes, as it becomes part of
/// store keys and metric labels.
fn read_name(table: &mut Table<'_>, findings: &mut Findings, key: &str) -> Arc<str> {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if !table.has(key) {
        table.report(findings, key, "is missing");
        return Arc::default();
    }
    let parse = |text: &str| {
        let is_valid = !text.is_empty() && text.len() <= 64 && text.chars().all(is_allowed);
        let expected = "expected 1 to 64 lower-case letters, digits or dashes";
        if is_valid { Ok(Arc::from(text)) } else { Err(expected) }
    };
    table.parsed(findings, key, parse).unwrap_or_default()
}

fn read_routes(table: &mut Table<'_>, findings: &mut Findings) -> Vec<Route> {
    if !table.has("route") {
        table.report(findings, "route", "is missing: a service needs a route");
    }
    let mut routes = Vec::new();
    for mut entry in table.tables(findings, "route") {
        let parse_path = |text: &str| {
            if text.starts_with('/') { Ok(Arc::from(text)) } else { Err("expected a leading /") }
        };
        if !entry.has("path") {
            entry.report(findings, "path", "is missing");
        }
        let path = entry.parsed(findings, "path", parse_path).unwrap_or_default();
        let methods = entry.strings(findings, "methods");
        let class = read_name(&mut entry, findings, "class");
        let idempotent = entry.boolean(findings, "idempotent", false);
        let open = entry.boolean(findings, "open", false);
        let deadline =
            entry.integer(findings, "deadline_ms", 1..=LONGEST_DEADLINE_MS, Some(10_000));
        entry.finish(findings);
        let deadline = Duration::from_millis(deadline);
        routes.push(Route { path, methods, class, idempotent, open, deadline });
    }
    routes.sort_by_key(|route| std::cmp::Reverse(route.path.len()));
    routes
}

fn read_regions(table: &mut Table<'_>, findings: &mut Findings) -> Vec<Region> {
    if !table.has("region") {
        table.report(findings, "region", "is missing: a service needs a region");
    }
    let faults_before = findings.len();
    let mut seen_names = BTreeSet::new();
    let mut regions = Vec::new();
    for mut entry in table.tables(findings, "region") {
        let name = read_name(&mut entry, findings, "name");
        if !seen_names.insert(name.clone()) {
            entry.report(findings, "", format!("region {name} is given twice"));
        }
        let weight = entry.number(findings, "weight", 0.0..=1e6, None);
        let drain = entry.boolean(findings, "drain", false);
        let slots_per_backend = entry.integer(findings, "slots_per_backend", 1..=100_000, None);
        entry.finish(findings);
        regions.push(Region { name, weight, drain, slots_per_backend });
    }
    let is_unused = |region: &Region| region.drain || region.weight == 0.0;
    if findings.len() == faults_before && !regions.is_empty() && regions.iter().all(is_unused) {
        table.report(findings, "region", "every region is drained or has weight 0");
    }
    regions
}

fn read_shift(table: &mut Table<'_>, findings: &mut Findings) -> f64 {
    let mut section = table.table(findings, "shift");
    let percent = section.number(findings, "percent_per_second", 0.01..=100.0, Some(5.0));
    section.finish(findings);
    percent
}

fn read_headroom(table: &mut Table<'_>, findings: &mut Findings) -> f64 {
    let mut section = table.table(findings, "headroom");
    let percent = section.number(findings, "percent", 0.0..=90.0, Some(20.0));
    section.finish(findings);
    percent
}

fn read_cross_region(table: &mut Table<'_>, findings: &mut Findings) -> CrossRegion {
    let mut section = table.table(findings, "cross_region");
    let largest_bytes = 1_u64 << 40;
    let bytes_per_second =
        section.integer(findings, "bytes_per_second", 0..=largest_bytes, Some(0));
    let burst_bytes =
        section.integer(findings, "burst_bytes", 0..=largest_bytes, Some(bytes_per_second));
    let price_per_gib = section.number(findings, "price_per_gib", 0.0..=1e6, Some(0.0));
    section.finish(findings);
    CrossRegion { bytes_per_second, burst_bytes, price_per_gib }
}

fn read_workspaces(table: &mut Table<'_>, findings: &mut Findings) -> Vec<Workspace> {
    let mut seen_names = BTreeSet::new();
    let mut seen_keys = BTreeSet::new();
    let mut workspaces = Vec::new();
    for mut entry in table.tables(findings, "workspace") {
        let name = read_name(&mut entry, findings, "name");
        if !seen_names.insert(name.clone()) {
            entry.report(findings, "", format!("workspace {name} is given twice"));
        }
        let rate = entry.number(findings, "rate_per_second", 0.0..=LARGEST_RATE_OR_BURST, None);
        let burst = entry.integer(findings, "burst", 1..=LARGEST_RATE_OR_BURST as u64, None);
        let mut keys = Vec::new();
        for text in entry.strings(findings, "keys") {
            match Digest::parse(&text) {
                Ok(digest) if seen_keys.insert(digest) => keys.push(digest),
                Ok(_) => entry.report(findings, "keys", "a key digest is given twice"),
                Err(expected) => entry.report(findings, "keys", expected),
            }
        }
        entry.finish(findings);
        workspaces.push(Workspace { name, rate_per_second: rate, burst, keys });
    }
    workspaces
}
