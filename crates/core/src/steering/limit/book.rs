//! What a host knows of the limits of all instances, from answers and from the store.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::{Group, Statement, entry::Entry};

/// Limits of all instances that have stated one.
#[derive(Clone, Debug, Default)]
pub struct Book {
    entries: HashMap<Arc<str>, Entry>,
}

/// A limit that this host applies from now on, or no longer.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Id of the instance.
    pub id: Arc<str>,
    /// Limit that applies now.
    pub statement: Statement,
    /// This host's part of it, in requests per second.
    pub host_rate: f64,
}

/// Record of a limit that this host should write to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Publication {
    /// Id of the instance.
    pub id: Arc<str>,
    /// Incarnation of the instance.
    pub incarnation: u64,
    /// What the record should say; it is removed if the instance has no limit.
    pub statement: Statement,
    /// Revision of the record that it replaces; 0 if there is none.
    pub replaces_revision: u64,
}

impl Book {
    /// Records what an answer to a request that was sent at `sent_at` says.
    ///
    /// Only an answer to a request that was sent after the host last learned of the limit ends it:
    /// answers on different connections may overtake each other.
    pub fn record_answer(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        incarnation: u64,
        sent_at: Duration,
        statement: Statement,
    ) {
        let known = self.entries.get(id).filter(|entry| entry.incarnation == incarnation);
        let ends_limit = statement == Statement::Unlimited;
        if ends_limit && known.is_none_or(|entry| sent_at < entry.learned_at()) {
            return;
        }
        if let Some(entry) = self.entry(id, incarnation) {
            entry.set_answer(now, statement);
        }
    }

    /// Applies what another host heard in an answer. A message that there is no limit says nothing, as it
    /// may be late.
    pub fn record_message(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        incarnation: u64,
        statement: Statement,
    ) {
        if statement != Statement::Unlimited
            && let Some(entry) = self.entry(id, incarnation)
        {
            entry.set_message(now, statement);
        }
    }

    /// The limit that this host should announce to the others now, in requests per second. Records that
    /// it does.
    pub fn take_announcement(&mut self, now: Duration, id: &str) -> Option<f64> {
        let entry = self.entries.get_mut(id)?;
        entry.take_announcement(now).then(|| entry.answered_rate()).flatten()
    }

    /// Applies a record of the store, which has this revision.
    pub fn apply_record(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        incarnation: u64,
        statement: Statement,
        revision: u64,
    ) {
        if let Some(entry) = self.entry(id, incarnation) {
            entry.set_record(now, statement, revision);
        } else if let Some(entry) = self.entries.get_mut(id) {
            // The record of an earlier incarnation says nothing, and its revision is needed to replace it.
            entry.revision = revision;
        }
    }

    /// Forgets the limit of an earlier incarnation of an instance.
    pub fn restart(&mut self, id: &Arc<str>, incarnation: u64) {
        if self.entries.contains_key(id) {
            self.entry(id, incarnation);
        }
    }

    /// Applies the removal of a record from the store.
    pub fn remove_record(&mut self, now: Duration, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.set_record(now, Statement::Unlimited, 0);
        }
    }

    /// Records that a restore of the store has lost a record.
    pub fn lose_record(&mut self, now: Duration, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.lose_record(now);
        }
    }

    /// Ids of the instances with a record in the store.
    pub fn recorded_ids(&self) -> impl Iterator<Item = &Arc<str>> {
        self.entries.iter().filter(|(_, entry)| entry.revision > 0).map(|(id, _)| id)
    }

    /// Applies the current limit of one instance, of which `host_rate` gives this host's part.
    pub fn refresh(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        host_rate: impl Fn(f64) -> f64,
    ) -> Option<Change> {
        let entry = self.entries.get_mut(id)?;
        let is_changed = entry.refresh(now, host_rate);
        is_changed.then(|| Change {
            id: id.clone(),
            statement: entry.current,
            host_rate: entry.host_rate,
        })
    }

    /// Number of instances with a limit that applies.
    pub fn limited_count(&self) -> usize {
        self.entries.values().filter(|entry| entry.current != Statement::Unlimited).count()
    }

    /// Whether the instance has an entry.
    pub fn contains(&self, id: &str) -> bool {
        self.entries.contains_key(id)
    }

    /// Ids of all instances with an entry.
    pub fn ids(&self) -> Vec<Arc<str>> {
        self.entries.keys().cloned().collect()
    }

    /// Limit of an instance, in requests per second from all hosts together.
    pub fn rate(&self, id: &str) -> Option<f64> {
        self.entries.get(id)?.current.rate()
    }

    /// Whether this host may send the instance a request now.
    pub fn allows(&self, now: Duration, id: &str) -> bool {
        self.entries.get(id).is_none_or(|entry| entry.allows(now))
    }

    /// Whether this host shares the limit of an instance and has left its part unused for a while.
    ///
    /// With many hosts, the few that share a limit have few requests that belong at the instance, and
    /// would hear late that its limit has ended.
    pub fn is_probe_due(&self, now: Duration, id: &str) -> bool {
        self.entries.get(id).is_some_and(|entry| entry.is_probe_due(now))
    }

    /// Records a request to an instance.
    pub fn record_request(&mut self, now: Duration, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.last_sent_at = now;
        }
    }

    /// Returns the records that this host should write, and forgets instances that are gone.
    /// `incarnation` gives the incarnation of a registered instance.
    pub fn publications(
        &mut self,
        now: Duration,
        group: &Group,
        incarnation: impl Fn(&str) -> Option<u64>,
    ) -> Vec<Publication> {
        for (id, entry) in &mut self.entries {
            entry.set_registered(now, incarnation(id) == Some(entry.incarnation));
        }
        self.entries.retain(|_, entry| !entry.is_gone(now) || entry.revision > 0);
        let entries = self.entries.iter_mut();
        entries.filter_map(|(id, entry)| entry.publication(now, id, group)).collect()
    }

    /// The entry of an instance; `None` for an earlier incarnation. An instance that has started again
    /// has no limit until it states one.
    fn entry(&mut self, id: &Arc<str>, incarnation: u64) -> Option<&mut Entry> {
        let entry = self.entries.entry(id.clone()).or_insert_with(|| Entry::new(incarnation));
        if entry.incarnation < incarnation {
            // The store may still hold the record of the earlier incarnation.
            let revision = entry.revision;
            *entry = Entry::new(incarnation);
            entry.revision = revision;
        }
        (entry.incarnation == incarnation).then_some(entry)
    }
}
