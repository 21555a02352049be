//! Memory for the answers that are being received.
//!
//! A faulty instance may send bytes without end to many requests at once, each of which may stay
//! below the size limit of an answer, and callers may read large answers slowly. So all answers
//! together have a limit, beyond what each buffered one may use without a reservation.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::constants::{
    SMALL_STREAM_WINDOW_BYTES, STREAM_PIECE_BYTES, STREAM_PIECE_OVERHEAD_BYTES,
    STREAM_WINDOW_BYTES, UNRESERVED_ANSWER_BYTES,
};

/// Memory that the answers in transit share.
#[derive(Debug)]
pub struct Memory {
    /// Has a permit for each free byte.
    free: Arc<Semaphore>,
    limit_bytes: usize,
}

/// The answers in transit take all of the memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted;

/// Memory of one buffered answer, which is released when the reservation is dropped.
#[derive(Debug)]
pub struct Reservation<'a> {
    memory: &'a Memory,
    permit: Option<OwnedSemaphorePermit>,
}

/// Memory of one streamed answer. It is released when the window and all pieces are dropped.
#[derive(Debug)]
pub struct Window {
    /// Has a permit for each byte that the stream may take in addition.
    free: Arc<Semaphore>,
    reservation: Arc<OwnedSemaphorePermit>,
}

/// Part of a window that the next piece of the answer may take.
#[derive(Debug)]
pub struct Room {
    permit: OwnedSemaphorePermit,
    reservation: Arc<OwnedSemaphorePermit>,
}

/// Piece of a streamed answer, with the memory that it takes.
struct Piece {
    data: Bytes,
    _room: Room,
}

impl AsRef<[u8]> for Piece {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Memory {
    /// Memory of this size, in which at least one streamed answer has room.
    pub fn new(limit_bytes: usize) -> Self {
        let limit_bytes = limit_bytes.clamp(SMALL_STREAM_WINDOW_BYTES, Semaphore::MAX_PERMITS);
        Self { free: Arc::new(Semaphore::new(limit_bytes)), limit_bytes }
    }

    /// An empty reservation.
    pub fn reserve(&self) -> Reservation<'_> {
        Reservation { memory: self, permit: None }
    }

    /// Reserves the window of a streamed answer; waits until there is memory for it. The window is
    /// small while more than half of the memory is in use.
    pub async fn reserve_window(&self) -> Result<Window, Exhausted> {
        let is_short = self.free.available_permits() < self.limit_bytes / 2;
        let bytes = if is_short { SMALL_STREAM_WINDOW_BYTES } else { STREAM_WINDOW_BYTES };
        let bytes = bytes.min(self.limit_bytes);
        let permit = self.free.clone().acquire_many_owned(bytes as u32).await;
        // Fails only if the semaphore is closed, which it never is.
        let reservation = Arc::new(permit.map_err(|_| Exhausted)?);
        Ok(Window { free: Arc::new(Semaphore::new(bytes)), reservation })
    }
}

impl Reservation<'_> {
    /// Adapts the reservation to an answer of which `held_bytes` are in memory.
    pub fn resize(&mut self, held_bytes: usize) -> Result<(), Exhausted> {
        let bytes = held_bytes.saturating_sub(UNRESERVED_ANSWER_BYTES);
        let reserved = self.permit.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        if bytes < reserved {
            let surplus = self.permit.as_mut().and_then(|permit| permit.split(reserved - bytes));
            drop(surplus);
        } else if bytes > reserved {
            let missing = u32::try_from(bytes - reserved).map_err(|_| Exhausted)?;
            let added = self.memory.free.clone().try_acquire_many_owned(missing);
            let added = added.map_err(|_| Exhausted)?;
            match &mut self.permit {
                Some(permit) => permit.merge(added),
                None => self.permit = Some(added),
            }
        }
        Ok(())
    }
}

impl Window {
    /// Waits until the stream may read one more piece.
    pub async fn room(&self) -> Result<Room, Exhausted> {
        let permit = self.free.clone().acquire_many_owned(STREAM_PIECE_BYTES as u32).await;
        // Fails only if the semaphore is closed, which it never is.
        let permit = permit.map_err(|_| Exhausted)?;
        Ok(Room { permit, reservation: self.reservation.clone() })
    }
}

impl Room {
    /// Keeps the memory of `data` reserved until the returned bytes are dropped, and releases the rest.
    pub fn hold(self, data: Bytes) -> Bytes {
        let Self { mut permit, reservation } = self;
        // A short piece would keep the whole buffer that it was read into.
        let is_short = data.len() < STREAM_PIECE_BYTES / 2;
        let data = if is_short { Bytes::copy_from_slice(&data) } else { data };
        if is_short {
            let bytes = data.len() + STREAM_PIECE_OVERHEAD_BYTES;
            drop(permit.split(permit.num_permits() - bytes));
        }
        Bytes::from_owner(Piece { data, _room: Self { permit, reservation } })
    }
}
