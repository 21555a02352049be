//! Backend connections: a response reaches only the caller of its request, and a truncated one is
//! not presented as complete.

use std::time::Duration;

use crate::common::{Host, SECOND_KEY, request};

fn status_request(id: &str, headers: &str) -> String {
    let headers = format!("x-request-id: {id}\r\n{headers}");
    request("GET", "/status", &headers, "")
}

/// Guards against state of one caller that stays on a backend connection and reaches the next
/// caller.
#[tokio::test]
async fn two_callers_with_different_keys_share_a_connection() {
    let host = Host::start(1).await;
    let mut first = host.connect().await;
    let mut second = host.connect().await;
    let other = format!("GET /status HTTP/1.1\r\nhost: signing\r\nx-api-key: {SECOND_KEY}\r\n\r\n");
    for _ in 0..3 {
        assert_eq!(first.send(&status_request("a", "")).await.status, 200);
        assert_eq!(second.send(&other).await.status, 200);
    }
    let seen = host.backends[0].record().seen;
    assert!(seen.iter().all(|request| request.connection == seen[0].connection));
    let workspaces: Vec<_> = seen
        .iter()
        .flat_map(|seen| &seen.headers)
        .filter(|(name, _)| name == "marjorampick-workspace")
        .map(|(_, value)| value.as_str())
        .collect();
    assert_eq!(workspaces, ["anchor", "second"].repeat(3));
}

/// Number of the backend connection of each request, in order of arrival.
fn connection_numbers(host: &Host) -> Vec<u64> {
    let seen = host.backends[0].record().seen;
    seen.iter().map(|seen| seen.connection).collect()
}

/// Guards against surplus bytes after one response being taken for the next caller's response.
#[tokio::test]
async fn extra_bytes_never_answer_the_next_request() {
    let host = Host::start(1).await;
    for fault in ["extra=now", "extra=3"] {
        let mut caller = host.connect().await;
        let header = format!("x-standin-fault: {fault}\r\n");
        let response = caller.send(&status_request("one", &header)).await;
        assert_eq!(response.body, "backend-0 /status 0 one\n");
        tokio::time::sleep(Duration::from_millis(15)).await;
        let response = host.send(&status_request("two", "")).await;
        assert_eq!(response.body, "backend-0 /status 0 two\n", "{fault}");
    }
}

/// Guards against a truncated response being presented as complete.
#[tokio::test]
async fn a_truncated_answer_aborts_the_callers_connection() {
    let host = Host::start(1).await;
    for target in ["/status?size=100000", "/status?size=100000&chunked=1"] {
        let mut caller = host.connect().await;
        let cut = request("GET", target, "x-standin-fault: cut=70000\r\n", "");
        let response = caller.send(&cut).await;
        assert_eq!(response.status, 200);
        assert!(!response.complete, "{target}");
    }
    let unframed = host.send(&status_request("a", "x-standin-fault: unframed\r\n")).await;
    unframed.assert_refused(502, "backend-failed", "unknown");
}

/// Guards against a body that stalls keeping the caller waiting forever.
#[tokio::test]
async fn an_answer_that_stalls_aborts_the_callers_connection() {
    let host = Host::start(1).await;
    let response = host.send(&status_request("a", "x-standin-fault: silent=body\r\n")).await;
    assert_eq!(response.status, 200);
    assert!(!response.complete);
}

/// Guards against a response that comes after the deadline reaching the next caller.
#[tokio::test]
async fn a_late_answer_is_dropped_with_its_connection() {
    let host = Host::start(1).await;
    let late = "x-request-timeout-ms: 60\r\nx-standin-fault: late=100\r\n";
    let response = host.send(&status_request("late", late)).await;
    response.assert_refused(504, "deadline", "unknown");
    for _ in 0..8 {
        let response = host.send(&status_request("next", "")).await;
        assert_eq!(response.body, "backend-0 /status 0 next\n");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let connections = connection_numbers(&host);
    assert!(connections[1..].iter().all(|&connection| connection != connections[0]));
}

/// Guards against unresponsive connections that stay in the pool, and against requests that wait
/// for one although another backend server would respond.
#[tokio::test]
async fn a_silent_connection_is_replaced() {
    let host = Host::start(2).await;
    for _ in 0..4 {
        host.send(&status_request("warm", "")).await;
    }
    let instances = host.instances();
    let silent = &host.backends[0];
    silent.plan("silent=head".parse().unwrap(), 1);
    let answers = async {
        for _ in 0..20 {
            let response = host.send(&status_request("a", "x-request-timeout-ms: 800\r\n")).await;
            assert_eq!(response.status, 200, "{response:?}");
        }
    };
    tokio::time::timeout(Duration::from_secs(3), answers).await.unwrap();
    assert_eq!(silent.record().cancelled, 1, "the unanswered request was not cancelled");
    assert!(instances.iter().all(|instance| instance.in_flight() == 0));
}
