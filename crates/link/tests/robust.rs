//! Guards against panics and long processing on invalid input: messages of peers, and settings.
//! Each target is a plain function of bytes, so that a fuzzer can call it.

use std::time::{Duration, Instant};

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use marjorampick_core::{
    catalog::{Record, Update},
    finding::Findings,
    member::Heartbeat,
    message::{Envelope, Message, Sender},
    reader::Table,
};
use marjorampick_link::{convert, settings};

/// Number of cases of each test. Their seeds are fixed, so that every run has the same result.
const CASE_COUNT: u64 = 3_000;

/// Time limit of one case. A case usually takes microseconds, but the machine may be busy.
const CASE_TIME_LIMIT: Duration = Duration::from_secs(1);

/// Pieces of settings files, valid and invalid, from which the cases are composed.
const PIECES: [&str; 12] = [
    "[peers]\n",
    "listen = \"127.0.0.1:80\"\n",
    "listen = \"[::1%1]:0\"\n",
    "name = \"a-1\"\n",
    "endpoints = [\"http://[::1]:1\", \"http://\"]\n",
    "endpoints = [\"http://a@:1\", 1]\n",
    "digest = \"sha256:\u{e9}\"\n",
    "seeds = [[], {}]\n",
    "milliseconds = -9223372036854775808\n",
    "milliseconds = 9223372036854775807\n",
    "'''",
    "[a.b]\n",
];

/// Runs a property for all cases and checks the time of each.
fn check(property: impl Fn(&mut Unstructured<'_>) -> Result<()>) {
    for run in 1..=CASE_COUNT {
        arbtest(|u| {
            let started = Instant::now();
            let result = property(u);
            assert!(started.elapsed() < CASE_TIME_LIMIT, "took {:?}", started.elapsed());
            result
        })
        .seed(run << 32 | 512)
        .run();
    }
}

/// Decodes a message. If it is valid, encoding and decoding it again must not change it.
fn check_message(bytes: &[u8]) {
    if let Ok(envelope) = convert::decode(bytes) {
        let decoded_again = convert::decode(&convert::encode(&envelope));
        // Compared as text, because NaN is not equal to itself.
        assert_eq!(
            format!("{decoded_again:?}"),
            format!("{:?}", Ok::<_, convert::Fault>(envelope))
        );
    }
}

/// Reads a table with values of all types that settings have.
fn check_settings(bytes: &[u8]) {
    let source = String::from_utf8_lossy(bytes);
    let mut findings = Findings::default();
    let mut table = Table::parse(&source, &mut findings);
    let mut section = table.table(&mut findings, "peers");
    let _ = settings::address(&mut section, &mut findings, "listen");
    let _ = settings::name(&mut section, &mut findings, "name");
    let _ = settings::uris(&mut section, &mut findings, "endpoints");
    let _ = settings::addresses(&mut section, &mut findings, "seeds");
    let _ = settings::digest(&mut section, &mut findings, "digest");
    let _ = settings::milliseconds(&mut section, &mut findings, "milliseconds", 1..=1_000, 5);
    section.finish(&mut findings);
    table.finish(&mut findings);
    assert!(findings.iter().all(|finding| !finding.text.is_empty()));
}

fn valid_message(u: &mut Unstructured<'_>) -> Result<Envelope> {
    let message = if u.arbitrary()? {
        Message::Heartbeat(Heartbeat {
            sequence: u.arbitrary()?,
            revision: u.arbitrary()?,
            suspected: vec!["b".into()],
            spare: Vec::new(),
            leaving: u.arbitrary()?,
        })
    } else {
        Message::Update(Update {
            since: u.arbitrary()?,
            through: u.arbitrary()?,
            records: vec![Record {
                key: "members".into(),
                revision: u.arbitrary()?,
                value: "x".into(),
            }],
        })
    };
    let from =
        Sender { host: "a".into(), incarnation: u.arbitrary()?, peer: ([127, 0, 0, 1], 1).into() };
    Ok(Envelope { from, message })
}

#[test]
fn decoding_messages_is_fast_and_does_not_panic() {
    check(|u| {
        let mut bytes = convert::encode(&valid_message(u)?);
        for _ in 0..u.int_in_range(0..=4)? {
            let index = u.choose_index(bytes.len())?;
            bytes[index] = u.arbitrary()?;
        }
        let truncated_length = u.int_in_range(0..=bytes.len())?;
        check_message(&bytes);
        check_message(&bytes[..truncated_length]);
        check_message(u.arbitrary()?);
        Ok(())
    });
}

#[test]
fn reading_settings_is_fast_and_does_not_panic() {
    check(|u| {
        let mut source = String::from("[peers]\n");
        for _ in 0..u.int_in_range(0..=10)? {
            if u.ratio(1, 4)? {
                source.push_str(u.arbitrary()?);
            } else {
                source.push_str(u.choose(&PIECES)?);
            }
        }
        check_settings(source.as_bytes());
        check_settings(u.arbitrary()?);
        Ok(())
    });
}
