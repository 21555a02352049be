//! Requests with an idempotency key: the claim's verdict decides, and its end is reported.

use std::sync::Arc;

use marjorampick_core::{
    budget::Budget,
    claim::{Completion, State, Verdict},
};
use marjorampick_entry::{
    callers::{Settings, tokens::Tokens},
    shared::Request,
};

use crate::common::{Answer, Caller, Site, request, until};

fn sign(headers: &str) -> String {
    let headers = format!("idempotency-key: k1\r\ncontent-length: 2\r\n{headers}");
    request("POST", "/sign", &headers, "{}")
}

/// Sends a request and answers its claim.
async fn claimed(site: &mut Site, headers: &str, verdict: Verdict) -> (Caller, u64) {
    let mut caller = site.caller().await;
    caller.send(sign(headers)).await;
    let Request::Claim { name, fingerprint, answer } = site.asked().await else {
        panic!("expected a claim");
    };
    assert_eq!((name.workspace.as_ref(), name.key.as_ref()), ("anchor", "k1"));
    answer.send(verdict).unwrap();
    (caller, fingerprint)
}

async fn completed(site: &mut Site) -> Completion {
    match site.asked().await {
        Request::Completed(completion) => completion,
        _ => panic!("expected the end of a claim"),
    }
}

/// Guards against a claim that is never completed, or completed with another answer.
#[tokio::test]
async fn the_answer_is_kept_and_replayed() {
    let mut site = Site::start(1).await;
    let (mut caller, first) = claimed(&mut site, "", Verdict::Granted).await;
    let answer: Answer = caller.answer().await;
    assert_eq!(answer.status, 200);
    let Some(State::Done(outcome)) = completed(&mut site).await.state else {
        panic!("expected the answer");
    };
    assert_eq!((outcome.status, &outcome.body[..]), (200, answer.body.as_bytes()));
    let (mut caller, second) = claimed(&mut site, "", Verdict::Done(outcome)).await;
    let replay = caller.answer().await;
    assert_eq!((replay.status, &replay.body), (200, &answer.body));
    assert_eq!(replay.header("idempotency-replayed"), Some("true"));
    assert_eq!(first, second, "the fingerprint of the same request");
    assert_eq!(site.runs("k1"), 1);
}

/// Guards against a run that the claim's owner did not grant.
#[tokio::test]
async fn without_a_grant_nothing_runs() {
    let mut site = Site::start(1).await;
    let verdicts = [
        (Verdict::Running, 409, "running", "unknown"),
        (Verdict::Unknown, 409, "unknown", "unknown"),
        (Verdict::DoneWithoutAnswer, 409, "unknown", "unknown"),
        (Verdict::Mismatch, 422, "idempotency-mismatch", "not-run"),
        (Verdict::Unavailable, 503, "claim-unavailable", "not-run"),
    ];
    for (verdict, status, code, outcome) in verdicts {
        let (mut caller, _) = claimed(&mut site, "", verdict).await;
        caller.answer().await.assert_refused(status, code, outcome);
    }
    assert!(site.backends[0].record().seen.is_empty());
}

/// Guards against a claim that says "not run" after the request was sent.
#[tokio::test]
async fn a_lost_request_stays_unknown() {
    let mut site = Site::start(1).await;
    let (mut caller, _) =
        claimed(&mut site, "x-standin-fault: close=run\r\n", Verdict::Granted).await;
    caller.answer().await.assert_refused(502, "backend-failed", "unknown");
    assert_eq!(completed(&mut site).await.state, Some(State::Unknown));
    let (caller, _) = claimed(&mut site, "x-standin-fault: late=4000\r\n", Verdict::Granted).await;
    until("the request runs", || site.backends[0].running() == 1).await;
    drop(caller);
    assert_eq!(completed(&mut site).await.state, Some(State::Unknown));
}

/// Guards against a key that is blocked because its caller left before anything was sent.
#[tokio::test]
async fn a_caller_that_leaves_early_gives_its_claim_back() {
    let take = |budget: &Budget, _, _| !matches!(budget, Budget::Region { .. });
    let tokens = Tokens { take: Arc::new(take), ..Tokens::unlimited() };
    let mut site = Site::with(1, Settings::default(), tokens).await;
    let (caller, _) = claimed(&mut site, "", Verdict::Granted).await;
    let Request::TokensNeeded { wake, .. } = site.asked().await else {
        panic!("expected a request for a slot");
    };
    drop(caller);
    assert_eq!(completed(&mut site).await.state, None);
    drop(wake);
    assert!(site.backends[0].record().seen.is_empty());
}

/// Guards against a claim that blocks the key although nothing was sent.
#[tokio::test]
async fn a_request_that_was_not_sent_gives_its_claim_back() {
    let mut site = Site::start(0).await;
    let (mut caller, _) = claimed(&mut site, "", Verdict::Granted).await;
    caller.answer().await.assert_refused(503, "no-backend", "not-run");
    assert_eq!(completed(&mut site).await.state, None);
}

/// Guards against a kept answer that the caller could not have received in this form.
#[tokio::test]
async fn a_large_or_truncated_answer_is_not_kept() {
    let mut site = Site::start(1).await;
    let (mut caller, _) = claimed(&mut site, "x-standin-fault: cut=3\r\n", Verdict::Granted).await;
    assert!(!caller.answer().await.complete);
    assert_eq!(completed(&mut site).await.state, Some(State::DoneWithoutAnswer));
}

/// Guards against another body under the same key being taken for a repetition.
#[tokio::test]
async fn another_body_has_another_fingerprint() {
    let mut site = Site::start(1).await;
    let mut fingerprints = Vec::new();
    for body in ["{}", "[]"] {
        let mut caller = site.caller().await;
        caller.send(sign("").replace("{}", body)).await;
        let Request::Claim { fingerprint, answer, .. } = site.asked().await else {
            panic!("expected a claim");
        };
        fingerprints.push(fingerprint);
        answer.send(Verdict::Mismatch).unwrap();
        assert_eq!(caller.answer().await.status, 422);
    }
    assert_ne!(fingerprints[0], fingerprints[1]);
}
