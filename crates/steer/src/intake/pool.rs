//! Memory that is handed out according to a [`Ledger`] and returned when its holder is dropped.

use std::{cell::RefCell, rc::Rc};

use super::ledger::{Ledger, Owner, Short};

/// Memory for one purpose.
#[derive(Clone, Debug)]
pub(crate) struct Pool(Rc<RefCell<Ledger>>);

impl Pool {
    /// A pool of this size.
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self(Rc::new(RefCell::new(Ledger::new(limit_bytes))))
    }

    /// An empty reservation.
    pub(crate) fn reserve(&self, owner: Owner) -> Reservation {
        Reservation { pool: self.clone(), owner, bytes: 0 }
    }
}

/// Memory of one owner, which is returned on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    pool: Pool,
    owner: Owner,
    bytes: usize,
}

impl Reservation {
    /// Whether the reservation could be enlarged to `bytes` now.
    pub(crate) fn has_room(&self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        self.pool.0.borrow().has_room(&self.owner, self.bytes, missing)
    }

    /// Enlarges the reservation to at least `bytes`.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> Result<(), Short> {
        let Some(missing) = bytes.checked_sub(self.bytes).filter(|missing| *missing > 0) else {
            return Ok(());
        };
        self.pool.0.borrow_mut().reserve(&self.owner, self.bytes, missing)?;
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.pool.0.borrow_mut().release(&self.owner, self.bytes);
        }
    }
}
