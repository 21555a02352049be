//! Guards against fields that are lost or changed by the conversion to or from protobuf, and
//! against panics on invalid messages of peers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use arbtest::{arbitrary::Result, arbitrary::Unstructured, arbtest};
use marjorampick_core::{
    budget::{Budget, Loan, LoanRequest, LoanReturn, Spare},
    catalog::{Record, Update},
    claim::{self, Handover, Name, Outcome, Reply, Resolution, State, Verdict},
    member::{Heartbeat, HeartbeatReply},
    message::{Envelope, Message, Sender, ServiceWeights},
};
use marjorampick_link::{
    convert::{self, Fault},
    generated::peer,
};

#[test]
fn decoding_an_encoded_message_gives_the_same_message() {
    arbtest(|u| {
        let envelope = envelope(u)?;
        let decoded = convert::decode(&convert::encode(&envelope));
        assert_eq!(decoded.as_ref(), Ok(&envelope));
        Ok(())
    });
}

#[test]
fn decoding_invalid_bytes_does_not_panic() {
    arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let _ = convert::decode(&bytes);
        let mut corrupted = convert::encode(&envelope(u)?);
        let index = u.choose_index(corrupted.len())?;
        corrupted[index] = u.arbitrary()?;
        let _ = convert::decode(&corrupted);
        Ok(())
    });
}

#[test]
fn faults_contain_the_name_of_the_field() {
    let mut wire = peer::Envelope {
        host: "a".to_owned(),
        incarnation: 1,
        peer: "nowhere".to_owned(),
        message: None,
    };
    assert_eq!(convert::from_wire(wire.clone()), Err(Fault::Invalid("peer")));
    wire.peer = "127.0.0.1:1".to_owned();
    assert_eq!(convert::from_wire(wire.clone()), Err(Fault::Missing("message")));
    let weight = peer::RegionWeight { region: "north".to_owned(), weight: f64::NAN };
    let service = peer::ServiceWeights { service: "signing".to_owned(), regions: vec![weight] };
    wire.message =
        Some(peer::envelope::Message::Weights(peer::Weights { services: vec![service] }));
    assert_eq!(convert::from_wire(wire), Err(Fault::Invalid("weight")));
    assert_eq!(convert::decode(&[0xff]), Err(Fault::Malformed));
}

fn envelope(u: &mut Unstructured<'_>) -> Result<Envelope> {
    let from = Sender {
        host: format!("h{}", u.arbitrary::<u8>()?).into(),
        incarnation: u.arbitrary()?,
        peer: SocketAddr::new(u.arbitrary::<[u8; 4]>()?.into(), u.arbitrary()?),
    };
    let message = message(u)?;
    Ok(Envelope { from, message })
}

fn message(u: &mut Unstructured<'_>) -> Result<Message> {
    Ok(match u.int_in_range(0..=14)? {
        0 => Message::Heartbeat(Heartbeat {
            sequence: u.arbitrary()?,
            revision: u.arbitrary()?,
            suspected: list(u, text)?,
            spare: list(u, spare)?,
            leaving: u.arbitrary()?,
        }),
        1 => Message::HeartbeatReply(HeartbeatReply {
            sequence: u.arbitrary()?,
            revision: u.arbitrary()?,
        }),
        2 => Message::UpdateRequest { since: u.arbitrary()? },
        3 => Message::Update(Update {
            since: u.arbitrary()?,
            through: u.arbitrary()?,
            records: list(u, record)?,
        }),
        4 => Message::LoanRequest(LoanRequest {
            id: u.arbitrary()?,
            budget: budget(u)?,
            wanted: u.arbitrary()?,
            rate_wanted: u.arbitrary()?,
        }),
        5 => Message::Loan(loan(u)?),
        6 => Message::LoanReturn(LoanReturn {
            id: u.arbitrary()?,
            budget: budget(u)?,
            slots: u.arbitrary()?,
        }),
        7 => Message::ClaimRequest(claim::Request {
            id: u.arbitrary()?,
            name: name(u)?,
            fingerprint: u.arbitrary()?,
            revision: u.arbitrary()?,
        }),
        8 => Message::ClaimReply(Reply { id: u.arbitrary()?, verdict: verdict(u)? }),
        9 => Message::ClaimReplica(claim::Replica { id: u.arbitrary()?, record: claim_record(u)? }),
        10 => Message::ClaimAcknowledgement { id: u.arbitrary()? },
        11 => Message::ClaimResolution(Resolution {
            id: u.arbitrary()?,
            name: name(u)?,
            state: state(u)?,
        }),
        12 => Message::ClaimHandover(Handover {
            id: u.arbitrary()?,
            revision: u.arbitrary()?,
            records: list(u, claim_record)?,
            complete: u.arbitrary()?,
            ready_revisions: list(u, |u| u.arbitrary())?,
        }),
        13 => Message::WeightsRequest,
        _ => Message::Weights(list(u, weights)?),
    })
}

fn list<T>(
    u: &mut Unstructured<'_>,
    item: impl Fn(&mut Unstructured<'_>) -> Result<T>,
) -> Result<Vec<T>> {
    let length = u.int_in_range(0..=3)?;
    (0..length).map(|_| item(u)).collect()
}

fn text(u: &mut Unstructured<'_>) -> Result<Arc<str>> {
    Ok(Arc::from(u.arbitrary::<&str>()?))
}

fn record(u: &mut Unstructured<'_>) -> Result<Record> {
    Ok(Record { key: text(u)?, revision: u.arbitrary()?, value: text(u)? })
}

fn budget(u: &mut Unstructured<'_>) -> Result<Budget> {
    let service = text(u)?;
    Ok(match u.int_in_range(0..=2)? {
        0 => Budget::Workspace { service, workspace: text(u)? },
        1 => Budget::CrossRegion { service },
        _ => Budget::Region { service, region: text(u)? },
    })
}

fn spare(u: &mut Unstructured<'_>) -> Result<Spare> {
    Ok(Spare { budget: budget(u)?, amount: u.arbitrary()? })
}

fn loan(u: &mut Unstructured<'_>) -> Result<Loan> {
    Ok(Loan {
        id: u.arbitrary()?,
        budget: budget(u)?,
        tokens: u.arbitrary()?,
        burst: u.arbitrary()?,
        rate: u.arbitrary()?,
        term: Duration::from_millis(u.arbitrary()?),
        spare: u.arbitrary()?,
    })
}

fn name(u: &mut Unstructured<'_>) -> Result<Name> {
    Ok(Name { service: text(u)?, workspace: text(u)?, key: text(u)? })
}

fn outcome(u: &mut Unstructured<'_>) -> Result<Outcome> {
    Ok(Outcome {
        status: u.arbitrary()?,
        headers: list(u, |u| Ok((text(u)?, text(u)?)))?,
        body: u.arbitrary::<&[u8]>()?.into(),
    })
}

fn state(u: &mut Unstructured<'_>) -> Result<State> {
    Ok(match u.int_in_range(0..=3)? {
        0 => State::Running,
        1 => State::Done(outcome(u)?),
        2 => State::DoneWithoutAnswer,
        _ => State::Unknown,
    })
}

fn verdict(u: &mut Unstructured<'_>) -> Result<Verdict> {
    Ok(match u.int_in_range(0..=6)? {
        0 => Verdict::Granted,
        1 => Verdict::Running,
        2 => Verdict::Done(outcome(u)?),
        3 => Verdict::DoneWithoutAnswer,
        4 => Verdict::Unknown,
        5 => Verdict::Mismatch,
        _ => Verdict::Unavailable,
    })
}

fn claim_record(u: &mut Unstructured<'_>) -> Result<claim::Record> {
    Ok(claim::Record {
        name: name(u)?,
        fingerprint: u.arbitrary()?,
        holder: text(u)?,
        incarnation: u.arbitrary()?,
        id: u.arbitrary()?,
        revision: u.arbitrary()?,
        sequence: u.arbitrary()?,
        state: state(u)?,
        age_ms: u.arbitrary()?,
    })
}

fn weights(u: &mut Unstructured<'_>) -> Result<ServiceWeights> {
    let region = |u: &mut Unstructured<'_>| {
        let weight: u16 = u.arbitrary()?;
        Ok((text(u)?, f64::from(weight) / f64::from(u16::MAX)))
    };
    Ok(ServiceWeights { service: text(u)?, regions: list(u, region)? })
}
