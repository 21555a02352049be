//! Edits of a document's text. They must change only the intended value, preserve comments and
//! result in a valid document.

use marjorampick_core::document::{Digest, Document};
use marjorampick_ctl::edit::{add_key, remove_key, set_drain};
use marjorampick_link::exit::Exit;

const DOCUMENT: &str = r#"# Signing of contracts.
service = "signing"
[[route]]
path = "/sign"
class = "signing"
[[region]]
name = "ee-north" # the store is here
weight = 60
slots_per_backend = 7
[[region]]
name = "fi-south"
drain = false # until the cold caches are filled
weight = 40
slots_per_backend = 7
[[workspace]]
name = "anchor"
rate_per_second = 200
burst = 400
[[workspace]]
name = "small"
rate_per_second = 2
burst = 4
keys = [
    # first key
]
"#;

/// A document that has the same arrays as inline tables.
const INLINE: &str = r#"
service = "signing"
route = [{ path = "/sign", class = "signing" }]
region = [{ name = "a", weight = 1, slots_per_backend = 1 }, { name = "b", weight = 1, slots_per_backend = 1 }]
workspace = [{ name = "anchor", rate_per_second = 1, burst = 1 }]
"#;

fn drains(text: &str) -> Vec<bool> {
    let document = Document::parse(text).expect("a document");
    document.regions.iter().map(|region| region.drain).collect()
}

fn owner(text: &str, digest: Digest) -> Option<String> {
    let document = Document::parse(text).expect("a document");
    let owner = document.workspace_by_digest(&digest);
    owner.map(|workspace| workspace.name.to_string())
}

#[test]
fn drain_changes_one_value_and_can_be_reverted() {
    let drained = set_drain(DOCUMENT, "fi-south", true).expect("a drain");
    assert_eq!(drained, DOCUMENT.replace("drain = false", "drain = true"));
    assert_eq!(set_drain(&drained, "fi-south", true).ok(), Some(drained.clone()));
    assert_eq!(set_drain(&drained, "fi-south", false).ok().as_deref(), Some(DOCUMENT));
    let first = set_drain(DOCUMENT, "ee-north", true).expect("a drain");
    assert_eq!(drains(&first), [true, false]);
    assert!(first.contains("# the store is here"));
    let inline = set_drain(INLINE, "b", true).expect("a drain");
    assert_eq!(drains(&inline), [false, true]);
    let unknown = set_drain(DOCUMENT, "west", true).expect_err("no such region");
    assert_eq!(unknown.exit, Exit::NotFound);
    let last = set_drain(&first, "fi-south", true).expect_err("no region left");
    assert_eq!(last.exit, Exit::Invalid);
}

#[test]
fn keys_are_added_and_removed_in_every_layout() {
    let one = Digest::of_key(b"one");
    let two = Digest::of_key(b"two");
    for (text, workspace) in [(DOCUMENT, "anchor"), (DOCUMENT, "small"), (INLINE, "anchor")] {
        let with_one = add_key(text, workspace, one).expect("a key");
        let with_both = add_key(&with_one, workspace, two).expect("a second key");
        assert_eq!(owner(&with_both, one).as_deref(), Some(workspace));
        assert_eq!(owner(&with_both, two).as_deref(), Some(workspace));
        let without_one = remove_key(&with_both, one).expect("a removal");
        assert_eq!(owner(&without_one, one), None);
        assert_eq!(owner(&without_one, two).as_deref(), Some(workspace));
        let without_both = remove_key(&without_one, two).expect("a removal");
        assert_eq!(owner(&without_both, two), None);
        let again = remove_key(&without_both, two).expect_err("no such key");
        assert_eq!(again.exit, Exit::NotFound);
    }
    let unknown = add_key(DOCUMENT, "nobody", one).expect_err("no such workspace");
    assert_eq!(unknown.exit, Exit::NotFound);
}
