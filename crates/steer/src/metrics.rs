//! Metrics of the entry host.

use std::{sync::Arc, time::Duration};

use marjorampick_core::steering::cost::Prediction;
use metrics::{
    Unit, counter, describe_counter, describe_gauge, describe_histogram, gauge, histogram,
};
use metrics_exporter_prometheus::{BuildError, Matcher, PrometheusBuilder, PrometheusHandle};

const REQUEST_SECONDS: &str = "marjorampick_request_seconds";
const REFUSALS_TOTAL: &str = "marjorampick_refusals_total";
const ATTEMPTS_TOTAL: &str = "marjorampick_attempts_total";
const STORE_RESTORES_TOTAL: &str = "marjorampick_store_restores_total";
const STORE_CALLS_TOTAL: &str = "marjorampick_store_calls_total";
const TOKENS_LENT_TOTAL: &str = "marjorampick_tokens_lent_total";
const REQUESTS_IN_FLIGHT: &str = "marjorampick_requests_in_flight";
const RELAY_MESSAGES_TOTAL: &str = "marjorampick_relay_messages_total";
const LIMITED_INSTANCES: &str = "marjorampick_limited_instances";
const DROPPED_MESSAGES_TOTAL: &str = "marjorampick_dropped_messages_total";
const ENDED_TASKS_TOTAL: &str = "marjorampick_ended_tasks_total";
const CARRIED_REQUESTS_TOTAL: &str = "marjorampick_carried_requests_total";
const LOST_SERVICES: &str = "marjorampick_lost_services";
const QUARANTINED_REQUESTS: &str = "marjorampick_quarantined_requests";
const CLOSED_CONNECTIONS_TOTAL: &str = "marjorampick_closed_connections_total";
const FULL_REFUSALS_TOTAL: &str = "marjorampick_full_refusals_total";
const MISSING_CONFIGURATION: &str = "marjorampick_missing_configuration_seconds";
const OMITTED_ENTRIES: &str = "marjorampick_omitted_configuration_entries";
const ANSWER_TIME_RATIO: &str = "marjorampick_answer_time_ratio";

/// Upper bounds of the histogram buckets of [`ANSWER_TIME_RATIO`].
const BUCKET_BOUNDS_RATIO: [f64; 6] = [0.25, 0.5, 0.8, 1.25, 2.0, 4.0];

/// Smallest predicted time that counts in [`ANSWER_TIME_RATIO`].
const MIN_PREDICTED_SECONDS: f64 = 0.001;

/// Upper bounds of the histogram buckets, in seconds.
const BUCKET_BOUNDS_SECONDS: [f64; 10] = [0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0];

/// Installs the global metrics recorder of the process. Fails if there is one already.
pub(crate) fn install() -> Result<PrometheusHandle, BuildError> {
    let seconds = Matcher::Suffix("_seconds".to_owned());
    let ratio = Matcher::Full(ANSWER_TIME_RATIO.to_owned());
    let handle = PrometheusBuilder::new()
        .set_buckets_for_metric(seconds, &BUCKET_BOUNDS_SECONDS)?
        .set_buckets_for_metric(ratio, &BUCKET_BOUNDS_RATIO)?
        .install_recorder()?;
    describe_histogram!(
        REQUEST_SECONDS,
        Unit::Seconds,
        "Time from a request's arrival to its answer."
    );
    describe_histogram!(
        ANSWER_TIME_RATIO,
        Unit::Count,
        "Time of an instance's answer relative to the predicted time."
    );
    describe_counter!(REFUSALS_TOTAL, Unit::Count, "Requests that the host refused, by reason.");
    describe_counter!(
        FULL_REFUSALS_TOTAL,
        Unit::Count,
        "Requests refused for lack of free slots, by service and priority of the route."
    );
    describe_counter!(ATTEMPTS_TOTAL, Unit::Count, "Requests sent to backend servers, by outcome.");
    describe_counter!(
        STORE_RESTORES_TOTAL,
        Unit::Count,
        "Restores of the store to an earlier copy that the host has heard of."
    );
    describe_counter!(STORE_CALLS_TOTAL, Unit::Count, "Calls to the store, by kind and outcome.");
    describe_counter!(TOKENS_LENT_TOTAL, Unit::Count, "Tokens of workspaces lent to other hosts.");
    describe_counter!(
        RELAY_MESSAGES_TOTAL,
        Unit::Count,
        "Changes of the store passed on to other hosts or learned from them, by outcome."
    );
    describe_counter!(
        DROPPED_MESSAGES_TOTAL,
        Unit::Count,
        "Datagrams that were dropped at the address for messages of other hosts, by reason."
    );
    describe_counter!(ENDED_TASKS_TOTAL, Unit::Count, "Background tasks that ended, by name.");
    describe_gauge!(REQUESTS_IN_FLIGHT, Unit::Count, "Requests that have not ended.");
    describe_gauge!(LIMITED_INSTANCES, Unit::Count, "Instances with a limit that applies.");
    describe_counter!(
        CARRIED_REQUESTS_TOTAL,
        Unit::Count,
        "Requests passed on to other hosts, by outcome."
    );
    describe_gauge!(
        MISSING_CONFIGURATION,
        Unit::Seconds,
        "Time for which other hosts have had a later configuration."
    );
    describe_gauge!(LOST_SERVICES, Unit::Count, "Services of which the host reaches no instance.");
    describe_gauge!(
        QUARANTINED_REQUESTS,
        Unit::Count,
        "Requests that are refused as they crash instances."
    );
    describe_gauge!(
        OMITTED_ENTRIES,
        Unit::Count,
        "Entries of the configuration in force that this version of the program cannot use."
    );
    describe_counter!(
        CLOSED_CONNECTIONS_TOTAL,
        Unit::Count,
        "Connections that the host refused or closed to protect itself, by listener and cause."
    );
    Ok(handle)
}

/// Class of a status.
pub(crate) fn status_class(status: u16) -> &'static str {
    match status {
        200..300 => "2xx",
        300..400 => "3xx",
        400..500 => "4xx",
        _ => "5xx",
    }
}

/// Records a finished request with its latency and the class of its status, or how its response ended
/// early.
pub(crate) fn record_request(
    service: &Arc<str>,
    workspace: &Arc<str>,
    class: &'static str,
    elapsed: Duration,
) {
    histogram!(
        REQUEST_SECONDS,
        "service" => service.clone(),
        "workspace" => workspace.clone(),
        "status" => class
    )
    .record(elapsed);
}

/// Records a refused request.
pub(crate) fn record_refusal(reason: &'static str) {
    counter!(REFUSALS_TOTAL, "reason" => reason).increment(1);
}

/// Records the time of an answer against the times that were predicted for it.
pub(crate) fn record_prediction(service: &Arc<str>, prediction: Prediction, elapsed: Duration) {
    let models = [("mean", prediction.by_mean), ("remaining", prediction.by_remaining)];
    for (model, predicted) in models {
        let ratio = elapsed.as_secs_f64() / predicted.max(MIN_PREDICTED_SECONDS);
        histogram!(ANSWER_TIME_RATIO, "service" => service.clone(), "model" => model).record(ratio);
    }
}

/// Records a request that was refused for lack of free slots.
pub(crate) fn record_full(service: &Arc<str>, route_priority: u8) {
    let priority = route_priority.to_string();
    counter!(FULL_REFUSALS_TOTAL, "service" => service.clone(), "priority" => priority)
        .increment(1);
}

/// Records the outcome of an attempt to send a request to a backend server.
pub(crate) fn record_attempt(service: &Arc<str>, outcome: &'static str) {
    counter!(ATTEMPTS_TOTAL, "service" => service.clone(), "outcome" => outcome).increment(1);
}

/// Records a call to the store.
pub(crate) fn record_store_call(kind: &'static str, is_successful: bool) {
    let outcome = if is_successful { "answered" } else { "failed" };
    counter!(STORE_CALLS_TOTAL, "kind" => kind, "outcome" => outcome).increment(1);
}

/// Records that the store has been restored to an earlier copy.
pub(crate) fn record_restore() {
    counter!(STORE_RESTORES_TOTAL).increment(1);
}

/// Records a message with changes of the store.
pub(crate) fn record_relay(outcome: &'static str) {
    counter!(RELAY_MESSAGES_TOTAL, "outcome" => outcome).increment(1);
}

/// Records a connection that was refused, or closed before its end.
pub(crate) fn record_closed_connection(listener: &'static str, cause: &'static str) {
    counter!(CLOSED_CONNECTIONS_TOTAL, "listener" => listener, "cause" => cause).increment(1);
}

/// Sets the number of requests in flight.
pub(crate) fn set_in_flight(count: u32) {
    gauge!(REQUESTS_IN_FLIGHT).set(count);
}

/// Sets the number of instances with a limit.
pub(crate) fn set_limited_instances(count: usize) {
    gauge!(LIMITED_INSTANCES).set(count as f64);
}

/// Records the end of a request that was passed on to another host.
pub(crate) fn record_carried(outcome: &'static str) {
    counter!(CARRIED_REQUESTS_TOTAL, "outcome" => outcome).increment(1);
}

/// Sets the number of services of which the host reaches no instance.
pub(crate) fn set_lost_services(count: usize) {
    gauge!(LOST_SERVICES).set(count as f64);
}

/// Records a background task that ended.
pub(crate) fn record_ended_task(task: &'static str) {
    counter!(ENDED_TASKS_TOTAL, "task" => task).increment(1);
}

/// Records a dropped message.
pub(crate) fn record_dropped_message(reason: &'static str) {
    counter!(DROPPED_MESSAGES_TOTAL, "reason" => reason).increment(1);
}

/// Sets the number of requests that are refused as they crash instances.
pub(crate) fn set_quarantined_requests(count: usize) {
    gauge!(QUARANTINED_REQUESTS).set(count as f64);
}

/// Records tokens lent to another host.
pub(crate) fn record_lent_tokens(tokens: u32) {
    counter!(TOKENS_LENT_TOTAL).increment(tokens.into());
}

/// Sets the time for which other hosts have had a later configuration; zero if there is none.
pub(crate) fn set_missing_configuration(time: Duration) {
    gauge!(MISSING_CONFIGURATION).set(time.as_secs_f64());
}

/// Sets the number of entries of the configuration that are not used.
pub(crate) fn set_omitted_entries(count: usize) {
    gauge!(OMITTED_ENTRIES).set(count as f64);
}
