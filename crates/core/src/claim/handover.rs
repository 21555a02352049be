//! Handover of records after a change of members.
//!
//! Every host sends each member the records that the member has to keep under the new table and is
//! not known to store. The sender keeps its own copies until they expire, so that no claim is lost
//! if its new owner and backup fail soon after the change.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use super::{Handover, Name, Participant, Record, State, history::Process};
use crate::{
    constants::CLAIM_RETRY_INTERVAL,
    member::Member,
    message::{Message, Sender},
};

/// Largest number of records in one message.
const BATCH_RECORDS_LIMIT: usize = 256;

/// Response bytes after which a message takes no further record, so that it does not delay other
/// messages for long.
const BATCH_RESPONSE_BYTES: usize = 1 << 20;

/// Records that one member has yet to receive.
#[derive(Debug)]
pub(super) struct Transfer {
    to: Process,
    peer: SocketAddr,
    queue: VecDeque<Name>,
    batch: Option<Batch>,
}

/// A message that the member has not acknowledged yet.
#[derive(Debug)]
struct Batch {
    id: u64,
    records: Vec<Name>,
    complete: bool,
    next_send: Duration,
}

impl Participant {
    pub(super) fn start_transfers(&mut self, now: Duration) {
        let local = self.local_process();
        let others = self.history.members().iter().filter(|member| !local.matches(member));
        let mut transfers: Vec<Transfer> = others.map(Transfer::new).collect();
        for (name, entry) in self.records.iter() {
            let placement = self.history.placement(name);
            let missing =
                |member: &&Member| !entry.stored_by.iter().any(|process| process.matches(member));
            for member in placement.members().filter(missing) {
                let transfer = transfers.iter_mut().find(|transfer| transfer.to.matches(member));
                if let Some(transfer) = transfer {
                    transfer.queue.push_back(name.clone());
                }
            }
        }
        self.transfers = transfers;
        self.drive_transfers(now);
    }

    pub(super) fn drive_transfers(&mut self, now: Duration) {
        for index in 0..self.transfers.len() {
            if self.transfers[index].batch.is_none() {
                self.start_batch(now, index);
            }
            let due = |batch: &Batch| now >= batch.next_send;
            if self.transfers[index].batch.as_ref().is_some_and(due) {
                self.send_batch(now, index);
            }
        }
    }

    /// Notes that a member stored a batch, and sends the next one or ends the transfer.
    pub(super) fn acknowledge_batch(&mut self, now: Duration, from: &Process, id: u64) {
        let matches = |transfer: &Transfer| {
            transfer.to == *from && transfer.batch.as_ref().is_some_and(|batch| batch.id == id)
        };
        let Some(index) = self.transfers.iter().position(matches) else {
            return;
        };
        let Some(batch) = self.transfers[index].batch.take() else {
            return;
        };
        for name in &batch.records {
            if let Some(entry) = self.records.get_mut(name) {
                entry.stored_by.push(from.clone());
            }
        }
        if batch.complete {
            self.transfers.swap_remove(index);
        } else {
            self.drive_transfers(now);
        }
    }

    /// Stores records that another host hands over. Handovers for another table than that of this
    /// host are ignored, since their sender may still record claims under that table.
    pub(super) fn handle_handover(&mut self, now: Duration, from: &Sender, handover: Handover) {
        let sender = Process::of(from);
        if handover.revision != self.history.revision() || !self.history.is_or_was_member(&sender) {
            return;
        }
        let stored_by = [sender.clone(), self.local_process()];
        for mut record in handover.records {
            let holder = Process { host: record.holder.clone(), incarnation: record.incarnation };
            if record.state == State::Running && self.history.is_gone(&holder) {
                record.state = State::Unknown;
                record.age_ms = 0;
            }
            self.records.merge(now, record, &stored_by);
        }
        if handover.complete {
            self.history.record_handover(&sender, &handover.ready_revisions);
        }
        self.send(from.peer, Message::ClaimAcknowledgement { id: handover.id });
    }

    fn start_batch(&mut self, now: Duration, index: usize) {
        let id = self.allocate_id();
        let transfer = &mut self.transfers[index];
        let (mut records, mut bytes) = (Vec::new(), 0);
        while bytes < BATCH_RESPONSE_BYTES && records.len() < BATCH_RECORDS_LIMIT {
            let Some(name) = transfer.queue.pop_front() else {
                break;
            };
            let record = self.records.get(now, &name).map(|entry| &entry.record);
            if let Some(Record { state: State::Done(outcome), .. }) = record {
                bytes += outcome.body.len();
            }
            records.push(name);
        }
        // The last batch is sent only after all others were acknowledged, since messages may be
        // reordered.
        let complete = transfer.queue.is_empty();
        transfer.batch = Some(Batch { id, records, complete, next_send: now });
    }

    fn send_batch(&mut self, now: Duration, index: usize) {
        let ready_revisions = self.history.local_ready_revisions();
        let Some(batch) = &mut self.transfers[index].batch else {
            return;
        };
        batch.next_send = now + CLAIM_RETRY_INTERVAL;
        let entries = batch.records.iter().filter_map(|name| self.records.get(now, name));
        let handover = Handover {
            id: batch.id,
            revision: self.history.revision(),
            records: entries.map(|entry| entry.snapshot(now)).collect(),
            complete: batch.complete,
            ready_revisions,
        };
        let peer = self.transfers[index].peer;
        self.send(peer, Message::ClaimHandover(handover));
    }
}

impl Transfer {
    fn new(member: &Member) -> Self {
        Self { to: member.into(), peer: member.peer, queue: VecDeque::new(), batch: None }
    }
}
