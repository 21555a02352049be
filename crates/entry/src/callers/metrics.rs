//! Metrics of the request path.

use std::{sync::Arc, time::Duration};

use metrics::{
    Unit, counter, describe_counter, describe_gauge, describe_histogram, gauge, histogram,
};

use super::refusal::Refusal;

const REQUEST_SECONDS: &str = "marjorampick_request_seconds";
const REFUSALS_TOTAL: &str = "marjorampick_refusals_total";
const RETRIES_TOTAL: &str = "marjorampick_retries_total";
const CROSS_REGION_BYTES_TOTAL: &str = "marjorampick_cross_region_bytes_total";
const REQUESTS_IN_FLIGHT: &str = "marjorampick_requests_in_flight";
const DRAIN_SECONDS: &str = "marjorampick_drain_seconds";

/// Registers the descriptions and units of the metrics.
pub fn describe() {
    describe_histogram!(
        REQUEST_SECONDS,
        Unit::Seconds,
        "Time from a request's arrival to the last byte of its answer."
    );
    describe_counter!(REFUSALS_TOTAL, Unit::Count, "Requests that the entry host refused.");
    describe_counter!(RETRIES_TOTAL, Unit::Count, "Requests sent again to another backend server.");
    describe_counter!(CROSS_REGION_BYTES_TOTAL, Unit::Bytes, "Bytes exchanged with other regions.");
    describe_gauge!(REQUESTS_IN_FLIGHT, Unit::Count, "Requests that have not ended.");
    describe_gauge!(DRAIN_SECONDS, Unit::Seconds, "Time from the start of the drain to its end.");
}

/// Values of the labels of a request's metrics; `none` until they are known.
#[derive(Clone, Debug)]
pub(crate) struct Labels {
    pub(crate) service: Arc<str>,
    pub(crate) class: Arc<str>,
    pub(crate) workspace: Arc<str>,
}

impl Default for Labels {
    fn default() -> Self {
        let none: Arc<str> = Arc::from("none");
        Self { service: none.clone(), class: none.clone(), workspace: none }
    }
}

/// Records the end of a request with its outcome and latency.
pub(crate) fn record_request(labels: &Labels, outcome: &'static str, elapsed: Duration) {
    let Labels { service, class, workspace } = labels.clone();
    histogram!(
        REQUEST_SECONDS,
        "service" => service,
        "class" => class,
        "workspace" => workspace,
        "outcome" => outcome
    )
    .record(elapsed);
}

/// Records a refusal by its code.
pub(crate) fn record_refusal(labels: &Labels, refusal: &Refusal) {
    let service = labels.service.clone();
    counter!(REFUSALS_TOTAL, "service" => service, "code" => refusal.code.name()).increment(1);
}

/// Records a retry.
pub(crate) fn record_retry(service: &Arc<str>) {
    counter!(RETRIES_TOTAL, "service" => service.clone()).increment(1);
}

/// Records bytes exchanged with another region.
pub(crate) fn record_cross_region_bytes(service: &Arc<str>, bytes: u64) {
    counter!(CROSS_REGION_BYTES_TOTAL, "service" => service.clone()).increment(bytes);
}

/// Records the duration of a drain.
pub(crate) fn record_drain(elapsed: Duration) {
    gauge!(DRAIN_SECONDS).set(elapsed);
}

/// Counts a request in the in-flight gauge until it is dropped.
pub(crate) struct InFlight(());

impl InFlight {
    pub(crate) fn start() -> Self {
        gauge!(REQUESTS_IN_FLIGHT).increment(1.0);
        Self(())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        gauge!(REQUESTS_IN_FLIGHT).decrement(1.0);
    }
}
