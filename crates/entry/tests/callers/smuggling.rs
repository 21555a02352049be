//! Request smuggling: requests whose framing or host another server could parse differently.

use crate::common::{ANCHOR_KEY, Host, request};

const SMUGGLED_REQUEST: &str =
    "GET /status/smuggled HTTP/1.1\r\nhost: signing\r\nx-api-key: second-key\r\n\r\n";

/// Guards against a request hidden in the body of another one by conflicting or invalid framing.
#[tokio::test]
async fn ambiguous_lengths_are_refused() {
    let host = Host::start(1).await;
    let length = format!("content-length: {}\r\n", SMUGGLED_REQUEST.len() + 5);
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
        let mut caller = host.connect().await;
        let body = format!("0\r\n\r\n{SMUGGLED_REQUEST}");
        let response = caller.send(&request("POST", "/sign", &headers, &body)).await;
        assert_eq!(response.status, 400, "{headers:?} {response:?}");
        assert!(caller.is_closed().await, "{headers:?}");
    }
    assert!(host.backends[0].record().seen.is_empty());
}

/// Guards against checking the framing only of the first request on a connection.
#[tokio::test]
async fn an_ambiguous_request_after_a_correct_one_is_refused() {
    let host = Host::start(1).await;
    let mut caller = host.connect().await;
    let chunked = "transfer-encoding: chunked\r\n";
    let correct = request("POST", "/sign", chunked, "3\r\nabc\r\n0\r\n\r\n");
    assert_eq!(caller.send(&correct).await.body, "backend-0 /sign 3 -\n");
    let both = format!("{chunked}content-length: 5\r\n");
    let response = caller
        .send(&request("POST", "/sign", &both, &format!("0\r\n\r\n{SMUGGLED_REQUEST}")))
        .await;
    response.assert_refused(400, "bad-request", "not-run");
    assert!(caller.is_closed().await);
    assert_eq!(host.backends[0].record().seen.len(), 1);
}

/// Guards against bytes of a body being parsed as the head of the next request.
#[tokio::test]
async fn bodies_that_look_like_requests_are_forwarded_whole() {
    let host = Host::start(1).await;
    let mut caller = host.connect().await;
    let body = "\r\n\r\nPOST / HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n";
    let length = body.len();
    for _ in 0..2 {
        let sized = request("POST", "/sign", &format!("content-length: {length}\r\n"), body);
        let expected = format!("backend-0 /sign {length} -\n");
        assert_eq!(caller.send(&sized).await.body, expected);
        let chunks = format!("{length:x};x=y\r\n{body}\r\n0\r\n\r\n");
        let chunked = request("POST", "/sign", "transfer-encoding: chunked\r\n", &chunks);
        assert_eq!(caller.send(&chunked).await.body, expected);
    }
}

/// Guards against heads from which two servers would take a different service, and against header
/// values that make the handler fail.
#[tokio::test]
async fn ambiguous_or_invalid_heads_are_refused() {
    let host = Host::start(1).await;
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
        let response = host.send(&case).await;
        response.assert_refused(400, "bad-request", "not-run");
    }
    let connection = request(
        "POST",
        "/sign",
        "connection: host, content-length\r\ncontent-length: 3\r\n",
        "abc",
    );
    assert_eq!(host.send(&connection).await.body, "backend-0 /sign 3 -\n");
    let many = "x: y\r\n".repeat(200);
    let response = host.send(&request("GET", "/status", &many, "")).await;
    assert_eq!(response.status, 431, "{response:?}");
}
