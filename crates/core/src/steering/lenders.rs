//! Whom to ask for tokens of a workspace.
//!
//! Load pattern: callers move from one region to another, so that the hosts of one are short while
//! those of the other have tokens to spare. Hosts of the own region answer soonest, but are short at
//! the same time; so one of them and one farther away are asked together, and those that had nothing
//! are left alone for a while.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// Shortest time between two questions about one workspace.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(30);

/// Time for which a host that had nothing to lend is not asked again.
const EMPTY_BACKOFF: Duration = Duration::from_millis(300);

/// Hosts that are asked at once.
const MAX_ASKED_HOSTS: usize = 2;

/// A host that may lend.
#[derive(Clone, Debug, PartialEq)]
pub struct Lender {
    /// Name of the host.
    pub host: Arc<str>,
    /// Whether it is in the own region.
    pub is_local: bool,
}

/// What is known of the lenders of one workspace.
#[derive(Clone, Debug, Default)]
pub struct Selector {
    last_asked_at: Option<Duration>,
    /// When each host that had nothing may be asked again.
    backoff_until: HashMap<Arc<str>, Duration>,
    /// Place in the round of hosts.
    rotation: usize,
}

impl Selector {
    /// Hosts to ask now; none shortly after the last question, or when all had nothing.
    pub fn choose(&mut self, now: Duration, hosts: &[Lender]) -> Vec<Arc<str>> {
        if self.last_asked_at.is_some_and(|asked| now < asked + MIN_ASK_INTERVAL) {
            return Vec::new();
        }
        let may_have_tokens = |lender: &&Lender| {
            self.backoff_until.get(&lender.host).is_none_or(|until| *until <= now)
        };
        let (local, remote): (Vec<&Lender>, Vec<&Lender>) =
            hosts.iter().filter(may_have_tokens).partition(|lender| lender.is_local);
        let pick = |lenders: &[&Lender], rotation: usize| {
            (!lenders.is_empty()).then(|| lenders[rotation % lenders.len()].host.clone())
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

    /// Notes what a host lent.
    pub fn record_reply(&mut self, now: Duration, host: &Arc<str>, tokens: u32) {
        if tokens == 0 {
            self.backoff_until.insert(host.clone(), now + EMPTY_BACKOFF);
        } else {
            self.backoff_until.remove(host);
        }
    }

    /// Whether it is worth waiting for an answer.
    pub fn has_candidate(&self, now: Duration, hosts: &[Lender]) -> bool {
        hosts
            .iter()
            .any(|lender| self.backoff_until.get(&lender.host).is_none_or(|until| *until <= now))
    }
}
