//! Handover of records after a change of members.
//!
//! Every host that holds records sends each member those that the member has to keep under the new
//! table and is not known to have. A host keeps what it handed over until that expires, so a pair
//! that is lost soon after a change does not take the claims with it.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use super::{Handover, Name, Participant, Record, State, history::Process};
use crate::{
    constants::CLAIM_RETRY_INTERVAL,
    member::Member,
    message::{Message, Sender},
};

/// Records in one message.
const BATCH_LENGTH: usize = 256;

/// Bytes of answers in one message, so that it does not hold up others for long.
const BATCH_BYTES: usize = 1 << 20;

/// What one member still has to get.
#[derive(Debug)]
pub(super) struct Transfer {
    to: Process,
    peer: SocketAddr,
    queue: VecDeque<Name>,
    batch: Option<Batch>,
}

/// A message that the member has not answered yet.
#[derive(Debug)]
struct Batch {
    id: u64,
    records: Vec<Name>,
    complete: bool,
    next: Duration,
}

impl Participant {
    pub(super) fn start_transfers(&mut self, now: Duration) {
        let me = self.process();
        let others = self.history.members().iter().filter(|member| !me.is(member));
        let mut transfers: Vec<Transfer> = others.map(Transfer::new).collect();
        for (name, entry) in self.records.iter() {
            let pair = self.history.pair(name);
            let missing = |member: &&Member| !entry.keepers.iter().any(|k| k.is(member));
            for member in pair.members().filter(missing) {
                let transfer = transfers.iter_mut().find(|transfer| transfer.to.is(member));
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
                self.next_batch(now, index);
            }
            let due = |batch: &Batch| now >= batch.next;
            if self.transfers[index].batch.as_ref().is_some_and(due) {
                self.send_batch(now, index);
            }
        }
    }

    /// A member has kept a batch.
    pub(super) fn batch_kept(&mut self, now: Duration, from: &Process, id: u64) {
        let of = |transfer: &Transfer| {
            transfer.to == *from && transfer.batch.as_ref().is_some_and(|batch| batch.id == id)
        };
        let Some(index) = self.transfers.iter().position(of) else {
            return;
        };
        let Some(batch) = self.transfers[index].batch.take() else {
            return;
        };
        for name in &batch.records {
            if let Some(entry) = self.records.get_mut(name) {
                entry.keepers.push(from.clone());
            }
        }
        if batch.complete {
            self.transfers.swap_remove(index);
        } else {
            self.drive_transfers(now);
        }
    }

    /// Takes records over. Only those for the table that this host has count, as a host with another
    /// table may still record claims under it.
    pub(super) fn handed_over(&mut self, now: Duration, from: &Sender, handover: Handover) {
        let sender = Process::of(from);
        if handover.revision != self.history.revision() || !self.history.knows(&sender) {
            return;
        }
        let keepers = [sender.clone(), self.process()];
        for mut record in handover.records {
            let holder = Process { host: record.holder.clone(), incarnation: record.incarnation };
            if record.state == State::Running && self.history.is_gone(&holder) {
                record.state = State::Unknown;
                record.age_ms = 0;
            }
            self.records.merge(now, record, &keepers);
        }
        if handover.complete {
            self.history.arrive(&sender, &handover.ready_revisions);
        }
        self.send(from.peer, Message::ClaimCopyReply { id: handover.id });
    }

    fn next_batch(&mut self, now: Duration, index: usize) {
        let id = self.number();
        let transfer = &mut self.transfers[index];
        let (mut records, mut bytes) = (Vec::new(), 0);
        while bytes < BATCH_BYTES && records.len() < BATCH_LENGTH {
            let Some(name) = transfer.queue.pop_front() else {
                break;
            };
            let record = self.records.get(now, &name).map(|entry| &entry.record);
            if let Some(Record { state: State::Done(outcome), .. }) = record {
                bytes += outcome.body.len();
            }
            records.push(name);
        }
        // Sent only after every other batch was answered, since messages overtake each other.
        let complete = transfer.queue.is_empty();
        transfer.batch = Some(Batch { id, records, complete, next: now });
    }

    fn send_batch(&mut self, now: Duration, index: usize) {
        let ready = self.history.own_ready();
        let Some(batch) = &mut self.transfers[index].batch else {
            return;
        };
        batch.next = now + CLAIM_RETRY_INTERVAL;
        let entries = batch.records.iter().filter_map(|name| self.records.get(now, name));
        let handover = Handover {
            id: batch.id,
            revision: self.history.revision(),
            records: entries.map(|entry| entry.sent(now)).collect(),
            complete: batch.complete,
            ready_revisions: ready,
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
