//! Forwarding of requests, headers and bodies.

use std::time::Duration;

use marjorampick_entry::callers::{Settings, tokens::Tokens};
use marjorampick_standin::backend::Fault;

use crate::common::{ANCHOR_KEY, Host, document, request, wait_until};

/// Guards against requests that don't reach the backend server, and responses that don't come back.
#[tokio::test]
async fn forwards_a_request_and_its_answer() {
    let host = Host::start(1).await;
    let upload = request("POST", "/sign/1?x=2", "content-length: 5\r\n", "hello");
    let response = host.send(&upload).await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.body, "backend-0 /sign/1 5 -\n");
    assert!(!response.head.contains(ANCHOR_KEY));
    assert_eq!(host.backends[0].record().seen[0].target, "/sign/1?x=2");
}

/// Guards against a caller that waits for a body in the response to HEAD, or for 100 Continue.
#[tokio::test]
async fn responses_to_head_and_expect_are_framed_correctly() {
    let host = Host::start(1).await;
    let mut caller = host.connect().await;
    let mut both = request("HEAD", "/status?size=100", "", "");
    both.push_str(&request("GET", "/status", "", ""));
    caller.write(both).await;
    let head = caller.read_head().await;
    assert!(head.contains("content-length: 100\r\n"), "{head}");
    assert_eq!(caller.read_response().await.body, "backend-0 /status 0 -\n");

    let headers = "content-length: 3\r\nexpect: 100-continue\r\n";
    caller.write(request("POST", "/sign", headers, "")).await;
    assert!(caller.read_head().await.starts_with("HTTP/1.1 100 "));
    caller.write("abc").await;
    assert_eq!(caller.read_response().await.body, "backend-0 /sign 3 -\n");
}

/// Guards against hop-by-hop headers, a workspace header set by the caller, or a wrong timeout
/// reaching the backend server.
#[tokio::test]
async fn sets_and_removes_headers() {
    let host = Host::start(1).await;
    let headers = "connection: x-hop\r\nx-hop: 1\r\nkeep-alive: 5\r\nte: trailers\r\n\
                   marjorampick-workspace: second\r\nmarjorampick-outcome: x\r\n\
                   x-forwarded-for: 10.0.0.1\r\nx-request-timeout-ms: 400\r\nx-end: 2\r\n";
    let response = host.send(&request("GET", "/status", headers, "")).await;
    assert_eq!(response.status, 200, "{response:?}");
    let seen = host.backends[0].record().seen[0].clone();
    let value = |name: &str| {
        let mut values = seen.headers.iter().filter(|(key, _)| key == name);
        let first = values.next().map(|(_, value)| value.clone());
        assert_eq!(values.next(), None, "{name} is sent twice");
        first
    };
    assert_eq!(value("marjorampick-workspace").as_deref(), Some("anchor"));
    assert_eq!(value("x-forwarded-for").as_deref(), Some("10.0.0.1, 127.0.0.1"));
    assert_eq!(value("x-end").as_deref(), Some("2"));
    let timeout_ms: u64 = value("x-request-timeout-ms").unwrap().parse().unwrap();
    assert!((1..=400).contains(&timeout_ms), "{timeout_ms}");
    for name in ["x-hop", "keep-alive", "te", "marjorampick-outcome", "connection"] {
        assert_eq!(value(name), None, "{name}");
    }
}

/// Guards against backend servers that go on working after the caller has disconnected.
#[tokio::test]
async fn a_caller_that_goes_away_cancels_the_backend_request() {
    let host = Host::start(1).await;
    let mut caller = host.connect().await;
    caller.write(request("POST", "/slow", "x-standin-fault: late=30000\r\n", "")).await;
    wait_until("the request runs", || host.backends[0].running() == 1).await;
    drop(caller);
    wait_until("the backend request is cancelled", || host.backends[0].record().cancelled == 1)
        .await;
    assert_eq!(host.backends[0].running(), 0);
}

/// Guards against a truncated upload being presented to the backend server as complete, within the
/// region and in another one, where the body is charged to the cross-region budget.
#[tokio::test]
async fn an_upload_that_its_caller_breaks_off_never_runs() {
    for region in ["ee-north", "fi-south"] {
        let mut host = Host::start(1).await;
        host.listed[0].region = region.into();
        host.publish(document(ANCHOR_KEY), region);
        let framings = [
            ("content-length: 10\r\n", "hello"),
            ("transfer-encoding: chunked\r\n", "5\r\nhello\r\n"),
        ];
        for (index, (framing, part)) in framings.into_iter().enumerate() {
            let mut caller = host.connect().await;
            caller.write(request("POST", "/slow", framing, part)).await;
            let backend = &host.backends[0];
            wait_until("the upload starts", || backend.record().seen.len() > index).await;
            drop(caller);
            wait_until("the upload is cancelled", || backend.record().cancelled > index as u64)
                .await;
        }
        assert_eq!(host.runs_of("/slow"), 0);
    }
}

/// Guards against reusing a backend connection whose response was not read to its end.
#[tokio::test]
async fn a_caller_that_goes_away_within_the_answer_closes_the_connection() {
    let host = Host::start(1).await;
    let mut caller = host.connect().await;
    caller.write(request("GET", "/status?size=50000000", "", "")).await;
    wait_until("the response starts", || !host.backends[0].record().seen.is_empty()).await;
    drop(caller);
    let instance = host.instances()[0].clone();
    wait_until("the exchange ends", || instance.in_flight() == 0).await;
    assert_eq!(instance.idle_connections(), 0);
}

/// Guards against a caller that stops reading and so occupies a backend server's slot forever.
#[tokio::test]
async fn a_caller_that_stops_reading_loses_its_connection() {
    let settings = Settings { write_timeout: Duration::from_millis(50), ..Settings::default() };
    let host = Host::start_with(1, settings, Tokens::unlimited()).await;
    let mut caller = host.connect().await;
    let large = request("GET", "/status?size=50000000", "", "");
    caller.write(large).await;
    wait_until("the response starts", || host.instances()[0].in_flight() == 1).await;
    wait_until("the exchange ends", || host.instances()[0].in_flight() == 0).await;
    assert!(!caller.read_response().await.complete);
}

/// Guards against a host that reads an upload faster than the backend server and buffers the rest:
/// backpressure must reach the caller.
#[tokio::test]
async fn a_slow_backend_server_holds_back_an_upload() {
    const UPLOAD_BYTES: usize = 64 << 20;
    let host = Host::start(1).await;
    host.backends[0].plan(Fault::SilentAtHead, 1);
    let mut caller = host.connect().await;
    caller
        .write(request("POST", "/sign", &format!("content-length: {UPLOAD_BYTES}\r\n"), ""))
        .await;
    let piece = vec![0; 1 << 20];
    let mut sent = 0;
    let sending = async {
        while sent < UPLOAD_BYTES {
            caller.write(&piece).await;
            sent += piece.len();
        }
    };
    let upload = tokio::time::timeout(Duration::from_millis(300), sending).await;
    assert!(upload.is_err(), "the host buffered the whole upload");
}
