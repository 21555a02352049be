//! Guards whom a host asks for tokens.

use super::{
    super::lenders::{Lender, Lenders},
    support::{at, name},
};

fn hosts() -> Vec<Lender> {
    let host = |text: &str, is_near| Lender { host: name(text), is_near };
    vec![host("n1", true), host("n2", true), host("s1", false), host("s2", false)]
}

/// Guards against asking only hosts that are short at the same time.
#[test]
fn a_near_and_a_far_host_are_asked_in_turn() {
    let mut lenders = Lenders::default();
    assert_eq!(lenders.choose(at(0), &hosts()), [name("n1"), name("s1")]);
    assert!(lenders.choose(at(10), &hosts()).is_empty(), "asked too often");
    assert_eq!(lenders.choose(at(40), &hosts()), [name("n2"), name("s2")]);
}

/// Guards against a flood of questions about a workspace that has used up its limit everywhere.
#[test]
fn hosts_that_had_nothing_are_left_alone_for_a_while() {
    let mut lenders = Lenders::default();
    for lender in hosts() {
        lenders.answered(at(0), &lender.host, 0);
    }
    assert!(lenders.choose(at(100), &hosts()).is_empty());
    assert!(!lenders.has_hope(at(100), &hosts()));
    assert!(lenders.has_hope(at(300), &hosts()));
    lenders.answered(at(100), &name("s2"), 3);
    assert_eq!(lenders.choose(at(100), &hosts()), [name("s2")]);
}
