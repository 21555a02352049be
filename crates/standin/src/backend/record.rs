//! What a backend server has run and what it reports about itself.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use serde::Serialize;

/// Number of request heads that are kept.
const SEEN_LIMIT: usize = 10_000;

/// What a backend server has run and seen.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Record {
    /// Number of runs by idempotency key, or else request id, or else path.
    pub runs: BTreeMap<String, u64>,
    /// Requests that arrived, in order.
    pub seen: VecDeque<Seen>,
    /// Requests that ended before their answer because the client went away.
    pub cancelled: u64,
    /// Requests refused because all slots were taken.
    pub shed: u64,
}

/// Head of a request as it arrived.
#[derive(Clone, Debug, Serialize)]
pub struct Seen {
    /// Number of the connection, counted from 0.
    pub connection: u64,
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header names and values, in order.
    pub headers: Vec<(String, String)>,
}

impl Record {
    /// Notes the head of a request.
    pub(super) fn note<B>(&mut self, connection: u64, request: &http::Request<B>) {
        let text = |value: &http::HeaderValue| String::from_utf8_lossy(value.as_bytes()).into();
        if self.seen.len() == SEEN_LIMIT {
            self.seen.pop_front();
        }
        self.seen.push_back(Seen {
            connection,
            method: request.method().to_string(),
            target: request.uri().to_string(),
            headers: request
                .headers()
                .iter()
                .map(|(name, value)| (name.to_string(), text(value)))
                .collect(),
        });
    }

    /// Counts a run.
    pub(super) fn run(&mut self, key: String) {
        *self.runs.entry(key).or_default() += 1;
    }

    /// Number of runs of a key.
    pub fn runs_of(&self, key: &str) -> u64 {
        self.runs.get(key).copied().unwrap_or(0)
    }
}

/// Figures that the load and health paths report, kept so that they can lag.
#[derive(Debug, Default)]
pub(super) struct Reports {
    history: VecDeque<(Instant, Report)>,
}

/// State of the backend server at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Report {
    pub(super) running: u64,
    pub(super) draining: bool,
}

impl Reports {
    /// Adds the present state and answers the newest one that is at least `lag` old.
    pub(super) fn lagging(&mut self, now: Instant, report: Report, lag: Duration) -> Report {
        self.history.push_back((now, report));
        let old = |entry: &(Instant, Report)| now.duration_since(entry.0) >= lag;
        while self.history.len() > 1 && old(&self.history[1]) {
            self.history.pop_front();
        }
        match self.history.front() {
            Some(entry) if old(entry) => entry.1,
            _ => Report::default(),
        }
    }
}
