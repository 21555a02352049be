//! Forwarding of requests and answers.

use std::time::Duration;

use marjorampick_entry::callers::{Settings, tokens::Tokens};
use marjorampick_standin::backend::Fault;

use crate::common::{ANCHOR_KEY, Site, document, request, until};

/// Guards against a request path that doesn't reach the backend server at all.
#[tokio::test]
async fn forwards_a_request_and_its_answer() {
    let site = Site::start(1).await;
    let upload = request("POST", "/sign/1?x=2", "content-length: 5\r\n", "hello");
    let answer = site.ask(&upload).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.body, "backend-0 /sign/1 5 -\n");
    assert!(!answer.head.contains(ANCHOR_KEY));
    assert_eq!(site.backends[0].record().seen[0].target, "/sign/1?x=2");
}

/// Guards against a caller that waits for a body that HEAD doesn't have, or for leave to send one.
#[tokio::test]
async fn answers_to_head_and_expect_end_where_they_should() {
    let site = Site::start(1).await;
    let mut caller = site.caller().await;
    let mut both = request("HEAD", "/status?size=100", "", "");
    both.push_str(&request("GET", "/status", "", ""));
    caller.send(both).await;
    let head = caller.head().await;
    assert!(head.contains("content-length: 100\r\n"), "{head}");
    assert_eq!(caller.answer().await.body, "backend-0 /status 0 -\n");

    let headers = "content-length: 3\r\nexpect: 100-continue\r\n";
    caller.send(request("POST", "/sign", headers, "")).await;
    assert!(caller.head().await.starts_with("HTTP/1.1 100 "));
    caller.send("abc").await;
    assert_eq!(caller.answer().await.body, "backend-0 /sign 3 -\n");
}

/// Guards against hop-by-hop headers, a caller's workspace header or a wrong time limit reaching
/// the backend server.
#[tokio::test]
async fn sets_and_removes_headers() {
    let site = Site::start(1).await;
    let headers = "connection: x-hop\r\nx-hop: 1\r\nkeep-alive: 5\r\nte: trailers\r\n\
                   marjorampick-workspace: second\r\nmarjorampick-outcome: x\r\n\
                   x-forwarded-for: 10.0.0.1\r\nx-request-timeout-ms: 400\r\nx-end: 2\r\n";
    let answer = site.ask(&request("GET", "/status", headers, "")).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let seen = site.backends[0].record().seen[0].clone();
    let value = |name: &str| {
        let mut values = seen.headers.iter().filter(|(key, _)| key == name);
        let first = values.next().map(|(_, value)| value.clone());
        assert_eq!(values.next(), None, "{name} twice");
        first
    };
    assert_eq!(value("marjorampick-workspace").as_deref(), Some("anchor"));
    assert_eq!(value("x-forwarded-for").as_deref(), Some("10.0.0.1, 127.0.0.1"));
    assert_eq!(value("x-end").as_deref(), Some("2"));
    let left: u64 = value("x-request-timeout-ms").unwrap().parse().unwrap();
    assert!((1..=400).contains(&left), "{left}");
    for name in ["x-hop", "keep-alive", "te", "marjorampick-outcome", "connection"] {
        assert_eq!(value(name), None, "{name}");
    }
}

/// Guards against work that goes on for a caller that went away.
#[tokio::test]
async fn a_caller_that_goes_away_cancels_the_backend_request() {
    let site = Site::start(1).await;
    let mut caller = site.caller().await;
    caller.send(request("POST", "/slow", "x-standin-fault: late=30000\r\n", "")).await;
    until("the request runs", || site.backends[0].running() == 1).await;
    drop(caller);
    until("the backend request is cancelled", || site.backends[0].record().cancelled == 1).await;
    assert_eq!(site.backends[0].running(), 0);
}

/// Guards against a part of an upload being presented to the backend server as the whole, within the
/// region and, charged on its way, in another one.
#[tokio::test]
async fn an_upload_that_its_caller_breaks_off_never_runs() {
    for region in ["ee-north", "fi-south"] {
        let mut site = Site::start(1).await;
        site.listed[0].region = region.into();
        site.publish(document(ANCHOR_KEY), region);
        let framings = [
            ("content-length: 10\r\n", "hello"),
            ("transfer-encoding: chunked\r\n", "5\r\nhello\r\n"),
        ];
        for (index, (framing, part)) in framings.into_iter().enumerate() {
            let mut caller = site.caller().await;
            caller.send(request("POST", "/slow", framing, part)).await;
            let backend = &site.backends[0];
            until("the upload starts", || backend.record().seen.len() > index).await;
            drop(caller);
            until("it is given up", || backend.record().cancelled > index as u64).await;
        }
        assert_eq!(site.runs("/slow"), 0);
    }
}

/// Guards against a connection whose answer was not read to its end being used again.
#[tokio::test]
async fn a_caller_that_goes_away_within_the_answer_closes_the_connection() {
    let site = Site::start(1).await;
    let mut caller = site.caller().await;
    caller.send(request("GET", "/status?size=50000000", "", "")).await;
    until("the answer starts", || !site.backends[0].record().seen.is_empty()).await;
    drop(caller);
    let instance = site.instances()[0].clone();
    until("the exchange ends", || instance.in_flight() == 0).await;
    assert_eq!(instance.idle_connections(), 0);
}

/// Guards against a caller that stops reading and holds a backend server's slot for good.
#[tokio::test]
async fn a_caller_that_takes_nothing_loses_its_connection() {
    let settings = Settings { write_timeout: Duration::from_millis(50), ..Settings::default() };
    let site = Site::with(1, settings, Tokens::unlimited()).await;
    let mut caller = site.caller().await;
    let large = request("GET", "/status?size=50000000", "", "");
    caller.send(large).await;
    until("the answer starts", || site.instances()[0].in_flight() == 1).await;
    until("the exchange ends", || site.instances()[0].in_flight() == 0).await;
    assert!(!caller.answer().await.complete);
}

/// Guards against a host that reads a body faster than it can pass it on and keeps the rest.
#[tokio::test]
async fn a_slow_backend_server_holds_back_an_upload() {
    const SIZE: usize = 64 << 20;
    let site = Site::start(1).await;
    site.backends[0].plan(Fault::SilentAtHead, 1);
    let mut caller = site.caller().await;
    caller.send(request("POST", "/sign", &format!("content-length: {SIZE}\r\n"), "")).await;
    let piece = vec![0; 1 << 20];
    let mut sent = 0;
    let sending = async {
        while sent < SIZE {
            caller.send(&piece).await;
            sent += piece.len();
        }
    };
    let all_taken = tokio::time::timeout(Duration::from_millis(300), sending).await;
    assert!(all_taken.is_err(), "the host took the whole upload");
}
