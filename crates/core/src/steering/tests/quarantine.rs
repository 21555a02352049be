//! Tests that a request which crashes instances is found over all hosts, and no other one.

mod world;

use std::time::Duration;

use world::World;

use super::{
    super::quarantine::{
        Acquittal, Admission, Book, Crash, Fingerprint, SENTENCE_TIME, SETTLING_TIME,
    },
    support::{at, name},
};

/// Hosts of the deployments.
const HOST_COUNTS: [usize; 5] = [8, 12, 60, 195, 300];

fn request(number: u64) -> Fingerprint {
    Fingerprint::new([number.to_be_bytes().as_slice()])
}

/// A request that was sent at `from` and was on this instance when it crashed at `until`, in milliseconds.
fn crash(instance: &str, request: Fingerprint, from: u64, until: u64) -> (Duration, Crash) {
    let ran_for = Duration::from_millis(until - from);
    let (instance, incarnation, ended_ago) = (name(instance), 1, Duration::ZERO);
    (at(until), Crash { instance, incarnation, request, ran_for, ended_ago })
}

fn book_with(crashes: impl IntoIterator<Item = (Duration, Crash)>) -> Book {
    let mut book = Book::default();
    for (now, crash) in crashes {
        book.record_crash(now, &crash, true);
    }
    book
}

/// Requests that the book condemns now.
fn judged(book: &mut Book, now: Duration) -> Vec<Fingerprint> {
    book.judge(now).into_iter().map(|(request, _)| request).collect()
}

/// Crashes of one request on four instances, one after the other, until 1200 ms; the last one on trial.
fn series(request: Fingerprint) -> [(Duration, Crash); 4] {
    [("a", 0, 50), ("b", 60, 100), ("c", 100, 150), ("d", 1000, 1200)]
        .map(|(instance, from, until)| crash(instance, request, from, until))
}

/// A request that was on three instances, one after the other, must run on trial only, and be refused after
/// the fourth; not before all hosts can have told which others were there.
#[test]
fn crashes_in_a_row_condemn_a_request() {
    let deadly = request(1);
    let mut book = book_with(series(deadly)[..3].to_vec());
    assert!(matches!(book.admit(at(200), deadly, 1), Admission::Refused { .. }));
    assert!(book.judge(at(1000)).is_empty());
    assert_eq!(book.admit(at(1000), deadly, 1), Admission::Trial);
    let (now, last) = crash("d", deadly, 1000, 1100);
    book.record_crash(now, &last, true);
    assert!(book.judge(at(1100)).is_empty());
    assert_eq!(judged(&mut book, at(1100) + SETTLING_TIME), [deadly]);
    assert_eq!(book.sentence_left(at(1200), deadly).unwrap(), SENTENCE_TIME);
    assert!(book.sentence_left(at(1200), request(2)).is_none());
}

/// Instances that crash at the same moment have another cause than the requests that were on all of them.
#[test]
fn a_batch_of_crashes_counts_once() {
    let popular = request(1);
    let batch = |moment: u64| {
        (0..20).map(move |index| {
            crash(&format!("{moment}-{index}"), popular, moment - 300 + index, moment)
        })
    };
    let mut book = book_with(batch(1000).chain(batch(3000)));
    assert!(book.judge(at(4000)).is_empty());
}

/// A copy of a request that is sent to an instance after its crash must not count as another crash: on a
/// day of Lothian two crashes counted as three.
#[test]
fn an_instance_crashes_once() {
    let deadly = request(1);
    let runs =
        [crash("a", deadly, 0, 50), crash("b", deadly, 100, 150), crash("a", deadly, 160, 200)];
    let mut book = book_with(runs);
    assert_eq!(book.admit(at(1000), deadly, 1), Admission::Free);
}

/// A host that is cut off from some instances reports crashes that did not happen. An instance that answers
/// a request which it ran all the while refutes the report; one that was sent later may have come to its
/// next start.
#[test]
fn an_answer_refutes_the_report_of_a_crash() {
    let innocent = request(1);
    let mut book = book_with([crash("a", innocent, 0, 50), crash("b", innocent, 60, 100)]);
    book.record_survival(at(400), &name("a"), 1, at(60));
    book.record_survival(at(400), &name("a"), 2, at(20));
    assert_eq!(book.suspect_count(), 1);
    book.record_survival(at(400), &name("a"), 1, at(20));
    book.record_survival(at(400), &name("b"), 1, at(20));
    assert!(book.is_empty());
}

/// A request that was answered since a crash is not to blame for it.
#[test]
fn an_answer_acquits_a_request() {
    let innocent = request(1);
    let mut book = book_with([crash("a", innocent, 0, 50), crash("b", innocent, 60, 100)]);
    assert_eq!(book.record_answer(at(150), innocent), Acquittal::Suspect);
    assert_eq!(book.record_answer(at(160), innocent), Acquittal::Unknown);
    assert!(book.is_empty());
    let (now, third) = crash("c", innocent, 160, 200);
    book.record_crash(now, &third, true);
    assert!(book.judge(at(400)).is_empty());
}

/// Requests that were repeated into the same wave of crashes as the one to blame must not be condemned:
/// neither beside it, nor after it is condemned.
#[test]
fn a_request_beside_the_one_to_blame_is_not_condemned() {
    let (deadly, innocent) = (request(1), request(2));
    let mut book = book_with(series(deadly).into_iter().chain(series(innocent)));
    assert!(book.judge(at(1400)).is_empty(), "one of the two was chosen");
    let (now, fifth) = crash("e", deadly, 2000, 2100);
    book.record_crash(now, &fifth, false);
    assert_eq!(judged(&mut book, at(2300)), [deadly]);
    let (now, later) = crash("e", innocent, 2000, 2100);
    book.record_crash(now, &later, false);
    assert!(book.judge(at(2600)).is_empty());
}

/// While it is not clear which of two requests is to blame, each runs on trial, once at a time; a trial at
/// another host counts as well.
#[test]
fn suspects_run_on_trial() {
    let (deadly, innocent) = (request(1), request(2));
    let mut book = book_with(series(deadly).into_iter().chain(series(innocent)));
    let is_refused = |admission| matches!(admission, Admission::Refused { .. });
    assert!(is_refused(book.admit(at(1600), deadly, 1)), "in the wave");
    assert_eq!(book.admit(at(1700), innocent, 1), Admission::Trial);
    assert!(is_refused(book.admit(at(1710), innocent, 1)));
    assert!(is_refused(book.admit(at(2100), deadly, 1)), "beside the trial of the other one");
    book.record_trial(at(2200), deadly, 2);
    assert!(is_refused(book.admit(at(2210), deadly, 1)));
    book.record_answer(at(2300), innocent);
    assert_eq!(book.admit(at(2310), innocent, 1), Admission::Free);
    assert_eq!(judged(&mut book, at(2320)), [deadly]);
    assert!(is_refused(book.admit(at(5000), deadly, 1)));
}

/// Of hosts that want to try a request at the same moment, one runs it: on a day of the large deployment four
/// hosts tried it within 40 ms.
#[test]
fn one_host_runs_a_trial() {
    let suspect = request(1);
    let mut books = [1, 2, 3].map(|rank| (rank, book_with(series(suspect)[..3].to_vec())));
    for (rank, book) in &mut books {
        assert_eq!(book.admit(at(1000), suspect, *rank), Admission::Trial);
    }
    for (rank, book) in &mut books {
        (1..=3).filter(|other| other != rank).for_each(|other| {
            book.record_trial(at(1050), suspect, other);
        });
    }
    let admits = |rank, book: &Book| book.admit_trial(at(1150), suspect, rank) == Admission::Trial;
    let admitted = books.iter().filter(|(rank, book)| admits(*rank, book)).count();
    assert_eq!(admitted, 1);
}

/// A host that has just started knows no crashes. It must learn from the trials and verdicts of the others
/// which requests to refuse, before the record reaches it.
#[test]
fn a_host_that_starts_learns_of_suspects() {
    let (suspect, deadly) = (request(1), request(2));
    let mut book = Book::default();
    book.record_trial(at(0), suspect, 2);
    assert!(matches!(book.admit(at(100), suspect, 1), Admission::Refused { .. }));
    assert_eq!(book.admit(at(3000), suspect, 1), Admission::Trial);
    assert!(book.record_verdict(at(0), deadly) && !book.record_verdict(at(0), deadly));
    assert!(matches!(book.admit(at(3000), deadly, 1), Admission::Refused { .. }));
    assert_eq!(
        book.admit_trial(at(3000), deadly, 1),
        Admission::Refused { retry_after: SENTENCE_TIME - Duration::from_secs(3) }
    );
}

/// A request that was on four of many instances that crashed one after the other is not to blame yet.
#[test]
fn a_request_in_a_wave_of_crashes_is_not_condemned() {
    let innocent = request(1);
    let others =
        (0..20).map(|index| crash(&format!("i-{index}"), request(10 + index), 0, 100 + index * 20));
    let own = [100, 200, 300, 400].map(|at| crash(&format!("j-{at}"), innocent, at - 90, at));
    let mut crashes: Vec<_> = others.chain(own).collect();
    crashes.sort_by_key(|(at, _)| *at);
    let mut book = book_with(crashes);
    assert!(book.judge(at(1000)).is_empty());
    assert_eq!(book.admit(at(1000), innocent, 1), Admission::Trial);
}

/// A verdict that an answer has ended must not come back with a record that was written before: in the soak,
/// an innocent request was refused for good.
#[test]
fn an_answer_outlasts_a_late_record() {
    let innocent = request(1);
    let mut book = Book::default();
    book.record_verdict(at(0), innocent);
    assert_eq!(book.record_answer(at(5300), innocent), Acquittal::Refused);
    assert!(!book.apply_record(at(6000), innocent, 7));
    assert_eq!(book.admit(at(6100), innocent, 1), Admission::Free);
    let removal = book.publications(at(6100), |_| false)[0];
    assert!(!removal.is_condemned && removal.replaces_revision == 7);
}

/// A request is run again after its sentence, and one more crash condemns it again; an answer ends a sentence.
#[test]
fn a_sentence_ends() {
    let deadly = request(1);
    let mut book = book_with(series(deadly));
    book.judge(at(1300));
    let end = at(1300) + SENTENCE_TIME;
    assert!(book.remove_expired(end - Duration::from_millis(1)).is_empty());
    assert_eq!(book.remove_expired(end), [deadly]);
    assert!(book.sentence_left(end, deadly).is_none());
    let again = Crash { instance: name("d"), ..crash("d", deadly, 0, 50).1 };
    book.record_crash(end, &again, true);
    assert_eq!(judged(&mut book, end + SETTLING_TIME), [deadly]);
    assert_eq!(book.record_answer(end + SETTLING_TIME, deadly), Acquittal::Refused);
    assert!(book.sentence_left(end + SETTLING_TIME, deadly).is_none());
    book.remove_expired(end + Duration::from_secs(11));
    assert!(book.is_empty());
}

/// The hosts on which the request ran write its record, and the others only if none of them has; the
/// record outlasts restarts, its removal ends the sentence, and one host removes it at the end.
#[test]
fn a_sentence_is_recorded() {
    let deadly = request(1);
    let runs = series(deadly);
    let mut book = book_with(runs.clone());
    book.judge(at(1300));
    let published = book.publications(at(1300), |_| false);
    assert_eq!((published.len(), published[0].replaces_revision), (1, 0));
    assert!(book.publications(at(1400), |_| false).is_empty(), "written again at once");
    assert!(!book.apply_record(at(1500), deadly, 7));
    assert!(book.publications(at(10_000), |_| true).is_empty(), "written although it is recorded");
    let mut restarted = Book::default();
    assert!(restarted.apply_record(at(2000), deadly, 7));
    assert!(restarted.sentence_left(at(2000), deadly).is_some());
    assert!(restarted.remove_record(deadly) && restarted.sentence_left(at(2000), deadly).is_none());
    let end = at(1300) + SENTENCE_TIME;
    book.remove_expired(end);
    assert!(book.publications(end, |_| true).iter().all(|removal| !removal.is_condemned));
    let mut other = Book::default();
    for (now, crash) in runs {
        other.record_crash(now, &crash, false);
    }
    other.judge(at(1300));
    assert!(other.publications(at(4200), |_| true).is_empty());
    assert_eq!(other.publications(at(4300), |_| false).len(), 1);
}

/// Neither many crashes nor many condemned requests may take memory without bound.
#[test]
fn memory_is_bounded() {
    let mut book = Book::default();
    for number in 0..20_000 {
        let (now, crash) = crash(&format!("i-{number}"), request(number), number, number + 10);
        book.record_crash(now, &crash, true);
    }
    for number in 0..5000 {
        book.apply_record(at(0), request(number), number + 1);
    }
    assert!(book.sentence_count() <= 1024);
    assert!(book.suspect_count() <= 4096);
    book.remove_expired(at(0) + SENTENCE_TIME * 4);
    assert_eq!(book.suspect_count(), 1024, "one crash condemns a released request again");
}

/// Replays the incident BUDGET: the request must not reach more than three instances once `stable` has
/// passed after its third crash, while hosts restart; none of the requests beside it may be condemned.
#[test]
fn a_request_that_crashes_instances_is_found_over_all_hosts() {
    for hosts in HOST_COUNTS {
        for seed in 1..=4 {
            let mut world = World::new(hosts, seed);
            world.deadly = 1 + seed as usize % 2;
            world.run(Duration::from_secs(30));
            world.check();
        }
    }
}

/// The request must be found although other instances crash for another reason.
#[test]
fn a_request_that_crashes_instances_is_found_among_other_crashes() {
    for hosts in HOST_COUNTS {
        for seed in 1..=4 {
            let mut world = World::new(hosts, seed);
            world.batches = vec![0, 1, 2, 6, 10, 14];
            world.batch_spread_ms = 400;
            world.run(Duration::from_secs(30));
            world.check();
        }
    }
}

/// Batches of crashes with other causes must condemn nothing, however often and however many.
#[test]
fn batches_of_crashes_condemn_no_request() {
    for hosts in HOST_COUNTS {
        for seed in 1..=4 {
            let mut world = World::new(hosts, seed);
            world.deadly = 0;
            world.batches = vec![5, 9, 12, 15, 18, 22, 25];
            world.batch_spread_ms = if seed % 2 == 0 { 400 } else { 0 };
            world.run(Duration::from_secs(30));
            world.check();
        }
    }
}
