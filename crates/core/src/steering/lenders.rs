//! Selection of the hosts that are asked to lend tokens of a workspace.
//!
//! When callers move from one region to another, the hosts of one region run short while those of
//! the other have spare tokens. Hosts in the same region answer soonest but run short at the same
//! time. So one local and one remote host are asked together, and a host that had no tokens is
//! skipped for a while.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// Shortest time between two rounds of requests for tokens of one workspace.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(30);

/// Time for which a host that had no tokens to lend is not asked again.
const EMPTY_BACKOFF: Duration = Duration::from_millis(300);

/// Largest number of hosts that are asked at once.
const MAX_ASKED_HOSTS: usize = 2;

/// Host that may lend tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct Lender {
    /// Name of the host.
    pub host: Arc<str>,
    /// Whether the host is in the borrower's region.
    pub is_local: bool,
}

/// Selector of lenders for one workspace.
#[derive(Clone, Debug, Default)]
pub struct Selector {
    /// When hosts were last asked.
    last_asked_at: Option<Duration>,
    /// When each host that had no tokens may be asked again.
    backoff_until: HashMap<Arc<str>, Duration>,
    /// Position in the rotation over the hosts.
    rotation: usize,
}

impl Selector {
    /// Returns the hosts to ask now. The list is empty shortly after the last call that chose
    /// hosts, and while no lender is left that may have tokens.
    pub fn choose(&mut self, now: Duration, lenders: &[Lender]) -> Vec<Arc<str>> {
        if self.last_asked_at.is_some_and(|asked| now < asked + MIN_ASK_INTERVAL) {
            return Vec::new();
        }
        let may_have_tokens = |lender: &&Lender| {
            self.backoff_until.get(&lender.host).is_none_or(|until| *until <= now)
        };
        let (local, remote): (Vec<&Lender>, Vec<&Lender>) =
            lenders.iter().filter(may_have_tokens).partition(|lender| lender.is_local);
        let pick = |region: &[&Lender], rotation: usize| {
            (!region.is_empty()).then(|| region[rotation % region.len()].host.clone())
        };
        let mut chosen: Vec<Arc<str>> = [pick(&local, self.rotation), pick(&remote, self.rotation)]
            .into_iter()
            .flatten()
            .collect();
        if chosen.len() < MAX_ASKED_HOSTS && local.len() + remote.len() > 1 {
            let region = if local.is_empty() { &remote } else { &local };
            chosen.extend(pick(region, self.rotation + 1).filter(|host| !chosen.contains(host)));
        }
        if !chosen.is_empty() {
            self.last_asked_at = Some(now);
            self.rotation = self.rotation.wrapping_add(1);
        }
        chosen
    }

    /// Records a host's reply with the number of tokens that it lent, possibly none.
    pub fn record_reply(&mut self, now: Duration, host: &Arc<str>, tokens: u32) {
        if tokens == 0 {
            self.backoff_until.insert(host.clone(), now + EMPTY_BACKOFF);
        } else {
            self.backoff_until.remove(host);
        }
    }

    /// Whether any of the lenders may have tokens, so that a reply is worth waiting for.
    pub fn has_candidate(&self, now: Duration, lenders: &[Lender]) -> bool {
        lenders
            .iter()
            .any(|lender| self.backoff_until.get(&lender.host).is_none_or(|until| *until <= now))
    }
}
