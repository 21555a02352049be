//! API keys: which requests they admit, and that no backend server sees one.

use std::time::Duration;

use crate::common::{ANCHOR_KEY, Host, SECOND_KEY, document, request};

/// Text of a request without the API key that [`request`] adds.
fn keyless(target: &str, headers: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nhost: signing\r\n{headers}\r\n")
}

/// Guards against a key in one place of the request overriding a different one in another place.
#[tokio::test]
async fn conflicting_keys_are_refused() {
    let host = Host::start(1).await;
    let header = format!("x-api-key: {ANCHOR_KEY}\r\n");
    let bearer = format!("authorization: Bearer {SECOND_KEY}\r\n");
    let cookie = format!("cookie: api_key={ANCHOR_KEY}\r\n");
    let query = format!("/status?api_key={ANCHOR_KEY}");
    let requests = [
        keyless("/status", &format!("{header}{bearer}")),
        keyless("/status", &format!("{header}{header}")),
        keyless("/status", &format!("{bearer}{cookie}")),
        keyless(&query, &cookie),
        keyless(&format!("{query}&api_key={SECOND_KEY}"), ""),
        keyless("/status", "cookie: api_key=a; api_key=b\r\n"),
        keyless("/open", &format!("{header}{bearer}")),
    ];
    for request in requests {
        let response = host.send(&request).await;
        response.assert_refused(400, "credential-conflict", "not-run");
    }
    assert!(host.backends[0].record().seen.is_empty());
}

/// Guards against serving requests without a valid key.
#[tokio::test]
async fn missing_and_unknown_keys_are_refused() {
    let host = Host::start(1).await;
    let missing = host.send(&keyless("/status", "")).await;
    missing.assert_refused(401, "credential-missing", "not-run");
    let unknown = host.send(&keyless("/status", "x-api-key: stranger\r\n")).await;
    unknown.assert_refused(401, "credential-unknown", "not-run");
    assert!(host.backends[0].record().seen.is_empty());
}

/// Guards against forwarding a key to a backend server, on routes that need a key and on open ones.
#[tokio::test]
async fn no_key_reaches_the_backend_server() {
    let host = Host::start(1).await;
    // A page that was opened with a key in its query sends that key in the Referer header.
    let with_referer = format!(
        "authorization: Bearer {ANCHOR_KEY}\r\nreferer: http://a/page?api_key={ANCHOR_KEY}&e=3\r\n"
    );
    for path in ["/status", "/open"] {
        let requests = [
            keyless(path, &format!("authorization: Bearer {ANCHOR_KEY}\r\n")),
            keyless(path, &format!("x-api-key: {ANCHOR_KEY}\r\n")),
            keyless(&format!("{path}?a=1&api_key={ANCHOR_KEY}&b=2"), ""),
            keyless(&format!("{path}?a=1&api%5Fkey={ANCHOR_KEY}&b=2"), ""),
            keyless(path, &format!("cookie: c=1; api_key={ANCHOR_KEY}; d=2\r\n")),
            keyless(path, &with_referer),
        ];
        for request in requests {
            let response = host.send(&request).await;
            assert_eq!(response.status, 200, "{request} {response:?}");
        }
    }
    let record = host.backends[0].record();
    assert_eq!(record.seen.len(), 12);
    assert!(!format!("{record:?}").contains(ANCHOR_KEY), "{record:?}");
    assert!(record.seen.iter().any(|seen| seen.target == "/status?a=1&b=2"));
    let cookies = ("cookie".to_owned(), "c=1; d=2".to_owned());
    assert!(record.seen.iter().any(|seen| seen.headers.contains(&cookies)));
}

/// Guards against a withdrawn key that stays valid on a connection that is already open.
#[tokio::test]
async fn a_withdrawn_key_stops_on_an_open_connection() {
    let host = Host::start(1).await;
    let mut caller = host.connect().await;
    let status_request = request("GET", "/status", "", "");
    assert_eq!(caller.send(&status_request).await.status, 200);
    host.publish(document("another-key"), "ee-north");
    let response = caller.send(&status_request).await;
    response.assert_refused(401, "credential-unknown", "not-run");
}

/// Guards against accepting keys on a host that may have missed their withdrawal.
#[tokio::test]
async fn a_host_that_is_not_current_serves_open_routes_only() {
    let host = Host::start(1).await;
    host.shared.set_current_until(Duration::ZERO);
    let keyed = host.send(&request("GET", "/status", "", "")).await;
    keyed.assert_refused(503, "not-current", "not-run");
    assert!(keyed.header("retry-after").is_some());
    assert_eq!(host.send(&keyless("/open", "")).await.status, 200);
}

/// Guards against reaching a route that needs a key through the path of an open one.
#[tokio::test]
async fn a_disguised_path_does_not_bypass_the_key() {
    let host = Host::start(1).await;
    for path in ["/open/../status", "/open/%2e%2e/status", "/open/..%2Fstatus", "/open/..%5cstatus"]
    {
        let response = host.send(&keyless(path, "")).await;
        response.assert_refused(400, "bad-request", "not-run");
    }
    for path in ["/%73tatus", "//status", "/status/%2E%2E%2Fopen/%zz"] {
        let response = host.send(&keyless(path, "")).await;
        assert!(matches!(response.status, 400 | 401), "{path} {response:?}");
    }
    assert!(host.backends[0].record().seen.is_empty());
}
