//! Properties of docs/design.md §3 and §5 in virtual time.

mod faults;
mod fleet;
mod store;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use fleet::{Fleet, HOSTS, SPENT_RATE, TICK};
use marjorampick_core::{
    budget::Budget,
    claim::Verdict,
    constants::EARLIER_TABLES_LIMIT,
    host::{
        CurrencySource,
        event::{Action, EditOutcome, Event},
    },
    member::roster::Roster,
    message::ServiceWeights,
};

/// Longest time for which a host may be current after it was cut off.
const CURRENCY_MS: u64 = 3000;

/// Expects that a new document is accepted from node `index`.
fn accept(fleet: &mut Fleet, index: usize, service: &str) -> u64 {
    let edit = fleet.edit(index, service, 0, SPENT_RATE);
    fleet.run_ms(4500);
    match fleet.ended(edit) {
        Some(EditOutcome::Accepted { revision }) => *revision,
        other => panic!("the edit ended as {other:?}"),
    }
}

fn cut_off(fleet: &mut Fleet, index: usize) {
    fleet.nodes[index].group = 1;
    fleet.nodes[index].sees_store = false;
}

fn kill(fleet: &mut Fleet, count: usize) -> BTreeSet<usize> {
    let killed = 0..count;
    killed.clone().for_each(|index| fleet.nodes[index].alive = false);
    killed.collect()
}

/// Guards against a fleet that cannot start from an empty store, and joins that collide forever.
#[test]
fn a_fleet_forms_from_nothing() {
    let mut fleet = Fleet::formed(1, HOSTS);
    assert_eq!(fleet.current().len(), HOSTS);
    let edit = fleet.edit(3, "signing", 0, 10);
    fleet.run_ms(500);
    assert!(matches!(fleet.ended(edit), Some(EditOutcome::Accepted { .. })));
    let known = |node: &fleet::Node| node.host.documents()["signing"].revision;
    let revisions: BTreeSet<u64> = fleet.nodes.iter().map(known).collect();
    assert_eq!(revisions.len(), 1);
}

/// Guards against a host that honours keys which were withdrawn behind its back.
#[test]
fn a_cut_off_host_stops_and_comes_back() {
    let mut fleet = Fleet::formed(2, HOSTS);
    cut_off(&mut fleet, 0);
    fleet.run_ms(CURRENCY_MS);
    assert_eq!(fleet.current().len(), HOSTS - 1);
    let edit = fleet.edit(0, "signing", 0, 10);
    let revision = accept(&mut fleet, 1, "signing");
    assert_eq!(fleet.ended(edit), Some(&EditOutcome::Unavailable));
    assert_eq!(fleet.nodes[1].host.members().len(), HOSTS - 1);
    fleet.nodes[0].group = 0;
    fleet.nodes[0].sees_store = true;
    fleet.run_ms(3000);
    assert!(fleet.nodes[0].host.catalog().revision() >= revision);
    assert_eq!(fleet.nodes[0].host.members().len(), HOSTS);
    assert_eq!(fleet.current().len(), HOSTS);
}

/// Guards against a fleet that stops with the store, and a starting host that becomes a member
/// then.
#[test]
fn connected_hosts_outlast_the_store() {
    let mut fleet = Fleet::formed(3, HOSTS);
    let revision = accept(&mut fleet, 0, "signing");
    fleet.store.up = false;
    fleet.loss = 5;
    for _ in 0..300 {
        fleet.run_ms(200);
        assert_eq!(fleet.current().len(), HOSTS);
    }
    fleet.start(0);
    let edit = fleet.edit(1, "uploads", 0, 10);
    fleet.run_ms(5000);
    assert_eq!(fleet.ended(edit), Some(&EditOutcome::Unknown));
    assert_eq!(fleet.current().len(), HOSTS, "a guest is current, too");
    assert_eq!(fleet.nodes[0].host.catalog().revision(), revision);
    assert!(!fleet.nodes[0].host.is_member());
    fleet.run_ms(10_000);
    let ledger = fleet.nodes[0].host.ledger();
    let account = ledger.account(&fleet::budget("signing")).unwrap();
    assert_eq!(account.available(fleet.nodes[0].local(fleet.now)), 0);
    kill(&mut fleet, 4);
    fleet.run_ms(CURRENCY_MS + 100);
    assert_eq!(fleet.current(), [], "half of the members are no evidence");
}

/// Guards against members that confirm a host which is set to rely on the store only.
#[test]
fn the_store_alone_confirms_if_set() {
    let mut fleet = Fleet::new(4, 0);
    fleet.source = CurrencySource::Store;
    (0..HOSTS).for_each(|index| fleet.start(index));
    fleet.run_ms(6000);
    assert_eq!(fleet.current().len(), HOSTS);
    fleet.store.up = false;
    fleet.run_ms(CURRENCY_MS);
    assert_eq!(fleet.current(), []);
}

/// Guards against a paused host that acts on what it knew before, and one that was replaced.
#[test]
fn a_paused_host_is_confirmed_before_it_acts() {
    let mut fleet = Fleet::formed(5, HOSTS);
    for index in [6, 7] {
        fleet.nodes[index].paused_until = fleet.now + Duration::from_secs(12);
    }
    fleet.start_as(HOSTS, 7);
    let revision = accept(&mut fleet, 0, "signing");
    fleet.run_ms(7000);
    assert!(!fleet.current().contains(&6));
    fleet.run_ms(3000);
    assert!(fleet.nodes[6].host.catalog().revision() >= revision);
    assert!(fleet.current().contains(&6));
    assert!(fleet.nodes[7].left && !fleet.current().contains(&7));
    assert!(fleet.nodes[HOSTS].host.is_member());
}

/// Guards against two winners of a race, and against a race without one.
#[test]
fn exactly_one_of_racing_edits_wins() {
    for seed in 10..20 {
        let mut fleet = Fleet::formed(seed, HOSTS);
        fleet.store.lost_answers = (seed % 2) * 40;
        for index in 0..HOSTS {
            fleet.edit(index, "signing", 0, 1 + index as u64);
        }
        fleet.run_ms(5000);
        let ended: Vec<&EditOutcome> = (0..HOSTS).filter_map(|edit| fleet.ended(edit)).collect();
        let won = ended.iter().filter(|e| matches!(e, EditOutcome::Accepted { .. }));
        let lost = ended.iter().filter(|e| matches!(e, EditOutcome::Conflict { .. }));
        let count = (won.count(), lost.count());
        assert_eq!(count, (1, HOSTS - 1), "seed {seed}: {ended:?}");
    }
}

/// Guards against an edit that is reported as failed, or written twice, because an answer was lost.
#[test]
fn a_lost_answer_after_a_write_is_read_back() {
    let mut fleet = Fleet::formed(6, HOSTS);
    fleet.store.lost_answers = 100;
    let edit = fleet.edit(2, "signing", 0, 10);
    fleet.run_ms(1200);
    fleet.store.lost_answers = 0;
    fleet.run_ms(800);
    assert!(matches!(fleet.ended(edit), Some(EditOutcome::Accepted { .. })));
    let id = fleet.edits[edit].id;
    let writes = fleet.store.log.iter().filter(|(_, write)| write.id == id);
    assert_eq!(writes.count(), 1);
}

/// Guards against a restart of all hosts after which nobody may change the members.
#[test]
fn a_whole_fleet_restarts() {
    let mut fleet = Fleet::formed(7, HOSTS);
    let revision = accept(&mut fleet, 0, "signing");
    fleet.store.up = false;
    (0..HOSTS).for_each(|index| fleet.start(index));
    fleet.run_ms(5000);
    assert_eq!(fleet.current(), [], "nobody knows the chain");
    fleet.store.up = true;
    fleet.run_ms(8000);
    assert!(fleet.nodes.iter().all(|node| node.host.is_member()));
    let known = &fleet.nodes[5].host.documents()["signing"];
    assert_eq!(known.revision, revision);
    accept(&mut fleet, 4, "uploads");
}

/// Guards against an acceptance without more than half, and a fleet that stays blocked for good.
#[test]
fn more_than_half_lost_with_the_store_up() {
    let mut fleet = Fleet::formed(8, HOSTS);
    let gone = kill(&mut fleet, 5);
    fleet.run_ms(5000);
    assert_eq!(fleet.current().len(), HOSTS - 5);
    let edit = fleet.edit(6, "signing", 0, 10);
    fleet.run_ms(4200);
    assert!(matches!(fleet.ended(edit), Some(EditOutcome::NotInForce { .. })));
    fleet.list(&gone, 0);
    fleet.run_ms(1000);
    assert_eq!(fleet.nodes[6].host.members().len(), HOSTS - 5);
    accept(&mut fleet, 7, "uploads");
}

/// Guards against confirmations by hosts that restarted and so forgot what they had: two of the
/// five holders of a change restart next to the three that do not know it.
#[test]
fn restarted_hosts_confirm_nothing() {
    let mut fleet = Fleet::formed(11, HOSTS);
    (5..HOSTS).for_each(|index| cut_off(&mut fleet, index));
    let edit = fleet.edit(0, "signing", 0, 10);
    fleet.run_ms(200);
    assert!(matches!(fleet.ended(edit), Some(EditOutcome::Accepted { .. })));
    fleet.store.up = false;
    for index in [0, 1] {
        fleet.start(index);
        cut_off(&mut fleet, index);
    }
    fleet.run_ms(10_000);
    assert_eq!(fleet.current(), []);
}

/// Guards against a change that counts as in force while a host may still act on the one before:
/// the cut-off host was confirmed at any time within the heartbeat interval before the change.
#[test]
fn a_change_is_in_force_only_after_every_confirmation() {
    for seed in 0..20 {
        let mut fleet = Fleet::formed(seed, 3);
        fleet.run_ms(30 * seed);
        cut_off(&mut fleet, 2);
        accept(&mut fleet, 0, "signing");
    }
}

/// Guards against a table that is held by its own members only: the old host 0 and host 2 can
/// confirm each other while the new host 0 and host 1 change the members.
#[test]
fn a_table_is_held_by_the_one_before_too() {
    let mut fleet = Fleet::formed(12, 3);
    fleet.start_as(3, 0);
    while fleet.nodes[3].host.held_revision() == 0 {
        fleet.run_ms(1);
    }
    cut_off(&mut fleet, 0);
    cut_off(&mut fleet, 2);
    fleet.run_ms(2000);
    assert!(fleet.nodes[3].host.is_member());
    let edit = fleet.edit(3, "signing", 0, 10);
    fleet.run_ms(4200);
    assert!(matches!(fleet.ended(edit), Some(EditOutcome::NotInForce { .. })));
    assert_eq!(fleet.current().len(), 4);
}

/// Guards against a minority that becomes a majority by one join after the other, while the others
/// confirm each other by the first table.
#[test]
fn a_minority_cannot_outgrow_the_others() {
    let mut fleet = Fleet::formed(13, HOSTS);
    (3..HOSTS).for_each(|index| cut_off(&mut fleet, index));
    (HOSTS..2 * HOSTS).for_each(|index| fleet.start(index));
    fleet.run_ms(10_000);
    let edit = fleet.edit(0, "signing", 0, 10);
    fleet.run_ms(4200);
    assert!(matches!(fleet.ended(edit), Some(EditOutcome::NotInForce { .. })));
    assert_eq!(fleet.current().len(), 2 * HOSTS);
}

/// Guards against a leaving host that stays a member or is still named in look-ups, and a fleet
/// that cannot stop as a whole or start again afterwards.
#[test]
fn hosts_leave_gracefully() {
    let mut fleet = Fleet::formed(9, 3);
    fleet.give(0, Event::Drain);
    fleet.run_ms(200);
    assert!(!fleet.nodes[0].left);
    assert_eq!(fleet.nodes[2].host.serving_members().count(), 2);
    fleet.give(0, Event::Leave);
    fleet.run_ms(2000);
    assert!(fleet.nodes[0].left);
    assert_eq!(fleet.nodes[2].host.members().len(), 2);
    (1..3).for_each(|index| fleet.give(index, Event::Leave));
    fleet.run_ms(10_000);
    assert!(fleet.nodes.iter().all(|node| node.left));
    (0..3).for_each(|index| fleet.start(index));
    fleet.run_ms(6000);
    assert!(fleet.nodes.iter().all(|node| node.host.is_member()));
    accept(&mut fleet, 1, "signing");
}

/// Guards against a record that outgrows the largest value of the store, and against a gap in the
/// earlier tables that nobody can see.
#[test]
fn earlier_tables_are_bounded() {
    let member = Fleet::new(0, 1).nodes[0].member.clone();
    let minute = Duration::from_secs(60);
    let changed = |roster: Roster, revision| match revision % 2 {
        0 => roster.with_member(&member, revision, minute / 4),
        _ => roster.without_members(std::slice::from_ref(&member.host), revision, minute / 4),
    };
    let roster = (0..40).fold(Roster::default(), changed);
    assert_eq!(roster.earlier.len(), EARLIER_TABLES_LIMIT);
    assert_eq!(roster.earlier[31].ended_ms, 31 * 15_000);
    assert_eq!(roster.dropped_ms, Some(32 * 15_000));
    let text = roster.to_text().unwrap();
    assert_eq!(Roster::parse(&text), Ok(roster.clone()));
    let later = roster.with_member(&member, 40, minute * 16);
    assert_eq!((later.earlier.len(), later.dropped_ms), (1, None));
}

/// Guards against limits of documents and of the list of backend servers that do not reach the
/// ledgers, shares that add up to more, and loans that get lost between request path and peers.
#[test]
fn limits_become_shares_and_loans() {
    let mut fleet = Fleet::new(15, 4);
    fleet.run_ms(1500);
    fleet.edit(0, "signing", 0, SPENT_RATE);
    fleet.list(&BTreeSet::new(), 3);
    fleet.run_ms(3000);
    let budget = fleet::budget("signing");
    // The document follows the joins in the chain, so that its limits need not wait for them.
    assert_eq!(available(&fleet, &budget), SPENT_RATE);
    fleet.run_ms(30_000);
    let region = Budget::Region { service: Arc::from("signing"), region: Arc::from("ee-north") };
    // 3 backend servers with 7 slots each, less the default headroom of 20 %.
    assert_eq!(available(&fleet, &region), 16);
    assert_eq!(available(&fleet, &budget), SPENT_RATE);
    let account = fleet.nodes[0].host.ledger().account(&budget).unwrap();
    let local = fleet.nodes[0].local(fleet.now);
    account.take(local, account.available(local)).unwrap();
    fleet.lack(0, "signing");
    fleet.run_ms(90);
    assert!(fleet.nodes[0].told.contains(&Action::WakeBorrowers(budget)));
    assert!(account.available(fleet.nodes[0].local(fleet.now)) > 0);
}

fn available(fleet: &Fleet, budget: &Budget) -> u64 {
    let available = |node: &fleet::Node| {
        let account = node.host.ledger().account(budget);
        account.map_or(0, |account| account.available(node.local(fleet.now)))
    };
    fleet.nodes.iter().map(available).sum()
}

/// Guards against a host that goes on with its share after it missed a table without it: others may
/// have taken the share over.
#[test]
fn a_missed_table_costs_the_share() {
    let mut fleet = Fleet::formed(18, 1);
    accept(&mut fleet, 0, "signing");
    fleet.run_ms(5000);
    let budget = fleet::budget("signing");
    assert_eq!(available(&fleet, &budget), SPENT_RATE);
    let member = fleet.nodes[0].member.clone();
    let others =
        |roster: Roster, at| roster.without_members(std::slice::from_ref(&member.host), at, TICK);
    fleet.store.change_members(others);
    fleet.store.change_members(|roster, at| roster.with_member(&member, at, TICK));
    fleet.run_ms(2500);
    assert!(fleet.nodes[0].host.is_member());
    assert_eq!(available(&fleet, &budget), 0);
}

/// Guards against claims that are granted twice, refused without need, or lost when one holder dies
/// and another leaves.
#[test]
fn claims_outlive_their_holders() {
    let mut fleet = Fleet::formed(17, 5);
    fleet.run_ms(5000);
    (0..20).for_each(|key| fleet.claim(0, key));
    fleet.run_ms(1000);
    assert_eq!(verdicts(&fleet, 0, &Verdict::Granted), 20);
    fleet.nodes[4].alive = false;
    fleet.give(3, Event::Leave);
    fleet.run_ms(15_000);
    assert!(fleet.nodes[3].left);
    (0..20).for_each(|key| fleet.claim(1, key));
    fleet.run_ms(1000);
    assert_eq!(verdicts(&fleet, 1, &Verdict::Running), 20);
}

fn verdicts(fleet: &Fleet, index: usize, expected: &Verdict) -> usize {
    let told = fleet.nodes[index].told.iter();
    told.filter(|told| matches!(told, Action::ReportClaim { verdict, .. } if verdict == expected))
        .count()
}

/// Guards against a starting host that jumps to the document's weights while a shift is in
/// progress.
#[test]
fn a_starting_host_gets_the_weights_of_a_peer() {
    let mut fleet = Fleet::formed(16, 3);
    let weights = vec![ServiceWeights {
        service: Arc::from("signing"),
        regions: vec![(Arc::from("ee-north"), 0.25)],
    }];
    fleet.give(1, Event::OwnWeights(weights.clone()));
    fleet.start(0);
    fleet.run_ms(1000);
    let weights = Action::AdoptWeights(weights);
    assert!(fleet.nodes[0].told.contains(&weights));
    assert!(!fleet.nodes[1].told.contains(&weights));
}
