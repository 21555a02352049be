//! Backend connections: an answer reaches the caller whose request it answers, whole or not at all.

use std::time::Duration;

use crate::common::{SECOND_KEY, Site, request};

fn look_up(id: &str, headers: &str) -> String {
    let headers = format!("x-request-id: {id}\r\n{headers}");
    request("GET", "/status", &headers, "")
}

/// Guards against the state of one caller staying on a connection that another one uses next.
#[tokio::test]
async fn two_callers_with_different_keys_share_a_connection() {
    let site = Site::start(1).await;
    let mut first = site.caller().await;
    let mut second = site.caller().await;
    let other = format!("GET /status HTTP/1.1\r\nhost: signing\r\nx-api-key: {SECOND_KEY}\r\n\r\n");
    for _ in 0..3 {
        assert_eq!(first.ask(&look_up("a", "")).await.status, 200);
        assert_eq!(second.ask(&other).await.status, 200);
    }
    let seen = site.backends[0].record().seen;
    assert!(seen.iter().all(|other| other.connection == seen[0].connection));
    let workspaces: Vec<_> = seen
        .iter()
        .flat_map(|seen| &seen.headers)
        .filter(|(name, _)| name == "marjorampick-workspace")
        .map(|(_, value)| value.as_str())
        .collect();
    assert_eq!(workspaces, ["anchor", "second"].repeat(3));
}

fn seen_connections(site: &Site) -> Vec<u64> {
    let seen = site.backends[0].record().seen;
    seen.iter().map(|seen| seen.connection).collect()
}

/// Guards against bytes after an answer being taken for the answer to the next caller.
#[tokio::test]
async fn extra_bytes_never_answer_the_next_request() {
    let site = Site::start(1).await;
    for fault in ["extra=now", "extra=3"] {
        let mut caller = site.caller().await;
        let header = format!("x-standin-fault: {fault}\r\n");
        let answer = caller.ask(&look_up("one", &header)).await;
        assert_eq!(answer.body, "backend-0 /status 0 one\n");
        tokio::time::sleep(Duration::from_millis(15)).await;
        let answer = site.ask(&look_up("two", "")).await;
        assert_eq!(answer.body, "backend-0 /status 0 two\n", "{fault}");
    }
}

/// Guards against a part of an answer being presented as the whole.
#[tokio::test]
async fn a_truncated_answer_aborts_the_callers_connection() {
    let site = Site::start(1).await;
    for target in ["/status?size=100000", "/status?size=100000&chunked=1"] {
        let mut caller = site.caller().await;
        let cut = request("GET", target, "x-standin-fault: cut=70000\r\n", "");
        let answer = caller.ask(&cut).await;
        assert_eq!(answer.status, 200);
        assert!(!answer.complete, "{target}");
    }
    let unframed = site.ask(&look_up("a", "x-standin-fault: unframed\r\n")).await;
    unframed.assert_refused(502, "backend-failed", "unknown");
}

/// Guards against a body that stops without an end holding the caller for good.
#[tokio::test]
async fn an_answer_that_stalls_aborts_the_callers_connection() {
    let site = Site::start(1).await;
    let answer = site.ask(&look_up("a", "x-standin-fault: silent=body\r\n")).await;
    assert_eq!(answer.status, 200);
    assert!(!answer.complete);
}

/// Guards against an answer that comes after the deadline reaching the next caller.
#[tokio::test]
async fn a_late_answer_is_dropped_with_its_connection() {
    let site = Site::start(1).await;
    let late = "x-request-timeout-ms: 60\r\nx-standin-fault: late=100\r\n";
    let answer = site.ask(&look_up("late", late)).await;
    answer.assert_refused(504, "deadline", "unknown");
    for _ in 0..8 {
        let answer = site.ask(&look_up("next", "")).await;
        assert_eq!(answer.body, "backend-0 /status 0 next\n");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let connections = seen_connections(&site);
    assert!(connections[1..].iter().all(|&connection| connection != connections[0]));
}

/// Guards against silent connections that stay in the pool, and against callers waiting for one
/// although another backend server would answer.
#[tokio::test]
async fn a_silent_connection_is_replaced() {
    let site = Site::start(2).await;
    for _ in 0..4 {
        site.ask(&look_up("warm", "")).await;
    }
    let instances = site.instances();
    let silent = &site.backends[0];
    silent.plan("silent=head".parse().unwrap(), 1);
    let answers = async {
        for _ in 0..20 {
            let answer = site.ask(&look_up("a", "x-request-timeout-ms: 800\r\n")).await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    };
    tokio::time::timeout(Duration::from_secs(3), answers).await.unwrap();
    assert_eq!(silent.record().cancelled, 1, "the silent request was not given up");
    assert!(instances.iter().all(|instance| instance.in_flight() == 0));
}
