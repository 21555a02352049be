//! What a run showed, as a table and as JSON.

use std::{collections::BTreeMap, fmt::Write as _, sync::Arc, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{caller::Outcome, plan::Plan, run::Sample};

/// Largest latency that a histogram tells apart, in microseconds.
const LARGEST_LATENCY_MICROS: u64 = 600_000_000;

/// Result of a run.
#[derive(Serialize)]
pub struct Report {
    /// Length of the run in seconds.
    pub seconds: u64,
    /// Results by stream, in the order of the plan.
    pub streams: Vec<StreamReport>,
}

/// Result of one stream.
#[derive(Serialize)]
pub struct StreamReport {
    /// Name of the stream.
    pub name: Arc<str>,
    /// Requests sent.
    pub sent: u64,
    /// Requests with a whole answer.
    pub served: u64,
    /// Requests refused as not run, by code.
    pub not_run: BTreeMap<Arc<str>, u64>,
    /// Requests whose fate the caller does not know, by code.
    pub unknown: BTreeMap<Arc<str>, u64>,
    /// Latency of served requests in milliseconds, by percentile.
    pub latency_ms: BTreeMap<&'static str, f64>,
    /// Course of the run by second.
    pub timeline: Vec<Second>,
    #[serde(skip)]
    histogram: Histogram<u64>,
}

/// One second of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// Requests due in this second.
    pub sent: u64,
    /// Requests of this second that were served.
    pub served: u64,
    /// Largest latency of a served request in milliseconds.
    pub largest_latency_ms: f64,
}

const PERCENTILES: [(&str, f64); 4] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p99.9", 0.999)];

impl Report {
    /// Empty report of `plan`.
    pub fn new(plan: &Plan) -> Self {
        let seconds = plan.duration.as_secs();
        let streams =
            plan.streams.iter().map(|stream| StreamReport::new(stream.name.clone(), seconds));
        Self { seconds, streams: streams.collect() }
    }

    /// Adds one request.
    pub fn add(&mut self, sample: &Sample) {
        self.streams[sample.stream].add(sample);
    }

    /// Whether every request got a whole answer.
    pub fn all_served(&self) -> bool {
        self.streams.iter().all(|stream| stream.served == stream.sent)
    }

    /// The report as a table for people.
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
        let length = usize::try_from(seconds).unwrap_or_default();
        let histogram = Histogram::new_with_max(LARGEST_LATENCY_MICROS, 3);
        Self {
            name,
            sent: 0,
            served: 0,
            not_run: BTreeMap::new(),
            unknown: BTreeMap::new(),
            latency_ms: BTreeMap::new(),
            timeline: vec![Second::default(); length],
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
