//! Spending of workspace rates, region slots and cross-region bytes on the request path.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use marjorampick_core::budget::{self, Budget, Ledger, Limit};
use marjorampick_entry::{
    callers::{
        Settings,
        tokens::{TakeOptions, Tokens},
    },
    shared,
};

use crate::common::{ANCHOR_KEY, Host, SECOND_KEY, document, request, wait_until};

/// Gives `tokens` to the budgets that `is_limited` selects, as one common amount; all others are
/// unlimited. Returns the budgets and the tokens that are left.
fn limit(is_limited: fn(&Budget) -> bool, tokens: u64) -> (Tokens, Arc<AtomicU64>) {
    let remaining = Arc::new(AtomicU64::new(tokens));
    let (taken, released, counted) = (remaining.clone(), remaining.clone(), remaining.clone());
    let take = move |budget: &Budget, amount: u64, taking: TakeOptions| {
        let reserved = (taking.headroom_percent / 100.0 * tokens as f64) as u64;
        let take = |left: u64| left.checked_sub(amount).filter(|left| *left >= reserved);
        !is_limited(budget) || taken.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take).is_ok()
    };
    let release = move |budget: &Budget, amount: u64| {
        if is_limited(budget) {
            released.fetch_add(amount, Ordering::SeqCst);
        }
    };
    let count = move |budget: &Budget| {
        if is_limited(budget) { counted.load(Ordering::SeqCst) } else { u64::MAX }
    };
    let tokens =
        Tokens { take: Arc::new(take), release: Arc::new(release), available: Arc::new(count) };
    (tokens, remaining)
}

/// Guards against refusing a request although a loan arrives in time, and against waiting forever
/// when none does.
#[tokio::test]
async fn a_workspace_without_tokens_borrows_before_it_is_refused() {
    let is_rate = |budget: &Budget| matches!(budget, Budget::Workspace { .. });
    let (tokens, remaining) = limit(is_rate, 1);
    let mut host = Host::start_with(1, Settings::default(), tokens).await;
    let status_request = request("GET", "/status", "", "");
    assert_eq!(host.send(&status_request).await.status, 200);
    let mut caller = host.connect().await;
    caller.write(&status_request).await;
    let shared::Request::TokensNeeded { budget, wanted, wake } = host.next_control_request().await
    else {
        panic!("expected a request for more tokens");
    };
    assert!(is_rate(&budget) && wanted == 1);
    remaining.store(1, Ordering::SeqCst);
    wake.send(()).unwrap();
    assert_eq!(caller.read_response().await.status, 200);
    let refused = caller.send(&status_request).await;
    refused.assert_refused(429, "rate", "not-run");
    assert!(refused.header("retry-after").is_some());
}

/// Guards against more concurrent requests in a region than its slots, and slots that are never
/// returned.
#[tokio::test]
async fn a_full_region_refuses_and_recovers() {
    let is_region = |budget: &Budget| matches!(budget, Budget::Region { .. });
    let (tokens, remaining) = limit(is_region, 1);
    let host = Host::start_with(1, Settings::default(), tokens).await;
    let mut running = host.connect().await;
    running.write(request("GET", "/status", "x-standin-fault: late=400\r\n", "")).await;
    wait_until("the slot is taken", || remaining.load(Ordering::SeqCst) == 0).await;
    let refused = host.send(&request("GET", "/status", "", "")).await;
    refused.assert_refused(503, "region-full", "not-run");
    assert_eq!(running.read_response().await.status, 200);
    wait_until("the slot is returned", || remaining.load(Ordering::SeqCst) == 1).await;
    assert_eq!(host.send(&request("GET", "/status", "", "")).await.status, 200);
}

/// Guards against one workspace taking all slots of a region.
#[tokio::test]
async fn scarce_slots_are_reserved_for_workspaces_below_their_fair_share() {
    const SLOTS: u64 = 40;
    // The document's headroom, a fifth, and a tenth of the other slots.
    const RESERVED_SLOTS: u64 = SLOTS / 5 + SLOTS * 4 / 5 / 10;
    let is_region = |budget: &Budget| matches!(budget, Budget::Region { .. });
    let (tokens, remaining) = limit(is_region, SLOTS);
    let host = Host::start_with(5, Settings::default(), tokens).await;
    let slow = request("POST", "/slow", "x-standin-fault: late=700\r\n", "");
    let second = slow.replace(ANCHOR_KEY, SECOND_KEY);
    assert_eq!(host.send(&second.replace("late=700", "late=0")).await.status, 200);
    let mut callers = Vec::new();
    for _ in 0..SLOTS {
        let mut caller = host.connect().await;
        caller.write(&slow).await;
        callers.push(caller);
    }
    wait_until("the reserve is reached", || remaining.load(Ordering::SeqCst) == RESERVED_SLOTS)
        .await;
    let mut second_caller = host.connect().await;
    assert_eq!(second_caller.send(&second).await.status, 200);
    let mut refused = 0;
    for mut caller in callers {
        refused += u64::from(caller.read_response().await.status == 503);
    }
    assert_eq!(refused, RESERVED_SLOTS);
}

/// Guards against slots that are taken from the wrong account, never returned, or taken from the
/// reserve.
#[test]
fn the_ledgers_slots_are_taken_and_returned() {
    let policy = budget::Policy::Omniscient;
    let ledger = Arc::new(Ledger::new("entry-1".into(), 1, policy));
    let region = Budget::Region { service: "signing".into(), region: "ee-north".into() };
    let limit = Limit::Concurrency { slots: 10, max_duration: Duration::from_secs(1) };
    ledger.mark_in_force(Duration::ZERO, 1);
    ledger.set_members(Duration::ZERO, &["entry-1".into()], 1);
    ledger.configure(Duration::ZERO, &[(region.clone(), limit)], 1);
    // A share may be spent once all earlier shares and loans have expired; 60 s is past that.
    let tokens = Tokens::with_clock(ledger, || Duration::from_secs(60));
    let with_reserve = TakeOptions { is_retry: false, headroom_percent: 20.0 };
    let taken = |taking| (tokens.take)(&region, 1, taking);
    assert_eq!((0..10).filter(|_| taken(with_reserve)).count(), 8);
    assert_eq!((0..10).filter(|_| taken(TakeOptions::with_headroom(false))).count(), 2);
    (tokens.release)(&region, 1);
    assert_eq!((tokens.available)(&region), 1);
    let without_account = Budget::CrossRegion { service: "signing".into() };
    assert!(!(tokens.take)(&without_account, 1, TakeOptions::with_headroom(false)));
}

/// Guards against bytes that cross regions without being charged to the budget, and against cutting
/// off a stream that has to wait for tokens.
#[tokio::test]
async fn a_cross_region_stream_waits_for_tokens() {
    const RESPONSE_BYTES: u64 = 400_000;
    const INITIAL_BYTES: u64 = 100_000;
    let is_cross_region = |budget: &Budget| matches!(budget, Budget::CrossRegion { .. });
    let (tokens, remaining) = limit(is_cross_region, INITIAL_BYTES);
    let mut host = Host::start_with(1, Settings::default(), tokens).await;
    host.listed[0].region = "fi-south".into();
    host.publish(document(ANCHOR_KEY), "fi-south");
    let mut caller = host.connect().await;
    caller.write(request("GET", &format!("/status?size={RESPONSE_BYTES}"), "", "")).await;
    let control_request = host.next_control_request().await;
    assert!(matches!(control_request, shared::Request::TokensNeeded { .. }));
    let more = RESPONSE_BYTES + 10_000;
    remaining.fetch_add(more, Ordering::SeqCst);
    let response = caller.read_response().await;
    assert!(response.complete);
    assert_eq!(response.body.len() as u64, RESPONSE_BYTES);
    let charged = INITIAL_BYTES + more - remaining.load(Ordering::SeqCst);
    assert!(
        (RESPONSE_BYTES..RESPONSE_BYTES + 1000).contains(&charged),
        "{charged} of {RESPONSE_BYTES} bytes charged"
    );
}
