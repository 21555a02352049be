//! Settings of the entry host, read from a TOML file. See docs/platform.md for the keys.

use std::{
    collections::HashMap, net::SocketAddr, ops::RangeInclusive, path::Path, sync::Arc,
    time::Duration,
};

use marjorampick_core::{
    finding::Findings,
    reader::Table,
    steering::{rate::Tolerance, retry},
};
use marjorampick_link::settings::{Faults, address, read as read_file};

use crate::constants::MAX_LOOKUP_LIFETIME;

/// Accepted values of `limits.link_mbps`.
const LINK_MBPS: RangeInclusive<f64> = 0.0..=1e7;

/// Accepted values of `limits.memory_mb`. With less, the host itself does not fit.
const MEMORY_MB: RangeInclusive<f64> = 32.0..=1e7;

/// Accepted values of `limits.descriptors`. With fewer, none is left beside the 200 for files.
const DESCRIPTORS: RangeInclusive<f64> = 256.0..=1e7;

/// Identity and location of the host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Unique name of the host.
    pub name: Arc<str>,
    /// Region of the host.
    pub region: Arc<str>,
    /// Failure domain of the host.
    pub failure_domain: Arc<str>,
}

/// Addresses on which the host listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listeners {
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address for look-ups of entry hosts.
    pub lookup: SocketAddr,
    /// Address for the platform's readiness check.
    pub readiness: SocketAddr,
    /// UDP address for messages of other entry hosts.
    pub peers: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
}

/// Settings of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Store {
    /// Address of the store.
    pub address: SocketAddr,
    /// Time within which each change in the store must take effect at every host.
    pub propagation: Duration,
}

/// Limits of the machine; those that are absent come from the limits of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Memory in bytes.
    pub memory_bytes: Option<usize>,
    /// Open files, connections among them.
    pub descriptors: Option<usize>,
    /// Bandwidth of its link in Mbit/s.
    pub link_mbps: Option<u32>,
}

/// All settings of an entry host, fixed while the process runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Identity and location of the host.
    pub host: Host,
    /// Region of each failure domain.
    pub failure_domains: HashMap<Arc<str>, Arc<str>>,
    /// Addresses on which the host listens.
    pub listeners: Listeners,
    /// Settings of the platform's store.
    pub store: Store,
    /// Limits of the machine.
    pub limits: Limits,
    /// Whether classes of different priority compete for the slots of a service.
    pub class_competition: bool,
    /// Time between the termination signal and the kill of the process by the platform.
    pub grace_period: Duration,
    /// Time to live of look-up responses.
    pub lookup_lifetime: Duration,
    /// Tolerated excess over the rate limits of workspaces.
    pub rate_tolerance: Tolerance,
    /// Limit on the retries of all hosts together.
    pub retry_limit: retry::Limit,
    /// Maximum number of log lines about requests and failures per second.
    pub log_lines_per_second: u32,
}

/// Reads and validates a settings file. The error contains all faults of the file.
pub fn read(file: &Path) -> Result<Settings, Faults> {
    read_file(file, parse)
}

fn parse(table: &mut Table<'_>, findings: &mut Findings) -> Settings {
    let mut host = table.table(findings, "host");
    let mut listen = table.table(findings, "listen");
    let mut store = table.table(findings, "store");
    let mut stop = table.table(findings, "stop");
    let mut lookup = table.table(findings, "lookup");
    let mut log = table.table(findings, "log");
    let mut steering = table.table(findings, "steering");
    let settings = Settings {
        host: Host {
            name: host.string(findings, "name"),
            region: host.string(findings, "region"),
            failure_domain: host.string(findings, "failure_domain"),
        },
        failure_domains: failure_domains(table, findings),
        listeners: Listeners {
            callers: address(&mut listen, findings, "callers"),
            lookup: address(&mut listen, findings, "lookup"),
            readiness: address(&mut listen, findings, "readiness"),
            peers: address(&mut listen, findings, "peers"),
            metrics: address(&mut listen, findings, "metrics"),
        },
        store: Store {
            address: address(&mut store, findings, "address"),
            propagation: duration(&mut store, findings, "configuration_time").min(duration(
                &mut store,
                findings,
                "drain_time",
            )),
        },
        limits: limits(table, findings),
        class_competition: steering.boolean(findings, "class_competition", false),
        grace_period: duration(&mut stop, findings, "grace"),
        lookup_lifetime: duration(&mut lookup, findings, "longest_lifetime")
            .min(MAX_LOOKUP_LIFETIME),
        rate_tolerance: rate_tolerance(table, findings),
        retry_limit: retry_limit(table, findings),
        log_lines_per_second: log
            .integer(findings, "lines_per_second", 0..=100_000, Some(200))
            .try_into()
            .unwrap_or(u32::MAX),
    };
    for section in [host, listen, store, stop, lookup, log, steering] {
        section.finish(findings);
    }
    settings
}

fn failure_domains(table: &mut Table<'_>, findings: &mut Findings) -> HashMap<Arc<str>, Arc<str>> {
    let mut domains = HashMap::new();
    for mut domain in table.tables(findings, "failure_domain") {
        let name = domain.string(findings, "name");
        domains.insert(name, domain.string(findings, "region"));
        domain.finish(findings);
    }
    domains
}

fn limits(table: &mut Table<'_>, findings: &mut Findings) -> Limits {
    const BYTES_PER_MB: f64 = 1e6;
    let mut limits = table.table(findings, "limits");
    let mut number =
        |key, range| limits.has(key).then(|| limits.number(findings, key, range, None));
    let memory_mb = number("memory_mb", MEMORY_MB);
    let descriptors = number("descriptors", DESCRIPTORS);
    let link_mbps = number("link_mbps", LINK_MBPS);
    limits.finish(findings);
    Limits {
        memory_bytes: memory_mb.map(|megabytes| (megabytes * BYTES_PER_MB) as usize),
        descriptors: descriptors.map(|count| count as usize),
        link_mbps: link_mbps.map(|bandwidth| bandwidth as u32),
    }
}

fn rate_tolerance(table: &mut Table<'_>, findings: &mut Findings) -> Tolerance {
    let mut rates = table.table(findings, "rates");
    let tolerance = Tolerance {
        window: duration(&mut rates, findings, "window"),
        overage: rates.number(findings, "overage", 0.0..=10.0, Some(0.0)),
        slack: rates.number(findings, "slack", 0.0..=1e6, Some(0.0)),
    };
    rates.finish(findings);
    tolerance
}

fn retry_limit(table: &mut Table<'_>, findings: &mut Findings) -> retry::Limit {
    let mut retries = table.table(findings, "retries");
    let limit = retry::Limit {
        ratio: retries.number(findings, "ratio", 0.0..=10.0, Some(0.1)),
        window: duration(&mut retries, findings, "window"),
        allowance: retries.number(findings, "allowance", 0.0..=1e6, Some(0.0)),
    };
    retries.finish(findings);
    limit
}

/// Reads the required duration under `key`, such as `1500ms` or `2.5s`.
fn duration(table: &mut Table<'_>, findings: &mut Findings, key: &str) -> Duration {
    if !table.has(key) {
        table.report(findings, key, "is missing");
        return Duration::ZERO;
    }
    table.parsed(findings, key, parse_duration).unwrap_or_default()
}

/// Parses a duration such as `1500ms` or `2.5s`. The error says what was expected.
pub fn parse_duration(text: &str) -> Result<Duration, &'static str> {
    const EXPECTED: &str = "expected a time such as 1500ms or 2.5s";
    let (number, unit_seconds) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s').ok_or(EXPECTED)?, 1.0),
    };
    let number: f64 = number.parse().map_err(|_| EXPECTED)?;
    Duration::try_from_secs_f64(number * unit_seconds).map_err(|_| EXPECTED)
}
