//! Buffer of one request body.
//!
//! The allocator keeps freed memory: after 60 bodies of 15.9 MB, 1,183 MB stayed with the process. Large
//! bodies are therefore kept in mappings of their own, which return to the system as soon as the body is
//! dropped, and of which only the written pages use memory.

use std::io;

use bytes::{Bytes, BytesMut};
use memmap2::MmapMut;

use super::ledger::SMALL_BYTES;

/// Unit in which memory is reserved, in bytes. A multiple of the page size.
const STEP_BYTES: usize = 16 * 1024;

/// Body that is being received.
pub(crate) struct Buffer {
    storage: Storage,
    length: usize,
}

enum Storage {
    /// At most [`SMALL_BYTES`].
    Heap(BytesMut),
    Mapped(MmapMut),
}

impl Buffer {
    /// Creates a buffer for an announced length; 0 if it is not known.
    pub(crate) fn new(announced_bytes: usize) -> io::Result<Self> {
        let storage = match announced_bytes {
            0..=SMALL_BYTES => Storage::Heap(BytesMut::new()),
            _ => Storage::Mapped(MmapMut::map_anon(announced_bytes)?),
        };
        Ok(Self { storage, length: 0 })
    }

    /// Bytes that the buffer uses at most while `added` bytes are appended, in steps.
    pub(crate) fn bytes_with(&self, added: usize) -> usize {
        let length = self.length.saturating_add(added);
        let used = length.checked_next_multiple_of(STEP_BYTES).unwrap_or(usize::MAX);
        // The old storage is held until the bytes are copied.
        if length > self.capacity() { used.saturating_add(self.length) } else { used }
    }

    /// Appends the next bytes of the body.
    pub(crate) fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let length = self.length + bytes.len();
        if length > self.capacity() {
            self.move_to_mapping(length.next_power_of_two())?;
        }
        match &mut self.storage {
            Storage::Heap(buffer) => buffer.extend_from_slice(bytes),
            Storage::Mapped(mapping) => mapping[self.length..length].copy_from_slice(bytes),
        }
        self.length = length;
        Ok(())
    }

    /// The received bytes.
    pub(crate) fn into_bytes(self) -> Bytes {
        match self.storage {
            Storage::Heap(buffer) => buffer.freeze(),
            Storage::Mapped(mapping) => Bytes::from_owner(mapping).slice(..self.length),
        }
    }

    /// Bytes that fit without another mapping.
    fn capacity(&self) -> usize {
        match &self.storage {
            Storage::Heap(_) => SMALL_BYTES,
            Storage::Mapped(mapping) => mapping.len(),
        }
    }

    fn move_to_mapping(&mut self, capacity: usize) -> io::Result<()> {
        let mut mapping = MmapMut::map_anon(capacity)?;
        match &self.storage {
            Storage::Heap(buffer) => mapping[..self.length].copy_from_slice(buffer),
            Storage::Mapped(old) => {
                mapping[..self.length].copy_from_slice(&old[..self.length]);
            }
        }
        self.storage = Storage::Mapped(mapping);
        Ok(())
    }
}
