//! Tests the encoding of changes that hosts pass on.

use marjorampick_steer::{
    feed::relay,
    store::{Change, Item},
};

fn written(key: &str, value: &[u8], revision: u64) -> Change {
    Change::Written(Item { key: key.to_owned(), value: value.to_vec(), revision })
}

/// A value may be any bytes, as others write to the store, too; it must arrive as it was.
#[test]
fn changes_arrive_as_they_were() {
    let removed = Change::Removed { key: "c".to_owned(), revision: 9 };
    let changes = [written("a", b"old", 3), written("b", &[0xff, 0, b'\n'], 7), removed];
    let payload = relay::encode(&changes, 3).unwrap();
    assert_eq!(relay::decode(&payload).unwrap(), changes[1..]);
    assert_eq!(relay::decode(&relay::encode(&[], 0).unwrap()), Some(Vec::new()));
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
    let payload = relay::encode(&[written("op/config", text.as_bytes(), 2)], 1).unwrap();
    assert!(payload.len() < text.len() / 3, "{} bytes of {}", payload.len(), text.len());
}

/// Malformed payloads, and such that grow without end, are not used.
#[test]
fn malformed_payloads_are_ignored() {
    let payload = relay::encode(&[written("a", b"x", 3)], 0).unwrap();
    assert_eq!(relay::decode(&payload[..payload.len() / 2]), None);
    assert_eq!(relay::decode(b""), None);
    assert_eq!(relay::decode(b"[]"), None);
    let zeros = vec![b'0'; 5 * 1024 * 1024];
    let bomb = relay::encode(&[written("a", &zeros, 3)], 0).unwrap();
    assert!(bomb.len() < 60_000);
    assert_eq!(relay::decode(&bomb), None);
}
