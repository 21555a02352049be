use std::{sync::Arc, time::Duration};

use super::{Account, Budget, Ledger, Limit, LoanRequest, LoanReturn, Policy, Shortfall, fair};

fn budget(workspace: &str) -> Budget {
    Budget::Workspace { service: "signing".into(), workspace: workspace.into() }
}

fn hosts(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

fn drain(account: &Account, now: Duration) -> u64 {
    std::iter::from_fn(|| account.take(now, 1).ok()).count() as u64
}

/// Guards against shares that lose the remainder of the division or hand it out twice, for bursts on
/// both sides of every threshold of the division.
#[test]
fn shares_add_up_to_the_limit() {
    let names = hosts(&["a", "b", "c"]);
    let bursts = [1, 7, 31, 32, 33, 64, 95, 96, 97, 400];
    let policy = [Policy::Fixed, Policy::Lending];
    for (burst, policy) in bursts.iter().flat_map(|burst| policy.map(|one| (*burst, one))) {
        let limit = Limit::rate(1e6, burst);
        let taken = names.iter().map(|name| {
            let ledger = Ledger::new(name.clone(), 1, policy);
            ledger.configure(Duration::ZERO, &[(budget("anchor"), limit)], 1);
            ledger.set_members(Duration::ZERO, &names, 1);
            ledger.mark_in_force(Duration::ZERO, 1);
            let account = ledger.account(&budget("anchor")).expect("configured");
            assert_eq!(drain(&account, Duration::from_secs(2)), 0, "unsettled share");
            drain(&account, Duration::from_secs(60))
        });
        assert_eq!(taken.sum::<u64>(), burst);
    }
}

/// Host `name` in a ledger whose members `a` and `b` have settled.
fn settled(name: &str, limit: Limit) -> Ledger {
    let ledger = Ledger::new(name.into(), 1, Policy::Lending);
    ledger.configure(Duration::ZERO, &[(budget("anchor"), limit)], 1);
    ledger.set_members(Duration::ZERO, &hosts(&["a", "b"]), 1);
    ledger.mark_in_force(Duration::ZERO, 1);
    ledger
}

const MINUTE: Duration = Duration::from_secs(60);

/// Guards against a duplicated return of part of a loan that frees slots which are still in use.
#[test]
fn a_duplicated_return_frees_nothing() {
    let limit = Limit::Concurrency { slots: 8, max_duration: Duration::from_secs(10) };
    let lender = settled("a", limit);
    let request = LoanRequest { id: 7, budget: budget("anchor"), wanted: 4, rate_wanted: 0 };
    let borrower = Arc::from("b");
    assert_eq!(lender.lend(MINUTE, &borrower, &request).tokens, 4);
    let part = LoanReturn { id: 7, budget: budget("anchor"), slots: 2 };
    lender.receive_return(MINUTE, &borrower, &part);
    lender.receive_return(MINUTE, &borrower, &part);
    let account = lender.account(&budget("anchor")).expect("configured");
    assert_eq!(account.available(MINUTE), 2);
}

/// Guards against a host that spends the share which other hosts took over while it was cut off.
#[test]
fn a_host_that_missed_its_removal_starts_without_a_share() {
    let ledger = settled("a", Limit::rate(64.0, 64));
    let account = ledger.account(&budget("anchor")).expect("configured");
    assert_eq!(drain(&account, MINUTE), 32);
    ledger.reset(MINUTE * 2, 3);
    ledger.set_members(MINUTE * 2, &hosts(&["a", "b"]), 3);
    assert_eq!(drain(&account, MINUTE * 3), 0);
    ledger.mark_in_force(MINUTE * 3, 3);
    assert_eq!(drain(&account, MINUTE * 4), 32);
}

/// Guards against a limit that comes back while loans under its earlier version still run.
#[test]
fn a_removed_limit_comes_back_without_tokens() {
    let ledger = settled("a", Limit::rate(64.0, 64));
    let account = ledger.account(&budget("anchor")).expect("configured");
    ledger.configure(MINUTE, &[], 2);
    ledger.configure(MINUTE, &[(budget("anchor"), Limit::rate(64.0, 64))], 3);
    assert_eq!(drain(&account, MINUTE * 2), 0);
    ledger.mark_in_force(MINUTE * 2, 3);
    assert_eq!(drain(&account, MINUTE * 3), 32);
}

/// Guards against a division that leaves slots unused or gives a small workspace less than its part.
#[test]
fn slots_are_divided_max_min() {
    assert_eq!(fair::shares(10, &[2, 8, 8]), [2, 4, 4]);
    assert_eq!(fair::shares(10, &[20, 1, 20]), [4, 1, 5]);
    assert_eq!(fair::shares(10, &[3, 3]), [3, 3]);
    assert_eq!(fair::shares(2, &[5, 5, 5]), [0, 1, 1]);
    assert_eq!(fair::shares(2, &[]), [0; 0]);
}

/// Guards against a large workspace that takes the last slots which a small one has a claim to.
#[test]
fn the_workspace_over_its_part_is_refused_first() {
    let demand = |used, wanted| fair::Demand { used, wanted };
    let crowded = [demand(7, 30), demand(1, 3)];
    assert!(!fair::admits(10, &crowded, 0));
    assert!(fair::admits(10, &crowded, 1));
    let alone = [demand(7, 30), demand(0, 0)];
    assert!(fair::admits(10, &alone, 0));
    assert!(!fair::admits(7, &alone, 1), "no slot is free");
}

/// Guards against a new service that waits for a change of members which it follows, and against a
/// host that regards a limit it already has as new.
#[test]
fn a_limit_written_after_the_members_is_spent_at_once() {
    let ledger = Ledger::new(Arc::from("a"), 1, Policy::Lending);
    let limit = Limit::rate(640.0, 320);
    ledger.set_members(MINUTE, &hosts(&["a", "b"]), 1);
    ledger.configure(MINUTE, &[(budget("old"), limit)], 2);
    ledger.open_accounts(MINUTE, &[(budget("old"), limit), (budget("new"), limit)]);
    let open = |name| ledger.account(&budget(name)).expect("an account");
    assert_eq!(drain(&open("new"), MINUTE * 2), 160);
    assert_eq!(drain(&open("old"), MINUTE * 2), 0);
}

/// Guards against an overflow for the largest cross-region volume that a document may state, lent and
/// taken after a day without traffic.
#[test]
fn large_byte_budgets_do_not_overflow() {
    let day = MINUTE * 60 * 24;
    let largest = 1_u64 << 40;
    let ledger = settled("a", Limit::rate(largest as f64, largest));
    let account = ledger.account(&budget("anchor")).expect("configured");
    let request =
        LoanRequest { id: 1, budget: budget("anchor"), wanted: largest / 4, rate_wanted: u64::MAX };
    let loan = ledger.lend(day, &Arc::from("b"), &request);
    assert!(loan.tokens >= largest / 4 && loan.tokens <= largest / 2);
    assert_eq!(account.available(day), largest / 2 - loan.tokens);
    assert_eq!(account.take(day, largest / 2 - loan.tokens), Ok(()));
    assert_eq!(account.take(day, 1), Err(Shortfall { missing: 1 }));
}
