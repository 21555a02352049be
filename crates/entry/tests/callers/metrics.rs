//! What the admin listener shows.

use marjorampick_entry::metrics;

use crate::common::{ANCHOR_KEY, Site, request};

/// Guards against requests that can't be told apart by workspace and class, against missing units,
/// and against keys in metrics.
#[tokio::test]
async fn requests_are_counted_by_workspace_class_and_outcome() {
    let prometheus = metrics::install().expect("the only recorder of the process");
    let site = Site::start(1).await;
    site.ask(&request("GET", "/status", "", "")).await;
    site.ask(&request("GET", "/nowhere", "", "")).await;
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
