//! Converts between the messages of `marjorampick-core` and the protobuf messages that peers
//! exchange.
//!
//! `peer` is the module of the generated types. Some of them have other names than our types, for
//! instance `ClaimCopy` for [`marjorampick_core::claim::Replica`].

mod claim;
mod loan;

use std::{fmt, sync::Arc, time::Duration};

use marjorampick_core::{catalog, member, message};

use crate::generated::peer;

/// Why a message from a peer is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The bytes are not a valid message of the protocol.
    Malformed,
    /// A required field is absent. A message of a kind that only newer versions know also decodes
    /// as one without its content.
    Missing(&'static str),
    /// A field has a value outside its allowed range.
    Invalid(&'static str),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => write!(f, "the message is malformed"),
            Self::Missing(field) => write!(f, "the message has no {field}"),
            Self::Invalid(field) => write!(f, "the message has an invalid {field}"),
        }
    }
}

impl std::error::Error for Fault {}

/// Encodes an envelope for sending.
pub fn encode(envelope: &message::Envelope) -> Vec<u8> {
    prost::Message::encode_to_vec(&to_wire(envelope))
}

/// Decodes a received envelope.
pub fn decode(bytes: &[u8]) -> Result<message::Envelope, Fault> {
    let envelope: peer::Envelope = prost::Message::decode(bytes).map_err(|_| Fault::Malformed)?;
    from_wire(envelope)
}

/// Converts an envelope to its generated type.
pub fn to_wire(envelope: &message::Envelope) -> peer::Envelope {
    peer::Envelope {
        host: envelope.from.host.to_string(),
        incarnation: envelope.from.incarnation,
        peer: envelope.from.peer.to_string(),
        message: Some(message_to_wire(&envelope.message)),
    }
}

/// Converts an envelope from its generated type and checks its fields.
pub fn from_wire(envelope: peer::Envelope) -> Result<message::Envelope, Fault> {
    if envelope.host.is_empty() {
        return Err(Fault::Missing("host"));
    }
    let from = message::Sender {
        host: envelope.host.into(),
        incarnation: envelope.incarnation,
        peer: envelope.peer.parse().map_err(|_| Fault::Invalid("peer"))?,
    };
    let message = message_from_wire(envelope.message.ok_or(Fault::Missing("message"))?)?;
    Ok(message::Envelope { from, message })
}

fn message_to_wire(message: &message::Message) -> peer::envelope::Message {
    use message::Message as Core;
    use peer::envelope::Message as Wire;
    match message {
        Core::Heartbeat(heartbeat) => Wire::Heartbeat(heartbeat_to_wire(heartbeat)),
        Core::HeartbeatReply(reply) => Wire::HeartbeatReply(peer::HeartbeatReply {
            sequence: reply.sequence,
            revision: reply.revision,
        }),
        &Core::UpdateRequest { since } => Wire::UpdateRequest(peer::UpdateRequest { since }),
        Core::Update(update) => Wire::Update(update_to_wire(update)),
        Core::LoanRequest(request) => Wire::LoanRequest(loan::request_to_wire(request)),
        Core::Loan(loan) => Wire::Loan(loan::loan_to_wire(loan)),
        Core::LoanReturn(loan_return) => Wire::LoanReturn(loan::return_to_wire(loan_return)),
        Core::ClaimRequest(request) => Wire::Claim(claim::request_to_wire(request)),
        Core::ClaimReply(reply) => Wire::ClaimReply(claim::reply_to_wire(reply)),
        Core::ClaimReplica(replica) => Wire::ClaimCopy(claim::replica_to_wire(replica)),
        &Core::ClaimAcknowledgement { id } => Wire::ClaimCopyReply(peer::ClaimCopyReply { id }),
        Core::ClaimResolution(resolution) => {
            Wire::ClaimCompletion(claim::resolution_to_wire(resolution))
        }
        Core::ClaimHandover(handover) => Wire::ClaimHandover(claim::handover_to_wire(handover)),
        Core::WeightsRequest => Wire::WeightsRequest(peer::WeightsRequest {}),
        Core::Weights(services) => Wire::Weights(peer::Weights {
            services: services.iter().map(weights_to_wire).collect(),
        }),
    }
}

fn message_from_wire(message: peer::envelope::Message) -> Result<message::Message, Fault> {
    use message::Message as Core;
    use peer::envelope::Message as Wire;
    Ok(match message {
        Wire::Heartbeat(heartbeat) => Core::Heartbeat(heartbeat_from_wire(heartbeat)?),
        Wire::HeartbeatReply(reply) => Core::HeartbeatReply(member::HeartbeatReply {
            sequence: reply.sequence,
            revision: reply.revision,
        }),
        Wire::UpdateRequest(request) => Core::UpdateRequest { since: request.since },
        Wire::Update(update) => Core::Update(update_from_wire(update)),
        Wire::LoanRequest(request) => Core::LoanRequest(loan::request_from_wire(request)?),
        Wire::Loan(loan) => Core::Loan(loan::loan_from_wire(loan)?),
        Wire::LoanReturn(loan_return) => Core::LoanReturn(loan::return_from_wire(loan_return)?),
        Wire::Claim(request) => Core::ClaimRequest(claim::request_from_wire(request)?),
        Wire::ClaimReply(reply) => Core::ClaimReply(claim::reply_from_wire(reply)?),
        Wire::ClaimCopy(replica) => Core::ClaimReplica(claim::replica_from_wire(replica)?),
        Wire::ClaimCopyReply(reply) => Core::ClaimAcknowledgement { id: reply.id },
        Wire::ClaimCompletion(resolution) => {
            Core::ClaimResolution(claim::resolution_from_wire(resolution)?)
        }
        Wire::ClaimHandover(handover) => Core::ClaimHandover(claim::handover_from_wire(handover)?),
        Wire::WeightsRequest(_) => Core::WeightsRequest,
        Wire::Weights(weights) => {
            let services = weights.services.into_iter().map(weights_from_wire);
            Core::Weights(services.collect::<Result<_, _>>()?)
        }
    })
}

fn heartbeat_to_wire(heartbeat: &member::Heartbeat) -> peer::Heartbeat {
    peer::Heartbeat {
        sequence: heartbeat.sequence,
        revision: heartbeat.revision,
        suspected: heartbeat.suspected.iter().map(Arc::to_string).collect(),
        spare: heartbeat.spare.iter().map(loan::spare_to_wire).collect(),
        leaving: heartbeat.leaving,
    }
}

fn heartbeat_from_wire(heartbeat: peer::Heartbeat) -> Result<member::Heartbeat, Fault> {
    let spare = heartbeat.spare.into_iter().map(loan::spare_from_wire);
    Ok(member::Heartbeat {
        sequence: heartbeat.sequence,
        revision: heartbeat.revision,
        suspected: heartbeat.suspected.into_iter().map(Arc::from).collect(),
        spare: spare.collect::<Result<_, _>>()?,
        leaving: heartbeat.leaving,
    })
}

fn update_to_wire(update: &catalog::Update) -> peer::Update {
    let record = |record: &catalog::Record| peer::Record {
        key: record.key.to_string(),
        revision: record.revision,
        value: record.value.to_string(),
    };
    peer::Update {
        since: update.since,
        through: update.through,
        records: update.records.iter().map(record).collect(),
    }
}

fn update_from_wire(update: peer::Update) -> catalog::Update {
    let record = |record: peer::Record| catalog::Record {
        key: record.key.into(),
        revision: record.revision,
        value: record.value.into(),
    };
    catalog::Update {
        since: update.since,
        through: update.through,
        records: update.records.into_iter().map(record).collect(),
    }
}

fn weights_to_wire(weights: &message::ServiceWeights) -> peer::ServiceWeights {
    let region = |(region, weight): &(Arc<str>, f64)| peer::RegionWeight {
        region: region.to_string(),
        weight: *weight,
    };
    peer::ServiceWeights {
        service: weights.service.to_string(),
        regions: weights.regions.iter().map(region).collect(),
    }
}

fn weights_from_wire(weights: peer::ServiceWeights) -> Result<message::ServiceWeights, Fault> {
    // A NaN weight would stay NaN and never reach its target, so the range check must reject it.
    let region = |region: peer::RegionWeight| {
        if (0.0..=1.0).contains(&region.weight) {
            Ok((Arc::from(region.region), region.weight))
        } else {
            Err(Fault::Invalid("weight"))
        }
    };
    let regions = weights.regions.into_iter().map(region);
    Ok(message::ServiceWeights {
        service: weights.service.into(),
        regions: regions.collect::<Result<_, _>>()?,
    })
}

/// Whole milliseconds of a duration, saturating at `u64::MAX`.
fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
