//! Memory for the answers that are being received.
//!
//! A faulty instance may send bytes without end to many requests at once, each of which may stay
//! below the size limit of an answer. So all answers together have a limit, beyond what each of them
//! may use without a reservation.

use std::cell::Cell;

use crate::constants::{ANSWER_MEMORY_BYTES, UNRESERVED_ANSWER_BYTES};

/// Memory that the answers in transit share.
#[derive(Debug, Default)]
pub struct Memory {
    reserved_bytes: Cell<usize>,
}

/// The answers in transit take all of the memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted;

/// Memory of one answer, which is released when the reservation is dropped.
#[derive(Debug)]
pub struct Reservation<'a> {
    memory: &'a Memory,
    bytes: usize,
}

impl Memory {
    /// An empty reservation.
    pub fn reserve(&self) -> Reservation<'_> {
        Reservation { memory: self, bytes: 0 }
    }
}

impl Reservation<'_> {
    /// Adapts the reservation to an answer of which `held_bytes` are in memory.
    pub fn resize(&mut self, held_bytes: usize) -> Result<(), Exhausted> {
        let bytes = held_bytes.saturating_sub(UNRESERVED_ANSWER_BYTES);
        let others = self.memory.reserved_bytes.get() - self.bytes;
        if bytes > self.bytes && others + bytes > ANSWER_MEMORY_BYTES {
            return Err(Exhausted);
        }
        self.memory.reserved_bytes.set(others + bytes);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.memory.reserved_bytes.set(self.memory.reserved_bytes.get() - self.bytes);
    }
}
