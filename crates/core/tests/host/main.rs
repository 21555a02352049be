//! Tests of the properties in docs/design.md §3 and §5, with a fleet of hosts in virtual time.

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

/// Longest time in milliseconds for which an isolated host may stay current.
const CURRENCY_MS: u64 = 3000;

/// Sends a new document to node `index`, expects that it is accepted and returns its revision.
fn expect_accepted(fleet: &mut Fleet, index: usize, service: &str) -> u64 {
    let edit = fleet.edit(index, service, 0, SPENT_RATE);
    fleet.run_ms(4500);
    match fleet.edit_outcome(edit) {
        Some(EditOutcome::Accepted { revision }) => *revision,
        other => panic!("the edit ended as {other:?}"),
    }
}

/// Cuts node `index` off from the store and from all nodes that are not isolated.
fn isolate(fleet: &mut Fleet, index: usize) {
    fleet.nodes[index].partition = 1;
    fleet.nodes[index].reaches_store = false;
}

/// Kills the first `count` nodes and returns their indexes.
fn kill_first(fleet: &mut Fleet, count: usize) -> BTreeSet<usize> {
    let killed = 0..count;
    killed.clone().for_each(|index| fleet.nodes[index].alive = false);
    killed.collect()
}

/// Guards against a fleet that cannot form with an empty store, for instance because concurrent
/// joins conflict over and over.
#[test]
fn a_fleet_forms_from_an_empty_store() {
    let mut fleet = Fleet::formed(1, HOSTS);
    assert_eq!(fleet.current_hosts().len(), HOSTS);
    let edit = fleet.edit(3, "signing", 0, 10);
    fleet.run_ms(500);
    assert!(matches!(fleet.edit_outcome(edit), Some(EditOutcome::Accepted { .. })));
    let known = |node: &fleet::Node| node.host.documents()["signing"].revision;
    let revisions: BTreeSet<u64> = fleet.nodes.iter().map(known).collect();
    assert_eq!(revisions.len(), 1);
}

/// Guards against an isolated host that stays current and goes on to honour keys that were
/// withdrawn meanwhile.
#[test]
fn an_isolated_host_stops_and_recovers() {
    let mut fleet = Fleet::formed(2, HOSTS);
    isolate(&mut fleet, 0);
    fleet.run_ms(CURRENCY_MS);
    assert_eq!(fleet.current_hosts().len(), HOSTS - 1);
    let edit = fleet.edit(0, "signing", 0, 10);
    let revision = expect_accepted(&mut fleet, 1, "signing");
    assert_eq!(fleet.edit_outcome(edit), Some(&EditOutcome::Unavailable));
    assert_eq!(fleet.nodes[1].host.members().len(), HOSTS - 1);
    fleet.nodes[0].partition = 0;
    fleet.nodes[0].reaches_store = true;
    fleet.run_ms(3000);
    assert!(fleet.nodes[0].host.catalog().revision() >= revision);
    assert_eq!(fleet.nodes[0].host.members().len(), HOSTS);
    assert_eq!(fleet.current_hosts().len(), HOSTS);
}

/// Guards against a store outage that stops connected hosts, and against a host that becomes a
/// member or has a share when it starts during the outage.
#[test]
fn connected_hosts_stay_current_without_the_store() {
    let mut fleet = Fleet::formed(3, HOSTS);
    let revision = expect_accepted(&mut fleet, 0, "signing");
    fleet.store.up = false;
    fleet.loss_percent = 5;
    for _ in 0..300 {
        fleet.run_ms(200);
        assert_eq!(fleet.current_hosts().len(), HOSTS);
    }
    fleet.start(0);
    let edit = fleet.edit(1, "uploads", 0, 10);
    fleet.run_ms(5000);
    assert_eq!(fleet.edit_outcome(edit), Some(&EditOutcome::Unknown));
    assert_eq!(fleet.current_hosts().len(), HOSTS, "a guest is current, too");
    assert_eq!(fleet.nodes[0].host.catalog().revision(), revision);
    assert!(!fleet.nodes[0].host.is_member());
    fleet.run_ms(10_000);
    let ledger = fleet.nodes[0].host.ledger();
    let account = ledger.account(&fleet::budget("signing")).unwrap();
    assert_eq!(account.available(fleet.nodes[0].local_time(fleet.now)), 0);
    kill_first(&mut fleet, 4);
    fleet.run_ms(CURRENCY_MS + 100);
    assert_eq!(fleet.current_hosts(), [], "half of the members are no majority");
}

/// Guards against confirmations by members when the setting allows only the store to confirm.
#[test]
fn only_the_store_confirms_if_so_configured() {
    let mut fleet = Fleet::new(4, 0);
    fleet.source = CurrencySource::Store;
    (0..HOSTS).for_each(|index| fleet.start(index));
    fleet.run_ms(6000);
    assert_eq!(fleet.current_hosts().len(), HOSTS);
    fleet.store.up = false;
    fleet.run_ms(CURRENCY_MS);
    assert_eq!(fleet.current_hosts(), []);
}

/// Guards against a host that resumes after a pause and acts on its old configuration, and against
/// a paused host that stays current although another process has taken its name.
#[test]
fn a_paused_host_is_confirmed_before_it_acts() {
    let mut fleet = Fleet::formed(5, HOSTS);
    for index in [6, 7] {
        fleet.nodes[index].paused_until = fleet.now + Duration::from_secs(12);
    }
    fleet.start_as(HOSTS, 7);
    let revision = expect_accepted(&mut fleet, 0, "signing");
    fleet.run_ms(7000);
    assert!(!fleet.current_hosts().contains(&6));
    fleet.run_ms(3000);
    assert!(fleet.nodes[6].host.catalog().revision() >= revision);
    assert!(fleet.current_hosts().contains(&6));
    assert!(fleet.nodes[7].stopped && !fleet.current_hosts().contains(&7));
    assert!(fleet.nodes[HOSTS].host.is_member());
}

/// Guards against concurrent edits of a document of which several or none are accepted, also while
/// answers of the store are lost.
#[test]
fn exactly_one_of_racing_edits_wins() {
    for seed in 10..20 {
        let mut fleet = Fleet::formed(seed, HOSTS);
        fleet.store.lost_answers_percent = (seed % 2) * 40;
        for index in 0..HOSTS {
            fleet.edit(index, "signing", 0, 1 + index as u64);
        }
        fleet.run_ms(5000);
        let ended: Vec<&EditOutcome> =
            (0..HOSTS).filter_map(|edit| fleet.edit_outcome(edit)).collect();
        let won = ended.iter().filter(|e| matches!(e, EditOutcome::Accepted { .. }));
        let lost = ended.iter().filter(|e| matches!(e, EditOutcome::Conflict { .. }));
        let count = (won.count(), lost.count());
        assert_eq!(count, (1, HOSTS - 1), "seed {seed}: {ended:?}");
    }
}

/// Guards against an edit that is reported as failed or written twice because the store's answer to
/// the write was lost.
#[test]
fn a_lost_answer_after_a_write_is_read_back() {
    let mut fleet = Fleet::formed(6, HOSTS);
    fleet.store.lost_answers_percent = 100;
    let edit = fleet.edit(2, "signing", 0, 10);
    fleet.run_ms(1200);
    fleet.store.lost_answers_percent = 0;
    fleet.run_ms(800);
    assert!(matches!(fleet.edit_outcome(edit), Some(EditOutcome::Accepted { .. })));
    let id = fleet.edits[edit].id;
    let writes = fleet.store.log.iter().filter(|(_, write)| write.id == id);
    assert_eq!(writes.count(), 1);
}

/// Guards against a restart of the whole fleet after which no host may change the members, and
/// against hosts that are current before they have read the store.
#[test]
fn a_whole_fleet_restarts() {
    let mut fleet = Fleet::formed(7, HOSTS);
    let revision = expect_accepted(&mut fleet, 0, "signing");
    fleet.store.up = false;
    (0..HOSTS).for_each(|index| fleet.start(index));
    fleet.run_ms(5000);
    assert_eq!(fleet.current_hosts(), [], "no host has read the records");
    fleet.store.up = true;
    fleet.run_ms(8000);
    assert!(fleet.nodes.iter().all(|node| node.host.is_member()));
    let known = &fleet.nodes[5].host.documents()["signing"];
    assert_eq!(known.revision, revision);
    expect_accepted(&mut fleet, 4, "uploads");
}

/// Guards against an edit that is accepted without more than half of the members, and against a
/// fleet that cannot recover once the platform lists the lost members as gone.
#[test]
fn more_than_half_lost_with_the_store_up() {
    let mut fleet = Fleet::formed(8, HOSTS);
    let gone = kill_first(&mut fleet, 5);
    fleet.run_ms(5000);
    assert_eq!(fleet.current_hosts().len(), HOSTS - 5);
    let edit = fleet.edit(6, "signing", 0, 10);
    fleet.run_ms(4200);
    assert!(matches!(fleet.edit_outcome(edit), Some(EditOutcome::NotInForce { .. })));
    fleet.send_host_list(&gone, 0);
    fleet.run_ms(1000);
    assert_eq!(fleet.nodes[6].host.members().len(), HOSTS - 5);
    expect_accepted(&mut fleet, 7, "uploads");
}

/// Guards against confirmations by restarted hosts, which have lost their state: two of the five
/// hosts that hold a change restart and are connected to the three that do not know it.
#[test]
fn restarted_hosts_confirm_nothing() {
    let mut fleet = Fleet::formed(11, HOSTS);
    (5..HOSTS).for_each(|index| isolate(&mut fleet, index));
    let edit = fleet.edit(0, "signing", 0, 10);
    fleet.run_ms(200);
    assert!(matches!(fleet.edit_outcome(edit), Some(EditOutcome::Accepted { .. })));
    fleet.store.up = false;
    for index in [0, 1] {
        fleet.start(index);
        isolate(&mut fleet, index);
    }
    fleet.run_ms(10_000);
    assert_eq!(fleet.current_hosts(), []);
}

/// Guards against a change that counts as in force while an isolated host may still act on the
/// previous one. The time of its last confirmation varies within the heartbeat interval.
#[test]
fn a_change_is_in_force_only_after_every_confirmation() {
    for seed in 0..20 {
        let mut fleet = Fleet::formed(seed, 3);
        fleet.run_ms(30 * seed);
        isolate(&mut fleet, 2);
        expect_accepted(&mut fleet, 0, "signing");
    }
}

/// Guards against a member table that counts as held without more than half of the previous
/// members: the old host 0 and host 2 could confirm each other while the new host 0 and host 1
/// change the members.
#[test]
fn a_table_is_held_by_the_one_before_too() {
    let mut fleet = Fleet::formed(12, 3);
    fleet.start_as(3, 0);
    while fleet.nodes[3].host.held_revision() == 0 {
        fleet.run_ms(1);
    }
    isolate(&mut fleet, 0);
    isolate(&mut fleet, 2);
    fleet.run_ms(2000);
    assert!(fleet.nodes[3].host.is_member());
    let edit = fleet.edit(3, "signing", 0, 10);
    fleet.run_ms(4200);
    assert!(matches!(fleet.edit_outcome(edit), Some(EditOutcome::NotInForce { .. })));
    assert_eq!(fleet.current_hosts().len(), 4);
}

/// Guards against a minority that grows into a majority by one join after another, while the other
/// hosts confirm each other by the first member table.
#[test]
fn a_minority_cannot_outgrow_the_others() {
    let mut fleet = Fleet::formed(13, HOSTS);
    (3..HOSTS).for_each(|index| isolate(&mut fleet, index));
    (HOSTS..2 * HOSTS).for_each(|index| fleet.start(index));
    fleet.run_ms(10_000);
    let edit = fleet.edit(0, "signing", 0, 10);
    fleet.run_ms(4200);
    assert!(matches!(fleet.edit_outcome(edit), Some(EditOutcome::NotInForce { .. })));
    assert_eq!(fleet.current_hosts().len(), 2 * HOSTS);
}

/// Guards against a leaving host that stays a member or in lookup answers, and against a fleet
/// that cannot stop as a whole or start again afterwards.
#[test]
fn hosts_leave_gracefully() {
    let mut fleet = Fleet::formed(9, 3);
    fleet.send_event(0, Event::Drain);
    fleet.run_ms(200);
    assert!(!fleet.nodes[0].stopped);
    assert_eq!(fleet.nodes[2].host.serving_members().count(), 2);
    fleet.send_event(0, Event::Leave);
    fleet.run_ms(2000);
    assert!(fleet.nodes[0].stopped);
    assert_eq!(fleet.nodes[2].host.members().len(), 2);
    (1..3).for_each(|index| fleet.send_event(index, Event::Leave));
    fleet.run_ms(10_000);
    assert!(fleet.nodes.iter().all(|node| node.stopped));
    (0..3).for_each(|index| fleet.start(index));
    fleet.run_ms(6000);
    assert!(fleet.nodes.iter().all(|node| node.host.is_member()));
    expect_accepted(&mut fleet, 1, "signing");
}

/// Guards against a `members` record that exceeds the largest value of the store, and against a
/// table that is dropped from it without a trace.
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

/// Guards against limits from documents or the list of backend servers that do not reach the
/// ledgers, shares that add up to more than the limit, and loans that do not reach the request
/// path.
#[test]
fn limits_become_shares_and_loans() {
    let mut fleet = Fleet::new(15, 4);
    fleet.run_ms(1500);
    fleet.edit(0, "signing", 0, SPENT_RATE);
    fleet.send_host_list(&BTreeSet::new(), 3);
    fleet.run_ms(3000);
    let budget = fleet::budget("signing");
    // The document was written after the joins, so its limits need not wait until those have
    // settled.
    assert_eq!(total_available(&fleet, &budget), SPENT_RATE);
    fleet.run_ms(30_000);
    let region = Budget::Region { service: Arc::from("signing"), region: Arc::from("ee-north") };
    // 3 backend servers with 7 slots each, less the default headroom of 20%.
    assert_eq!(total_available(&fleet, &region), 16);
    assert_eq!(total_available(&fleet, &budget), SPENT_RATE);
    let account = fleet.nodes[0].host.ledger().account(&budget).unwrap();
    let local = fleet.nodes[0].local_time(fleet.now);
    account.take(local, account.available(local)).unwrap();
    fleet.request_tokens(0, "signing");
    fleet.run_ms(90);
    assert!(fleet.nodes[0].reported.contains(&Action::WakeBorrowers(budget)));
    assert!(account.available(fleet.nodes[0].local_time(fleet.now)) > 0);
}

fn total_available(fleet: &Fleet, budget: &Budget) -> u64 {
    let available = |node: &fleet::Node| {
        let account = node.host.ledger().account(budget);
        account.map_or(0, |account| account.available(node.local_time(fleet.now)))
    };
    fleet.nodes.iter().map(available).sum()
}

/// Guards against a host that keeps its share after it missed a member table without it: the other
/// hosts may have spent that share.
#[test]
fn a_host_that_missed_a_table_loses_its_share() {
    let mut fleet = Fleet::formed(18, 1);
    expect_accepted(&mut fleet, 0, "signing");
    fleet.run_ms(5000);
    let budget = fleet::budget("signing");
    assert_eq!(total_available(&fleet, &budget), SPENT_RATE);
    let member = fleet.nodes[0].member.clone();
    let others =
        |roster: Roster, at| roster.without_members(std::slice::from_ref(&member.host), at, TICK);
    fleet.store.change_members(others);
    fleet.store.change_members(|roster, at| roster.with_member(&member, at, TICK));
    fleet.run_ms(2500);
    assert!(fleet.nodes[0].host.is_member());
    assert_eq!(total_available(&fleet, &budget), 0);
}

/// Guards against claims that are granted twice, refused needlessly, or lost when one of the hosts
/// that keep their records dies and another leaves.
#[test]
fn claims_outlive_their_holders() {
    let mut fleet = Fleet::formed(17, 5);
    fleet.run_ms(5000);
    (0..20).for_each(|key| fleet.claim(0, key));
    fleet.run_ms(1000);
    assert_eq!(count_verdicts(&fleet, 0, &Verdict::Granted), 20);
    fleet.nodes[4].alive = false;
    fleet.send_event(3, Event::Leave);
    fleet.run_ms(15_000);
    assert!(fleet.nodes[3].stopped);
    (0..20).for_each(|key| fleet.claim(1, key));
    fleet.run_ms(1000);
    assert_eq!(count_verdicts(&fleet, 1, &Verdict::Running), 20);
}

fn count_verdicts(fleet: &Fleet, index: usize, expected: &Verdict) -> usize {
    let reported = fleet.nodes[index].reported.iter();
    reported
        .filter(
            |action| matches!(action, Action::ReportClaim { verdict, .. } if verdict == expected),
        )
        .count()
}

/// Guards against a starting host that uses the weights of the document at once although a shift of
/// the weights is in progress.
#[test]
fn a_starting_host_gets_the_weights_of_a_peer() {
    let mut fleet = Fleet::formed(16, 3);
    let weights = vec![ServiceWeights {
        service: Arc::from("signing"),
        regions: vec![(Arc::from("ee-north"), 0.25)],
    }];
    fleet.send_event(1, Event::OwnWeights(weights.clone()));
    fleet.start(0);
    fleet.run_ms(1000);
    let weights = Action::AdoptWeights(weights);
    assert!(fleet.nodes[0].reported.contains(&weights));
    assert!(!fleet.nodes[1].reported.contains(&weights));
}
