//! Selection of the hosts that are asked to lend tokens of a workspace.
//!
//! The load pattern is a workspace whose requests reach hosts without tokens, while other hosts have
//! some to spare: hundreds of hosts get a request now and then, or callers move from one region to
//! another. Hosts in the same region answer soonest but may run short at the same time. So a host of the
//! own region is asked first, and one of another region only when none of the own one may have tokens. A
//! token that two hosts lend for one request would be lost. A host that had no tokens is skipped for a
//! while.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// Time after which another host is asked although the last one has not answered.
pub const ANSWER_TIME: Duration = Duration::from_millis(30);

/// Time for which a host that had no tokens to lend is not asked again.
const EMPTY_BACKOFF: Duration = Duration::from_millis(300);

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
    /// When a host was last asked; `None` if it has answered.
    asked_at: Option<Duration>,
    /// When each host that had no tokens may be asked again.
    backoff_until: HashMap<Arc<str>, Duration>,
    /// Position in the rotation over the hosts.
    rotation: usize,
}

impl Selector {
    /// A selector that begins at a place in the order of the lenders which depends on `seed`, so that not
    /// all hosts ask the same one first.
    pub fn new(seed: u64) -> Self {
        // Any place will do, so that the cast may truncate.
        Self { rotation: seed as usize, ..Self::default() }
    }

    /// Returns the host to ask now. There is none while the last one may still answer, and while no
    /// lender is left that may have tokens.
    pub fn choose(&mut self, now: Duration, lenders: &[Lender]) -> Option<Arc<str>> {
        if self.asked_at.is_some_and(|asked| now < asked + ANSWER_TIME) {
            return None;
        }
        let may_have_tokens = |lender: &&Lender| {
            self.backoff_until.get(&lender.host).is_none_or(|until| *until <= now)
        };
        let (local, remote): (Vec<&Lender>, Vec<&Lender>) =
            lenders.iter().filter(may_have_tokens).partition(|lender| lender.is_local);
        let region = if local.is_empty() { remote } else { local };
        let chosen = region.get(self.rotation % region.len().max(1))?;
        self.asked_at = Some(now);
        self.rotation = self.rotation.wrapping_add(1);
        Some(chosen.host.clone())
    }

    /// Records a host's reply with the number of tokens that it lent, possibly none.
    pub fn record_reply(&mut self, now: Duration, host: &Arc<str>, tokens: u32) {
        self.asked_at = None;
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
