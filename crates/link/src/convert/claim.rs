//! Converts the messages about claims.

use std::sync::Arc;

use marjorampick_core::{claim, constants::CLAIM_BODY_LIMIT_BYTES};

use super::Fault;
use crate::generated::peer;

fn name_to_wire(name: &claim::Name) -> peer::ClaimName {
    peer::ClaimName {
        service: name.service.to_string(),
        workspace: name.workspace.to_string(),
        key: name.key.to_string(),
    }
}

fn name_from_wire(name: Option<peer::ClaimName>) -> Result<claim::Name, Fault> {
    let name = name.ok_or(Fault::Missing("claim name"))?;
    Ok(claim::Name {
        service: name.service.into(),
        workspace: name.workspace.into(),
        key: name.key.into(),
    })
}

fn outcome_to_wire(outcome: &claim::Outcome) -> peer::Outcome {
    let header = |(name, value): &(Arc<str>, Arc<str>)| peer::Header {
        name: name.to_string(),
        value: value.to_string(),
    };
    peer::Outcome {
        status: u32::from(outcome.status),
        headers: outcome.headers.iter().map(header).collect(),
        body: outcome.body.to_vec(),
    }
}

fn outcome_from_wire(outcome: peer::Outcome) -> Result<claim::Outcome, Fault> {
    if outcome.body.len() > CLAIM_BODY_LIMIT_BYTES {
        return Err(Fault::Invalid("body"));
    }
    let header = |header: peer::Header| (Arc::from(header.name), Arc::from(header.value));
    Ok(claim::Outcome {
        status: u16::try_from(outcome.status).map_err(|_| Fault::Invalid("status"))?,
        headers: outcome.headers.into_iter().map(header).collect(),
        body: outcome.body.into(),
    })
}

fn state_to_wire(state: &claim::State) -> peer::ClaimState {
    use peer::claim_state::State;
    let state = match state {
        claim::State::Running => State::Running(peer::Empty {}),
        claim::State::Done(outcome) => State::Done(outcome_to_wire(outcome)),
        claim::State::DoneWithoutAnswer => State::DoneWithoutAnswer(peer::Empty {}),
        claim::State::Unknown => State::Unknown(peer::Empty {}),
        claim::State::Dropped => State::Dropped(peer::Empty {}),
    };
    peer::ClaimState { state: Some(state) }
}

fn state_from_wire(state: peer::ClaimState) -> Result<claim::State, Fault> {
    use peer::claim_state::State;
    Ok(match state.state.ok_or(Fault::Missing("claim state"))? {
        State::Running(_) => claim::State::Running,
        State::Done(outcome) => claim::State::Done(outcome_from_wire(outcome)?),
        State::DoneWithoutAnswer(_) => claim::State::DoneWithoutAnswer,
        State::Unknown(_) => claim::State::Unknown,
        State::Dropped(_) => claim::State::Dropped,
    })
}

fn record_to_wire(record: &claim::Record) -> peer::ClaimRecord {
    peer::ClaimRecord {
        name: Some(name_to_wire(&record.name)),
        fingerprint: record.fingerprint,
        holder: record.holder.to_string(),
        incarnation: record.incarnation,
        state: Some(state_to_wire(&record.state)),
        age_ms: record.age_ms,
        id: record.id,
        revision: record.revision,
        number: record.sequence,
    }
}

fn record_from_wire(record: peer::ClaimRecord) -> Result<claim::Record, Fault> {
    Ok(claim::Record {
        name: name_from_wire(record.name)?,
        fingerprint: record.fingerprint,
        holder: record.holder.into(),
        incarnation: record.incarnation,
        state: state_from_wire(record.state.ok_or(Fault::Missing("claim state"))?)?,
        age_ms: record.age_ms,
        id: record.id,
        revision: record.revision,
        sequence: record.number,
    })
}

pub(super) fn request_to_wire(request: &claim::Request) -> peer::ClaimRequest {
    peer::ClaimRequest {
        id: request.id,
        name: Some(name_to_wire(&request.name)),
        fingerprint: request.fingerprint,
        revision: request.revision,
    }
}

pub(super) fn request_from_wire(request: peer::ClaimRequest) -> Result<claim::Request, Fault> {
    Ok(claim::Request {
        id: request.id,
        name: name_from_wire(request.name)?,
        fingerprint: request.fingerprint,
        revision: request.revision,
    })
}

pub(super) fn reply_to_wire(reply: &claim::Reply) -> peer::ClaimReply {
    use claim::Verdict as Core;
    use peer::claim_reply::Verdict as Wire;
    let verdict = match &reply.verdict {
        Core::Granted => Wire::Granted(peer::Empty {}),
        Core::Running => Wire::Running(peer::Empty {}),
        Core::Done(outcome) => Wire::Done(outcome_to_wire(outcome)),
        Core::DoneWithoutAnswer => Wire::DoneWithoutAnswer(peer::Empty {}),
        Core::Unknown => Wire::Unknown(peer::Empty {}),
        Core::Mismatch => Wire::Mismatch(peer::Empty {}),
        Core::Unavailable => Wire::Unavailable(peer::Empty {}),
    };
    peer::ClaimReply { id: reply.id, verdict: Some(verdict) }
}

pub(super) fn reply_from_wire(reply: peer::ClaimReply) -> Result<claim::Reply, Fault> {
    use claim::Verdict as Core;
    use peer::claim_reply::Verdict as Wire;
    let verdict = match reply.verdict.ok_or(Fault::Missing("verdict"))? {
        Wire::Granted(_) => Core::Granted,
        Wire::Running(_) => Core::Running,
        Wire::Done(outcome) => Core::Done(outcome_from_wire(outcome)?),
        Wire::DoneWithoutAnswer(_) => Core::DoneWithoutAnswer,
        Wire::Unknown(_) => Core::Unknown,
        Wire::Mismatch(_) => Core::Mismatch,
        Wire::Unavailable(_) => Core::Unavailable,
    };
    Ok(claim::Reply { id: reply.id, verdict })
}

pub(super) fn replica_to_wire(replica: &claim::Replica) -> peer::ClaimCopy {
    peer::ClaimCopy { id: replica.id, record: Some(record_to_wire(&replica.record)) }
}

pub(super) fn replica_from_wire(replica: peer::ClaimCopy) -> Result<claim::Replica, Fault> {
    Ok(claim::Replica {
        id: replica.id,
        record: record_from_wire(replica.record.ok_or(Fault::Missing("claim record"))?)?,
    })
}

pub(super) fn resolution_to_wire(resolution: &claim::Resolution) -> peer::ClaimCompletion {
    peer::ClaimCompletion {
        name: Some(name_to_wire(&resolution.name)),
        state: Some(state_to_wire(&resolution.state)),
        id: resolution.id,
    }
}

pub(super) fn resolution_from_wire(
    resolution: peer::ClaimCompletion,
) -> Result<claim::Resolution, Fault> {
    Ok(claim::Resolution {
        name: name_from_wire(resolution.name)?,
        state: state_from_wire(resolution.state.ok_or(Fault::Missing("claim state"))?)?,
        id: resolution.id,
    })
}

pub(super) fn handover_to_wire(handover: &claim::Handover) -> peer::ClaimHandover {
    peer::ClaimHandover {
        revision: handover.revision,
        records: handover.records.iter().map(record_to_wire).collect(),
        complete: handover.complete,
        id: handover.id,
        ready: handover.ready_revisions.clone(),
    }
}

pub(super) fn handover_from_wire(handover: peer::ClaimHandover) -> Result<claim::Handover, Fault> {
    let records = handover.records.into_iter().map(record_from_wire);
    Ok(claim::Handover {
        revision: handover.revision,
        records: records.collect::<Result<_, _>>()?,
        complete: handover.complete,
        id: handover.id,
        ready_revisions: handover.ready,
    })
}
