//! Changes of the store that this host has applied lately, from which it answers other hosts.
//!
//! The load pattern is many hosts that miss many changes at once, as the store does not serve them, while
//! configurations of hundreds of kilobytes follow each other. Only the latest configuration counts, as it
//! replaces the earlier ones, so that an answer has one of them at most however far its receiver is behind.
//! All other changes are kept up to a bound: a removal that was followed by a write still says that a
//! lease has ended. See docs/platform.md.

use std::{
    cell::OnceCell,
    collections::{VecDeque, vec_deque},
    io,
};

use bytes::Bytes;

use super::{
    parts::{Name, PART_BYTES},
    relay,
};
use crate::store::{Change, Item};

/// Most changes that are kept, besides the configuration.
const MAX_CHANGES: usize = 4096;

/// Most bytes of their keys and values.
const MAX_BYTES: usize = 1024 * 1024;

/// The latest configuration.
#[derive(Debug)]
struct Plan {
    version: u64,
    change: Change,
    /// It alone, encoded when it is first asked for.
    payload: OnceCell<Payload>,
}

/// The latest configuration alone, as it is sent.
#[derive(Clone, Debug)]
pub struct Payload {
    /// Name of [`Self::bytes`].
    pub name: Name,
    /// The encoded write of the configuration.
    pub bytes: Bytes,
    /// Revision of the write.
    pub revision: u64,
}

/// All changes after a revision, but for configurations that were replaced.
#[derive(Debug, Default)]
pub struct Recent {
    /// Revision after which the changes are complete.
    complete_after: u64,
    plan: Option<Plan>,
    /// All other changes, in the order of their revisions.
    changes: VecDeque<Change>,
    /// Bytes of [`Self::changes`].
    bytes: usize,
}

impl Recent {
    /// Forgets all changes but the latest configuration, as the host has read all items up to a revision. It
    /// may have learned of a later configuration from another host while it read them.
    pub fn restart(&mut self, revision: u64) {
        *self = Self { complete_after: revision, plan: self.plan.take(), ..Self::default() };
    }

    /// Forgets everything, as the store's revisions count anew.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Records that a change of this revision is not kept, so that no earlier revision can be answered from.
    pub fn forget_until(&mut self, revision: u64) {
        self.complete_after = self.complete_after.max(revision);
    }

    /// Adds the write of a configuration, unless a later version is known.
    pub fn record_plan(&mut self, item: Item, version: u64) {
        let place = (version, item.revision);
        let is_later = |plan: &Plan| place > (plan.version, plan.change.revision());
        if self.plan.as_ref().is_none_or(is_later) {
            let change = Change::Written(item);
            self.plan = Some(Plan { version, change, payload: OnceCell::new() });
        }
    }

    /// Adds any other change.
    pub fn record(&mut self, change: Change) {
        self.bytes += size(&change);
        let revision = change.revision();
        let place = self.changes.partition_point(|other| other.revision() <= revision);
        self.changes.insert(place, change);
        while self.changes.len() > MAX_CHANGES || self.bytes > MAX_BYTES {
            let Some(oldest) = self.changes.pop_front() else { break };
            self.bytes -= size(&oldest);
            self.forget_until(oldest.revision());
        }
    }

    /// The payload of an answer to a host that has all changes up to `after`: one that takes it in parts, or
    /// one of an earlier version. `None` if changes after that revision are no longer known.
    pub fn payload(&self, after: u64, takes_parts: bool) -> Option<io::Result<Vec<u8>>> {
        (after >= self.complete_after).then(|| self.encode(after, takes_parts))
    }

    /// The payload of an answer with all changes after `after` but the configuration. `None` if changes after
    /// that revision are no longer known.
    pub fn payload_without_plan(&self, after: u64) -> Option<io::Result<Vec<u8>>> {
        (after >= self.complete_after).then(|| relay::encode(self.changes_after(after)))
    }

    /// The configuration alone; `None` before the first one.
    pub fn plan_payload(&self) -> Option<io::Result<&Payload>> {
        self.plan.as_ref().map(Plan::encoded)
    }

    /// Whether the configuration was written after a revision.
    pub fn has_plan_after(&self, after: u64) -> bool {
        self.plan.as_ref().is_some_and(|plan| plan.change.revision() > after)
    }

    /// Version of the configuration; 0 before the first one.
    pub fn plan_version(&self) -> u64 {
        self.plan.as_ref().map_or(0, |plan| plan.version)
    }

    /// Revision of the last change after a revision; that revision if there is none.
    pub fn last_revision(&self, after: u64) -> u64 {
        let plan = self.plan.as_ref().map_or(after, |plan| plan.change.revision());
        self.last_revision_without_plan(after).max(plan)
    }

    /// Revision of the last change after a revision, but for the configuration.
    pub fn last_revision_without_plan(&self, after: u64) -> u64 {
        self.changes.back().map_or(after, |change| change.revision().max(after))
    }

    fn changes_after(&self, after: u64) -> vec_deque::Iter<'_, Change> {
        let first = self.changes.partition_point(|change| change.revision() <= after);
        self.changes.range(first..)
    }

    fn encode(&self, after: u64, takes_parts: bool) -> io::Result<Vec<u8>> {
        let changes = self.changes_after(after);
        let Some(plan) = self.plan.as_ref().filter(|plan| plan.change.revision() > after) else {
            return relay::encode(changes);
        };
        if changes.len() == 0 {
            return plan.encoded().map(|payload| payload.bytes.to_vec());
        }
        // An earlier version reads no second stream, and no second datagram.
        if !takes_parts {
            let is_small = plan.encoded()?.bytes.len() <= PART_BYTES;
            let all = || relay::encode(changes.chain([&plan.change]));
            return if is_small { all() } else { Err(io::ErrorKind::FileTooLarge.into()) };
        }
        let mut payload = relay::encode(changes)?;
        payload.extend_from_slice(&plan.encoded()?.bytes);
        Ok(payload)
    }
}

impl Plan {
    fn encoded(&self) -> io::Result<&Payload> {
        if let Some(payload) = self.payload.get() {
            return Ok(payload);
        }
        let bytes = Bytes::from(relay::encode([&self.change])?);
        let name = Name::new(self.version, &bytes);
        let payload = Payload { name, bytes, revision: self.change.revision() };
        Ok(self.payload.get_or_init(|| payload))
    }
}

fn size(change: &Change) -> usize {
    change.key().len() + change.value_bytes()
}
