//! Metrics of the request path in the Prometheus text format.

use marjorampick_entry::metrics;

use crate::common::{ANCHOR_KEY, Host, request};

/// Guards against missing labels for workspace, class or outcome, missing descriptions, and API
/// keys in metrics.
#[tokio::test]
async fn requests_are_counted_by_workspace_class_and_outcome() {
    let prometheus = metrics::install().expect("the only recorder of the process");
    let host = Host::start(1).await;
    host.send(&request("GET", "/status", "", "")).await;
    host.send(&request("GET", "/nowhere", "", "")).await;
    let text = prometheus.render();
    let counted = text.lines().any(|line| {
        line.starts_with("marjorampick_request_seconds_count")
            && ["signing", "status", "anchor", "answered"]
                .iter()
                .all(|label| line.contains(&format!("\"{label}\"")))
    });
    assert!(counted, "{text}");
    assert!(text.contains("code=\"no-route\""), "{text}");
    assert!(text.contains("# HELP marjorampick_request_seconds"), "{text}");
    assert!(text.contains("marjorampick_requests_in_flight"), "{text}");
    assert!(!text.contains(ANCHOR_KEY));
}
