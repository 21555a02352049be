//! Whom to ask for tokens of a workspace.
//!
//! Load pattern: callers move from one region to another, so that the hosts of one are short while
//! those of the other have tokens to spare. Hosts of the own region answer soonest, but are short at
//! the same time; so one of them and one farther away are asked together, and those that had nothing
//! are left alone for a while.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// Shortest time between two questions about one workspace.
const ASK_INTERVAL: Duration = Duration::from_millis(30);

/// Time for which a host that had nothing to lend is not asked again.
const EMPTY_TIME: Duration = Duration::from_millis(300);

/// Hosts that are asked at once.
const ASKED_AT_ONCE: usize = 2;

/// A host that may lend.
#[derive(Clone, Debug, PartialEq)]
pub struct Lender {
    /// Name of the host.
    pub host: Arc<str>,
    /// Whether it is in the own region.
    pub is_near: bool,
}

/// What is known of the lenders of one workspace.
#[derive(Clone, Debug, Default)]
pub struct Lenders {
    asked: Option<Duration>,
    /// When each host that had nothing may be asked again.
    empty_until: HashMap<Arc<str>, Duration>,
    /// Place in the round of hosts.
    turn: usize,
}

impl Lenders {
    /// Hosts to ask now; none shortly after the last question, or when all had nothing.
    pub fn choose(&mut self, now: Duration, hosts: &[Lender]) -> Vec<Arc<str>> {
        if self.asked.is_some_and(|asked| now < asked + ASK_INTERVAL) {
            return Vec::new();
        }
        let has_spare =
            |lender: &&Lender| self.empty_until.get(&lender.host).is_none_or(|until| *until <= now);
        let (near, far): (Vec<&Lender>, Vec<&Lender>) =
            hosts.iter().filter(has_spare).partition(|lender| lender.is_near);
        let pick = |lenders: &[&Lender], turn: usize| {
            (!lenders.is_empty()).then(|| lenders[turn % lenders.len()].host.clone())
        };
        let mut chosen: Vec<Arc<str>> =
            [pick(&near, self.turn), pick(&far, self.turn)].into_iter().flatten().collect();
        if chosen.len() < ASKED_AT_ONCE && near.len() + far.len() > 1 {
            let all = if near.is_empty() { &far } else { &near };
            chosen.extend(pick(all, self.turn + 1).filter(|host| !chosen.contains(host)));
        }
        if !chosen.is_empty() {
            self.asked = Some(now);
            self.turn = self.turn.wrapping_add(1);
        }
        chosen
    }

    /// Notes what a host lent.
    pub fn answered(&mut self, now: Duration, host: &Arc<str>, tokens: u32) {
        if tokens == 0 {
            self.empty_until.insert(host.clone(), now + EMPTY_TIME);
        } else {
            self.empty_until.remove(host);
        }
    }

    /// Whether it is worth waiting for an answer.
    pub fn has_hope(&self, now: Duration, hosts: &[Lender]) -> bool {
        hosts
            .iter()
            .any(|lender| self.empty_until.get(&lender.host).is_none_or(|until| *until <= now))
    }
}
