//! Tests that each client gets the answer of its own block.

use super::*;
use crate::testing::check;

fn group(index: usize) -> Group {
    Group::new(index).expect("a small index")
}

fn block(text: &str, index: usize) -> Block {
    Block { prefix: text.parse().expect("a prefix"), group: group(index) }
}

fn contains(prefix: Prefix, address: IpAddr) -> bool {
    let same = |a: u128, b: u128, bits: u32| {
        let free = bits - u32::from(prefix.length);
        a.checked_shr(free).unwrap_or(0) == b.checked_shr(free).unwrap_or(0)
    };
    match (prefix.address, address) {
        (IpAddr::V4(a), IpAddr::V4(b)) => same(a.to_bits().into(), b.to_bits().into(), 32),
        (IpAddr::V6(a), IpAddr::V6(b)) => same(a.to_bits(), b.to_bits(), 128),
        _ => false,
    }
}

/// Compares the ranges with a linear search through all blocks, at addresses near the edges of
/// nested, adjacent and all-covering blocks.
#[test]
fn the_longest_prefix_wins() {
    check(1500, 512, |u| {
        let mut blocks: Vec<Block> = Vec::new();
        for index in 0..u.int_in_range(0..=24)? {
            // Few distinct bits at both ends, so that blocks are often nested or adjacent.
            let bits = u128::from(u.int_in_range(0..=7_u8)?) << 125
                | u128::from(u.int_in_range(0..=7_u8)?) << 96
                | u128::from(u.int_in_range(0..=3_u8)?);
            let length = *u.choose(&[0, 1, 2, 3, 30, 31, 32, 126, 127, 128])?;
            let (address, length): (IpAddr, u8) = if u.arbitrary()? || length > 32 {
                let mask = u128::MAX.checked_shr(length.into()).unwrap_or(0);
                (Ipv6Addr::from_bits(bits & !mask).into(), length)
            } else {
                let mask = u32::MAX.checked_shr(length.into()).unwrap_or(0);
                (Ipv4Addr::from_bits((bits >> 96) as u32 & !mask).into(), length)
            };
            let prefix = Prefix { address, length };
            if blocks.iter().all(|known| known.prefix != prefix) {
                blocks.push(Block { prefix, group: group(index % 5) });
            }
        }
        let table = Blocks::new(blocks.iter().copied()).expect("valid blocks");
        for at in 0..=blocks.len() {
            let edge = blocks.get(at).map_or(IpAddr::from([0; 4]), |block| block.prefix.address);
            let (near, length) = (u.int_in_range(-1..=1_i8)?, u.int_in_range(0..=3_u32)?);
            let address: IpAddr = match edge {
                IpAddr::V4(a) => {
                    let bits = a.to_bits().wrapping_add_signed(near.into());
                    Ipv4Addr::from_bits(bits ^ 1_u32.rotate_right(length)).into()
                }
                IpAddr::V6(a) => {
                    let bits = a.to_bits().wrapping_add_signed(near.into());
                    Ipv6Addr::from_bits(bits ^ u128::from(length == 0)).into()
                }
            };
            let matching = blocks.iter().filter(|block| contains(block.prefix, address));
            let longest = matching.max_by_key(|block| block.prefix.length);
            let mapped = matches!(address, IpAddr::V6(a) if a.to_ipv4_mapped().is_some());
            let expected = longest.map(|block| block.group);
            assert!(mapped || table.group(address) == expected, "{address} in {blocks:?}");
        }
        Ok(())
    });
}

/// A new answer for one group must not change other answers or rebuild the blocks.
#[test]
fn changing_one_group_keeps_the_others() {
    let blocks = [block("10.0.0.0/8", 0), block("10.1.0.0/16", 1), block("2001:db8::/32", 1)];
    let blocks = Arc::new(Blocks::new(blocks).unwrap());
    let answers = || vec![Arc::new("north"), Arc::new("south")];
    let old = Table::new(blocks.clone(), answers(), Arc::new("any")).unwrap();
    let mut new = old.clone();
    new.set_answer(group(1), Arc::new("central")).unwrap();
    assert!(Arc::ptr_eq(old.blocks(), new.blocks()));
    for (address, before, after) in [
        ("10.0.0.1", "north", "north"),
        ("10.1.255.255", "south", "central"),
        ("::ffff:10.1.2.3", "south", "central"),
        ("2001:db8::1", "south", "central"),
        ("10.2.0.0", "north", "north"),
        ("11.0.0.0", "any", "any"),
    ] {
        let address = address.parse().unwrap();
        assert_eq!((**old.answer(address), **new.answer(address)), (before, after), "{address}");
    }
    assert_eq!(new.set_answer(group(2), Arc::new("")), Err(Fault::NoAnswer(group(2))));
    let short = Table::new(blocks, vec![Arc::new("north")], Arc::new("any"));
    assert_eq!(short.err(), Some(Fault::NoAnswer(group(1))));
}

/// Invalid prefixes, duplicate blocks and group indexes beyond the limit must be rejected.
#[test]
fn invalid_blocks_are_rejected() {
    let twice = [block("10.0.0.0/8", 0), block("10.0.0.0/8", 1)];
    let invalid = |text| Blocks::new([block(text, 0)]).err();
    assert_eq!(Blocks::new(twice).err(), Some(Fault::Duplicate(twice[0].prefix)));
    for text in ["10.0.0.1/8", "10.0.0.0/33", "::1/127", "::/129"] {
        assert_eq!(invalid(text), Some(Fault::Invalid(text.parse().unwrap())), "{text}");
    }
    for text in ["10.0.0.0", "10.0.0/8", "10.0.0.0/x", ""] {
        assert_eq!(text.parse::<Prefix>(), Err(Fault::Malformed(text.to_owned())));
    }
    assert_eq!(Group::new(Group::MAX_COUNT), None);
    assert_eq!(group(Group::MAX_COUNT - 1).index(), Group::MAX_COUNT - 1);
}
