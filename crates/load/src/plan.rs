//! The plan of a load run.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use marjorampick_core::{finding::Findings, reader::Table};

/// Longest run, in seconds. Keeps an experiment bounded when a plan has a typing error.
const LONGEST_RUN_SECONDS: u64 = 24 * 3600;

/// A load run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Seed of the arrival times.
    pub seed: u64,
    /// How long requests are sent.
    pub duration: Duration,
    /// Streams of requests, independent of each other.
    pub streams: Vec<Stream>,
}

/// Requests of one kind by one workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Stream {
    /// Name in the report.
    pub name: Arc<str>,
    /// Service, sent as the `Host` header.
    pub service: Arc<str>,
    /// Key of the workspace; none on open routes and for direct requests.
    pub key: Option<Arc<str>>,
    /// HTTP method.
    pub method: http::Method,
    /// Path and query.
    pub path: Arc<str>,
    /// Bytes of the request body.
    pub body_bytes: usize,
    /// Whether every request gets an `Idempotency-Key` of its own.
    pub idempotency_key: bool,
    /// Requests per second.
    pub rate: f64,
    /// Another rate for a part of the run.
    pub peak: Option<Peak>,
    /// Longest time that the caller waits.
    pub timeout: Duration,
    /// Look-up listeners of entry hosts.
    pub lookups: Vec<SocketAddr>,
    /// Backend servers to call without the system, for comparison.
    pub direct: Vec<SocketAddr>,
}

/// A part of the run with another rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Peak {
    /// When it starts, from the start of the run.
    pub from: Duration,
    /// When it ends.
    pub to: Duration,
    /// Requests per second.
    pub rate: f64,
}

impl Plan {
    /// Parses and checks a plan; every fault is reported.
    pub fn parse(source: &str) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let mut table = Table::parse(source, &mut findings);
        let seed = table.integer(&mut findings, "seed", 0..=u64::MAX, Some(1));
        let seconds = table.integer(&mut findings, "seconds", 1..=LONGEST_RUN_SECONDS, None);
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
        let method = |text: &str| text.parse::<http::Method>();
        let stream = Self {
            name: table.string(findings, "name"),
            service: table.string(findings, "service"),
            key: table.optional_string(findings, "key"),
            method: table.parsed(findings, "method", method).unwrap_or(http::Method::GET),
            path: table.string(findings, "path"),
            body_bytes: size(&mut table, findings),
            idempotency_key: table.boolean(findings, "idempotency_key", false),
            rate: table.number(findings, "rate", 0.01..=1e6, None),
            peak: peak(&mut table, findings),
            timeout: Duration::from_millis(table.integer(
                findings,
                "timeout_ms",
                1..=600_000,
                Some(10_000),
            )),
            lookups: addresses(&mut table, findings, "lookups"),
            direct: addresses(&mut table, findings, "direct"),
        };
        if stream.lookups.is_empty() == stream.direct.is_empty() {
            table.report(findings, "", "expected either `lookups` or `direct`");
        }
        table.finish(findings);
        stream
    }

    /// Requests per second at `elapsed` time.
    pub fn rate_at(&self, elapsed: Duration) -> f64 {
        let peak = self.peak.as_ref().filter(|peak| (peak.from..peak.to).contains(&elapsed));
        peak.map_or(self.rate, |peak| peak.rate)
    }
}

fn size(table: &mut Table<'_>, findings: &mut Findings) -> usize {
    let bytes = table.integer(findings, "body_bytes", 0..=1 << 30, Some(0));
    usize::try_from(bytes).unwrap_or_default()
}

fn peak(table: &mut Table<'_>, findings: &mut Findings) -> Option<Peak> {
    if !table.has("peak") {
        return None;
    }
    let mut entry = table.table(findings, "peak");
    let mut second = |findings: &mut Findings, key| {
        Duration::from_secs_f64(entry.number(findings, key, 0.0..=1e6, None))
    };
    let (from, to) = (second(findings, "from"), second(findings, "to"));
    let rate = entry.number(findings, "rate", 0.01..=1e6, None);
    entry.finish(findings);
    Some(Peak { from, to, rate })
}

fn addresses(table: &mut Table<'_>, findings: &mut Findings, key: &str) -> Vec<SocketAddr> {
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
