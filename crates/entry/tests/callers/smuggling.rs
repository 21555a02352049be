//! Requests whose limits a second server could read in another way.

use crate::common::{ANCHOR_KEY, Site, request};

const SMUGGLED: &str =
    "GET /status/smuggled HTTP/1.1\r\nhost: signing\r\nx-api-key: second-key\r\n\r\n";

/// Guards against a request hidden in the body of another one.
#[tokio::test]
async fn ambiguous_lengths_are_refused() {
    let site = Site::start(1).await;
    let length = format!("content-length: {}\r\n", SMUGGLED.len() + 5);
    let cases = [
        format!("{length}transfer-encoding: chunked\r\n"),
        format!("transfer-encoding: chunked\r\n{length}"),
        format!("{length}content-length: 0\r\n"),
        format!("{length}{length}"),
        "content-length: +5\r\n".to_owned(),
        "content-length: 5, 5\r\n".to_owned(),
        "transfer-encoding: identity\r\n".to_owned(),
        "transfer-encoding: gzip, chunked\r\n".to_owned(),
        "transfer-encoding: chunked, identity\r\n".to_owned(),
        "transfer-encoding: xchunked\r\n".to_owned(),
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n".to_owned(),
        "transfer-encoding : chunked\r\n".to_owned(),
        "transfer-encoding:\r\n chunked\r\n".to_owned(),
        "x: y\r\n\tz\r\n".to_owned(),
    ];
    for headers in cases {
        let mut caller = site.caller().await;
        let body = format!("0\r\n\r\n{SMUGGLED}");
        let answer = caller.ask(&request("POST", "/sign", &headers, &body)).await;
        assert_eq!(answer.status, 400, "{headers:?} {answer:?}");
        assert!(caller.is_closed().await, "{headers:?}");
    }
    assert!(site.backends[0].record().seen.is_empty());
}

/// Guards against an ambiguous request that hides behind a correct one on the same connection.
#[tokio::test]
async fn an_ambiguous_request_after_a_correct_one_is_refused() {
    let site = Site::start(1).await;
    let mut caller = site.caller().await;
    let chunked = "transfer-encoding: chunked\r\n";
    let correct = request("POST", "/sign", chunked, "3\r\nabc\r\n0\r\n\r\n");
    assert_eq!(caller.ask(&correct).await.body, "backend-0 /sign 3 -\n");
    let both = format!("{chunked}content-length: 5\r\n");
    let answer =
        caller.ask(&request("POST", "/sign", &both, &format!("0\r\n\r\n{SMUGGLED}"))).await;
    answer.assert_refused(400, "bad-request", "not-run");
    assert!(caller.is_closed().await);
    assert_eq!(site.backends[0].record().seen.len(), 1);
}

/// Guards against the scanner losing its place: bodies that look like heads are only bodies.
#[tokio::test]
async fn bodies_that_look_like_requests_are_forwarded_whole() {
    let site = Site::start(1).await;
    let mut caller = site.caller().await;
    let body = "\r\n\r\nPOST / HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n";
    let length = body.len();
    for _ in 0..2 {
        let sized = request("POST", "/sign", &format!("content-length: {length}\r\n"), body);
        let expected = format!("backend-0 /sign {length} -\n");
        assert_eq!(caller.ask(&sized).await.body, expected);
        let chunks = format!("{length:x};x=y\r\n{body}\r\n0\r\n\r\n");
        let chunked = request("POST", "/sign", "transfer-encoding: chunked\r\n", &chunks);
        assert_eq!(caller.ask(&chunked).await.body, expected);
    }
}

/// Guards against requests whose service two servers would read differently, and against values
/// that stop the handler.
#[tokio::test]
async fn odd_heads_are_refused() {
    let site = Site::start(1).await;
    let key = format!("x-api-key: {ANCHOR_KEY}\r\n");
    let cases = [
        format!("GET http://signing/status HTTP/1.1\r\nhost: other\r\n{key}\r\n"),
        format!("GET /status HTTP/1.1\r\nhost: signing\r\nhost: other\r\n{key}\r\n"),
        format!("GET /status HTTP/1.1\r\n{key}\r\n"),
        format!("GET /status HTTP/1.0\r\nhost: signing\r\n{key}\r\n"),
        request("GET", "/status", "x-request-id: \u{e9}\r\n", ""),
        request("GET", "/status", "x-request-timeout-ms: -1\r\n", ""),
    ];
    for case in cases {
        let answer = site.ask(&case).await;
        answer.assert_refused(400, "bad-request", "not-run");
    }
    let connection = request(
        "POST",
        "/sign",
        "connection: host, content-length\r\ncontent-length: 3\r\n",
        "abc",
    );
    assert_eq!(site.ask(&connection).await.body, "backend-0 /sign 3 -\n");
    let many = "x: y\r\n".repeat(200);
    let answer = site.ask(&request("GET", "/status", &many, "")).await;
    assert_eq!(answer.status, 431, "{answer:?}");
}
