//! Rates, region slots and cross-region bytes at the request path.

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

use crate::common::{ANCHOR_KEY, SECOND_KEY, Site, document, request, until};

/// Budgets in which one kind holds a number of tokens, and all others are unlimited.
fn limited(is_limited: fn(&Budget) -> bool, tokens: u64) -> (Tokens, Arc<AtomicU64>) {
    let left = Arc::new(AtomicU64::new(tokens));
    let (taken, released, counted) = (left.clone(), left.clone(), left.clone());
    let take = move |budget: &Budget, amount: u64, taking: TakeOptions| {
        let spared = (taking.headroom_percent / 100.0 * tokens as f64) as u64;
        let take = |left: u64| left.checked_sub(amount).filter(|left| *left >= spared);
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
    (tokens, left)
}

/// Guards against refusing a request although a loan would have arrived in time, and against
/// waiting forever when none does.
#[tokio::test]
async fn a_short_workspace_borrows_before_it_is_refused() {
    let is_rate = |budget: &Budget| matches!(budget, Budget::Workspace { .. });
    let (tokens, left) = limited(is_rate, 1);
    let mut site = Site::with(1, Settings::default(), tokens).await;
    let look_up = request("GET", "/status", "", "");
    assert_eq!(site.ask(&look_up).await.status, 200);
    let mut caller = site.caller().await;
    caller.send(&look_up).await;
    let shared::Request::TokensNeeded { budget, wanted, wake } = site.asked().await else {
        panic!("expected a request for tokens");
    };
    assert!(is_rate(&budget) && wanted == 1);
    left.store(1, Ordering::SeqCst);
    wake.send(()).unwrap();
    assert_eq!(caller.answer().await.status, 200);
    let refused = caller.ask(&look_up).await;
    refused.assert_refused(429, "rate", "not-run");
    assert!(refused.header("retry-after").is_some());
}

/// Guards against more requests in a region than its slots, and slots that are never returned.
#[tokio::test]
async fn a_full_region_refuses_and_recovers() {
    let is_region = |budget: &Budget| matches!(budget, Budget::Region { .. });
    let (tokens, left) = limited(is_region, 1);
    let site = Site::with(1, Settings::default(), tokens).await;
    let mut running = site.caller().await;
    running.send(request("GET", "/status", "x-standin-fault: late=400\r\n", "")).await;
    until("the slot is taken", || left.load(Ordering::SeqCst) == 0).await;
    let refused = site.ask(&request("GET", "/status", "", "")).await;
    refused.assert_refused(503, "region-full", "not-run");
    assert_eq!(running.answer().await.status, 200);
    until("the slot is returned", || left.load(Ordering::SeqCst) == 1).await;
    assert_eq!(site.ask(&request("GET", "/status", "", "")).await.status, 200);
}

/// Guards against a workspace that fills a region and leaves no slot to the others.
#[tokio::test]
async fn scarce_slots_are_kept_for_workspaces_below_their_fair_part() {
    const SLOTS: u64 = 40;
    // The headroom of the document and a tenth of the other slots.
    const KEPT: u64 = SLOTS / 5 + SLOTS * 4 / 5 / 10;
    let is_region = |budget: &Budget| matches!(budget, Budget::Region { .. });
    let (tokens, left) = limited(is_region, SLOTS);
    let site = Site::with(5, Settings::default(), tokens).await;
    let slow = request("POST", "/slow", "x-standin-fault: late=700\r\n", "");
    let second = slow.replace(ANCHOR_KEY, SECOND_KEY);
    assert_eq!(site.ask(&second.replace("late=700", "late=0")).await.status, 200);
    let mut callers = Vec::new();
    for _ in 0..SLOTS {
        let mut caller = site.caller().await;
        caller.send(&slow).await;
        callers.push(caller);
    }
    until("the reserve is reached", || left.load(Ordering::SeqCst) == KEPT).await;
    let mut other = site.caller().await;
    assert_eq!(other.ask(&second).await.status, 200);
    let mut refused = 0;
    for mut caller in callers {
        refused += u64::from(caller.answer().await.status == 503);
    }
    assert_eq!(refused, KEPT);
}

/// Guards against slots that are taken from the wrong account, kept, or taken from the headroom.
#[test]
fn the_ledgers_slots_are_taken_and_returned() {
    let settings = budget::Policy::Omniscient;
    let ledger = Arc::new(Ledger::new("entry-1".into(), 1, settings));
    let region = Budget::Region { service: "signing".into(), region: "ee-north".into() };
    let limit = Limit::Concurrency { slots: 10, max_duration: Duration::from_secs(1) };
    ledger.mark_in_force(Duration::ZERO, 1);
    ledger.set_members(Duration::ZERO, &["entry-1".into()], 1);
    ledger.configure(Duration::ZERO, &[(region.clone(), limit)], 1);
    // A share counts when everything granted before it has ended.
    let tokens = Tokens::with_clock(ledger, || Duration::from_secs(60));
    let sparing = TakeOptions { is_retry: false, headroom_percent: 20.0 };
    let taken = |taking| (tokens.take)(&region, 1, taking);
    assert_eq!((0..10).filter(|_| taken(sparing)).count(), 8);
    assert_eq!((0..10).filter(|_| taken(TakeOptions::with_headroom(false))).count(), 2);
    (tokens.release)(&region, 1);
    assert_eq!((tokens.available)(&region), 1);
    let unknown = Budget::CrossRegion { service: "signing".into() };
    assert!(!(tokens.take)(&unknown, 1, TakeOptions::with_headroom(false)));
}

/// Guards against bytes that cross regions without being paid for, and against cutting off a stream
/// that has to wait for its volume.
#[tokio::test]
async fn a_cross_region_stream_waits_for_its_volume() {
    const SIZE: u64 = 400_000;
    const FIRST: u64 = 100_000;
    let is_volume = |budget: &Budget| matches!(budget, Budget::CrossRegion { .. });
    let (tokens, left) = limited(is_volume, FIRST);
    let mut site = Site::with(1, Settings::default(), tokens).await;
    site.listed[0].region = "fi-south".into();
    site.publish(document(ANCHOR_KEY), "fi-south");
    let mut caller = site.caller().await;
    caller.send(request("GET", &format!("/status?size={SIZE}"), "", "")).await;
    let asked = site.asked().await;
    assert!(matches!(asked, shared::Request::TokensNeeded { .. }));
    let more = SIZE + 10_000;
    left.fetch_add(more, Ordering::SeqCst);
    let answer = caller.answer().await;
    assert!(answer.complete);
    assert_eq!(answer.body.len() as u64, SIZE);
    let paid = FIRST + more - left.load(Ordering::SeqCst);
    assert!((SIZE..SIZE + 1000).contains(&paid), "{paid}");
}
