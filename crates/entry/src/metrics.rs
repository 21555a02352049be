//! Prometheus exporter for the metrics of the process, which the admin listener serves.

use metrics_exporter_prometheus::{BuildError, Matcher, PrometheusBuilder, PrometheusHandle};

use crate::callers;

/// Upper bounds of the histogram buckets, in seconds.
const BUCKET_BOUNDS_SECONDS: [f64; 14] =
    [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Installs the global metrics recorder and registers the metrics of the request path.
///
/// The handle's `render` returns the metrics in the text format. Its `run_upkeep` must be called
/// every few seconds, or the samples of histograms accumulate while no one reads the metrics.
///
/// # Errors
///
/// The process already has a recorder.
pub fn install() -> Result<PrometheusHandle, BuildError> {
    let seconds = Matcher::Suffix("_seconds".to_owned());
    let handle = PrometheusBuilder::new()
        .set_buckets_for_metric(seconds, &BUCKET_BOUNDS_SECONDS)?
        .install_recorder()?;
    callers::metrics::describe();
    Ok(handle)
}
