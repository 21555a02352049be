//! Answers that are too large for one datagram, as several.
//!
//! The changes of the store count only together, so that a lost part costs all of them. A configuration is
//! named by its version and its bytes, which are the same at all hosts of one build: its parts may come from
//! several hosts, in answer to several questions. See docs/platform.md.

use flate2::Crc;
use serde::{Deserialize, Serialize};

use super::relay::Answer;
use crate::peers::MAX_DATAGRAM_BYTES;

/// Room of a datagram for the head of a message.
const HEAD_BYTES: usize = 1000;

/// Most bytes of a payload in one datagram.
pub const PART_BYTES: usize = MAX_DATAGRAM_BYTES - HEAD_BYTES;

/// Most parts of an answer, which bound the memory for answers that are not complete.
pub const MAX_PARTS: usize = 16;

/// Place of a part in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Number of the part, from 0.
    pub index: usize,
    /// Number of all parts.
    pub count: usize,
}

/// Splits a payload into the parts of an answer. That of a single part has no place, as in earlier versions.
pub fn split(payload: &[u8]) -> impl Iterator<Item = (Option<Part>, &[u8])> {
    let count = payload.len().div_ceil(PART_BYTES);
    let parts = payload.chunks(PART_BYTES).enumerate();
    parts.map(move |(index, bytes)| ((count > 1).then_some(Part { index, count }), bytes))
}

/// Parts of an answer that have arrived.
#[derive(Debug, Default)]
pub struct Assembly {
    /// The answer without a place; `None` before the first part.
    answer: Option<Answer>,
    parts: Vec<Option<Vec<u8>>>,
}

impl Assembly {
    /// Adds a part, and returns the whole payload with the last one. Parts of another answer to the same
    /// question are dropped.
    pub fn add(&mut self, answer: &Answer, payload: Vec<u8>) -> Option<Vec<u8>> {
        let Some(Part { index, count }) = answer.part else {
            return Some(payload);
        };
        if count > MAX_PARTS || index >= count {
            return None;
        }
        let answer = Some(Answer { part: None, ..answer.clone() });
        if self.answer != answer || self.parts.len() != count {
            *self = Self { answer, parts: vec![None; count] };
        }
        self.parts[index] = Some(payload);
        if self.parts.iter().any(Option::is_none) {
            return None;
        }
        Some(std::mem::take(self).parts.into_iter().flatten().flatten().collect())
    }
}

/// Names the payload of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Name {
    /// Version of the configuration.
    pub version: u64,
    /// Length of the payload, in bytes.
    pub bytes: usize,
    /// CRC-32 of the payload.
    pub checksum: u32,
    /// Number of the parts in which it is sent.
    pub parts: usize,
}

impl Name {
    /// Names the payload of a configuration of this version.
    pub fn new(version: u64, payload: &[u8]) -> Self {
        let mut crc = Crc::new();
        crc.update(payload);
        let (bytes, checksum) = (payload.len(), crc.sum());
        Self { version, bytes, checksum, parts: bytes.div_ceil(PART_BYTES) }
    }

    /// Whether the payload may be sent in parts.
    pub fn is_sendable(&self) -> bool {
        self.parts <= MAX_PARTS
    }
}

/// What a host has of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Version that it passes on to others; 0 without one.
    pub version: u64,
    /// A later one of which parts have arrived.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pending: Option<Pending>,
}

/// Parts of a configuration that have arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pending {
    /// Which payload they are parts of.
    pub name: Name,
    /// Bit set of their numbers.
    pub arrived: u16,
}

impl Holding {
    /// Whether the host has this payload, or a later version.
    pub fn has(&self, name: &Name) -> bool {
        let has_part = |index| !self.lacks(name, index);
        self.version >= name.version || name.parts > 0 && (0..name.parts).all(has_part)
    }

    /// Whether the host lacks this part of a payload.
    pub fn lacks(&self, name: &Name, index: usize) -> bool {
        let pending = self.pending.filter(|pending| pending.name == *name);
        pending.is_none_or(|pending| pending.arrived & bit(index) == 0)
    }
}

/// The bit of a part in [`Pending::arrived`].
fn bit(index: usize) -> u16 {
    u32::try_from(index).ok().and_then(|index| 1_u16.checked_shl(index)).unwrap_or_default()
}

/// A configuration of which parts arrive, from any host and in answer to any question.
#[derive(Debug, Default)]
pub struct Collection {
    /// Which parts have arrived; `None` before the first one.
    pending: Option<Pending>,
    /// Payload as far as it has arrived; empty once it is whole.
    payload: Vec<u8>,
}

impl Collection {
    /// Adds a part, and returns the whole payload with the last one. A later version, or another payload of
    /// the same one, replaces what has arrived; parts of an earlier version are dropped.
    pub fn add(&mut self, name: Name, index: usize, part: &[u8]) -> Option<Vec<u8>> {
        let start = index.checked_mul(PART_BYTES)?;
        let end = start.saturating_add(PART_BYTES).min(name.bytes);
        let is_sound = name.is_sendable() && name.parts == name.bytes.div_ceil(PART_BYTES);
        let is_late = self.pending.is_some_and(|pending| pending.name.version > name.version);
        if !is_sound || is_late || index >= name.parts || part.len() != end - start {
            return None;
        }
        if self.pending.is_none_or(|pending| pending.name != name) {
            let pending = Some(Pending { name, arrived: 0 });
            *self = Self { pending, payload: vec![0; name.bytes] };
        }
        let pending = self.pending.as_mut().filter(|pending| pending.arrived & bit(index) == 0)?;
        pending.arrived |= bit(index);
        self.payload[start..end].copy_from_slice(part);
        if !self.is_whole(&name) {
            return None;
        }
        let payload = std::mem::take(&mut self.payload);
        if Name::new(name.version, &payload) != name {
            self.clear();
            return None;
        }
        Some(payload)
    }

    /// Whether all parts of a payload have arrived.
    pub fn is_whole(&self, name: &Name) -> bool {
        self.holding(0).has(name)
    }

    /// What a host has that passes on this version to others.
    pub fn holding(&self, version: u64) -> Holding {
        let pending = self.pending.filter(|pending| pending.name.version > version);
        Holding { version, pending }
    }

    /// Forgets the parts of a version that has arrived otherwise.
    pub fn forget_until(&mut self, version: u64) {
        if self.pending.is_some_and(|pending| pending.name.version <= version) {
            self.clear();
        }
    }

    /// Forgets all parts.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
