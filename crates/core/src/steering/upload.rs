//! Request bodies that this host has at each instance.
//!
//! An instance crashes if the requests that it holds exceed its memory. Hosts do not see each other's
//! requests, so that each of them limits its own. See docs/design/large-responses.md.

use std::{collections::HashMap, sync::Arc};

/// Most bytes of request bodies that this host has at one instance, if these are of several requests.
pub const MAX_INSTANCE_BYTES: u64 = 8 * 1024 * 1024;

/// Id and incarnation of an instance.
type Key = (Arc<str>, u64);

/// Requests with a body at one instance.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    requests: u32,
    bytes: u64,
}

/// Request bodies at all instances.
#[derive(Clone, Debug, Default)]
pub struct Book {
    held: HashMap<Key, Held>,
}

impl Book {
    /// Whether an instance may get a request with a body of this size. The first one may have any size.
    pub fn allows(&self, id: &Arc<str>, incarnation: u64, bytes: u64) -> bool {
        if bytes == 0 || self.held.is_empty() {
            return true;
        }
        let held = self.held.get(&(id.clone(), incarnation));
        held.is_none_or(|held| held.bytes.saturating_add(bytes) <= MAX_INSTANCE_BYTES)
    }

    /// Records a request that is being sent to an instance.
    pub fn start(&mut self, id: &Arc<str>, incarnation: u64, bytes: u64) {
        if bytes > 0 {
            let held = self.held.entry((id.clone(), incarnation)).or_default();
            held.requests += 1;
            held.bytes = held.bytes.saturating_add(bytes);
        }
    }

    /// Records the end of a request that was started.
    pub fn end(&mut self, id: &Arc<str>, incarnation: u64, bytes: u64) {
        let key = (id.clone(), incarnation);
        if bytes > 0
            && let Some(held) = self.held.get_mut(&key)
        {
            held.requests = held.requests.saturating_sub(1);
            held.bytes = held.bytes.saturating_sub(bytes);
            if held.requests == 0 {
                self.held.remove(&key);
            }
        }
    }
}
