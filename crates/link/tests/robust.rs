//! Guards against input from outside that ends a process or keeps it busy: messages of peers, and
//! settings. Each target is a plain function over bytes, so that a fuzzer can call it.

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

/// Seeds of each target; fixed, so that every run of the suite gives the same verdict.
const CASES: u64 = 3_000;
/// Longest time of one case. Far above the usual microseconds, as the machine may be busy.
const CASE_BOUND: Duration = Duration::from_secs(1);

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

/// Reads a message. What is accepted must survive being sent on.
fn read_message(bytes: &[u8]) {
    if let Ok(envelope) = convert::decode(bytes) {
        let again = convert::decode(&convert::encode(&envelope));
        // A weight that is not a number differs from itself.
        assert_eq!(format!("{again:?}"), format!("{:?}", Ok::<_, convert::Fault>(envelope)));
    }
}

/// Reads one section with every kind of value that settings have.
fn read_settings(bytes: &[u8]) {
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

fn sample(u: &mut Unstructured<'_>) -> Result<Envelope> {
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
fn messages_are_read_or_refused() {
    check(|u| {
        let mut bytes = convert::encode(&sample(u)?);
        for _ in 0..u.int_in_range(0..=4)? {
            let index = u.choose_index(bytes.len())?;
            bytes[index] = u.arbitrary()?;
        }
        let kept = u.int_in_range(0..=bytes.len())?;
        read_message(&bytes);
        read_message(&bytes[..kept]);
        read_message(u.arbitrary()?);
        Ok(())
    });
}

#[test]
fn settings_are_read_or_refused() {
    check(|u| {
        let mut source = String::from("[peers]\n");
        for _ in 0..u.int_in_range(0..=10)? {
            if u.ratio(1, 4)? {
                source.push_str(u.arbitrary()?);
            } else {
                source.push_str(u.choose(&PIECES)?);
            }
        }
        read_settings(source.as_bytes());
        read_settings(u.arbitrary()?);
        Ok(())
    });
}
