//! Prometheus text of the process's metrics, for the admin listener.

use metrics_exporter_prometheus::{BuildError, Matcher, PrometheusBuilder, PrometheusHandle};

use crate::callers;

/// Upper bounds of the buckets of histograms of seconds.
const SECONDS_BUCKETS: [f64; 14] =
    [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Installs the process's recorder, once, and describes the metrics of the request path.
///
/// The handle's `render` gives the text. Its `run_upkeep` must be called every few seconds, so that
/// the samples of histograms that nobody reads don't pile up.
pub fn install() -> Result<PrometheusHandle, BuildError> {
    let seconds = Matcher::Suffix("_seconds".to_owned());
    let handle = PrometheusBuilder::new()
        .set_buckets_for_metric(seconds, &SECONDS_BUCKETS)?
        .install_recorder()?;
    callers::metrics::describe();
    Ok(handle)
}
