use std::{sync::Arc, time::Duration};

use super::{Account, Budget, Ledger, Limit, LoanRequest, LoanReturn, Policy, Shortfall, fair};

fn budget(workspace: &str) -> Budget {
    Budget::Workspace { service: "signing".into(), workspace: workspace.into() }
}

fn hosts(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

fn take_all(account: &Account, now: Duration) -> u64 {
    std::iter::from_fn(|| account.take(now, 1).ok()).count() as u64
}

/// Guards against losing the remainder of a division or granting it twice. The bursts lie on both
/// sides of every threshold of the division.
#[test]
fn shares_add_up_to_the_limit() {
    let names = hosts(&["a", "b", "c"]);
    let bursts = [1, 7, 31, 32, 33, 64, 95, 96, 97, 400];
    let policies = [Policy::Fixed, Policy::Lending];
    for (burst, policy) in bursts.iter().flat_map(|burst| policies.map(|policy| (*burst, policy))) {
        let limit = Limit::rate(1e6, burst);
        let taken = names.iter().map(|name| {
            let ledger = Ledger::new(name.clone(), 1, policy);
            ledger.configure(Duration::ZERO, &[(budget("anchor"), limit)], 1);
            ledger.set_members(Duration::ZERO, &names, 1);
            ledger.mark_in_force(Duration::ZERO, 1);
            let account = ledger.account(&budget("anchor")).expect("configured");
            assert_eq!(take_all(&account, Duration::from_secs(2)), 0, "unsettled share");
            take_all(&account, Duration::from_secs(60))
        });
        assert_eq!(taken.sum::<u64>(), burst);
    }
}

/// Ledger of host `name` for the members `a` and `b`, whose shares have settled after a minute.
fn settled_ledger(name: &str, limit: Limit) -> Ledger {
    let ledger = Ledger::new(name.into(), 1, Policy::Lending);
    ledger.configure(Duration::ZERO, &[(budget("anchor"), limit)], 1);
    ledger.set_members(Duration::ZERO, &hosts(&["a", "b"]), 1);
    ledger.mark_in_force(Duration::ZERO, 1);
    ledger
}

const MINUTE: Duration = Duration::from_secs(60);

/// Guards against a duplicated partial return of a loan that frees slots which are still in use.
#[test]
fn a_duplicated_return_frees_nothing() {
    let limit = Limit::Concurrency { slots: 8, max_duration: Duration::from_secs(10) };
    let lender = settled_ledger("a", limit);
    let request = LoanRequest { id: 7, budget: budget("anchor"), wanted: 4, rate_wanted: 0 };
    let borrower = Arc::from("b");
    assert_eq!(lender.lend(MINUTE, &borrower, &request).tokens, 4);
    let part = LoanReturn { id: 7, budget: budget("anchor"), slots: 2 };
    lender.receive_return(MINUTE, &borrower, &part);
    lender.receive_return(MINUTE, &borrower, &part);
    let account = lender.account(&budget("anchor")).expect("configured");
    assert_eq!(account.available(MINUTE), 2);
}

/// Guards against a host that missed its removal and spends a share that other hosts took over.
#[test]
fn a_host_that_missed_its_removal_starts_without_a_share() {
    let ledger = settled_ledger("a", Limit::rate(64.0, 64));
    let account = ledger.account(&budget("anchor")).expect("configured");
    assert_eq!(take_all(&account, MINUTE), 32);
    ledger.reset(MINUTE * 2, 3);
    ledger.set_members(MINUTE * 2, &hosts(&["a", "b"]), 3);
    assert_eq!(take_all(&account, MINUTE * 3), 0);
    ledger.mark_in_force(MINUTE * 3, 3);
    assert_eq!(take_all(&account, MINUTE * 4), 32);
}

/// Guards against a limit that is removed and added again while loans of its earlier version have
/// not ended: its tokens must not be available before the change has settled.
#[test]
fn a_removed_limit_comes_back_without_tokens() {
    let ledger = settled_ledger("a", Limit::rate(64.0, 64));
    let account = ledger.account(&budget("anchor")).expect("configured");
    ledger.configure(MINUTE, &[], 2);
    ledger.configure(MINUTE, &[(budget("anchor"), Limit::rate(64.0, 64))], 3);
    assert_eq!(take_all(&account, MINUTE * 2), 0);
    ledger.mark_in_force(MINUTE * 2, 3);
    assert_eq!(take_all(&account, MINUTE * 3), 32);
}

/// Guards against a division that leaves wanted slots unused or gives a workspace with a small
/// demand less than its fair share.
#[test]
fn slot_shares_are_max_min_fair() {
    assert_eq!(fair::shares(10, &[2, 8, 8]), [2, 4, 4]);
    assert_eq!(fair::shares(10, &[20, 1, 20]), [4, 1, 5]);
    assert_eq!(fair::shares(10, &[3, 3]), [3, 3]);
    assert_eq!(fair::shares(2, &[5, 5, 5]), [0, 1, 1]);
    assert_eq!(fair::shares(2, &[]), [0; 0]);
}

/// Guards against a workspace with a large demand that takes the last slots, to which a workspace
/// below its fair share is entitled.
#[test]
fn a_workspace_above_its_fair_share_is_refused_first() {
    let demand = |used, wanted| fair::Demand { used, wanted };
    let contended = [demand(7, 30), demand(1, 3)];
    assert!(!fair::admits(10, &contended, 0));
    assert!(fair::admits(10, &contended, 1));
    let uncontended = [demand(7, 30), demand(0, 0)];
    assert!(fair::admits(10, &uncontended, 0));
    assert!(!fair::admits(7, &uncontended, 1), "no slot is free");
}

/// Guards against a limit of a new service that waits for a change of members made before it, and
/// against opening an account again that already exists.
#[test]
fn a_limit_written_after_the_members_is_spent_at_once() {
    let ledger = Ledger::new(Arc::from("a"), 1, Policy::Lending);
    let limit = Limit::rate(640.0, 320);
    ledger.set_members(MINUTE, &hosts(&["a", "b"]), 1);
    ledger.configure(MINUTE, &[(budget("old"), limit)], 2);
    ledger.open_accounts(MINUTE, &[(budget("old"), limit), (budget("new"), limit)]);
    let account = |name| ledger.account(&budget(name)).expect("an account");
    assert_eq!(take_all(&account("new"), MINUTE * 2), 160);
    assert_eq!(take_all(&account("old"), MINUTE * 2), 0);
}

/// Guards against an overflow at the largest cross-region limit that a document may set, when
/// tokens are lent and taken after a day without traffic.
#[test]
fn large_byte_budgets_do_not_overflow() {
    let day = MINUTE * 60 * 24;
    let largest = 1_u64 << 40;
    let ledger = settled_ledger("a", Limit::rate(largest as f64, largest));
    let account = ledger.account(&budget("anchor")).expect("configured");
    let request =
        LoanRequest { id: 1, budget: budget("anchor"), wanted: largest / 4, rate_wanted: u64::MAX };
    let loan = ledger.lend(day, &Arc::from("b"), &request);
    assert!(loan.tokens >= largest / 4 && loan.tokens <= largest / 2);
    assert_eq!(account.available(day), largest / 2 - loan.tokens);
    assert_eq!(account.take(day, largest / 2 - loan.tokens), Ok(()));
    assert_eq!(account.take(day, 1), Err(Shortfall { missing: 1 }));
}
