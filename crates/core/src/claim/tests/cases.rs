//! Guards of single rules that random schedules reach too rarely.

use super::*;
use crate::rendezvous::Key;

/// A calm world in which every host has every record.
fn settled_world(domains: usize) -> World {
    let mut world = World::new(domains);
    steps(&mut world, 80);
    world
}

fn steps(world: &mut World, count: usize) {
    let mut none = Unstructured::new(&[]);
    for _ in 0..count {
        world.step(&mut none).expect("no random numbers are drawn");
    }
}

/// Asks at a host; the answer after the given number of steps.
fn asked(world: &mut World, index: usize, name: &Name, after: usize) -> Option<Verdict> {
    let mut none = Unstructured::new(&[]);
    let ticket = world.ask(&mut none, index, name.clone()).expect("no random numbers are drawn");
    steps(world, after);
    world.verdicts.get(&ticket).cloned()
}

fn completed(world: &mut World, index: usize, name: &Name, state: Option<State>) {
    let mut none = Unstructured::new(&[]);
    world.complete(&mut none, index, name, state).expect("no random numbers are drawn");
    steps(world, 10);
}

/// Indexes of owner and backup.
fn pair(world: &World, name: &Name) -> (usize, usize) {
    let book = world.hosts[0].book.as_ref().expect("a running host");
    let pair = book.history.pair(name);
    let index = |member: Option<&Member>| {
        let peer = member.expect("a pair").peer;
        world.hosts.iter().position(|host| host.member.peer == peer).expect("a known address")
    };
    (index(pair.owner), index(pair.backup))
}

fn without(world: &mut World, gone: &[usize]) {
    let kept = (0..HOSTS).filter(|index| !gone.contains(index));
    let members = kept.map(|index| world.hosts[index].member.clone()).collect();
    world.write(members);
}

fn cut_off(world: &mut World, index: usize) {
    world.hosts[index].cut_off_until = Duration::MAX;
}

/// Guards against two copies of a claim that one power failure or switch loses together, and against
/// another order than that of rendezvous hashing, which moves names that no change concerns.
#[test]
fn owner_and_backup_rank_first_in_different_domains() {
    for domains in 1..=3 {
        let world = settled_world(domains);
        for key in 0..50 {
            let hash = Key::new(["signing", "anchor", &format!("key-{key}")]);
            let mut ranked: Vec<usize> = (0..HOSTS).collect();
            ranked.sort_by_key(|i| std::cmp::Reverse(hash.weight(&world.hosts[*i].member.host)));
            let domain = |index: usize| &world.hosts[index].member.domain;
            let apart = |index: &&usize| domains == 1 || domain(**index) != domain(ranked[0]);
            let backup = ranked[1..].iter().find(apart).copied();
            assert_eq!(Some(pair(&world, &name(key))), backup.map(|backup| (ranked[0], backup)));
        }
    }
}

/// Guards against a cut-off owner that grants with a backup that has handed its records over.
#[test]
fn a_backup_with_a_newer_table_keeps_no_copy() {
    let mut world = settled_world(3);
    let (owner, _) = pair(&world, &name(1));
    cut_off(&mut world, owner);
    without(&mut world, &[owner]);
    steps(&mut world, 10);
    assert!(world.is_current(owner));
    assert_eq!(asked(&mut world, owner, &name(1), 30), Some(Verdict::Unavailable));
    steps(&mut world, 80);
    let other = (owner + 1) % HOSTS;
    assert_eq!(asked(&mut world, other, &name(1), 10), Some(Verdict::Granted));
}

/// Guards against an owner that grants after it ceased to be current, before or after the copy.
#[test]
fn an_owner_that_is_not_current_grants_nothing() {
    let mut world = settled_world(3);
    let (owner, backup) = pair(&world, &name(1));
    let [asker, backup] = [(owner + 1) % HOSTS, backup].map(|i| world.hosts[i].member.sender());
    let request = |id| Message::Claim(Request { id, name: name(1), fingerprint: 7, revision: 1 });
    let now = world.now;
    let book = world.hosts[owner].book.as_mut().expect("a running host");
    let refused = book.handle(now, false, &asker, request(1));
    assert!(format!("{refused:?}").contains("Unavailable") && book.pending.is_empty());
    book.handle(now, true, &asker, request(2));
    let id = *book.pending.keys().next().expect("a copy");
    let kept = Message::ClaimCopyReply { id };
    assert_eq!(book.handle(now, false, &backup, kept.clone()), vec![]);
    assert!(format!("{:?}", book.handle(now, true, &backup, kept)).contains("Granted"));
}

/// Guards against a new owner that answers while an earlier one may still grant, and against an
/// owner that stops answering for names that stay with it.
#[test]
fn a_new_owner_waits_until_the_change_is_in_force() {
    let mut world = settled_world(3);
    let (owner, backup) = pair(&world, &name(1));
    let stays = (0..50).map(name).find(|n| {
        let pair = pair(&world, n);
        pair.0 != owner && pair.1 != owner
    });
    let asker = (0..HOSTS).find(|index| ![owner, backup].contains(index)).expect("another host");
    without(&mut world, &[owner]);
    steps(&mut world, 20);
    assert_eq!(asked(&mut world, asker, &name(1), 5), Some(Verdict::Unavailable));
    assert_eq!(asked(&mut world, asker, &stays.expect("a name"), 5), Some(Verdict::Granted));
    steps(&mut world, 60);
    assert_eq!(asked(&mut world, asker, &name(1), 5), Some(Verdict::Granted));
}

/// Guards against messages of an earlier table or another process that count for this one.
#[test]
fn messages_count_only_for_their_table_and_process() {
    let world = settled_world(3);
    let [me, other] = [0, 1].map(|index| world.hosts[index].member.clone());
    let mut tables = world.tables[0].1.clone();
    tables.members = vec![me.clone(), other.clone()];
    tables.earlier =
        vec![Epoch { revision: 1, replaced_ago: STEP, members: tables.members.clone() }];
    tables.revision = 2;
    let mut book = Participant::new(me.sender());
    book.set_membership(STEP, &tables);
    book.set_in_force(STEP, 2);
    let mut handover = Handover { id: 1, revision: 1, ..Handover::default() };
    handover.complete = true;
    book.handle(STEP, true, &other.sender(), Message::ClaimHandover(handover.clone()));
    assert!(!book.is_ready());
    handover.revision = 2;
    book.handle(STEP, true, &other.sender(), Message::ClaimHandover(handover));
    assert!(book.is_ready());

    let owned = |key: &usize| book.history.pair(&name(*key)).owner == Some(&other);
    let key = (0..50).find(owned).expect("a name");
    book.acquire(STEP, true, 1, name(key), 7);
    let granted = Reply { id: *book.asks.keys().next().unwrap(), verdict: Verdict::Granted };
    let restarted = Sender { incarnation: 99, ..other.sender() };
    let late = book.handle(STEP, true, &restarted, Message::ClaimReply(granted.clone()));
    assert_eq!(late, vec![]);
    let sent = book.handle(STEP, true, &other.sender(), Message::ClaimReply(granted));
    assert_eq!(sent, vec![Action::ReportClaim { ticket: 1, verdict: Verdict::Granted }]);
    assert_ne!(Participant::new(restarted).number(), Participant::new(other.sender()).number());
}

/// Guards against hidden tables whose claims are lost without notice.
#[test]
fn a_list_of_tables_that_was_cut_off_leaves_names_unknown() {
    let me = settled_world(3).hosts[0].member.clone();
    let earlier = vec![Epoch { revision: 3, replaced_ago: STEP, members: vec![me.clone()] }];
    for (complete, availability) in
        [(true, history::Availability::Complete), (false, history::Availability::Lost)]
    {
        let (members, earlier) = (vec![me.clone()], earlier.clone());
        let mut book = Participant::new(me.sender());
        book.set_membership(
            STEP,
            &Membership { revision: 4, members, earlier, earlier_complete: complete },
        );
        book.set_in_force(STEP, 4);
        assert_eq!(book.history.availability(STEP, &name(1)), availability);
    }
}

/// Guards against a claim that seems to run until it is forgotten, as its holder died before it
/// became a member.
#[test]
fn a_claim_of_a_replaced_guest_is_unknown() {
    let mut world = settled_world(3);
    without(&mut world, &[5]);
    world.start(5);
    steps(&mut world, 80);
    assert_eq!(asked(&mut world, 5, &name(1), 5), Some(Verdict::Granted));
    assert_eq!(asked(&mut world, 0, &name(1), 5), Some(Verdict::Running));
    world.start(5);
    without(&mut world, &[]);
    steps(&mut world, 80);
    assert_eq!(asked(&mut world, 0, &name(1), 5), Some(Verdict::Unknown));
}

/// Guards against replays of another request's answer, and against answers that are kept too short
/// or for ever.
#[test]
fn answers_are_replayed_for_the_retention_time() {
    let mut world = settled_world(3);
    let (first, second) = (name(1), name(2));
    assert_eq!(asked(&mut world, 0, &first, 5), Some(Verdict::Granted));
    assert_eq!(asked(&mut world, 0, &second, 5), Some(Verdict::Granted));
    completed(&mut world, 0, &first, Some(done(201)));
    let State::Done(answer) = done(201) else { unreachable!() };
    assert_eq!(asked(&mut world, 3, &first, 5), Some(Verdict::Done(answer.clone())));
    let (owner, backup) = pair(&world, &first);
    for index in [owner, backup] {
        let records = &world.hosts[index].book.as_ref().unwrap().records;
        assert_eq!(records.get(world.now, &first).map(|e| &e.record.state), Some(&done(201)));
    }
    let request = Request { id: 1, name: first.clone(), fingerprint: 8, revision: 1 };
    let (now, from) = (world.now, world.hosts[1].member.sender());
    let book = world.hosts[owner].book.as_mut().expect("a running host");
    let reply = book.handle(now, true, &from, Message::Claim(request));
    assert!(format!("{reply:?}").contains("Mismatch") || owner == 1, "{reply:?}");
    // A step of 50 ms would take long to reach the retention time.
    world.now += CLAIM_RETENTION - 30 * STEP;
    steps(&mut world, 3);
    assert_eq!(asked(&mut world, 3, &first, 5), Some(Verdict::Done(answer)));
    world.now += 60 * STEP;
    world.grants.remove(&first);
    steps(&mut world, 3);
    assert_eq!(asked(&mut world, 3, &first, 5), Some(Verdict::Granted));
    assert_eq!(asked(&mut world, 3, &second, 5), Some(Verdict::Running), "its holder still runs");
}

/// Guards against a host whose claims fill its memory.
#[test]
fn a_full_book_grants_nothing_new() {
    let mut world = settled_world(3);
    let owned = |key: &usize| pair(&world, &name(*key)).0 == 0;
    let keys: Vec<usize> = (0..100).filter(owned).take(2).collect();
    let (now, book) = (world.now, world.hosts[0].book.as_mut().expect("a running host"));
    book.acquire(now, true, 1, name(keys[0]), 7);
    let mut record = book.records.get(now, &name(keys[0])).expect("a record").record.clone();
    let body = vec![0; 1 << 20].into();
    record.state = State::Done(Outcome { status: 200, headers: Vec::new(), body });
    for key in 1000..1100 {
        book.records.merge(now, Record { name: name(key), ..record.clone() }, &[]);
    }
    assert!(book.is_full() && book.size().1 < CLAIM_MEMORY_LIMIT + (2 << 20));
    let last = book.records.get(now, &name(1099)).map(|entry| &entry.record.state);
    assert_eq!(last, Some(&State::DoneWithoutAnswer));
    let refused = Action::ReportClaim { ticket: 2, verdict: Verdict::Unavailable };
    assert_eq!(book.acquire(now, true, 2, name(keys[1]), 7), vec![refused]);
}
