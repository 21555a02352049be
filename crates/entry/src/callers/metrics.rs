//! Metrics of the request path.

use std::{sync::Arc, time::Duration};

use metrics::{
    Unit, counter, describe_counter, describe_gauge, describe_histogram, gauge, histogram,
};

use super::refusal::Refusal;

const REQUEST_SECONDS: &str = "marjorampick_request_seconds";
const REFUSALS: &str = "marjorampick_refusals_total";
const RETRIES: &str = "marjorampick_retries_total";
const CROSS_REGION_BYTES: &str = "marjorampick_cross_region_bytes_total";
const IN_FLIGHT: &str = "marjorampick_requests_in_flight";
const DRAIN_SECONDS: &str = "marjorampick_drain_seconds";

/// Describes the metrics with their units.
pub fn describe() {
    describe_histogram!(
        REQUEST_SECONDS,
        Unit::Seconds,
        "Time from a request's arrival to the last byte of its answer."
    );
    describe_counter!(REFUSALS, Unit::Count, "Requests that the entry host refused.");
    describe_counter!(RETRIES, Unit::Count, "Requests sent again to another backend server.");
    describe_counter!(CROSS_REGION_BYTES, Unit::Bytes, "Bytes exchanged with other regions.");
    describe_gauge!(IN_FLIGHT, Unit::Count, "Requests that have not ended.");
    describe_gauge!(DRAIN_SECONDS, Unit::Seconds, "Time from the start of the drain to its end.");
}

/// Names by which requests are told apart in metrics.
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

/// Notes the end of a request.
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

/// Notes a refusal.
pub(crate) fn record_refusal(labels: &Labels, refusal: &Refusal) {
    let service = labels.service.clone();
    counter!(REFUSALS, "service" => service, "code" => refusal.code.name()).increment(1);
}

/// Notes a retry.
pub(crate) fn record_retry(service: &Arc<str>) {
    counter!(RETRIES, "service" => service.clone()).increment(1);
}

/// Notes bytes exchanged with another region.
pub(crate) fn record_cross_region_bytes(service: &Arc<str>, bytes: u64) {
    counter!(CROSS_REGION_BYTES, "service" => service.clone()).increment(bytes);
}

/// Notes how long a drain took.
pub(crate) fn record_drain(elapsed: Duration) {
    gauge!(DRAIN_SECONDS).set(elapsed);
}

/// One request in the in-flight gauge, until it is dropped.
pub(crate) struct InFlight(());

impl InFlight {
    pub(crate) fn start() -> Self {
        gauge!(IN_FLIGHT).increment(1.0);
        Self(())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        gauge!(IN_FLIGHT).decrement(1.0);
    }
}
