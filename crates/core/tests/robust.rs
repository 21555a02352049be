//! Robustness tests: no document and no credential of a request may crash a process or keep it
//! busy.
//!
//! Each test target is a plain function over bytes or text, so that a fuzzer can call it as well.

use std::time::{Duration, Instant};

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use marjorampick_core::{constants::DOCUMENT_LIMIT_BYTES, credential, document::Document};

/// Number of random cases per test. The seeds are fixed, so that every run gives the same result.
const CASES: u64 = 3_000;
/// Longest time of one case. It is far above the usual microseconds, as the machine may be busy.
const CASE_TIME_LIMIT: Duration = Duration::from_secs(1);

/// Fragments of documents, which random bytes alone would hardly ever contain.
const DOCUMENT_FRAGMENTS: [&str; 24] = [
    "service = \"signing\"\n",
    "[[route]]\n",
    "path = \"/sign\"\n",
    "methods = [\"POST\"]\n",
    "class = \"signing\"\n",
    "idempotent = true\n",
    "deadline_ms = 18446744073709551615\n",
    "[[region]]\n",
    "name = \"ee-north\"\n",
    "weight = -0.0\n",
    "weight = nan\n",
    "slots_per_backend = 9223372036854775807\n",
    "[shift]\n",
    "percent_per_second = 1e308\n",
    "[headroom]\n",
    "percent = inf\n",
    "[cross_region]\n",
    "bytes_per_second = 1979-05-27\n",
    "[[workspace]]\n",
    "rate_per_second = 200\n",
    "burst = -1\n",
    "keys = [\"sha256:\u{e9}\", {a = 1}]\n",
    "[a.b.c]\n",
    "\"\"\"",
];

/// Names of request headers.
const HEADER_NAMES: [&str; 5] = ["authorization", "X-Api-Key", "cookie", "Cookie", "host"];
/// Fragments of header values and query strings that hold a key.
const KEY_FRAGMENTS: [&str; 8] = [
    "Bearer abc",
    "bearer\t",
    "api_key=abc",
    "a%70i_key=%",
    "%61pi%5",
    "; API_KEY=\"a\"",
    "&api_key",
    "\u{e9}%ff",
];

fn check(property: impl Fn(&mut Unstructured<'_>) -> Result<()>) {
    for run in 1..=CASES {
        arbtest(|u| {
            let started_at = Instant::now();
            let result = property(u);
            assert!(started_at.elapsed() < CASE_TIME_LIMIT, "took {:?}", started_at.elapsed());
            result
        })
        .seed(run << 32 | 512)
        .run();
    }
}

/// Generates text from fragments and random characters in random order.
fn random_text(u: &mut Unstructured<'_>, fragments: &[&str]) -> Result<String> {
    let mut text = String::new();
    for _ in 0..u.int_in_range(0..=16)? {
        if u.ratio(1, 4)? {
            text.push_str(u.arbitrary()?);
        } else {
            text.push_str(u.choose(fragments)?);
        }
    }
    Ok(text)
}

/// Parses a document. If it is valid, queries must not panic, and rates and weights must be finite
/// and not negative, as they are divided among hosts and regions.
fn parse_document(bytes: &[u8]) {
    let source = String::from_utf8_lossy(bytes);
    let Ok(document) = Document::parse(&source) else {
        return;
    };
    let _ = document.route("POST", "/sign");
    let _ = document.region("ee-north");
    for workspace in &document.workspaces {
        let rate = workspace.rate_per_second;
        assert!(rate.is_finite() && rate >= 0.0, "rate {rate} is accepted");
    }
    for region in &document.regions {
        let weight = region.weight;
        assert!(weight.is_finite() && weight >= 0.0, "weight {weight} is accepted");
    }
}

/// Extracts and strips the credentials of a request; the stripped parts must hold no key.
fn strip_credentials(headers: &[(&str, &[u8])], query: &str) {
    let _ = credential::extract(headers.iter().copied(), Some(query));
    let stripped = credential::strip_query(query);
    let rest = credential::extract([], Some(&stripped));
    assert_eq!(rest, Ok(None), "{query:?} keeps a key");
    for (_, value) in headers {
        let stripped = credential::strip_cookies(value);
        let rest = credential::extract([("cookie", stripped.as_ref())], None);
        assert_eq!(rest, Ok(None), "{value:?} keeps a key");
    }
}

#[test]
fn documents_are_parsed_or_rejected() {
    check(|u| {
        parse_document(random_text(u, &DOCUMENT_FRAGMENTS)?.as_bytes());
        parse_document(u.arbitrary()?);
        Ok(())
    });
}

#[test]
fn credentials_are_extracted_or_rejected() {
    check(|u| {
        let mut headers = Vec::new();
        for _ in 0..u.int_in_range(0..=4)? {
            let name = *u.choose(&HEADER_NAMES)?;
            let mut value = random_text(u, &KEY_FRAGMENTS)?.into_bytes();
            value.extend_from_slice(u.arbitrary()?);
            headers.push((name, value));
        }
        let headers: Vec<(&str, &[u8])> = headers.iter().map(|(n, v)| (*n, &v[..])).collect();
        strip_credentials(&headers, &random_text(u, &KEY_FRAGMENTS)?);
        Ok(())
    });
}

/// Guards against work that is quadratic in the size of a document, which may have 1 MB and blocks
/// the control thread while it is checked. Without a limit on the findings that are kept, 280 kB
/// with a finding in every line took 9 s.
#[test]
fn large_inputs_take_bounded_time() {
    let started_at = Instant::now();
    let repeated = |piece: &str| piece.repeat(DOCUMENT_LIMIT_BYTES / piece.len());
    for piece in ["[[workspace]]\nkeys = [\"x\"]\n", "[[region]]\n", "a = 1\n", "[", "a."] {
        parse_document(repeated(piece).as_bytes());
    }
    let cookies = b"api_key=;".repeat(20_000);
    strip_credentials(&[("cookie", &cookies)], &"api_key&".repeat(20_000));
    let elapsed = started_at.elapsed();
    assert!(elapsed < Duration::from_secs(20), "took {elapsed:?}");
}

/// Guards against a limit on kept findings that hides their number or accepts an invalid document.
#[test]
fn every_finding_is_counted() {
    let findings = Document::parse(&"[[region]]\n".repeat(1_000)).expect_err("findings");
    assert!(findings.len() > 1_000);
    assert!(findings.iter().count() < findings.len());
    assert!(findings.to_string().ends_with("more findings are left out"));
}
