//! State machine of the claim protocol on one host, which acts as owner, backup and holder.
//!
//! A message that is lost, delayed, repeated or reordered never leads to two grants of one name:
//!
//! - The holder sends a [`super::Request`] to the owner of the name. The owner records the claim,
//!   sends a [`super::Replica`] to the backup and grants once that acknowledged it. A backup
//!   acknowledges a replica only if it was recorded under the member table that the backup has
//!   itself, so the records that it hands over under the next table contain every granted claim.
//! - A claim is identified by the holder's process and the id of the request. A resolution ends
//!   only the claim that it identifies, and a grant is accepted only for a request that is
//!   outstanding. Ids start at the incarnation, which is random, so those of an earlier incarnation
//!   do not match.
//! - A record carries the revision of the member table and a sequence number that increases at the
//!   owner. A name has one owner under each table, so records of a name have a total order and the
//!   latest one wins.
//! - An owner decides on a name without a record only if it cannot have missed one: it received
//!   every record under the current table, or it did under an earlier one and has owned the name
//!   ever since. A host grants only while it is current (docs/design.md §5), which is an argument.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use super::{
    Completion, Name, Verdict,
    handover::Transfer,
    history::{History, Process},
    holder::{Acquisition, Delivery},
    membership::Membership,
    owner::Replication,
    records::Records,
};
use crate::{
    constants::CLAIM_CHECK_INTERVAL,
    host::event::{Action, Ticket},
    message::{Message, Sender},
};

/// Records per tick that are checked for expiry and, if running, with their holder.
const RECORDS_PER_SWEEP: usize = 256;

/// Claims of one host. Every command returns the actions that the host has to carry out.
#[derive(Debug)]
pub struct Participant {
    pub(super) local: Sender,
    pub(super) history: History,
    pub(super) records: Records,
    /// Replicas that the backup has not acknowledged, by their id.
    pub(super) replications: BTreeMap<u64, Replication>,
    /// Requests that the owner has not answered, by their id.
    pub(super) acquisitions: BTreeMap<u64, Acquisition>,
    /// Claims that were granted to this host, by the id of the request.
    pub(super) held: BTreeMap<u64, Name>,
    /// Request ids of the claims in `held`.
    pub(super) held_ids: BTreeMap<Name, u64>,
    /// Final states of ended claims that owner and backup have not both acknowledged.
    pub(super) deliveries: BTreeMap<u64, Delivery>,
    /// Requests that ended without a grant, kept in case a grant arrives late.
    pub(super) rejected: BTreeMap<u64, Name>,
    pub(super) transfers: Vec<Transfer>,
    last_id: u64,
    pub(super) last_sequence: u64,
    actions: Vec<Action>,
    /// Messages of this host to itself.
    loopback: VecDeque<Message>,
}

impl Participant {
    /// The state of a process that has just started. The incarnation must be random.
    pub fn new(local: Sender) -> Self {
        Self {
            history: History::new(Process::of(&local)),
            last_id: local.incarnation,
            local,
            records: Records::default(),
            replications: BTreeMap::new(),
            acquisitions: BTreeMap::new(),
            held: BTreeMap::new(),
            held_ids: BTreeMap::new(),
            deliveries: BTreeMap::new(),
            rejected: BTreeMap::new(),
            transfers: Vec::new(),
            last_sequence: 0,
            actions: Vec::new(),
            loopback: VecDeque::new(),
        }
    }

    /// Requests a claim for the request path. `current` is whether the host is current. The verdict
    /// follows as [`Action::ReportClaim`] with the ticket, here or from a later command.
    pub fn acquire(
        &mut self,
        now: Duration,
        current: bool,
        ticket: Ticket,
        name: Name,
        fingerprint: u64,
    ) -> Vec<Action> {
        self.start_acquisition(now, current, ticket, name, fingerprint);
        self.take_actions(now, current)
    }

    /// Handles a message of another host; messages that do not concern claims are ignored.
    pub fn handle(
        &mut self,
        now: Duration,
        current: bool,
        from: &Sender,
        message: Message,
    ) -> Vec<Action> {
        self.dispatch(now, current, from, message);
        self.take_actions(now, current)
    }

    /// Ends a granted claim when the request path reports the result.
    pub fn complete(&mut self, now: Duration, completion: Completion) -> Vec<Action> {
        self.release(now, completion);
        self.take_actions(now, false)
    }

    /// Replaces the member table unless the given one is not newer, and starts the handover.
    pub fn set_membership(&mut self, now: Duration, membership: &Membership) -> Vec<Action> {
        if self.history.replace(now, membership) {
            self.abort_replications(now);
            let history = &self.history;
            self.records.mark_unknown(now, |holder| history.is_gone(holder));
            self.apply_new_owners(now);
            self.start_transfers(now);
        }
        self.take_actions(now, false)
    }

    /// Notes that the change of members with this revision is in force.
    pub fn set_in_force(&mut self, now: Duration, revision: u64) -> Vec<Action> {
        self.history.set_in_force(revision);
        self.take_actions(now, false)
    }

    /// Retries unacknowledged messages and removes expired records; to be called every 50 ms.
    pub fn tick(&mut self, now: Duration, current: bool) -> Vec<Action> {
        self.retry_acquisitions(now);
        self.retry_replications(now);
        self.retry_deliveries(now);
        self.drive_transfers(now);
        self.sweep(now);
        self.take_actions(now, current)
    }

    /// Whether this host has received all records of its own names under the current table.
    pub fn is_ready(&self) -> bool {
        self.history.is_ready()
    }

    /// Whether this host has sent every other member the records that it has to keep under the
    /// current table, and all were acknowledged.
    pub fn has_handed_over(&self) -> bool {
        self.transfers.is_empty()
    }

    /// Whether new claims are refused until older ones expire.
    pub fn is_full(&self) -> bool {
        self.records.is_full()
    }

    /// Number of records and their estimated memory in bytes.
    pub fn size(&self) -> (usize, usize) {
        (self.records.len(), self.records.bytes())
    }

    pub(super) fn allocate_id(&mut self) -> u64 {
        self.last_id = self.last_id.wrapping_add(1);
        self.last_id
    }

    pub(super) fn local_process(&self) -> Process {
        Process::of(&self.local)
    }

    pub(super) fn send(&mut self, to: SocketAddr, message: Message) {
        if to == self.local.peer {
            self.loopback.push_back(message);
        } else {
            self.actions.push(Action::Send { to, message });
        }
    }

    pub(super) fn report_verdict(&mut self, ticket: Ticket, verdict: Verdict) {
        self.actions.push(Action::ReportClaim { ticket, verdict });
    }

    /// Ends a command: handles the messages of this host to itself and returns all actions.
    fn take_actions(&mut self, now: Duration, current: bool) -> Vec<Action> {
        while let Some(message) = self.loopback.pop_front() {
            let local = self.local.clone();
            self.dispatch(now, current, &local, message);
        }
        std::mem::take(&mut self.actions)
    }

    fn dispatch(&mut self, now: Duration, current: bool, from: &Sender, message: Message) {
        match message {
            Message::ClaimRequest(request) => self.handle_request(now, current, from, &request),
            Message::ClaimReply(reply) => self.handle_reply(now, current, from, reply),
            Message::ClaimReplica(replica) => self.handle_replica(now, from, replica),
            Message::ClaimAcknowledgement { id } => {
                self.handle_acknowledgement(now, current, from, id);
            }
            Message::ClaimResolution(resolution) => self.handle_resolution(now, from, &resolution),
            Message::ClaimHandover(handover) => self.handle_handover(now, from, handover),
            _ => {}
        }
    }

    fn handle_acknowledgement(&mut self, now: Duration, current: bool, from: &Sender, id: u64) {
        let from = Process::of(from);
        if self.replications.contains_key(&id) {
            self.acknowledge_replication(current, &from, id);
        } else if self.deliveries.contains_key(&id) {
            self.acknowledge_delivery(&from, id);
        } else {
            self.acknowledge_batch(now, &from, id);
        }
    }

    fn sweep(&mut self, now: Duration) {
        for name in self.records.sweep(now, RECORDS_PER_SWEEP) {
            let Some(entry) = self.records.get(now, &name) else {
                continue;
            };
            if now >= entry.last_check + CLAIM_CHECK_INTERVAL {
                self.check(now, &name);
            }
        }
    }
}
