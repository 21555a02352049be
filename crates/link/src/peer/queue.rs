//! Bounded queue of messages to one peer.

use std::{collections::VecDeque, sync::Mutex};

use tokio::sync::Notify;

/// Encoded messages that wait to be sent to one peer.
pub(super) struct Queue {
    messages: Mutex<VecDeque<Message>>,
    capacity: usize,
    message_added: Notify,
}

struct Message {
    bytes: Vec<u8>,
    is_heartbeat: bool,
}

impl Queue {
    /// Creates a queue for up to `capacity` messages.
    pub(super) fn new(capacity: usize) -> Self {
        Self { messages: Mutex::default(), capacity, message_added: Notify::new() }
    }

    /// Adds a message. A full queue first drops its oldest heartbeat, as heartbeats are repeated,
    /// or if it has none its oldest message.
    pub(super) fn push(&self, bytes: Vec<u8>, is_heartbeat: bool) {
        let Ok(mut messages) = self.messages.lock() else {
            return;
        };
        if messages.len() >= self.capacity {
            let oldest = messages.iter().position(|message| message.is_heartbeat);
            messages.remove(oldest.unwrap_or(0));
        }
        messages.push_back(Message { bytes, is_heartbeat });
        drop(messages);
        self.message_added.notify_one();
    }

    /// Removes and returns the oldest message; waits while the queue is empty.
    pub(super) async fn pop(&self) -> Vec<u8> {
        loop {
            let next = self.messages.lock().ok().and_then(|mut messages| messages.pop_front());
            match next {
                Some(message) => return message.bytes,
                None => self.message_added.notified().await,
            }
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.messages.lock().is_ok_and(|messages| messages.is_empty())
    }
}
