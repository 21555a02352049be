//! Answers that are too large for one datagram, as several.

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
