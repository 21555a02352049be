//! The state of an exchange until its answer has been passed on.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body::Frame;

use super::{
    Callers,
    choice::Target,
    claims::Claim,
    metrics::{self, InFlight, Labels},
    pool::Connection,
    request::Call,
};

/// One exchange whose answer's body is being passed on.
pub(crate) struct Exchange {
    pub(super) callers: Arc<Callers>,
    pub(super) connection: Option<Connection>,
    pub(super) reusable: bool,
    pub(super) target: Target,
    pub(super) claim: Option<Claim>,
    pub(super) sent_at: Duration,
    pub(super) recorder: Recorder,
    /// Counts the exchange until it is dropped.
    pub(super) _in_flight: InFlight,
}

/// Notes the end of an exchange in the metrics when it is dropped.
pub(super) struct Recorder {
    labels: Labels,
    started: Instant,
    outcome: &'static str,
}

impl Recorder {
    /// An exchange that counts as cancelled until something else is known.
    pub(super) fn new(call: &Call) -> Self {
        Self { labels: call.labels.clone(), started: call.started, outcome: "cancelled" }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        metrics::ended(&self.labels, self.outcome, self.started.elapsed());
    }
}

impl Exchange {
    /// A piece of the body arrived.
    pub(crate) fn received(&mut self, frame: &Frame<Bytes>) {
        if let Some(claim) = &mut self.claim {
            claim.received(frame);
        }
    }

    /// The whole answer arrived.
    pub(crate) fn finish(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        self.recorder.outcome = "answered";
        if self.reusable {
            let pool = &self.target.instance().pool;
            pool.give_back(Instant::now(), connection);
        }
        if let Some(claim) = self.claim.take() {
            claim.complete();
        }
    }

    /// The answer was cut short.
    pub(crate) fn fail(&mut self, error: &io::Error) {
        let instance = self.target.instance();
        log::debug!("callers: {}: answer failed: {error}", instance.name);
        let now = self.callers.shared.now();
        instance.status().record_failure(now, self.sent_at);
        self.recorder.outcome = "cut";
        self.connection = None;
    }
}
