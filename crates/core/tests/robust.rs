//! Guards against input from outside that ends a process or keeps it busy: documents, and the
//! credentials of requests. Each target is a plain function over bytes, so that a fuzzer can call it.

use std::time::{Duration, Instant};

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use marjorampick_core::{constants::DOCUMENT_LIMIT_BYTES, credential, document::Document};

/// Seeds of each target; fixed, so that every run of the suite gives the same verdict.
const CASES: u64 = 3_000;
/// Longest time of one case. Far above the usual microseconds, as the machine may be busy.
const CASE_BOUND: Duration = Duration::from_secs(1);

/// Pieces of valid documents, which random bytes alone would hardly ever contain.
const PIECES: [&str; 24] = [
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

const NAMES: [&str; 5] = ["authorization", "X-Api-Key", "cookie", "Cookie", "host"];
const KEYS: [&str; 8] = [
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
            let begun = Instant::now();
            let result = property(u);
            assert!(begun.elapsed() < CASE_BOUND, "took {:?}", begun.elapsed());
            result
        })
        .seed(run << 32 | 512)
        .run();
    }
}

/// Pieces and random text in random order.
fn mixed(u: &mut Unstructured<'_>, pieces: &[&str]) -> Result<String> {
    let mut text = String::new();
    for _ in 0..u.int_in_range(0..=16)? {
        if u.ratio(1, 4)? {
            text.push_str(u.arbitrary()?);
        } else {
            text.push_str(u.choose(pieces)?);
        }
    }
    Ok(text)
}

/// Reads a document. One that is accepted must answer queries and be safe to divide.
fn read_document(bytes: &[u8]) {
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

/// Finds a credential and removes it; what is left must hold none.
fn read_credentials(headers: &[(&str, &[u8])], query: &str) {
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
fn documents_are_read_or_refused() {
    check(|u| {
        read_document(mixed(u, &PIECES)?.as_bytes());
        read_document(u.arbitrary()?);
        Ok(())
    });
}

#[test]
fn credentials_are_found_or_refused() {
    check(|u| {
        let mut headers = Vec::new();
        for _ in 0..u.int_in_range(0..=4)? {
            let name = *u.choose(&NAMES)?;
            let mut value = mixed(u, &KEYS)?.into_bytes();
            value.extend_from_slice(u.arbitrary()?);
            headers.push((name, value));
        }
        let headers: Vec<(&str, &[u8])> = headers.iter().map(|(n, v)| (*n, &v[..])).collect();
        read_credentials(&headers, &mixed(u, &KEYS)?);
        Ok(())
    });
}

/// Guards against work that grows with the square of a document's size: a document may have 1 MB, and
/// the control thread checks it. A finding in every line took 9 s for 280 kB before findings had a bound.
#[test]
fn large_input_takes_bounded_time() {
    let begun = Instant::now();
    let repeated = |piece: &str| piece.repeat(DOCUMENT_LIMIT_BYTES / piece.len());
    for piece in ["[[workspace]]\nkeys = [\"x\"]\n", "[[region]]\n", "a = 1\n", "[", "a."] {
        read_document(repeated(piece).as_bytes());
    }
    let cookies = b"api_key=;".repeat(20_000);
    read_credentials(&[("cookie", &cookies)], &"api_key&".repeat(20_000));
    let elapsed = begun.elapsed();
    assert!(elapsed < Duration::from_secs(20), "took {elapsed:?}");
}

/// Guards against a bound that hides how much is wrong, or that lets a document through.
#[test]
fn every_finding_is_counted() {
    let findings = Document::parse(&"[[region]]\n".repeat(1_000)).expect_err("findings");
    assert!(findings.len() > 1_000);
    assert!(findings.iter().count() < findings.len());
    assert!(findings.to_string().ends_with("more findings are left out"));
}
