//! Tests of the selection of lenders.

use super::{
    super::lenders::{Lender, Selector},
    support::{at, name},
};

fn lenders() -> Vec<Lender> {
    let host = |text: &str, is_local| Lender { host: name(text), is_local };
    vec![host("n1", true), host("n2", true), host("s1", false), host("s2", false)]
}

/// Guards against two tokens that are lent for one request, and against asking only hosts of one region,
/// which run short at the same time.
#[test]
fn local_hosts_are_asked_in_rotation_and_then_remote_ones() {
    let mut selector = Selector::default();
    assert_eq!(selector.choose(at(0), &lenders()), Some(name("n1")));
    assert_eq!(selector.choose(at(10), &lenders()), None, "asked too often");
    assert_eq!(selector.choose(at(40), &lenders()), Some(name("n2")));
    for (time, host) in [(41, "n1"), (42, "n2")] {
        selector.record_reply(at(time), &name(host), 0);
    }
    let remote = selector.choose(at(43), &lenders());
    assert_eq!(remote, Some(name("s1")), "an answer ends the wait for it");
    assert_eq!(selector.choose(at(44), &lenders()), None, "asked too often");
    selector.record_reply(at(90), &name("s1"), 0);
    assert_eq!(selector.choose(at(91), &lenders()), Some(name("s2")));
}

/// Guards against a flood of messages about a workspace that has exhausted its limit at every
/// host.
#[test]
fn hosts_without_tokens_are_skipped_for_a_while() {
    let mut selector = Selector::default();
    for lender in lenders() {
        selector.record_reply(at(0), &lender.host, 0);
    }
    assert_eq!(selector.choose(at(100), &lenders()), None);
    assert!(!selector.has_candidate(at(100), &lenders()));
    assert!(selector.has_candidate(at(300), &lenders()));
    selector.record_reply(at(100), &name("s2"), 3);
    assert_eq!(selector.choose(at(100), &lenders()), Some(name("s2")));
}
