//! Tests of single rules of the protocol that random schedules reach too rarely.

use super::*;
use crate::rendezvous::Key;

/// A simulation without faults, after every host has received all its records.
fn settled_simulation(domains: usize) -> Simulation {
    let mut simulation = Simulation::new(domains);
    run_steps(&mut simulation, 80);
    simulation
}

fn run_steps(simulation: &mut Simulation, count: usize) {
    let mut none = Unstructured::new(&[]);
    for _ in 0..count {
        simulation.step(&mut none).expect("no random numbers are drawn");
    }
}

/// Requests a claim at a host and returns the verdict after the given number of steps, if any.
fn verdict_after(
    simulation: &mut Simulation,
    index: usize,
    name: &Name,
    count: usize,
) -> Option<Verdict> {
    let mut none = Unstructured::new(&[]);
    let ticket =
        simulation.acquire(&mut none, index, name.clone()).expect("no random numbers are drawn");
    run_steps(simulation, count);
    simulation.verdicts.get(&ticket).cloned()
}

fn complete(simulation: &mut Simulation, index: usize, name: &Name, state: Option<State>) {
    let mut none = Unstructured::new(&[]);
    simulation.complete(&mut none, index, name, state).expect("no random numbers are drawn");
    run_steps(simulation, 10);
}

/// Host indexes of owner and backup of a name.
fn owner_and_backup(simulation: &Simulation, name: &Name) -> (usize, usize) {
    let participant = simulation.hosts[0].participant.as_ref().expect("a running host");
    let placement = participant.history.placement(name);
    let index = |member: Option<&Member>| {
        let peer = member.expect("an owner and a backup").peer;
        simulation.hosts.iter().position(|host| host.member.peer == peer).expect("a known address")
    };
    (index(placement.owner), index(placement.backup))
}

/// Writes a member table of all hosts except those with the given indexes.
fn write_members_except(simulation: &mut Simulation, excluded: &[usize]) {
    let kept = (0..HOST_COUNT).filter(|index| !excluded.contains(index));
    let members = kept.map(|index| simulation.hosts[index].member.clone()).collect();
    simulation.write_membership(members);
}

fn cut_off(simulation: &mut Simulation, index: usize) {
    simulation.hosts[index].cut_off_until = Duration::MAX;
}

/// Guards against owner and backup in one failure domain, where a power or switch failure would
/// lose both copies of a record. Also guards against an order other than that of rendezvous
/// hashing, which would move names that a change of members does not concern.
#[test]
fn owner_and_backup_rank_first_in_different_domains() {
    for domains in 1..=3 {
        let simulation = settled_simulation(domains);
        for key in 0..50 {
            let hash = Key::new(["signing", "anchor", &format!("key-{key}")]);
            let mut ranked: Vec<usize> = (0..HOST_COUNT).collect();
            ranked
                .sort_by_key(|i| std::cmp::Reverse(hash.weight(&simulation.hosts[*i].member.host)));
            let domain = |index: usize| &simulation.hosts[index].member.domain;
            let apart = |index: &&usize| domains == 1 || domain(**index) != domain(ranked[0]);
            let backup = ranked[1..].iter().find(apart).copied();
            assert_eq!(
                Some(owner_and_backup(&simulation, &name(key))),
                backup.map(|backup| (ranked[0], backup))
            );
        }
    }
}

/// Guards against a cut-off owner that grants a claim through a backup that has a newer member
/// table and has handed its records over.
#[test]
fn a_backup_with_a_newer_table_stores_no_replica() {
    let mut simulation = settled_simulation(3);
    let (owner, _) = owner_and_backup(&simulation, &name(1));
    cut_off(&mut simulation, owner);
    write_members_except(&mut simulation, &[owner]);
    run_steps(&mut simulation, 10);
    assert!(simulation.is_current(owner));
    assert_eq!(verdict_after(&mut simulation, owner, &name(1), 30), Some(Verdict::Unavailable));
    run_steps(&mut simulation, 80);
    let other = (owner + 1) % HOST_COUNT;
    assert_eq!(verdict_after(&mut simulation, other, &name(1), 10), Some(Verdict::Granted));
}

/// Guards against an owner that grants while it is not current, whether it ceased to be current
/// before the request or before the backup's acknowledgement.
#[test]
fn an_owner_that_is_not_current_grants_nothing() {
    let mut simulation = settled_simulation(3);
    let (owner, backup) = owner_and_backup(&simulation, &name(1));
    let [requester, backup] =
        [(owner + 1) % HOST_COUNT, backup].map(|i| simulation.hosts[i].member.sender());
    let request =
        |id| Message::ClaimRequest(Request { id, name: name(1), fingerprint: 7, revision: 1 });
    let now = simulation.now;
    let participant = simulation.hosts[owner].participant.as_mut().expect("a running host");
    let refused = participant.handle(now, false, &requester, request(1));
    assert!(format!("{refused:?}").contains("Unavailable") && participant.replications.is_empty());
    participant.handle(now, true, &requester, request(2));
    let id = *participant.replications.keys().next().expect("a replica");
    let acknowledgement = Message::ClaimAcknowledgement { id };
    assert_eq!(participant.handle(now, false, &backup, acknowledgement.clone()), vec![]);
    assert!(
        format!("{:?}", participant.handle(now, true, &backup, acknowledgement))
            .contains("Granted")
    );
}

/// Guards against a new owner that decides on a name while the earlier owner may still grant it,
/// and against an owner that stops deciding on names that it keeps.
#[test]
fn a_new_owner_waits_until_the_change_is_in_force() {
    let mut simulation = settled_simulation(3);
    let (owner, backup) = owner_and_backup(&simulation, &name(1));
    let unmoved = (0..50).map(name).find(|n| {
        let (its_owner, its_backup) = owner_and_backup(&simulation, n);
        its_owner != owner && its_backup != owner
    });
    let requester =
        (0..HOST_COUNT).find(|index| ![owner, backup].contains(index)).expect("another host");
    write_members_except(&mut simulation, &[owner]);
    run_steps(&mut simulation, 20);
    assert_eq!(verdict_after(&mut simulation, requester, &name(1), 5), Some(Verdict::Unavailable));
    assert_eq!(
        verdict_after(&mut simulation, requester, &unmoved.expect("a name"), 5),
        Some(Verdict::Granted)
    );
    run_steps(&mut simulation, 60);
    assert_eq!(verdict_after(&mut simulation, requester, &name(1), 5), Some(Verdict::Granted));
}

/// Guards against accepting a handover for an earlier table, or a grant from another incarnation of
/// the owner.
#[test]
fn messages_count_only_for_their_table_and_process() {
    let simulation = settled_simulation(3);
    let [me, other] = [0, 1].map(|index| simulation.hosts[index].member.clone());
    let mut membership = simulation.memberships[0].1.clone();
    membership.members = vec![me.clone(), other.clone()];
    membership.earlier =
        vec![Epoch { revision: 1, replaced_ago: STEP, members: membership.members.clone() }];
    membership.revision = 2;
    let mut participant = Participant::new(me.sender());
    participant.set_membership(STEP, &membership);
    participant.set_in_force(STEP, 2);
    let mut handover = Handover { id: 1, revision: 1, ..Handover::default() };
    handover.complete = true;
    participant.handle(STEP, true, &other.sender(), Message::ClaimHandover(handover.clone()));
    assert!(!participant.is_ready());
    handover.revision = 2;
    participant.handle(STEP, true, &other.sender(), Message::ClaimHandover(handover));
    assert!(participant.is_ready());

    let owned = |key: &usize| participant.history.placement(&name(*key)).owner == Some(&other);
    let key = (0..50).find(owned).expect("a name");
    participant.acquire(STEP, true, 1, name(key), 7);
    let granted =
        Reply { id: *participant.acquisitions.keys().next().unwrap(), verdict: Verdict::Granted };
    let restarted = Sender { incarnation: 99, ..other.sender() };
    let late = participant.handle(STEP, true, &restarted, Message::ClaimReply(granted.clone()));
    assert_eq!(late, vec![]);
    let sent = participant.handle(STEP, true, &other.sender(), Message::ClaimReply(granted));
    assert_eq!(sent, vec![Action::ReportClaim { ticket: 1, verdict: Verdict::Granted }]);
    assert_ne!(
        Participant::new(restarted).allocate_id(),
        Participant::new(other.sender()).allocate_id()
    );
}

/// Guards against granting a name whose records may be lost under a table that the truncated list
/// of earlier tables no longer has.
#[test]
fn a_truncated_list_of_tables_leaves_names_unknown() {
    let me = settled_simulation(3).hosts[0].member.clone();
    let earlier = vec![Epoch { revision: 3, replaced_ago: STEP, members: vec![me.clone()] }];
    for (complete, completeness) in
        [(true, history::Completeness::Complete), (false, history::Completeness::Lost)]
    {
        let (members, earlier) = (vec![me.clone()], earlier.clone());
        let mut participant = Participant::new(me.sender());
        participant.set_membership(
            STEP,
            &Membership { revision: 4, members, earlier, earlier_complete: complete },
        );
        participant.set_in_force(STEP, 4);
        assert_eq!(participant.history.completeness(STEP, &name(1)), completeness);
    }
}

/// Guards against a claim that stays running after its holder died, when the holder never was a
/// member and so is in no member table.
#[test]
fn a_claim_of_a_replaced_non_member_is_unknown() {
    let mut simulation = settled_simulation(3);
    write_members_except(&mut simulation, &[5]);
    simulation.start(5);
    run_steps(&mut simulation, 80);
    assert_eq!(verdict_after(&mut simulation, 5, &name(1), 5), Some(Verdict::Granted));
    assert_eq!(verdict_after(&mut simulation, 0, &name(1), 5), Some(Verdict::Running));
    simulation.start(5);
    write_members_except(&mut simulation, &[]);
    run_steps(&mut simulation, 80);
    assert_eq!(verdict_after(&mut simulation, 0, &name(1), 5), Some(Verdict::Unknown));
}

/// Guards against replaying the response of another request with the same key, and against
/// responses that are kept shorter or longer than the retention time.
#[test]
fn answers_are_replayed_for_the_retention_time() {
    let mut simulation = settled_simulation(3);
    let (first, second) = (name(1), name(2));
    assert_eq!(verdict_after(&mut simulation, 0, &first, 5), Some(Verdict::Granted));
    assert_eq!(verdict_after(&mut simulation, 0, &second, 5), Some(Verdict::Granted));
    complete(&mut simulation, 0, &first, Some(done(201)));
    let State::Done(outcome) = done(201) else { unreachable!() };
    assert_eq!(verdict_after(&mut simulation, 3, &first, 5), Some(Verdict::Done(outcome.clone())));
    let (owner, backup) = owner_and_backup(&simulation, &first);
    for index in [owner, backup] {
        let records = &simulation.hosts[index].participant.as_ref().unwrap().records;
        assert_eq!(records.get(simulation.now, &first).map(|e| &e.record.state), Some(&done(201)));
    }
    let request = Request { id: 1, name: first.clone(), fingerprint: 8, revision: 1 };
    let (now, from) = (simulation.now, simulation.hosts[1].member.sender());
    let participant = simulation.hosts[owner].participant.as_mut().expect("a running host");
    let reply = participant.handle(now, true, &from, Message::ClaimRequest(request));
    assert!(format!("{reply:?}").contains("Mismatch") || owner == 1, "{reply:?}");
    // Skips to just before the retention time, which would take many steps.
    simulation.now += CLAIM_RETENTION - 30 * STEP;
    run_steps(&mut simulation, 3);
    assert_eq!(verdict_after(&mut simulation, 3, &first, 5), Some(Verdict::Done(outcome)));
    simulation.now += 60 * STEP;
    simulation.grants.remove(&first);
    run_steps(&mut simulation, 3);
    assert_eq!(verdict_after(&mut simulation, 3, &first, 5), Some(Verdict::Granted));
    assert_eq!(
        verdict_after(&mut simulation, 3, &second, 5),
        Some(Verdict::Running),
        "its holder still runs"
    );
}

/// Guards against claims that grow beyond the memory limit of a host.
#[test]
fn a_full_participant_grants_nothing_new() {
    let mut simulation = settled_simulation(3);
    let owned = |key: &usize| owner_and_backup(&simulation, &name(*key)).0 == 0;
    let keys: Vec<usize> = (0..100).filter(owned).take(2).collect();
    let (now, participant) =
        (simulation.now, simulation.hosts[0].participant.as_mut().expect("a running host"));
    participant.acquire(now, true, 1, name(keys[0]), 7);
    let mut record = participant.records.get(now, &name(keys[0])).expect("a record").record.clone();
    let body = vec![0; 1 << 20].into();
    record.state = State::Done(Outcome { status: 200, headers: Vec::new(), body });
    for key in 1000..1100 {
        participant.records.merge(now, Record { name: name(key), ..record.clone() }, &[]);
    }
    assert!(participant.is_full() && participant.size().1 < CLAIM_MEMORY_LIMIT_BYTES + (2 << 20));
    let last = participant.records.get(now, &name(1099)).map(|entry| &entry.record.state);
    assert_eq!(last, Some(&State::DoneWithoutAnswer));
    let refused = Action::ReportClaim { ticket: 2, verdict: Verdict::Unavailable };
    assert_eq!(participant.acquire(now, true, 2, name(keys[1]), 7), vec![refused]);
}
