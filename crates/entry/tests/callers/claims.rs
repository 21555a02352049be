//! Requests with an idempotency key: the verdict on the claim decides whether the request runs, and
//! the request path reports how the claim ended.

use std::sync::Arc;

use marjorampick_core::{
    budget::Budget,
    claim::{Completion, State, Verdict},
};
use marjorampick_entry::{
    callers::{Settings, tokens::Tokens},
    shared::Request,
};

use crate::common::{Caller, Host, Response, request, wait_until};

fn sign(headers: &str) -> String {
    let headers = format!("idempotency-key: k1\r\ncontent-length: 2\r\n{headers}");
    request("POST", "/sign", &headers, "{}")
}

/// Sends a request, checks its claim and answers it with `verdict`. Returns the connection and the
/// request's fingerprint.
async fn send_with_verdict(host: &mut Host, headers: &str, verdict: Verdict) -> (Caller, u64) {
    let mut caller = host.connect().await;
    caller.write(sign(headers)).await;
    let Request::Claim { name, fingerprint, answer: verdict_sender } =
        host.next_control_request().await
    else {
        panic!("expected a claim");
    };
    assert_eq!((name.workspace.as_ref(), name.key.as_ref()), ("anchor", "k1"));
    verdict_sender.send(verdict).unwrap();
    (caller, fingerprint)
}

/// The end of a claim, which the request path reports next.
async fn next_completion(host: &mut Host) -> Completion {
    match host.next_control_request().await {
        Request::Completed(completion) => completion,
        _ => panic!("expected the end of a claim"),
    }
}

/// Guards against a claim that is never completed, or completed with another response.
#[tokio::test]
async fn the_answer_is_kept_and_replayed() {
    let mut host = Host::start(1).await;
    let (mut caller, first) = send_with_verdict(&mut host, "", Verdict::Granted).await;
    let response: Response = caller.read_response().await;
    assert_eq!(response.status, 200);
    let Some(State::Done(outcome)) = next_completion(&mut host).await.state else {
        panic!("expected a claim with its response");
    };
    assert_eq!((outcome.status, &outcome.body[..]), (200, response.body.as_bytes()));
    let (mut caller, second) = send_with_verdict(&mut host, "", Verdict::Done(outcome)).await;
    let replay = caller.read_response().await;
    assert_eq!((replay.status, &replay.body), (200, &response.body));
    assert_eq!(replay.header("idempotency-replayed"), Some("true"));
    assert_eq!(first, second, "the fingerprint of the same request");
    assert_eq!(host.runs_of("k1"), 1);
}

/// Guards against running a request that the claim's owner has not granted.
#[tokio::test]
async fn without_a_grant_nothing_runs() {
    let mut host = Host::start(1).await;
    let verdicts = [
        (Verdict::Running, 409, "running", "unknown"),
        (Verdict::Unknown, 409, "unknown", "unknown"),
        (Verdict::DoneWithoutAnswer, 409, "unknown", "unknown"),
        (Verdict::Mismatch, 422, "idempotency-mismatch", "not-run"),
        (Verdict::Unavailable, 503, "claim-unavailable", "not-run"),
    ];
    for (verdict, status, code, outcome) in verdicts {
        let (mut caller, _) = send_with_verdict(&mut host, "", verdict).await;
        caller.read_response().await.assert_refused(status, code, outcome);
    }
    assert!(host.backends[0].record().seen.is_empty());
}

/// Guards against a claim that ends as "not run" although the request was sent.
#[tokio::test]
async fn a_lost_request_stays_unknown() {
    let mut host = Host::start(1).await;
    let (mut caller, _) =
        send_with_verdict(&mut host, "x-standin-fault: close=run\r\n", Verdict::Granted).await;
    caller.read_response().await.assert_refused(502, "backend-failed", "unknown");
    assert_eq!(next_completion(&mut host).await.state, Some(State::Unknown));
    let (caller, _) =
        send_with_verdict(&mut host, "x-standin-fault: late=4000\r\n", Verdict::Granted).await;
    wait_until("the request runs", || host.backends[0].running() == 1).await;
    drop(caller);
    assert_eq!(next_completion(&mut host).await.state, Some(State::Unknown));
}

/// Guards against a key that stays claimed although its caller left before the request was sent.
#[tokio::test]
async fn a_caller_that_leaves_before_the_request_is_sent_releases_its_claim() {
    let take = |budget: &Budget, _, _| !matches!(budget, Budget::Region { .. });
    let tokens = Tokens { take: Arc::new(take), ..Tokens::unlimited() };
    let mut host = Host::start_with(1, Settings::default(), tokens).await;
    let (caller, _) = send_with_verdict(&mut host, "", Verdict::Granted).await;
    let Request::TokensNeeded { wake, .. } = host.next_control_request().await else {
        panic!("expected a request for a slot");
    };
    drop(caller);
    assert_eq!(next_completion(&mut host).await.state, None);
    drop(wake);
    assert!(host.backends[0].record().seen.is_empty());
}

/// Guards against a key that stays claimed although the request was not sent.
#[tokio::test]
async fn a_request_that_was_not_sent_releases_its_claim() {
    let mut host = Host::start(0).await;
    let (mut caller, _) = send_with_verdict(&mut host, "", Verdict::Granted).await;
    caller.read_response().await.assert_refused(503, "no-backend", "not-run");
    assert_eq!(next_completion(&mut host).await.state, None);
}

/// Guards against storing a response that the caller did not receive whole.
#[tokio::test]
async fn a_large_or_truncated_answer_is_not_kept() {
    let mut host = Host::start(1).await;
    let (mut caller, _) =
        send_with_verdict(&mut host, "x-standin-fault: cut=3\r\n", Verdict::Granted).await;
    assert!(!caller.read_response().await.complete);
    assert_eq!(next_completion(&mut host).await.state, Some(State::DoneWithoutAnswer));
}

/// Guards against a request with another body being taken for a repetition under the same key.
#[tokio::test]
async fn another_body_has_another_fingerprint() {
    let mut host = Host::start(1).await;
    let mut fingerprints = Vec::new();
    for body in ["{}", "[]"] {
        let mut caller = host.connect().await;
        caller.write(sign("").replace("{}", body)).await;
        let Request::Claim { fingerprint, answer: verdict_sender, .. } =
            host.next_control_request().await
        else {
            panic!("expected a claim");
        };
        fingerprints.push(fingerprint);
        verdict_sender.send(Verdict::Mismatch).unwrap();
        assert_eq!(caller.read_response().await.status, 422);
    }
    assert_ne!(fingerprints[0], fingerprints[1]);
}
