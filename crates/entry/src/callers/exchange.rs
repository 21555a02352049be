//! An HTTP exchange with a backend server while its response body is relayed to the caller.

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

/// One exchange whose response body is being relayed. If it is dropped before it has finished or
/// failed, the caller has cancelled it.
pub(crate) struct Exchange {
    pub(super) callers: Arc<Callers>,
    /// Connection to the backend server; `None` once the exchange has finished or failed.
    pub(super) connection: Option<Connection>,
    /// Whether the connection can be used for another request afterwards.
    pub(super) is_reusable: bool,
    pub(super) target: Target,
    pub(super) claim: Option<Claim>,
    /// When the request was sent, on the host's clock.
    pub(super) sent_at: Duration,
    pub(super) recorder: Recorder,
    /// Counts the request as in flight until the exchange is dropped.
    pub(super) _in_flight: InFlight,
}

/// Records duration and outcome of an exchange in the metrics when it is dropped.
pub(super) struct Recorder {
    labels: Labels,
    started_at: Instant,
    outcome: &'static str,
}

impl Recorder {
    /// Recorder whose outcome is `cancelled` unless the exchange sets another one.
    pub(super) fn new(call: &Call) -> Self {
        Self { labels: call.labels.clone(), started_at: call.started_at, outcome: "cancelled" }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        metrics::record_request(&self.labels, self.outcome, self.started_at.elapsed());
    }
}

impl Exchange {
    /// A frame of the response body arrived.
    pub(crate) fn record_frame(&mut self, frame: &Frame<Bytes>) {
        if let Some(claim) = &mut self.claim {
            claim.record_frame(frame);
        }
    }

    /// The whole response arrived.
    pub(crate) fn finish(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        self.recorder.outcome = "answered";
        if self.is_reusable {
            let pool = &self.target.instance().pool;
            pool.put(Instant::now(), connection);
        }
        if let Some(claim) = self.claim.take() {
            claim.complete();
        }
    }

    /// The response was cut short or stalled.
    pub(crate) fn fail(&mut self, error: &io::Error) {
        let instance = self.target.instance();
        log::debug!("callers: {}: relaying the response failed: {error}", instance.name);
        let now = self.callers.shared.now();
        instance.status().record_failure(now, self.sent_at);
        self.recorder.outcome = "cut";
        self.connection = None;
    }
}
