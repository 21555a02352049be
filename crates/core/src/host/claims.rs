//! Claims of a host: passes member tables, claims of the request path and messages to the
//! [`Participant`](crate::claim::Participant).

use std::time::Duration;

use super::{Host, event::Ticket};
use crate::{
    claim::{Completion, Epoch, Membership, Name},
    member::roster::{Earlier, Roster},
    message::{Message, Sender},
};

impl Host {
    /// Passes a new `members` record on to the participant.
    pub(super) fn set_claim_members(&mut self, now: Duration, roster: &Roster, revision: u64) {
        let epoch = |earlier: &Earlier| Epoch {
            revision: earlier.revision,
            replaced_ago: Duration::from_millis(earlier.ended_ms),
            members: earlier.members.clone(),
        };
        let membership = Membership {
            revision,
            members: roster.members.clone(),
            earlier: roster.earlier.iter().map(epoch).collect(),
            earlier_complete: roster.dropped_ms.is_none(),
        };
        let actions = self.claims.set_membership(now, &membership);
        self.actions.extend(actions);
    }

    pub(super) fn request_claim(
        &mut self,
        now: Duration,
        ticket: Ticket,
        name: Name,
        fingerprint: u64,
    ) {
        let current = self.is_current(now);
        let actions = self.claims.acquire(now, current, ticket, name, fingerprint);
        self.actions.extend(actions);
    }

    pub(super) fn complete_claim(&mut self, now: Duration, completion: Completion) {
        let actions = self.claims.complete(now, completion);
        self.actions.extend(actions);
    }

    pub(super) fn handle_claim_message(&mut self, now: Duration, from: &Sender, message: Message) {
        let current = self.is_current(now);
        let actions = self.claims.handle(now, current, from, message);
        self.actions.extend(actions);
    }

    pub(super) fn set_claims_in_force(&mut self, now: Duration, revision: u64) {
        let actions = self.claims.set_in_force(now, revision);
        self.actions.extend(actions);
    }

    pub(super) fn tick_claims(&mut self, now: Duration) {
        let current = self.is_current(now);
        let actions = self.claims.tick(now, current);
        self.actions.extend(actions);
    }
}
