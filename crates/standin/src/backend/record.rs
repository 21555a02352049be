//! Record of a backend server's requests, and the delayed figures that it reports about itself.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use serde::Serialize;

/// Maximum number of request heads that are kept. The oldest ones are dropped.
const MAX_REQUEST_HEADS: usize = 10_000;

/// Requests that a backend server has received, run, refused and cancelled.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Record {
    /// Number of runs by idempotency key, or by request id or path when a request has no such key.
    pub runs: BTreeMap<String, u64>,
    /// Heads of the received requests, in order.
    pub seen: VecDeque<RequestHead>,
    /// Number of requests that were dropped before their response, for instance because the client
    /// closed the connection.
    pub cancelled: u64,
    /// Number of requests refused because all slots were taken.
    pub shed: u64,
}

/// Head of a received request.
#[derive(Clone, Debug, Serialize)]
pub struct RequestHead {
    /// Number of the connection, in the order of acceptance from 0.
    pub connection: u64,
    /// Request method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header names and values, in order.
    pub headers: Vec<(String, String)>,
}

impl Record {
    /// Adds the head of a request and drops the oldest one when the record is full.
    pub(super) fn add_head<B>(&mut self, connection: u64, request: &http::Request<B>) {
        let text = |value: &http::HeaderValue| String::from_utf8_lossy(value.as_bytes()).into();
        if self.seen.len() == MAX_REQUEST_HEADS {
            self.seen.pop_front();
        }
        self.seen.push_back(RequestHead {
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

    /// Counts a run under `key`.
    pub(super) fn count_run(&mut self, key: String) {
        *self.runs.entry(key).or_default() += 1;
    }

    /// Number of runs under `key`.
    pub fn runs_of(&self, key: &str) -> u64 {
        self.runs.get(key).copied().unwrap_or(0)
    }
}

/// Past states of a backend server, from which the load and health paths report a delayed one.
#[derive(Debug, Default)]
pub(super) struct History {
    reports: VecDeque<(Instant, Report)>,
}

/// State of a backend server at one time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Report {
    /// Number of running requests.
    pub(super) running: u64,
    /// Whether the server announces that it drains.
    pub(super) draining: bool,
}

impl History {
    /// Adds the current state and returns the newest one that is at least `lag` old, or the default
    /// when there is none.
    pub(super) fn add_and_report(&mut self, now: Instant, report: Report, lag: Duration) -> Report {
        self.reports.push_back((now, report));
        let is_old = |entry: &(Instant, Report)| now.duration_since(entry.0) >= lag;
        while self.reports.len() > 1 && is_old(&self.reports[1]) {
            self.reports.pop_front();
        }
        match self.reports.front() {
            Some(entry) if is_old(entry) => entry.1,
            _ => Report::default(),
        }
    }
}
