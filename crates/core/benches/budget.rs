//! Cost of taking tokens and of lending, and of the periodic work by the number of accounts.

use std::{
    hint::black_box,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use marjorampick_core::budget::{Account, Budget, Ledger, Limit, LoanRequest, Policy};

/// Time between two measured loans. A loan has ended by then, as its term is at most 300 ms.
const LOAN_INTERVAL: Duration = Duration::from_millis(400);

fn budget(number: usize) -> Budget {
    Budget::Workspace { service: "signing".into(), workspace: format!("workspace-{number}").into() }
}

/// Ledger of one of eight hosts, with `accounts` settled accounts that never run out of tokens.
fn ledger(accounts: usize) -> Ledger {
    let limit = Limit::rate(1e9, 1_000_000_000);
    let limits: Vec<(Budget, Limit)> =
        (0..accounts).map(|number| (budget(number), limit)).collect();
    let hosts: Vec<Arc<str>> = (0..8).map(|host| format!("host-{host}").into()).collect();
    let ledger = Ledger::new(hosts[0].clone(), 1, Policy::Lending);
    ledger.configure(Duration::ZERO, &limits, 1);
    ledger.set_members(Duration::ZERO, &hosts, 1);
    ledger.mark_in_force(Duration::ZERO, 1);
    ledger
}

fn account(ledger: &Ledger) -> Arc<Account> {
    ledger.account(&budget(0)).expect("configured")
}

fn take(bench: &mut Criterion) {
    let account = account(&ledger(1));
    let start = Instant::now();
    let now = || Duration::from_secs(60) + start.elapsed();
    bench.bench_function("take", |bencher| {
        bencher.iter(|| account.take(now(), black_box(1)));
    });
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            while !stop.load(Ordering::Relaxed) {
                let _ = black_box(account.take(now(), 1));
            }
        });
        bench.bench_function("take while another thread takes", |bencher| {
            bencher.iter(|| account.take(now(), black_box(1)));
        });
        stop.store(true, Ordering::Relaxed);
    });
}

fn lend(bench: &mut Criterion) {
    let ledger = ledger(1);
    let borrower = Arc::from("host-1");
    let mut now = Duration::from_secs(60);
    let mut id = 0;
    bench.bench_function("lend", |bencher| {
        bencher.iter(|| {
            now += LOAN_INTERVAL;
            id += 1;
            let request = LoanRequest { id, budget: budget(0), wanted: 1, rate_wanted: 1_000 };
            ledger.lend(now, &borrower, &request)
        });
    });
}

fn by_accounts(bench: &mut Criterion) {
    let mut group = bench.benchmark_group("by accounts");
    for accounts in [10, 100, 1_000] {
        let ledger = ledger(accounts);
        let mut now = Duration::from_secs(60);
        group.bench_function(BenchmarkId::new("tick", accounts), |bencher| {
            bencher.iter(|| {
                now += Duration::from_millis(100);
                ledger.tick(now)
            });
        });
        group.bench_function(BenchmarkId::new("spare", accounts), |bencher| {
            bencher.iter(|| ledger.spare(now));
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = take, lend, by_accounts
}
criterion_main!(benches);
