//! Counters and histograms of the entry host.

use std::{sync::Arc, time::Duration};

use metrics::{
    Unit, counter, describe_counter, describe_gauge, describe_histogram, gauge, histogram,
};
use metrics_exporter_prometheus::{BuildError, Matcher, PrometheusBuilder, PrometheusHandle};

const REQUEST_SECONDS: &str = "marjorampick_request_seconds";
const REFUSALS: &str = "marjorampick_refusals_total";
const ATTEMPTS: &str = "marjorampick_attempts_total";
const STORE_CALLS: &str = "marjorampick_store_calls_total";
const LENT: &str = "marjorampick_tokens_lent_total";
const IN_FLIGHT: &str = "marjorampick_requests_in_flight";

/// Upper bounds of the buckets of histograms of seconds.
const SECONDS_BUCKETS: [f64; 10] = [0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0];

/// Installs the process's recorder, once.
pub(crate) fn install() -> Result<PrometheusHandle, BuildError> {
    let seconds = Matcher::Suffix("_seconds".to_owned());
    let handle = PrometheusBuilder::new()
        .set_buckets_for_metric(seconds, &SECONDS_BUCKETS)?
        .install_recorder()?;
    describe_histogram!(
        REQUEST_SECONDS,
        Unit::Seconds,
        "Time from a request's arrival to its answer."
    );
    describe_counter!(REFUSALS, Unit::Count, "Requests that the host refused, by reason.");
    describe_counter!(ATTEMPTS, Unit::Count, "Requests sent to backend servers, by outcome.");
    describe_counter!(STORE_CALLS, Unit::Count, "Calls to the store, by kind and outcome.");
    describe_counter!(LENT, Unit::Count, "Tokens of workspaces lent to other hosts.");
    describe_gauge!(IN_FLIGHT, Unit::Count, "Requests that have not ended.");
    Ok(handle)
}

/// Notes the end of a request.
pub(crate) fn record_request(
    service: &Arc<str>,
    workspace: &Arc<str>,
    status: u16,
    elapsed: Duration,
) {
    let class = match status {
        200..300 => "2xx",
        300..400 => "3xx",
        400..500 => "4xx",
        _ => "5xx",
    };
    histogram!(
        REQUEST_SECONDS,
        "service" => service.clone(),
        "workspace" => workspace.clone(),
        "status" => class
    )
    .record(elapsed);
}

/// Notes a refusal.
pub(crate) fn record_refusal(reason: &'static str) {
    counter!(REFUSALS, "reason" => reason).increment(1);
}

/// Notes the outcome of an attempt.
pub(crate) fn record_attempt(service: &Arc<str>, outcome: &'static str) {
    counter!(ATTEMPTS, "service" => service.clone(), "outcome" => outcome).increment(1);
}

/// Notes a call to the store.
pub(crate) fn record_store_call(kind: &'static str, is_answered: bool) {
    let outcome = if is_answered { "answered" } else { "failed" };
    counter!(STORE_CALLS, "kind" => kind, "outcome" => outcome).increment(1);
}

/// Sets the number of requests that have not ended.
pub(crate) fn set_in_flight(count: u32) {
    gauge!(IN_FLIGHT).set(count);
}

/// Notes tokens lent to another host.
pub(crate) fn record_lent_tokens(tokens: u32) {
    counter!(LENT).increment(tokens.into());
}
