//! Idle connections to backend servers.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::connection::Connection;
use crate::constants::{FRESH_LIMIT, IDLE_CONNECTIONS, IDLE_LIMIT};

/// One start of an instance.
pub type Key = (Arc<str>, u64);

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Duration,
    until: Duration,
}

/// Idle connections by instance, the most recently used one last.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<Key, Vec<Idle>>,
}

impl Pool {
    /// Takes out an idle connection; one that answered recently if `fresh`.
    pub fn take(&mut self, now: Duration, key: &Key, fresh: bool) -> Option<Connection> {
        let idle = self.idle.get_mut(key)?;
        while let Some(newest) = idle.pop() {
            let is_young = !fresh || now < newest.since + FRESH_LIMIT;
            if now < newest.until && is_young && newest.connection.is_quiet() {
                return Some(newest.connection);
            }
        }
        None
    }

    /// Keeps a connection whose exchange is complete, for as long as the instance keeps it.
    pub fn give_back(
        &mut self,
        now: Duration,
        key: Key,
        connection: Connection,
        kept: Option<Duration>,
    ) {
        let until = now + kept.unwrap_or(IDLE_LIMIT).min(IDLE_LIMIT);
        let idle = self.idle.entry(key).or_default();
        if idle.len() < IDLE_CONNECTIONS {
            idle.push(Idle { connection, since: now, until });
        }
    }

    /// Closes the idle connections of an instance, which may all have gone silent.
    pub fn clear(&mut self, key: &Key) {
        self.idle.remove(key);
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&mut self, now: Duration) {
        for idle in self.idle.values_mut() {
            idle.retain(|idle| now < idle.until);
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}
