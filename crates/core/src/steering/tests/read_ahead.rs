//! Tests of changes that follow a full read.

use super::super::read_ahead::ReadAhead;

/// A full read returned an instance as draining at revision 12, on a page that was later than the first
/// one at 10. The change at 11, by which it was ready, must not bring it back.
#[test]
fn a_change_before_what_a_later_page_said_is_over() {
    let mut ahead = ReadAhead::default();
    ahead.record("first", 9, 10);
    ahead.record("later", 12, 10);
    assert!(ahead.is_over("later", 11));
    assert!(ahead.is_over("later", 12), "the page said so already");
    assert!(!ahead.is_over("later", 13));
    assert!(!ahead.is_over("first", 11), "the pages do not show this change");
    ahead.reach(11);
    assert!(ahead.is_over("later", 12));
    ahead.reach(12);
    assert!(!ahead.is_over("later", 12), "kept for ever");
}
