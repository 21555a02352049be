//! Idle connections to backend servers.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::connection::Connection;
use crate::constants::{MAX_IDLE_CONNECTIONS, MAX_IDLE_TIME, MAX_IDLE_TIME_AT_MOST_ONCE};

/// Id and incarnation of an instance.
pub type Key = (Arc<str>, u64);

#[derive(Debug)]
struct Idle {
    connection: Connection,
    idle_since: Duration,
    expires_at: Duration,
}

/// Idle connections of each instance, sorted by their last use, the most recent one last.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<Key, Vec<Idle>>,
}

impl Pool {
    /// Takes the most recently used idle connection that is still usable. For a request that must
    /// run at most once, it must have been used within `MAX_IDLE_TIME_AT_MOST_ONCE`; connections
    /// that don't qualify are closed, also those that cannot carry a request with this id.
    pub fn take(
        &mut self,
        now: Duration,
        key: &Key,
        is_at_most_once: bool,
        request_id: &[u8],
    ) -> Option<Connection> {
        let idle = self.idle.get_mut(key)?;
        while let Some(newest) = idle.pop() {
            let is_recent =
                !is_at_most_once || now < newest.idle_since + MAX_IDLE_TIME_AT_MOST_ONCE;
            let may_carry = newest.connection.may_carry(request_id);
            if now < newest.expires_at && is_recent && may_carry && newest.connection.is_reusable()
            {
                return Some(newest.connection);
            }
        }
        None
    }

    /// Adds a connection whose exchange is complete. `keep_alive` is the time for which the
    /// instance keeps it open, if known.
    pub fn put(
        &mut self,
        now: Duration,
        key: Key,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let expires_at = now + keep_alive.unwrap_or(MAX_IDLE_TIME).min(MAX_IDLE_TIME);
        let idle = self.idle.entry(key).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(Idle { connection, idle_since: now, expires_at });
        }
    }

    /// Closes all idle connections of an instance.
    pub fn remove(&mut self, key: &Key) {
        self.idle.remove(key);
    }

    /// Closes the connections that have been idle for too long.
    pub fn remove_expired(&mut self, now: Duration) {
        for idle in self.idle.values_mut() {
            idle.retain(|idle| now < idle.expires_at);
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}
