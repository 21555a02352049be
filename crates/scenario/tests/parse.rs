//! Robustness tests: no scenario file may crash the parser or keep it busy.
//!
//! The test target is a plain function over bytes, so that a fuzzer can call it as well.

use std::time::{Duration, Instant};

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use marjorampick_scenario::parse;

/// Number of random cases. The seeds are fixed, so that every run gives the same result.
const CASES: u64 = 3_000;
/// Longest time of one case. It is far above the usual microseconds, as the machine may be busy.
const CASE_TIME_LIMIT: Duration = Duration::from_secs(1);

/// Fragments of statements, which random bytes alone would hardly ever contain.
const STATEMENT_FRAGMENTS: [&str; 24] = [
    "at ",
    "1e300",
    "-1",
    "nan",
    "inf",
    "h ",
    "ms ",
    "5s ",
    "kill ",
    "host ",
    "hosts 1, 2",
    "hosts 0",
    "all hosts ",
    "expect ",
    "at least ",
    "% of the omniscient limiter ",
    "from ",
    "to ",
    "end at ",
    "load a ",
    "99999999999999999999 ",
    "via host ",
    "\n",
    "#\r\n",
];

/// Parses a scenario. A valid one must have an end, an invalid one at least one finding.
fn parse_scenario(bytes: &[u8]) {
    let source = String::from_utf8_lossy(bytes);
    match parse::parse(&source) {
        Ok(script) => assert!(!script.end.is_zero()),
        Err(findings) => assert!(!findings.is_empty()),
    }
}

/// Generates text from fragments and random characters in random order.
fn random_text(u: &mut Unstructured<'_>) -> Result<String> {
    let mut source = String::new();
    for _ in 0..u.int_in_range(0..=24)? {
        if u.ratio(1, 8)? {
            source.push_str(u.arbitrary()?);
        } else {
            source.push_str(u.choose(&STATEMENT_FRAGMENTS)?);
        }
    }
    Ok(source)
}

#[test]
fn scenarios_are_parsed_or_rejected() {
    for run in 1..=CASES {
        arbtest(|u| {
            let started_at = Instant::now();
            parse_scenario(random_text(u)?.as_bytes());
            parse_scenario(u.arbitrary()?);
            assert!(started_at.elapsed() < CASE_TIME_LIMIT, "took {:?}", started_at.elapsed());
            Ok(())
        })
        .seed(run << 32 | 512)
        .run();
    }
}

/// Times that do not fit into a duration, and references to hosts or workspaces that do not exist,
/// must be reported with their line. Otherwise they would panic in the simulation.
#[test]
fn invalid_times_and_references_are_reported() {
    for line in [
        "at -1s kill host 1",
        "at nans kill host 1",
        "at infs kill host 1",
        "at 1e300h kill host 1",
        "at 1s pause host 1 for 1e300s",
        "at 1s kill host 0",
        "at 1s kill host 9",
        "at 1s set a rate 1 burst 1 via host 9",
        "load a 1 per second on host 9 from 1s to 2s",
        "load a 0 per second on host 1 from 1s to 2s",
        "load missing 1 per second on host 1 from 1s to 2s",
        "expect nothing admitted for missing from 1s to 2s",
        "expect host 9 to list 8 members at 1s",
        "hosts 0",
    ] {
        let source = format!("hosts 8\nworkspace a rate 1 burst 1\n{line}\nend at 5s\n");
        let findings = parse::parse(&source).expect_err(line);
        let lines: Vec<usize> = findings.iter().map(|finding| finding.line).collect();
        assert_eq!(lines, [3], "{line}");
    }
}
