//! Tests of the selection of lenders.

use super::{
    super::lenders::{Lender, Selector},
    support::{at, name},
};

fn lenders() -> Vec<Lender> {
    let host = |text: &str, is_local| Lender { host: name(text), is_local };
    vec![host("n1", true), host("n2", true), host("s1", false), host("s2", false)]
}

/// Guards against asking only hosts of one region, which run short at the same time.
#[test]
fn local_and_remote_hosts_are_asked_in_rotation() {
    let mut selector = Selector::default();
    assert_eq!(selector.choose(at(0), &lenders()), [name("n1"), name("s1")]);
    assert!(selector.choose(at(10), &lenders()).is_empty(), "asked too often");
    assert_eq!(selector.choose(at(40), &lenders()), [name("n2"), name("s2")]);
}

/// Guards against a flood of messages about a workspace that has exhausted its limit at every
/// host.
#[test]
fn hosts_without_tokens_are_skipped_for_a_while() {
    let mut selector = Selector::default();
    for lender in lenders() {
        selector.record_reply(at(0), &lender.host, 0);
    }
    assert!(selector.choose(at(100), &lenders()).is_empty());
    assert!(!selector.has_candidate(at(100), &lenders()));
    assert!(selector.has_candidate(at(300), &lenders()));
    selector.record_reply(at(100), &name("s2"), 3);
    assert_eq!(selector.choose(at(100), &lenders()), [name("s2")]);
}
