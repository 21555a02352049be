//! Tests of the decisions, without a network but in [`answer`] and [`presence`].

mod answer;
mod presence;

use std::{net::IpAddr, sync::Arc, time::Duration};

use super::{
    budget::{Budget, Machine},
    buffer::Buffer,
    connections::{Cause, Phase, Table, Times, Verdict, View, overdue},
    ledger::{Ledger, Owner, SMALL_BYTES},
    pace::Pace,
};

const MIB: usize = 1024 * 1024;

fn owner(host: u8, workspace: Option<&str>) -> Owner {
    Owner::new(Some(IpAddr::from([127, 0, 0, host])), workspace.map(Arc::from))
}

/// Guards against parts that exceed the memory together, or in which the largest legal body does not fit.
#[test]
fn the_parts_fit_the_machine_and_the_largest_body_fits_its_part() {
    for memory_bytes in [32_000_000, 112_000_000, 160_000_000, 512_000_000, 64_000_000_000] {
        let machine = Machine { memory_bytes, descriptors: 2870, limits_address_space: false };
        let budget = Budget::new(machine);
        let parts = budget.body_bytes() + budget.connection_bytes() + budget.response_bytes();
        assert!(parts < memory_bytes - memory_bytes.min(80_000_000) / 2, "{budget:?}");
        assert!(budget.connections() < 2870 - 200, "{budget:?}");
        if memory_bytes >= 112_000_000 {
            let mut ledger = Ledger::new(budget.body_bytes());
            ledger.reserve(&owner(1, Some("a")), 0, 16 * MIB).unwrap();
        }
    }
}

/// Guards against one address or workspace that takes all of the memory, so that the others find none.
#[test]
fn who_holds_more_than_a_share_is_refused_first() {
    for crowd in [owner(1, None), owner(1, Some("large"))] {
        let mut ledger = Ledger::new(64 * MIB);
        while ledger.reserve(&crowd, MIB, MIB).is_ok() {}
        while ledger.reserve(&crowd, 0, 1024).is_ok() {}
        assert!(ledger.used_bytes() >= 48 * MIB);
        for other in 2..10 {
            let other = owner(other, Some("small"));
            ledger.reserve(&other, 0, SMALL_BYTES / 2).unwrap();
        }
        ledger.reserve(&owner(20, Some("other")), MIB, 2 * MIB).unwrap();
    }
}

/// Guards against a crowd of many addresses whose large bodies leave no room for small ones.
#[test]
fn large_bodies_leave_room_for_small_ones() {
    let mut ledger = Ledger::new(64 * MIB);
    for host in (0..200).cycle().take(1000) {
        ledger.reserve(&owner(host, None), MIB, MIB).ok();
    }
    assert!(ledger.used_bytes() <= 56 * MIB);
    for host in 0..50 {
        ledger.reserve(&owner(host, Some("ordinary")), 0, SMALL_BYTES).unwrap();
    }
}

/// Guards against memory that is counted twice or never returned.
#[test]
fn what_is_reserved_and_released_adds_up() {
    arbtest::arbtest(|input| {
        let mut ledger = Ledger::new(MIB);
        let mut held: Vec<(Owner, usize)> = Vec::new();
        for _ in 0..input.int_in_range(0..=100)? {
            if input.arbitrary()? && !held.is_empty() {
                let (owner, bytes) = held.swap_remove(input.choose_index(held.len())?);
                ledger.release(&owner, bytes);
            } else {
                let workspace = *input.choose(&[None, Some("a"), Some("b")])?;
                let owner = owner(input.int_in_range(0..=3)?, workspace);
                let bytes = input.int_in_range(0..=MIB / 2)?;
                if ledger.reserve(&owner, 0, bytes).is_ok() {
                    held.push((owner, bytes));
                }
            }
            let total: usize = held.iter().map(|(_, bytes)| bytes).sum();
            assert_eq!(ledger.used_bytes(), total);
            assert!(total <= MIB);
        }
        Ok(())
    });
}

/// Guards against bytes that are lost where a body outgrows its storage, and against storage that exceeds
/// what was reserved for it.
#[test]
fn a_buffer_returns_what_was_appended() {
    for announced_bytes in [0, 10, SMALL_BYTES, SMALL_BYTES + 1, 3 * MIB] {
        let mut buffer = Buffer::new(announced_bytes).unwrap();
        let mut expected = Vec::new();
        for number in 0..60_usize {
            let piece = vec![number as u8; number * 997];
            assert!(buffer.bytes_with(piece.len()) >= expected.len() + piece.len());
            buffer.append(&piece).unwrap();
            expected.extend_from_slice(&piece);
        }
        assert_eq!(buffer.into_bytes(), expected);
    }
}

/// Guards against turns that are granted faster than the rate, or saved up without end.
#[test]
fn turns_are_granted_at_their_rate() {
    let mut pace = Pace::new(100, 5);
    let now = Duration::from_secs(1000);
    let waits: Vec<u128> = (0..8).map(|_| pace.take(now).as_millis()).collect();
    assert_eq!(waits, [0, 0, 0, 0, 0, 0, 10, 20]);
    assert_eq!(pace.take(now + Duration::from_secs(60)), Duration::ZERO);
}

fn view(id: u64, host: u8, phase: Phase, bytes: u64, moved_ms: u64) -> View {
    let address = IpAddr::from([127, 0, 0, host]);
    let moved_at = Duration::from_millis(moved_ms);
    View { id, address, phase, since: Duration::ZERO, bytes, moved_at, has_served: false }
}

/// Guards against time limits that cut off an honest slow caller, or let one that trickles bytes stay.
#[test]
fn slow_callers_are_told_from_stalled_ones() {
    let times = Times { head: Duration::from_secs(3), idle: Duration::from_secs(15) };
    let cause = |phase, bytes, moved_ms, now_ms| {
        overdue(&view(1, 1, phase, bytes, moved_ms), Duration::from_millis(now_ms), times)
    };
    assert_eq!(cause(Phase::Head, 900, 2900, 2950), None);
    assert_eq!(cause(Phase::Head, 900, 3400, 3500), Some(Cause::SlowHead));
    // 16 MiB on a link of 1 Mbit/s.
    assert_eq!(cause(Phase::Body, 16 << 20, 134_000, 134_000), None);
    assert_eq!(cause(Phase::Body, 30, 29_900, 30_000), Some(Cause::SlowBody));
    assert_eq!(cause(Phase::Body, 16 << 20, 4_000, 9_500), Some(Cause::SlowBody));
    assert_eq!(cause(Phase::Writing, 100, 29_900, 30_000), Some(Cause::SlowReader));
    assert_eq!(cause(Phase::Writing, 540_000, 29_900, 30_000), None);
    assert_eq!(cause(Phase::Running, 0, 0, 600_000), None);
    assert_eq!(cause(Phase::Idle, 0, 0, 14_000), None);
    assert_eq!(cause(Phase::Idle, 0, 0, 15_500), Some(Cause::Idle));
}

/// Guards against closing a connection whose request runs, or that makes progress, for the sake of another.
#[test]
fn those_with_the_least_progress_are_closed_first() {
    let mut table = Table::new(64);
    (0..20).for_each(|_| table.open(IpAddr::from([127, 0, 0, 1])));
    let mut used = view(5, 2, Phase::Idle, 0, 0);
    used.has_served = true;
    let views = [
        view(1, 2, Phase::Running, 0, 0),
        view(2, 2, Phase::Body, 1000, 9_900),
        view(3, 2, Phase::Head, 10, 1_000),
        view(4, 2, Phase::Idle, 0, 0),
        used,
        view(6, 1, Phase::Idle, 0, 5_000),
    ];
    let now = Duration::from_secs(10);
    let ranked = |eligible: &[u64]| {
        let views = views.into_iter();
        table.victims(views, now, |view| eligible.contains(&view.id))
    };
    assert!(ranked(&[1, 2]).is_empty());
    assert_eq!(ranked(&[1, 2, 3, 4, 5]), [3, 4]);
    assert_eq!(ranked(&[4, 5]), [4, 5]);
}

/// Guards against one address that takes all connections.
#[test]
fn an_address_over_its_share_replaces_only_its_own() {
    let [crowd, other] = [1, 2].map(|host| IpAddr::from([127, 0, 0, host]));
    let mut table = Table::new(100);
    while table.admit(crowd) == Verdict::Accept {
        table.open(crowd);
    }
    assert_eq!(table.count(), 75);
    assert_eq!(table.admit(crowd), Verdict::ReplaceOwn);
    (0..25).for_each(|_| {
        assert_eq!(table.admit(other), Verdict::Accept);
        table.open(other);
    });
    assert_eq!(table.admit(other), Verdict::Replace);
    (0..100).for_each(|_| table.close(crowd));
    assert_eq!(table.admit(crowd), Verdict::Accept);
}
