use std::{sync::Arc, time::Duration};

use super::{Account, Budget, Ledger, Limit, Settings};

fn budget(workspace: &str) -> Budget {
    Budget::Workspace {
        service: "signing".into(),
        workspace: workspace.into(),
    }
}

fn hosts(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

fn drain(account: &Account, now: Duration) -> u64 {
    std::iter::from_fn(|| account.take(now, 1).ok()).count() as u64
}

/// Guards against shares that lose the remainder of the division or hand it out twice.
#[test]
fn shares_add_up_to_the_limit() {
    let names = hosts(&["a", "b", "c"]);
    let limit = Limit::rate(10.0, 8);
    let taken: u64 = names
        .iter()
        .map(|name| {
            let ledger = Ledger::new(name.clone(), 1, Settings::Fixed);
            ledger.configure(Duration::ZERO, &[(budget("anchor"), limit)], 1);
            ledger.set_members(Duration::ZERO, &names, 1);
            ledger.in_force(Duration::ZERO, 1);
            let account = ledger.account(&budget("anchor")).expect("configured");
            assert_eq!(
                drain(&account, Duration::from_secs(2)),
                0,
                "unsettled share"
            );
            drain(&account, Duration::from_secs(60))
        })
        .sum();
    assert_eq!(taken, 8);
}
