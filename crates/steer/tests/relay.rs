//! Tests the encoding of changes that hosts pass on.

use std::{io::Read as _, net::SocketAddr, time::Duration};

use marjorampick_core::steering::history::Era;
use marjorampick_steer::{
    feed::{
        parts::{self, Assembly, Collection, Holding, MAX_PARTS, Name, PART_BYTES, Part},
        recent::Recent,
        relay::{self, Answer, Question},
    },
    peers::queue::{self, Batch, Datagram, Queue, Step},
    store::{Change, Item},
};

fn written(key: &str, value: &[u8], revision: u64) -> Change {
    Change::Written(written_item(key, value, revision))
}

/// A value may be any bytes, as others write to the store, too; it must arrive as it was.
#[test]
fn changes_arrive_as_they_were() {
    let removed = Change::Removed { key: "c".to_owned(), revision: 9 };
    let changes = [written("a", b"old", 3), written("b", &[0xff, 0, b'\n'], 7), removed];
    let payload = relay::encode(&changes[1..]).unwrap();
    assert_eq!(relay::decode(&payload).unwrap(), changes[1..]);
    assert_eq!(relay::decode(&relay::encode(&[]).unwrap()), Some(Vec::new()));
}

/// A configuration of 60 KB must fit into a datagram, so that not every host has to ask the store.
#[test]
fn a_large_configuration_is_compressed() {
    let workspaces = (0..600).map(|number| {
        format!(
            r#""w{number}":{{"api_keys":["k{number}"],"rate_per_s":{number},"home_regions":[]}},"#
        )
    });
    let text: String = workspaces.collect();
    assert!(text.len() > 30_000);
    let payload = relay::encode(&[written("op/config", text.as_bytes(), 2)]).unwrap();
    assert!(payload.len() < text.len() / 3, "{} bytes of {}", payload.len(), text.len());
}

/// Malformed payloads, and such that grow without end, are not used.
#[test]
fn malformed_payloads_are_ignored() {
    let payload = relay::encode(&[written("a", b"x", 3)]).unwrap();
    assert_eq!(relay::decode(&payload[..payload.len() / 2]), None);
    assert_eq!(relay::decode(b""), None);
    assert_eq!(relay::decode(b"[]"), None);
    let zeros = vec![b'0'; 5 * 1024 * 1024];
    let bomb = relay::encode(&[written("a", &zeros, 3)]).unwrap();
    assert!(bomb.len() < 60_000);
    assert_eq!(relay::decode(&bomb), None);
}

/// A host of an earlier version must get all changes in one stream, as it reads no second one.
#[test]
fn an_earlier_version_reads_all_changes() {
    let mut recent = Recent::default();
    recent.restart(2);
    recent.record(written("a", b"1", 3));
    recent.record_plan(written_item("op/config", b"{}", 4), 1);
    let payload = recent.payload(2, false).unwrap().unwrap();
    let mut text = String::new();
    flate2::read::ZlibDecoder::new(&payload[..]).read_to_string(&mut text).unwrap();
    assert!(text.contains("\"a\"") && text.contains("op/config"), "{text}");
    assert_eq!(relay::decode(&payload), decoded(&recent, 2));
}

/// An answer held every configuration that its receiver had missed; it must hold the last one, and all
/// other changes: a removal that a write followed tells of the end of a lease.
#[test]
fn an_answer_holds_the_last_configuration_and_all_other_changes() {
    let mut recent = Recent::default();
    recent.restart(2);
    let removed = Change::Removed { key: "a".to_owned(), revision: 4 };
    for version in [3, 5, 7] {
        recent.record_plan(
            written_item("op/config", &[b'0' + version], version.into()),
            version.into(),
        );
    }
    // Hosts do not go back to an earlier version.
    recent.record_plan(written_item("op/config", b"3", 8), 3);
    recent.record(removed.clone());
    recent.record(written("a", b"2", 6));
    let last = written("op/config", b"7", 7);
    let expected = vec![removed, written("a", b"2", 6), last.clone()];
    assert_eq!(decoded(&recent, 2), Some(expected));
    assert_eq!(decoded(&recent, 6), Some(vec![last]));
    assert_eq!(decoded(&recent, 7), Some(Vec::new()));
    assert_eq!(decoded(&recent, 1), None, "a change before the first one is unknown");
}

/// A host that has missed changes that are no longer kept must not be told that there were none.
#[test]
fn changes_that_were_dropped_are_not_passed_over() {
    const CHANGES: u64 = 10_000;
    let mut recent = Recent::default();
    for revision in 1..=CHANGES {
        recent.record(written("a", b"x", revision));
    }
    let first_known = (0..CHANGES).find(|after| decoded(&recent, *after).is_some()).unwrap();
    assert!(first_known > 0);
    let kept = decoded(&recent, first_known).unwrap();
    assert_eq!(kept.len() as u64, CHANGES - first_known);
    recent.record(written("a", &[b'x'; 2 * 1024 * 1024], CHANGES + 1));
    assert_eq!(decoded(&recent, CHANGES), None);
    recent.restart(1);
    assert_eq!(decoded(&recent, 1), Some(Vec::new()));
}

/// A host that read all items forgot the later configuration that another host had sent it meanwhile, and
/// sent those that it declined the earlier one.
#[test]
fn a_read_of_all_items_takes_no_later_configuration_back() {
    let mut recent = Recent::default();
    recent.record_plan(written_item("op/config", b"2", 9), 2);
    recent.restart(7);
    recent.record_plan(written_item("op/config", b"1", 5), 1);
    assert_eq!(recent.plan_payload().unwrap().unwrap().name.version, 2);
    assert_eq!(decoded(&recent, 7), Some(vec![written("op/config", b"2", 9)]));
    recent.clear();
    assert!(recent.plan_payload().is_none(), "revisions of an earlier era count");
}

/// Parts may arrive in any order and more than once, and some may be lost; those of different answers must
/// never be taken for one.
#[test]
fn parts_make_a_payload_only_if_all_of_one_answer_arrive() {
    let payload: Vec<u8> = (0..PART_BYTES * 2 + 7).map(|index| (index % 251) as u8).collect();
    let pieces: Vec<_> = parts::split(&payload).collect();
    assert_eq!(pieces.len(), 3);
    let answer = |until, index: usize| Answer { part: pieces[index].0, ..whole_answer(until) };
    let mut assembly = Assembly::default();
    let mut add =
        |until, index: usize| assembly.add(&answer(until, index), pieces[index].1.to_vec());
    assert_eq!([add(8, 0), add(8, 1), add(9, 2), add(9, 2), add(9, 0)], [const { None }; 5]);
    assert_eq!(add(9, 1), Some(payload.clone()));
    for (index, count) in [(3, 3), (0, 0), (0, usize::MAX), (MAX_PARTS, MAX_PARTS + 1)] {
        let answer = Answer { part: Some(Part { index, count }), ..whole_answer(9) };
        assert_eq!(Assembly::default().add(&answer, Vec::new()), None);
    }
    assert_eq!(Assembly::default().add(&whole_answer(9), vec![1]), Some(vec![1]));
}

/// Hosts of an earlier version state neither a configuration nor whether they take parts, and must be able
/// to read an answer that is not in parts.
#[test]
fn messages_of_earlier_versions_are_read() {
    let question = r#"{"asked_at":1,"revision":2}"#;
    let question: Question = serde_json::from_str(question).unwrap();
    assert_eq!((question.plan, question.takes_parts, &question.held), (0, false, &None));
    let answer = r#"{"asked_at":1,"after":2,"until":9,"era":3}"#;
    let answer: Answer = serde_json::from_str(answer).unwrap();
    assert_eq!((answer.plan, answer.part), (0, None));
    assert!(!serde_json::to_string(&whole_answer(9)).unwrap().contains("part"));
    assert_eq!(serde_json::to_string(&whole_answer(9)).unwrap().matches(':').count(), 5);
}

/// Each answer with a large configuration lost a part, and the next one began anew: parts that have arrived
/// must count whichever host sent them.
#[test]
fn a_configuration_arrives_although_each_answer_loses_a_part() {
    const PARTS: usize = 5;
    let payload: Vec<u8> = (0..PART_BYTES * PARTS - 9).map(|index| (index % 251) as u8).collect();
    let name = Name::new(7, &payload);
    let pieces: Vec<&[u8]> = parts::split(&payload).map(|(_, bytes)| bytes).collect();
    let mut collection = Collection::default();
    let mut answers = Vec::new();
    let whole = loop {
        let held = collection.holding(6);
        assert!(!held.has(&name) && answers.len() <= PARTS, "{held:?}");
        let lacking: Vec<usize> = (0..PARTS).filter(|index| held.lacks(&name, *index)).collect();
        answers.push(lacking.len());
        let arriving = lacking.iter().skip(usize::from(lacking.len() > 1)).step_by(2);
        let added = arriving.map(|index| collection.add(name, *index, pieces[*index]));
        if let Some(whole) = added.flatten().next() {
            break whole;
        }
    };
    assert!(whole == payload && collection.is_whole(&name));
    assert_eq!(answers, [5, 3, 2, 1]);
    assert_eq!(collection.add(name, 0, pieces[0]), None, "a late part begins anew");
}

/// Parts that are not of one payload must neither be put together nor take memory without bound.
#[test]
fn parts_of_different_configurations_are_kept_apart() {
    let payload = |byte: u8| vec![byte; PART_BYTES + 1];
    let name = |version, byte| Name::new(version, &payload(byte));
    let mut collection = Collection::default();
    assert_eq!(collection.add(name(7, 1), 0, &payload(1)[1..]), None);
    assert_eq!(collection.add(name(7, 2), 1, &[2]), None);
    assert!(
        collection.holding(0).lacks(&name(7, 1), 0),
        "another payload of the version replaces it"
    );
    assert_eq!(collection.add(name(6, 1), 1, &[1]), None);
    assert!(
        !collection.holding(0).lacks(&name(7, 2), 1),
        "an earlier version replaces a later one"
    );
    assert_eq!(collection.add(name(7, 2), 0, &payload(9)[1..]), None);
    assert!(collection.holding(0).lacks(&name(7, 2), 1), "a wrong checksum is used");
    let huge = Name { bytes: usize::MAX, parts: usize::MAX, ..name(8, 1) };
    let empty = Name { bytes: 0, parts: 0, ..name(8, 1) };
    assert_eq!(collection.add(huge, usize::MAX, &[]), None);
    assert_eq!(collection.add(name(8, 1), 0, &[1]), None, "a part is too short");
    assert_eq!(collection.holding(0), Holding::default());
    assert!(!collection.holding(0).has(&huge) && !collection.holding(0).has(&empty));
}

/// An answer without the configuration must hold all other changes, before and after it.
#[test]
fn a_configuration_is_left_out_of_the_other_changes() {
    let mut recent = Recent::default();
    recent.restart(2);
    recent.record(written("a", b"1", 3));
    recent.record_plan(written_item("op/config", b"{}", 4), 9);
    recent.record(written("b", b"2", 5));
    let payload = recent.payload_without_plan(2).unwrap().unwrap();
    assert_eq!(relay::decode(&payload), Some(vec![written("a", b"1", 3), written("b", b"2", 5)]));
    assert!(recent.payload_without_plan(1).is_none() && recent.has_plan_after(3));
    let plan = recent.plan_payload().unwrap().unwrap();
    assert_eq!((plan.revision, plan.name), (4, Name::new(9, &plan.bytes)));
    assert_eq!(relay::decode(&plan.bytes), Some(vec![written("op/config", b"{}", 4)]));
}

/// A relay sent all parts of all answers at once, which filled the queue of a slow link. A host with a slow
/// link must not hold up the others.
#[test]
fn parts_leave_as_the_links_have_room() {
    const MEGABYTE: usize = 1_000_000;
    assert_eq!(queue::link_time(MEGABYTE, Some(80)), Duration::from_millis(200));
    assert_eq!(queue::link_time(MEGABYTE, None), queue::link_time(MEGABYTE, Some(10)));
    let host = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let batch = |port, link_mbps, payload: &'static [u8], count| Batch {
        host: host(port),
        link_mbps: Some(link_mbps),
        datagrams: vec![Datagram { head: vec![0], payload: payload.into() }; count].into(),
    };
    let part = Box::leak(vec![0; MEGABYTE - 1].into_boxed_slice());
    let mut queue = Queue::new(Some(800));
    queue.add(batch(1, 8, part, 9), Duration::ZERO);
    queue.add(batch(2, 800, part, 2), Duration::ZERO);
    // The batch of a later question replaces the one before.
    queue.add(batch(1, 8, part, 2), Duration::ZERO);
    let (mut now, mut sent) = (Duration::ZERO, Vec::new());
    loop {
        match queue.next(now) {
            Step::Send(host, _) => sent.push((host.port(), now.as_millis())),
            Step::Wait(until) => now = until,
            Step::Idle => break,
        }
    }
    assert_eq!(sent, [(1, 0), (2, 20), (2, 40), (1, 2000)]);
    queue.add(batch(2, 800, part, 1), now);
    assert_eq!(
        queue.next(now + Duration::from_secs(2)),
        Step::Idle,
        "nobody waits for it any more"
    );
}

fn whole_answer(until: u64) -> Answer {
    Answer {
        id: 1,
        after: 2,
        until,
        era: Era(3),
        plan: 4,
        is_plan_alone: false,
        configuration: None,
        apart: None,
        part: None,
    }
}

fn written_item(key: &str, value: &[u8], revision: u64) -> Item {
    Item { key: key.to_owned(), value: value.to_vec(), revision }
}

fn decoded(recent: &Recent, after: u64) -> Option<Vec<Change>> {
    let payload = recent.payload(after, true)?.unwrap();
    Some(relay::decode(&payload).unwrap())
}
