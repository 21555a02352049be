//! Tests of what the era of a response says.

use crate::steering::history::{Era, History, Verdict};

fn history(era: u64) -> History {
    let mut history = History::default();
    assert_eq!(history.record(Era::UNTOLD, Era(era)), Verdict::Usable);
    history
}

/// Guards against a restore that goes unnoticed by a call that was under way: it names a revision of
/// the earlier history, whoever has heard of the restore first.
#[test]
fn a_response_that_spans_a_restore_is_not_used() {
    let mut first = history(1);
    assert_eq!(first.record(Era(1), Era(2)), Verdict::Restored);
    assert_eq!(first.era(), Era(2));
    // A second call that was under way at the same time.
    assert_eq!(first.record(Era(1), Era(2)), Verdict::Restored);
    assert_eq!(first.record(Era(2), Era(2)), Verdict::Usable);
}

/// Guards against a late response that brings back the history before a restore, and against a host that
/// refuses all responses for good because one of them told a wrong, too high era.
#[test]
fn an_earlier_era_is_that_of_a_late_response_or_of_the_store() {
    let mut late = history(1);
    late.record(Era(1), Era(2));
    assert_eq!(late.record(Era(1), Era(1)), Verdict::Outdated);
    assert_eq!(late.era(), Era(2));
    let mut wrong = history(1);
    assert_eq!(wrong.record(Era(1), Era(u64::MAX)), Verdict::Restored);
    assert_eq!(wrong.record(Era(u64::MAX), Era(1)), Verdict::Restored);
    assert_eq!(wrong.record(Era(1), Era(1)), Verdict::Usable);
}

/// Guards against a restore in the wake of another one that is taken for the first one.
#[test]
fn a_second_restore_counts() {
    let mut history = history(4);
    assert_eq!(history.record(Era(4), Era(5)), Verdict::Restored);
    assert_eq!(history.record(Era(5), Era(6)), Verdict::Restored);
    assert_eq!(history.record(Era(4), Era(5)), Verdict::Outdated);
}

/// Guards against a host without any response that counts because the store does not tell its era, or not
/// in all of them.
#[test]
fn responses_without_an_era_are_used() {
    let mut silent = History::default();
    for _ in 0..3 {
        assert_eq!(silent.record(Era::UNTOLD, Era::UNTOLD), Verdict::Usable);
    }
    // What was read before may be of any history.
    assert_eq!(silent.record(Era::UNTOLD, Era(3)), Verdict::Restored);
    assert_eq!(silent.record(Era(3), Era::UNTOLD), Verdict::Usable);
    assert_eq!(silent.era(), Era(3));
    silent.record(Era(3), Era(4));
    assert_eq!(
        silent.record(Era(3), Era::UNTOLD),
        Verdict::Restored,
        "a call that spans a restore"
    );
}

/// Guards against calls that are made together at the start and of which all but the first are refused.
#[test]
fn the_first_responses_are_used() {
    let mut history = history(2);
    assert_eq!(history.record(Era::UNTOLD, Era(2)), Verdict::Usable);
}
