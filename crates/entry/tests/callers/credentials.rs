//! Keys: who may call, and what a backend server sees.

use std::time::Duration;

use crate::common::{ANCHOR_KEY, SECOND_KEY, Site, document, request};

fn keyless(target: &str, headers: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nhost: signing\r\n{headers}\r\n")
}

/// Guards against a key in one place overriding another in a second place.
#[tokio::test]
async fn conflicting_keys_are_refused() {
    let site = Site::start(1).await;
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
        let answer = site.ask(&request).await;
        answer.assert_refused(400, "credential-conflict", "not-run");
    }
    assert!(site.backends[0].record().seen.is_empty());
}

/// Guards against requests without a valid key.
#[tokio::test]
async fn missing_and_unknown_keys_are_refused() {
    let site = Site::start(1).await;
    let missing = site.ask(&keyless("/status", "")).await;
    missing.assert_refused(401, "credential-missing", "not-run");
    let unknown = site.ask(&keyless("/status", "x-api-key: stranger\r\n")).await;
    unknown.assert_refused(401, "credential-unknown", "not-run");
    assert!(site.backends[0].record().seen.is_empty());
}

/// Guards against a backend server that learns a key, on keyed and open routes alike.
#[tokio::test]
async fn no_key_reaches_the_backend_server() {
    let site = Site::start(1).await;
    // A page that was itself opened with a key in its query sends it on as the referer.
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
            let answer = site.ask(&request).await;
            assert_eq!(answer.status, 200, "{request} {answer:?}");
        }
    }
    let record = site.backends[0].record();
    assert_eq!(record.seen.len(), 12);
    assert!(!format!("{record:?}").contains(ANCHOR_KEY), "{record:?}");
    assert!(record.seen.iter().any(|seen| seen.target == "/status?a=1&b=2"));
    let cookies = ("cookie".to_owned(), "c=1; d=2".to_owned());
    assert!(record.seen.iter().any(|seen| seen.headers.contains(&cookies)));
}

/// Guards against an open connection keeping the rights of a key that was withdrawn.
#[tokio::test]
async fn a_withdrawn_key_stops_on_an_open_connection() {
    let site = Site::start(1).await;
    let mut caller = site.caller().await;
    let look_up = request("GET", "/status", "", "");
    assert_eq!(caller.ask(&look_up).await.status, 200);
    site.publish(document("another-key"), "ee-north");
    let answer = caller.ask(&look_up).await;
    answer.assert_refused(401, "credential-unknown", "not-run");
}

/// Guards against keys being honoured by a host that may have missed their withdrawal.
#[tokio::test]
async fn a_host_that_is_not_current_serves_open_routes_only() {
    let site = Site::start(1).await;
    site.shared.set_current_until(Duration::ZERO);
    let keyed = site.ask(&request("GET", "/status", "", "")).await;
    keyed.assert_refused(503, "not-current", "not-run");
    assert!(keyed.header("retry-after").is_some());
    assert_eq!(site.ask(&keyless("/open", "")).await.status, 200);
}

/// Guards against a keyed route that is reached under the name of an open one.
#[tokio::test]
async fn a_disguised_path_does_not_bypass_the_key() {
    let site = Site::start(1).await;
    for path in ["/open/../status", "/open/%2e%2e/status", "/open/..%2Fstatus", "/open/..%5cstatus"]
    {
        let answer = site.ask(&keyless(path, "")).await;
        answer.assert_refused(400, "bad-request", "not-run");
    }
    for path in ["/%73tatus", "//status", "/status/%2E%2E%2Fopen/%zz"] {
        let answer = site.ask(&keyless(path, "")).await;
        assert!(matches!(answer.status, 400 | 401), "{path} {answer:?}");
    }
    assert!(site.backends[0].record().seen.is_empty());
}
