//! Report of a run: outcomes and latencies by stream, as a table or as JSON.

use std::{collections::BTreeMap, fmt::Write as _, sync::Arc, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{caller::Outcome, plan::Plan, run::Sample};

/// Largest latency in a histogram. Larger ones are recorded as this value.
const LATENCY_LIMIT_MICROS: u64 = 600_000_000;

/// Results of a run.
#[derive(Serialize)]
pub struct Report {
    /// Duration of the run in seconds.
    pub seconds: u64,
    /// Results by stream, in the order of the plan.
    pub streams: Vec<StreamReport>,
}

/// Results of one stream.
#[derive(Serialize)]
pub struct StreamReport {
    /// Name of the stream.
    pub name: Arc<str>,
    /// Number of requests that were due.
    pub sent: u64,
    /// Number of requests with [`Outcome::Served`].
    pub served: u64,
    /// Number of requests with [`Outcome::NotRun`], by code.
    pub not_run: BTreeMap<Arc<str>, u64>,
    /// Number of requests with [`Outcome::Unknown`], by code.
    pub unknown: BTreeMap<Arc<str>, u64>,
    /// Latency of served requests in milliseconds, by percentile; empty if none was served.
    pub latency_ms: BTreeMap<&'static str, f64>,
    /// Counts by second of the run.
    pub timeline: Vec<Second>,
    #[serde(skip)]
    histogram: Histogram<u64>,
}

/// Requests of one stream that were due in one second of the run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// Number of requests due in this second.
    pub sent: u64,
    /// Number of them that were served, at any time.
    pub served: u64,
    /// Largest latency of those served, in milliseconds.
    pub largest_latency_ms: f64,
}

/// Names and quantiles of the reported latencies.
const PERCENTILES: [(&str, f64); 4] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p99.9", 0.999)];

impl Report {
    /// Empty report for a run of `plan`.
    pub fn new(plan: &Plan) -> Self {
        let seconds = plan.duration.as_secs();
        let streams =
            plan.streams.iter().map(|stream| StreamReport::new(stream.name.clone(), seconds));
        Self { seconds, streams: streams.collect() }
    }

    /// Adds the outcome of one request.
    pub fn add(&mut self, sample: &Sample) {
        self.streams[sample.stream].add(sample);
    }

    /// Whether every request was served.
    pub fn all_served(&self) -> bool {
        self.streams.iter().all(|stream| stream.served == stream.sent)
    }

    /// Formats the report as a table for the terminal.
    pub fn to_table(&self) -> String {
        let mut table = String::new();
        let _ = writeln!(
            table,
            "{:<28} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9}",
            "stream", "sent", "served", "not run", "unknown", "p50 ms", "p99 ms", "p99.9 ms"
        );
        for stream in &self.streams {
            let _ = writeln!(
                table,
                "{:<28} {:>8} {:>8} {:>8} {:>8} {:>9.2} {:>9.2} {:>9.2}",
                stream.name,
                stream.sent,
                stream.served,
                stream.not_run.values().sum::<u64>(),
                stream.unknown.values().sum::<u64>(),
                stream.latency_ms.get("p50").copied().unwrap_or_default(),
                stream.latency_ms.get("p99").copied().unwrap_or_default(),
                stream.latency_ms.get("p99.9").copied().unwrap_or_default(),
            );
            for (code, count) in stream.not_run.iter().chain(&stream.unknown) {
                let _ = writeln!(table, "    {code}: {count}");
            }
        }
        table
    }
}

impl StreamReport {
    fn new(name: Arc<str>, seconds: u64) -> Self {
        let second_count = usize::try_from(seconds).unwrap_or_default();
        let histogram = Histogram::new_with_max(LATENCY_LIMIT_MICROS, 3);
        Self {
            name,
            sent: 0,
            served: 0,
            not_run: BTreeMap::new(),
            unknown: BTreeMap::new(),
            latency_ms: BTreeMap::new(),
            timeline: vec![Second::default(); second_count],
            histogram: histogram.expect("constant bounds are valid"),
        }
    }

    fn add(&mut self, sample: &Sample) {
        self.sent += 1;
        let second = usize::try_from(sample.due.as_secs()).unwrap_or(usize::MAX);
        if let Some(second) = self.timeline.get_mut(second) {
            second.sent += 1;
        }
        match &sample.outcome {
            Outcome::Served => self.add_served(sample.latency, second),
            Outcome::NotRun(code) => *self.not_run.entry(code.clone()).or_default() += 1,
            Outcome::Unknown(code) => *self.unknown.entry(code.clone()).or_default() += 1,
        }
    }

    fn add_served(&mut self, latency: Duration, second: usize) {
        self.served += 1;
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.histogram.saturating_record(micros.max(1));
        for (name, quantile) in PERCENTILES {
            self.latency_ms.insert(name, self.histogram.value_at_quantile(quantile) as f64 / 1e3);
        }
        if let Some(second) = self.timeline.get_mut(second) {
            second.served += 1;
            second.largest_latency_ms = second.largest_latency_ms.max(latency.as_secs_f64() * 1e3);
        }
    }
}
