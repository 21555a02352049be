//! What a host knows about its peers from their messages and from the platform's list of hosts.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use super::{Heartbeat, Member, roster::Roster};
use crate::{constants::SUSPICION_TIMEOUT, message::Sender};

/// Largest number of incarnations that a host remembers; the longest silent one is evicted first.
const PEERS_LIMIT: usize = 4096;

/// What a host knows about one incarnation of a peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// When the peer's last message arrived.
    pub last_message_at: Duration,
    /// Largest revision that the peer is known to have.
    pub revision: u64,
    /// When the newest heartbeat was sent to which the peer replied with no larger revision.
    pub confirmed_at: Option<Duration>,
    /// Address of the peer's peer listener.
    pub address: SocketAddr,
    /// Whether the peer has announced that it is draining.
    pub leaving: bool,
    /// Names of the members that the peer suspects, as of `suspected_at`.
    suspected: BTreeSet<Arc<str>>,
    suspected_at: Duration,
}

/// All known peers, by host name and incarnation.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    incarnations: BTreeMap<(Arc<str>, u64), Peer>,
    /// Names of the hosts that the platform lists as gone.
    listed_gone: BTreeSet<Arc<str>>,
}

impl Peers {
    /// Records that a message from this peer arrived.
    pub fn record_message(&mut self, now: Duration, from: &Sender) -> &mut Peer {
        let key = (from.host.clone(), from.incarnation);
        if !self.incarnations.contains_key(&key) {
            self.evict_oldest();
        }
        let peer = self.incarnations.entry(key).or_insert_with(|| Peer {
            last_message_at: now,
            revision: 0,
            confirmed_at: None,
            address: from.peer,
            leaving: false,
            suspected: BTreeSet::new(),
            suspected_at: now,
        });
        peer.last_message_at = now;
        peer.address = from.peer;
        peer
    }

    /// Records a heartbeat. Returns whether it is the first that says that the sender is draining.
    ///
    /// `table_revision` is the revision of the receiver's member table. The names that a peer with
    /// an older table suspects may refer to earlier incarnations, so they are ignored.
    pub fn record_heartbeat(
        &mut self,
        now: Duration,
        from: &Sender,
        heartbeat: &Heartbeat,
        table_revision: u64,
    ) -> bool {
        let peer = self.record_message(now, from);
        peer.revision = peer.revision.max(heartbeat.revision);
        let starts_to_drain = heartbeat.leaving && !peer.leaving;
        peer.leaving |= heartbeat.leaving;
        peer.suspected_at = now;
        peer.suspected = if heartbeat.revision >= table_revision {
            heartbeat.suspected.iter().cloned().collect()
        } else {
            BTreeSet::new()
        };
        starts_to_drain
    }

    /// Replaces the names of the hosts that the platform lists as gone.
    pub fn set_listed_gone(&mut self, names: BTreeSet<Arc<str>>) {
        self.listed_gone = names;
    }

    /// Returns the peer that is this incarnation of `member`, if it is known.
    pub fn get(&self, member: &Member) -> Option<&Peer> {
        self.incarnations.get(&(member.host.clone(), member.incarnation))
    }

    /// Returns the peer that is the sender of a message, if it is known.
    pub fn get_mut(&mut self, sender: &Sender) -> Option<&mut Peer> {
        let key = (sender.host.clone(), sender.incarnation);
        self.incarnations.get_mut(&key)
    }

    /// Whether the platform lists `member` as gone and it is silent.
    pub fn is_listed_gone(&self, now: Duration, member: &Member) -> bool {
        self.listed_gone.contains(&member.host) && self.is_silent(now, member)
    }

    /// Starts tracking a member of the table, so that its silence counts from now on even if it
    /// never sends a message.
    pub fn track(&mut self, now: Duration, member: &Member) {
        let key = (member.host.clone(), member.incarnation);
        if !self.incarnations.contains_key(&key) {
            self.record_message(now, &member.sender());
        }
    }

    /// Whether nothing has arrived from `member` for [`SUSPICION_TIMEOUT`].
    pub fn is_silent(&self, now: Duration, member: &Member) -> bool {
        self.get(member)
            .is_some_and(|peer| now.saturating_sub(peer.last_message_at) >= SUSPICION_TIMEOUT)
    }

    /// Whether this incarnation cannot be running any more: the platform lists the host as gone, or
    /// another incarnation uses its address.
    ///
    /// The list lags and does not tell incarnations apart, so it is considered for silent members
    /// only: a replacement with the same name may already be running.
    pub fn is_gone(&self, now: Duration, member: &Member, roster: &Roster) -> bool {
        let replaced = roster
            .member(&member.host)
            .is_some_and(|newer| takes_address(newer.incarnation, newer.peer, member));
        let superseded = self.is_silent(now, member) && self.is_superseded(now, member, roster);
        replaced || superseded || self.is_listed_gone(now, member)
    }

    /// Names of the hosts that `member` suspects, according to its last heartbeat if that is
    /// recent.
    pub fn suspected_by(&self, now: Duration, member: &Member) -> Vec<&Arc<str>> {
        let fresh = |peer: &&Peer| now.saturating_sub(peer.suspected_at) < SUSPICION_TIMEOUT;
        let peer = self.get(member).filter(fresh);
        peer.map_or_else(Vec::new, |peer| peer.suspected.iter().collect())
    }

    /// Whether an incarnation of the same host that is in no known table, and hence newer than all
    /// of them, uses the member's address and has sent a message recently.
    fn is_superseded(&self, now: Duration, member: &Member, roster: &Roster) -> bool {
        let names = (member.host.clone(), 0)..=(member.host.clone(), u64::MAX);
        self.incarnations.range(names).any(|((host, incarnation), peer)| {
            let fresh = now.saturating_sub(peer.last_message_at) < SUSPICION_TIMEOUT;
            let newer = !roster.is_or_was_member(host, *incarnation);
            fresh && newer && takes_address(*incarnation, peer.address, member)
        })
    }

    fn evict_oldest(&mut self) {
        if self.incarnations.len() < PEERS_LIMIT {
            return;
        }
        let oldest = self.incarnations.iter().min_by_key(|(_, peer)| peer.last_message_at);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.incarnations.remove(&key);
        }
    }
}

/// Whether another incarnation at `address` uses the address of `member`, which then no longer
/// exchanges messages.
fn takes_address(incarnation: u64, address: SocketAddr, member: &Member) -> bool {
    incarnation != member.incarnation && address == member.peer
}
