//! Tests that no key is forwarded to a backend server, and that no request runs under an ambiguous
//! key.

use super::*;
use crate::testing::check;

const KEY: &str = "K0123456789abcdefZ";

fn extract_text(
    headers: &[(&str, &str)],
    query: Option<&str>,
) -> Result<Option<Credential>, Fault> {
    extract(headers.iter().map(|&(name, value)| (name, value.as_bytes())), query)
}

/// Guards against a place in which a key is missed, or yields another digest.
#[test]
fn each_place_yields_the_same_key() {
    let cookie = format!("a=1; api_key=\"{KEY}\"; b=2");
    type Case<'a> = (&'a [(&'a str, &'a str)], Option<String>, Place);
    let cases: [Case<'_>; 6] = [
        (&[("Authorization", &format!("bEARER  {KEY}"))], None, Place::Authorization),
        (&[("X-API-KEY", KEY)], None, Place::ApiKey),
        (&[("cookie", &cookie)], None, Place::Cookie),
        (&[], Some(format!("a=1&api_key={KEY}")), Place::Query),
        (&[], Some(format!("api%5fkey={}", KEY.replace('K', "%4B"))), Place::Query),
        (&[], Some(format!("a=1;API_KEY={KEY}")), Place::Query),
    ];
    for (headers, query, place) in cases {
        let found = extract_text(headers, query.as_deref()).unwrap().unwrap();
        assert_eq!(found, Credential { digest: Digest::of_key(KEY.as_bytes()), place });
        assert!(!format!("{found:?}").contains("012345"), "{found:?}");
    }
    assert_eq!(
        extract_text(&[("accept", "x"), ("cookie", "a=1")], Some("b=2&api_keys=1")),
        Ok(None)
    );
}

/// Guards against accepting several keys, where the order of parsing would decide which one counts.
#[test]
fn ambiguous_and_malformed_keys_are_rejected() {
    let header = ("x-api-key", "k1");
    let query = |text| extract_text(&[], Some(text));
    assert_eq!(extract_text(&[header], Some("api_key=k1")), Err(Fault::Conflicting));
    assert_eq!(extract_text(&[header, ("cookie", "api_key=")], None), Err(Fault::Conflicting));
    assert_eq!(extract_text(&[header, header], None), Err(Fault::Duplicated(Place::ApiKey)));
    assert_eq!(query("api_key=a&api%5Fkey=a"), Err(Fault::Duplicated(Place::Query)));
    for text in ["api_key", "api_key=", "api_key=%20", "api_key=a%2Cb", "api_key=%ff"] {
        assert_eq!(query(text), Err(Fault::Malformed(Place::Query)), "{text}");
    }
    for value in ["Basic abc", "Bearer", "Bearer ", "Bearera", "Bearer a b", "Bearer a,b"] {
        let found = extract_text(&[("authorization", value)], None);
        assert_eq!(found, Err(Fault::Malformed(Place::Authorization)), "{value}");
    }
}

/// Guards against changes to the other parameters and cookies, which belong to the backend server.
#[test]
fn other_parameters_and_cookies_keep_bytes_and_order() {
    for (query, expected) in [
        ("a=%41&api_key=x&&b", "a=%41&&b"),
        ("api_key=x&a=1;api%5Fkey=y;b=2", "a=1;b=2"),
        ("api_key=x", ""),
        ("a=api_key&b=1+2&", "a=api_key&b=1+2&"),
    ] {
        assert_eq!(strip_query(query), expected);
    }
    assert_eq!(strip_cookies(b"api_key=x; a=\xff;  b").as_ref(), b"a=\xff;  b");
    assert_eq!(strip_cookies(b"a=1; API%5FKEY=x; b=2").as_ref(), b"a=1; b=2");
    assert_eq!(strip_cookies(b"api_key=x").as_ref(), b"");
}

/// Spells `name` with random case and percent-encoding.
fn random_spelling(u: &mut arbtest::arbitrary::Unstructured<'_>, name: &str) -> String {
    let mut written = String::new();
    for c in name.chars() {
        match u.int_in_range(0..=3).unwrap_or(0) {
            0 => written.push_str(&format!("%{:02x}", u32::from(c))),
            1 => written.push_str(&format!("%{:02X}", u32::from(c.to_ascii_uppercase()))),
            2 => written.push(c.to_ascii_uppercase()),
            _ => written.push(c),
        }
    }
    written
}

/// Guards against a spelling of the name under which part of a key is forwarded, and against one
/// that is stripped but not counted as a key.
#[test]
fn no_part_of_a_key_is_forwarded() {
    check(3000, 256, |u| {
        let mut pieces = Vec::new();
        for _ in 0..u.int_in_range(0..=6)? {
            pieces.push(match u.int_in_range(0..=3)? {
                0 => format!("{}={KEY}", random_spelling(u, "api_key")),
                1 => format!(" {} = {KEY}", random_spelling(u, "api_key")),
                2 => u.choose(&["", "=", "%", "a=%zz", "b=%4", "api_ke=1", "é=1"])?.to_string(),
                _ => format!("p{}=v", u.int_in_range(0..=9)?),
            });
        }
        let separator = *u.choose(&["&", ";", "; ", ","])?;
        let source = pieces.join(separator);
        let kept: Vec<_> = pieces.iter().filter(|piece| !piece.contains(KEY)).cloned().collect();
        let keys = pieces.len() - kept.len();
        let compare = |stripped: &str, found: Result<Option<Credential>, Fault>| {
            assert!(!stripped.contains(&KEY[1..4]), "{source} -> {stripped}");
            let text = kept.join(separator);
            assert_eq!(stripped.trim_start(), text.trim_start(), "{source}");
            assert_eq!(matches!(found, Ok(None)), keys == 0, "{source}");
            assert_eq!(matches!(found, Err(Fault::Duplicated(_))), keys > 1, "{source}");
        };
        if separator != "," {
            compare(&strip_query(&source), extract([], Some(&source)));
        }
        if separator != "&" {
            let cookies = strip_cookies(source.as_bytes());
            let found = extract([("Cookie", source.as_bytes())], None);
            compare(std::str::from_utf8(&cookies).unwrap(), found);
        }
        Ok(())
    });
}
