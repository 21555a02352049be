//! Bounded queue of messages to one peer.

use std::{collections::VecDeque, sync::Mutex};

use tokio::sync::Notify;

/// Messages that wait for one peer.
pub(super) struct Queue {
    waiting: Mutex<VecDeque<Item>>,
    length: usize,
    arrived: Notify,
}

struct Item {
    bytes: Vec<u8>,
    is_heartbeat: bool,
}

impl Queue {
    pub(super) fn new(length: usize) -> Self {
        Self { waiting: Mutex::default(), length, arrived: Notify::new() }
    }

    /// Adds a message. A full queue drops its oldest heartbeat, or else its oldest message.
    pub(super) fn push(&self, bytes: Vec<u8>, is_heartbeat: bool) {
        let Ok(mut waiting) = self.waiting.lock() else {
            return;
        };
        if waiting.len() >= self.length {
            let oldest = waiting.iter().position(|item| item.is_heartbeat);
            waiting.remove(oldest.unwrap_or(0));
        }
        waiting.push_back(Item { bytes, is_heartbeat });
        drop(waiting);
        self.arrived.notify_one();
    }

    /// Takes the oldest message, waiting for one if necessary.
    pub(super) async fn pop(&self) -> Vec<u8> {
        loop {
            let next = self.waiting.lock().ok().and_then(|mut w| w.pop_front());
            match next {
                Some(item) => return item.bytes,
                None => self.arrived.notified().await,
            }
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.lock().is_ok_and(|waiting| waiting.is_empty())
    }
}
