//! Plan of a load run, parsed from TOML.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use marjorampick_core::{finding::Findings, reader::Table};

/// Longest run, so that a typing error in a plan cannot start an endless one.
const RUN_LIMIT_SECONDS: u64 = 24 * 3600;

/// Streams of requests to send, and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Seed of the random arrival times.
    pub seed: u64,
    /// How long requests are sent, in whole seconds.
    pub duration: Duration,
    /// Streams of requests, which are sent independently of each other.
    pub streams: Vec<Stream>,
}

/// Requests of one kind from one workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Stream {
    /// Name of the stream in the report, and prefix of its idempotency keys.
    pub name: Arc<str>,
    /// Service, sent as the `Host` header.
    pub service: Arc<str>,
    /// API key of the workspace; not needed on open routes and for direct requests.
    pub key: Option<Arc<str>>,
    /// HTTP method.
    pub method: http::Method,
    /// Path and query.
    pub path: Arc<str>,
    /// Size of the request body in bytes.
    pub body_bytes: usize,
    /// Whether each request is sent with its own `Idempotency-Key` header.
    pub idempotency_key: bool,
    /// Mean rate of requests per second.
    pub rate: f64,
    /// Another rate for a part of the run.
    pub peak: Option<Peak>,
    /// Longest time that the caller waits for the response.
    pub timeout: Duration,
    /// Look-up listeners of entry hosts; empty if `direct` is set.
    pub lookups: Vec<SocketAddr>,
    /// Backend servers to call directly, bypassing marjorampick, for comparison; empty if `lookups`
    /// is set.
    pub direct: Vec<SocketAddr>,
}

/// An interval of the run with another rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Peak {
    /// Start of the interval, as time since the start of the run.
    pub from: Duration,
    /// End of the interval, as time since the start of the run.
    pub to: Duration,
    /// Mean rate of requests per second.
    pub rate: f64,
}

impl Plan {
    /// Parses and validates a plan.
    ///
    /// # Errors
    ///
    /// All faults of the plan, each with its line and key.
    pub fn parse(source: &str) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let mut table = Table::parse(source, &mut findings);
        let seed = table.integer(&mut findings, "seed", 0..=u64::MAX, Some(1));
        let seconds = table.integer(&mut findings, "seconds", 1..=RUN_LIMIT_SECONDS, None);
        let streams = table.tables(&mut findings, "stream");
        let streams: Vec<Stream> =
            streams.into_iter().map(|entry| Stream::read(entry, &mut findings)).collect();
        if streams.is_empty() {
            table.report(&mut findings, "stream", "is missing");
        }
        table.finish(&mut findings);
        let plan = Self { seed, duration: Duration::from_secs(seconds), streams };
        if findings.is_empty() { Ok(plan) } else { Err(findings) }
    }
}

impl Stream {
    fn read(mut table: Table<'_>, findings: &mut Findings) -> Self {
        let parse_method = |text: &str| text.parse::<http::Method>();
        let stream = Self {
            name: table.string(findings, "name"),
            service: table.string(findings, "service"),
            key: table.optional_string(findings, "key"),
            method: table.parsed(findings, "method", parse_method).unwrap_or(http::Method::GET),
            path: table.string(findings, "path"),
            body_bytes: read_body_bytes(&mut table, findings),
            idempotency_key: table.boolean(findings, "idempotency_key", false),
            rate: table.number(findings, "rate", 0.01..=1e6, None),
            peak: read_peak(&mut table, findings),
            timeout: Duration::from_millis(table.integer(
                findings,
                "timeout_ms",
                1..=600_000,
                Some(10_000),
            )),
            lookups: read_addresses(&mut table, findings, "lookups"),
            direct: read_addresses(&mut table, findings, "direct"),
        };
        if stream.lookups.is_empty() == stream.direct.is_empty() {
            table.report(findings, "", "expected either `lookups` or `direct`");
        }
        table.finish(findings);
        stream
    }

    /// Mean rate of requests per second when `elapsed` has passed since the start of the run.
    pub fn rate_at(&self, elapsed: Duration) -> f64 {
        let peak = self.peak.as_ref().filter(|peak| (peak.from..peak.to).contains(&elapsed));
        peak.map_or(self.rate, |peak| peak.rate)
    }
}

fn read_body_bytes(table: &mut Table<'_>, findings: &mut Findings) -> usize {
    let bytes = table.integer(findings, "body_bytes", 0..=1 << 30, Some(0));
    usize::try_from(bytes).unwrap_or_default()
}

fn read_peak(table: &mut Table<'_>, findings: &mut Findings) -> Option<Peak> {
    if !table.has("peak") {
        return None;
    }
    let mut entry = table.table(findings, "peak");
    let mut read_seconds = |findings: &mut Findings, key| {
        Duration::from_secs_f64(entry.number(findings, key, 0.0..=1e6, None))
    };
    let (from, to) = (read_seconds(findings, "from"), read_seconds(findings, "to"));
    let rate = entry.number(findings, "rate", 0.01..=1e6, None);
    entry.finish(findings);
    Some(Peak { from, to, rate })
}

fn read_addresses(table: &mut Table<'_>, findings: &mut Findings, key: &str) -> Vec<SocketAddr> {
    let texts = table.strings(findings, key);
    let mut addresses = Vec::new();
    for text in texts {
        match text.parse() {
            Ok(address) => addresses.push(address),
            Err(_) => table.report(findings, key, format!("{text:?} is not an address and port")),
        }
    }
    addresses
}
