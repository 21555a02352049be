//! What instances ask for in their answers, applied to the choice of an instance.

use std::time::Duration;

use super::{Choice, Fleet};
use crate::steering::{instance::Instance, notice::Origin};

impl Fleet {
    /// Records that the chosen instance leaves, so that it gets no more requests. It said so in the answer
    /// to a request that was sent at `sent_at_ms`, in Unix milliseconds. Returns whether that is new.
    pub fn record_leaving(&mut self, now: Duration, choice: &Choice, sent_at_ms: u64) -> bool {
        let is_new = self.notices.record_leaving(now, origin(choice, sent_at_ms));
        self.apply_notice(&choice.id);
        is_new
    }

    /// Records that the chosen instance wants no requests for `pause`, as it said in the answer to a request
    /// that was sent at `sent_at_ms`, in Unix milliseconds. Returns the pause that counts, or `None` if an
    /// earlier one lasts as long.
    pub fn record_pause(
        &mut self,
        now: Duration,
        choice: &Choice,
        pause: Duration,
        sent_at_ms: u64,
    ) -> Option<Duration> {
        let applied = self.notices.record_pause(now, origin(choice, sent_at_ms), pause);
        self.apply_notice(&choice.id);
        applied
    }

    /// Whether the chosen instance may still get the request. Opening a connection takes time, in which
    /// the instance may have left, been evacuated or asked for a pause.
    pub fn may_send(&self, now: Duration, choice: &Choice) -> bool {
        let is_evacuated =
            |instance: &Instance| self.evacuated_domains.contains(&instance.endpoint.domain);
        let upstream = self.service_by_id.get(&choice.id).and_then(|name| self.upstreams.get(name));
        let instances = upstream.map_or(&[][..], |upstream| &upstream.instances);
        instances.iter().find(|instance| instance.endpoint.id == choice.id).is_some_and(
            |instance| {
                instance.endpoint.incarnation == choice.incarnation
                    && !self.is_leaving(now, instance)
                    && !instance.is_paused(now)
                    && !is_evacuated(instance)
            },
        )
    }

    /// Shortest time until one of the candidates ends its pause; zero if one of them has none.
    pub(super) fn pause_left(now: Duration, candidates: &[&Instance]) -> Duration {
        let left = candidates.iter().map(|instance| instance.pause_left(now));
        left.min().unwrap_or_default()
    }

    fn apply_notice(&mut self, id: &str) {
        let notice = self.endpoint(id).and_then(|endpoint| self.notices.get(endpoint));
        if let (Some(notice), Some(instance)) = (notice, self.instance(id)) {
            instance.apply_notice(notice);
        }
    }
}

fn origin(choice: &Choice, sent_at_ms: u64) -> Origin<'_> {
    let Choice { id, incarnation, address, .. } = choice;
    Origin { id, incarnation: *incarnation, address: *address, sent_at_ms }
}
