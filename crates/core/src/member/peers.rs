//! What a host knows about the other hosts from their messages.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use super::{Heartbeat, Member, roster::Roster};
use crate::{constants::SUSPICION_AFTER, message::Sender};

/// Number of incarnations that a host remembers; the least recently heard is forgotten first.
const PEERS_LIMIT: usize = 4096;

/// What a host knows about one incarnation of a host.
#[derive(Clone, Debug)]
pub struct Peer {
    /// When its last message arrived.
    pub heard: Duration,
    /// Largest revision that it is known to have.
    pub revision: u64,
    /// When the last heartbeat was sent that it answered without knowing a larger revision.
    pub confirmed: Option<Duration>,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Whether it is draining.
    pub leaving: bool,
    suspected: BTreeSet<Arc<str>>,
    suspected_at: Duration,
}

/// Knowledge about all other hosts, by name and incarnation.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    known: BTreeMap<(Arc<str>, u64), Peer>,
    listed_gone: BTreeSet<Arc<str>>,
}

impl Peers {
    /// Records that a message arrived.
    pub fn heard(&mut self, now: Duration, from: &Sender) -> &mut Peer {
        let key = (from.host.clone(), from.incarnation);
        if !self.known.contains_key(&key) {
            self.make_room();
        }
        let peer = self.known.entry(key).or_insert_with(|| Peer {
            heard: now,
            revision: 0,
            confirmed: None,
            address: from.peer,
            leaving: false,
            suspected: BTreeSet::new(),
            suspected_at: now,
        });
        peer.heard = now;
        peer.address = from.peer;
        peer
    }

    /// Records a heartbeat. `table` is the revision of the receiver's member table: names suspected
    /// by a host with an older table may mean earlier incarnations and are left out. Answers whether
    /// the sender has started to drain.
    pub fn heartbeat(
        &mut self,
        now: Duration,
        from: &Sender,
        heartbeat: &Heartbeat,
        table: u64,
    ) -> bool {
        let peer = self.heard(now, from);
        peer.revision = peer.revision.max(heartbeat.revision);
        let starts_to_drain = heartbeat.leaving && !peer.leaving;
        peer.leaving |= heartbeat.leaving;
        peer.suspected_at = now;
        peer.suspected = if heartbeat.revision >= table {
            heartbeat.suspected.iter().cloned().collect()
        } else {
            BTreeSet::new()
        };
        starts_to_drain
    }

    /// Replaces the names that the platform's list of hosts reports as gone.
    pub fn set_gone(&mut self, names: BTreeSet<Arc<str>>) {
        self.listed_gone = names;
    }

    /// The incarnation of `member`, if it was heard.
    pub fn get(&self, member: &Member) -> Option<&Peer> {
        self.known.get(&(member.host.clone(), member.incarnation))
    }

    /// The sender of a message, once it was heard.
    pub fn get_mut(&mut self, sender: &Sender) -> Option<&mut Peer> {
        let key = (sender.host.clone(), sender.incarnation);
        self.known.get_mut(&key)
    }

    /// Whether the platform's list reports `member` as gone and nothing comes from it.
    pub fn is_listed_gone(&self, now: Duration, member: &Member) -> bool {
        self.listed_gone.contains(&member.host) && self.is_silent(now, member)
    }

    /// Notes that `member` is in the table, so that its silence counts from now on.
    pub fn expect(&mut self, now: Duration, member: &Member) {
        let key = (member.host.clone(), member.incarnation);
        if !self.known.contains_key(&key) {
            self.heard(now, &member.sender());
        }
    }

    /// Whether nothing came from `member` for a while.
    pub fn is_silent(&self, now: Duration, member: &Member) -> bool {
        self.get(member).is_some_and(|peer| now.saturating_sub(peer.heard) >= SUSPICION_AFTER)
    }

    /// Whether this incarnation cannot run any more: the platform lists the host as gone, or a later
    /// incarnation uses its address.
    ///
    /// The list lags and knows no incarnations, so that it counts for silent members only: a
    /// replacement with the same name may already run.
    pub fn is_gone(&self, now: Duration, member: &Member, roster: &Roster) -> bool {
        let replaced = roster
            .member(&member.host)
            .is_some_and(|newer| takes_address(newer.incarnation, newer.peer, member));
        let superseded = self.is_silent(now, member) && self.is_superseded(now, member, roster);
        replaced || superseded || self.is_listed_gone(now, member)
    }

    /// Names that `member` suspects now.
    pub fn suspects(&self, now: Duration, member: &Member) -> Vec<&Arc<str>> {
        let fresh = |peer: &&Peer| now.saturating_sub(peer.suspected_at) < SUSPICION_AFTER;
        let peer = self.get(member).filter(fresh);
        peer.map_or_else(Vec::new, |peer| peer.suspected.iter().collect())
    }

    /// Whether an incarnation that is too new for any table uses the member's address.
    fn is_superseded(&self, now: Duration, member: &Member, roster: &Roster) -> bool {
        let names = (member.host.clone(), 0)..=(member.host.clone(), u64::MAX);
        self.known.range(names).any(|((host, incarnation), peer)| {
            let fresh = now.saturating_sub(peer.heard) < SUSPICION_AFTER;
            let newer = !roster.mentions(host, *incarnation);
            fresh && newer && takes_address(*incarnation, peer.address, member)
        })
    }

    fn make_room(&mut self) {
        if self.known.len() < PEERS_LIMIT {
            return;
        }
        let oldest = self.known.iter().min_by_key(|(_, peer)| peer.heard);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.known.remove(&key);
        }
    }
}

/// Whether an incarnation at `address` leaves `member` without one. Such a member can neither ask nor
/// answer.
fn takes_address(incarnation: u64, address: SocketAddr, member: &Member) -> bool {
    incarnation != member.incarnation && address == member.peer
}
