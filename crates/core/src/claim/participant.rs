//! The book of claims of one host: as owner, as backup and as holder.
//!
//! The protocol, with the reasons for which a lost, delayed, repeated or reordered message never
//! leads to two grants:
//!
//! - The holder sends a [`super::Request`] to the name's owner. The owner records the claim, sends a
//!   [`super::Replica`] to the backup and grants once that answered. A backup answers only a copy that
//!   was recorded under the member table that it has itself, so what it hands over to the next
//!   table's holders contains every claim that was granted with it.
//! - A claim is identified by its holder's process and the number of the question. Results end only
//!   the claim that they name, and only a question that still waits takes a grant. Numbers start at
//!   a random point, so those of an earlier incarnation do not match.
//! - A record carries the table's revision and a number that grows at the owner. Since a name has
//!   one owner under each table, of two records the later one is known and wins.
//! - An owner answers for a name that it has no record of only if it can have missed nothing,
//!   either since every record has arrived or since the name stayed with it ever since they had.
//!   Grants need currency (docs/design.md §5), which comes in as an argument.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use super::{
    Completion, Name, Verdict,
    handover::Transfer,
    history::{History, Process},
    holder::{Ask, Finished},
    membership::Membership,
    owner::Pending,
    records::Records,
};
use crate::{
    constants::CLAIM_CHECK_INTERVAL,
    host::event::{Action, Ticket},
    message::{Message, Sender},
};

/// Records that one tick looks at to expire and to check them.
const SWEEP_LENGTH: usize = 256;

/// Claims of one host. Every command answers what is to be done.
#[derive(Debug)]
pub struct Participant {
    pub(super) me: Sender,
    pub(super) history: History,
    pub(super) records: Records,
    /// Copies that wait for the backup, by their number.
    pub(super) pending: BTreeMap<u64, Pending>,
    /// Questions that wait for an owner, by their number.
    pub(super) asks: BTreeMap<u64, Ask>,
    /// Claims that were granted to this host, by the number of the question.
    pub(super) held: BTreeMap<u64, Name>,
    pub(super) held_names: BTreeMap<Name, u64>,
    /// Ended claims whose result owner and backup have to learn.
    pub(super) finished: BTreeMap<u64, Finished>,
    /// Questions that ended without a grant, in case one comes late.
    pub(super) refused: BTreeMap<u64, Name>,
    pub(super) transfers: Vec<Transfer>,
    next_id: u64,
    pub(super) next_number: u64,
    actions: Vec<Action>,
    /// Messages of this host to itself.
    inbox: VecDeque<Message>,
}

impl Participant {
    /// The empty book of a process. The incarnation must be random.
    pub fn new(me: Sender) -> Self {
        Self {
            history: History::new(Process::of(&me)),
            next_id: me.incarnation,
            me,
            records: Records::default(),
            pending: BTreeMap::new(),
            asks: BTreeMap::new(),
            held: BTreeMap::new(),
            held_names: BTreeMap::new(),
            finished: BTreeMap::new(),
            refused: BTreeMap::new(),
            transfers: Vec::new(),
            next_number: 0,
            actions: Vec::new(),
            inbox: VecDeque::new(),
        }
    }

    /// The request path asks whether a request may run. `current` is whether the host is current.
    pub fn acquire(
        &mut self,
        now: Duration,
        current: bool,
        ticket: Ticket,
        name: Name,
        fingerprint: u64,
    ) -> Vec<Action> {
        self.open(now, current, ticket, name, fingerprint);
        self.finish_command(now, current)
    }

    /// Takes a message of another host; messages that are not about claims are ignored.
    pub fn handle(
        &mut self,
        now: Duration,
        current: bool,
        from: &Sender,
        message: Message,
    ) -> Vec<Action> {
        self.receive(now, current, from, message);
        self.finish_command(now, current)
    }

    /// The request path reports how a granted request ended.
    pub fn complete(&mut self, now: Duration, completion: Completion) -> Vec<Action> {
        self.close(now, completion);
        self.finish_command(now, false)
    }

    /// Takes a new member table over; older tables than the known one are ignored.
    pub fn set_membership(&mut self, now: Duration, tables: &Membership) -> Vec<Action> {
        if self.history.replace(now, tables) {
            self.withdraw_pending(now);
            let history = &self.history;
            self.records.lose(now, |holder| history.is_gone(holder));
            self.reconsider_asks(now);
            self.start_transfers(now);
        }
        self.finish_command(now, false)
    }

    /// The change with this revision is in force.
    pub fn set_in_force(&mut self, now: Duration, revision: u64) -> Vec<Action> {
        self.history.set_in_force(revision);
        self.finish_command(now, false)
    }

    /// Repeats what was not answered and forgets what is old; to be called every 50 ms.
    pub fn tick(&mut self, now: Duration, current: bool) -> Vec<Action> {
        self.drive_asks(now);
        self.drive_pending(now);
        self.drive_finished(now);
        self.drive_transfers(now);
        self.sweep(now);
        self.finish_command(now, current)
    }

    /// Whether every record of this host's names under the current table has arrived.
    pub fn is_ready(&self) -> bool {
        self.history.is_ready()
    }

    /// Whether everything was handed over that other hosts hold under the current table.
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

    pub(super) fn number(&mut self) -> u64 {
        self.next_id = self.next_id.wrapping_add(1);
        self.next_id
    }

    pub(super) fn process(&self) -> Process {
        Process::of(&self.me)
    }

    pub(super) fn send(&mut self, to: SocketAddr, message: Message) {
        if to == self.me.peer {
            self.inbox.push_back(message);
        } else {
            self.actions.push(Action::Send { to, message });
        }
    }

    pub(super) fn answer(&mut self, ticket: Ticket, verdict: Verdict) {
        self.actions.push(Action::ReportClaim { ticket, verdict });
    }

    fn finish_command(&mut self, now: Duration, current: bool) -> Vec<Action> {
        while let Some(message) = self.inbox.pop_front() {
            let me = self.me.clone();
            self.receive(now, current, &me, message);
        }
        std::mem::take(&mut self.actions)
    }

    fn receive(&mut self, now: Duration, current: bool, from: &Sender, message: Message) {
        match message {
            Message::Claim(request) => self.requested(now, current, from, &request),
            Message::ClaimReply(reply) => self.replied(now, current, from, reply),
            Message::ClaimCopy(copy) => self.copied(now, from, copy),
            Message::ClaimCopyReply { id } => self.acknowledged(now, current, from, id),
            Message::ClaimCompletion(finish) => self.ended(now, from, &finish),
            Message::ClaimHandover(handover) => self.handed_over(now, from, handover),
            _ => {}
        }
    }

    fn acknowledged(&mut self, now: Duration, current: bool, from: &Sender, id: u64) {
        let from = Process::of(from);
        if self.pending.contains_key(&id) {
            self.backed_up(current, &from, id);
        } else if self.finished.contains_key(&id) {
            self.result_kept(&from, id);
        } else {
            self.batch_kept(now, &from, id);
        }
    }

    fn sweep(&mut self, now: Duration) {
        for name in self.records.sweep(now, SWEEP_LENGTH) {
            let Some(entry) = self.records.get(now, &name) else {
                continue;
            };
            if now >= entry.next_check + CLAIM_CHECK_INTERVAL {
                self.check(now, &name);
            }
        }
    }
}
