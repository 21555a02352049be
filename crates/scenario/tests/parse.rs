//! Guards against scenario files that end the parser with a panic or keep it busy. The target is a
//! plain function over bytes, so that a fuzzer can call it.

use std::time::{Duration, Instant};

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use marjorampick_scenario::parse;

/// Seeds; fixed, so that every run of the suite gives the same verdict.
const CASES: u64 = 3_000;
/// Longest time of one case. Far above the usual microseconds, as the machine may be busy.
const CASE_BOUND: Duration = Duration::from_secs(1);

const PIECES: [&str; 24] = [
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

fn read_scenario(bytes: &[u8]) {
    let source = String::from_utf8_lossy(bytes);
    match parse::parse(&source) {
        Ok(script) => assert!(!script.end.is_zero()),
        Err(findings) => assert!(!findings.is_empty()),
    }
}

fn mixed(u: &mut Unstructured<'_>) -> Result<String> {
    let mut source = String::new();
    for _ in 0..u.int_in_range(0..=24)? {
        if u.ratio(1, 8)? {
            source.push_str(u.arbitrary()?);
        } else {
            source.push_str(u.choose(&PIECES)?);
        }
    }
    Ok(source)
}

#[test]
fn scenarios_are_read_or_refused() {
    for run in 1..=CASES {
        arbtest(|u| {
            let begun = Instant::now();
            read_scenario(mixed(u)?.as_bytes());
            read_scenario(u.arbitrary()?);
            assert!(begun.elapsed() < CASE_BOUND, "took {:?}", begun.elapsed());
            Ok(())
        })
        .seed(run << 32 | 512)
        .run();
    }
}

/// Guards against times that a duration cannot hold, and against hosts that do not exist: both would
/// end the run with a panic instead of a line number.
#[test]
fn impossible_numbers_are_faults() {
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
        let found: Vec<usize> = findings.iter().map(|finding| finding.line).collect();
        assert_eq!(found, [3], "{line}");
    }
}
