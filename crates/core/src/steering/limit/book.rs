//! What a host knows of the limits of all instances, from answers and from the store.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::{Sharing, Statement, interval};

/// Time for which an answer counts as fresh, longer than a record takes to reach all hosts. A record
/// that a host reads while its latest answer is fresh may have been written before that answer.
const FRESHNESS_TIME: Duration = Duration::from_secs(4);

/// Shortest time between two writes of this host about one instance.
const MIN_PUBLICATION_INTERVAL: Duration = Duration::from_secs(2);

/// Time after which a host that doesn't share a limit publishes it, because none of those that share
/// it has.
const PUBLICATION_DELAY: Duration = Duration::from_secs(3);

/// Time for which a host that shares a limit may leave its part unused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);

/// Time after which an instance that is no longer registered is forgotten.
const ABSENCE_TIME: Duration = Duration::from_secs(60);

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

/// A statement and when this host learned of it.
#[derive(Clone, Copy, Debug)]
struct Known {
    statement: Statement,
    at: Duration,
}

/// Limit of one instance.
#[derive(Clone, Debug)]
struct Entry {
    incarnation: u64,
    /// Latest statement in an answer to this host.
    answer: Option<Known>,
    /// Whether the record has said the same as the answer since then.
    is_recorded: bool,
    /// Record in the store.
    record: Option<Known>,
    /// Revision of the record; 0 if there is none.
    revision: u64,
    /// Limit that applies, and this host's part of it in requests per second.
    current: Statement,
    host_rate: f64,
    /// Statement that was last reported as a [`Change`], and whether this host had a part of it.
    reported: Statement,
    was_sender: bool,
    /// When this host last sent a request, or began to apply the limit.
    last_sent_at: Duration,
    published_at: Option<Duration>,
    /// Since when the instance has not been registered.
    absent_since: Option<Duration>,
}

impl Entry {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            answer: None,
            is_recorded: false,
            record: None,
            revision: 0,
            current: Statement::Unlimited,
            host_rate: 0.0,
            reported: Statement::Unlimited,
            was_sender: false,
            last_sent_at: Duration::ZERO,
            published_at: None,
            absent_since: None,
        }
    }

    fn is_fresh(&self, now: Duration) -> bool {
        self.answer.is_some_and(|answer| now < answer.at + FRESHNESS_TIME)
    }

    /// The limit that applies.
    ///
    /// A record follows an answer only if the record has said the same before, as its writer then knew
    /// of that. Otherwise the lower limit applies until there is another answer.
    fn applicable(&self, now: Duration) -> Statement {
        match self.answer {
            Some(answer) if self.is_fresh(now) => answer.statement,
            Some(answer) if !self.is_recorded => answer.statement.lower(self.recorded()),
            _ => self.recorded(),
        }
    }

    /// Applies what the record says now.
    fn set_record(&mut self, now: Duration, statement: Statement, revision: u64) {
        self.record = Some(Known { statement, at: now });
        self.revision = revision;
        let is_same = self.answer.is_some_and(|answer| !answer.statement.differs(statement));
        self.is_recorded = is_same || (self.is_recorded && !self.is_fresh(now));
    }

    fn recorded(&self) -> Statement {
        self.record.map_or(Statement::Unlimited, |record| record.statement)
    }

    /// When this host last learned anything about the limit.
    fn learned_at(&self) -> Duration {
        let known = self.answer.into_iter().chain(self.record);
        known.map(|known| known.at).max().unwrap_or_default()
    }

    /// Applies the current limit. Returns whether it differs from the one last reported, or this host has
    /// a part of it now and had none, or the other way round.
    fn refresh(&mut self, now: Duration, host_rate: impl Fn(f64) -> f64) -> bool {
        let before = self.current;
        self.current = self.applicable(now);
        self.host_rate = self.current.rate().map_or(0.0, host_rate);
        if before == Statement::Unlimited && self.current != before {
            // The first request follows after a whole interval: what this host sent before counts too.
            self.last_sent_at = now;
        }
        let is_sender = self.host_rate > 0.0;
        let is_changed = self.current.differs(self.reported) || is_sender != self.was_sender;
        if is_changed {
            self.reported = self.current;
            self.was_sender = is_sender;
        }
        is_changed
    }

    /// What this host knows first-hand and the record doesn't say. The hosts that share the limit hear
    /// of it first and write it; another host does so only if they have not.
    fn publishable(&self, now: Duration) -> Option<Statement> {
        let answer = self.answer.filter(|_| !self.is_recorded)?;
        let applies = answer.statement == self.applicable(now);
        let is_sender = self.host_rate > 0.0 || answer.statement == Statement::Unlimited;
        let is_due = is_sender || now >= answer.at + PUBLICATION_DELAY;
        (applies && is_due && answer.statement.differs(self.recorded())).then_some(answer.statement)
    }
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
            entry.answer = Some(Known { statement, at: now });
            entry.is_recorded = !statement.differs(entry.recorded());
        }
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
        self.entries.get(id).is_none_or(|entry| {
            entry.current == Statement::Unlimited
                || (entry.host_rate > 0.0 && now >= entry.last_sent_at + interval(entry.host_rate))
        })
    }

    /// Whether this host shares the limit of an instance and has left its part unused for a while.
    ///
    /// With many hosts, the few that share a limit have few requests that belong at the instance, and
    /// would hear late that its limit has ended.
    pub fn is_probe_due(&self, now: Duration, id: &str) -> bool {
        self.entries.get(id).is_some_and(|entry| {
            let due_at = entry.last_sent_at + interval(entry.host_rate) + MAX_IDLE_TIME;
            entry.current != Statement::Unlimited && entry.host_rate > 0.0 && now >= due_at
        })
    }

    /// Records a request to an instance.
    pub fn record_request(&mut self, now: Duration, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.last_sent_at = now;
        }
    }

    /// Returns the records that this host should write, at most one in [`MIN_PUBLICATION_INTERVAL`]
    /// for each instance, and forgets instances that are gone. `incarnation` gives the incarnation of
    /// a registered instance.
    pub fn publications(
        &mut self,
        now: Duration,
        sharing: &Sharing,
        incarnation: impl Fn(&str) -> Option<u64>,
    ) -> Vec<Publication> {
        let mut publications = Vec::new();
        self.entries.retain(|id, entry| {
            let is_registered = incarnation(id) == Some(entry.incarnation);
            entry.absent_since = (!is_registered).then(|| entry.absent_since.unwrap_or(now));
            let is_gone = entry.absent_since.is_some_and(|since| since + ABSENCE_TIME <= now);
            let is_due = entry.published_at.is_none_or(|at| at + MIN_PUBLICATION_INTERVAL <= now);
            let is_outdated = entry.revision > 0 && (is_gone || entry.record.is_none());
            let statement = if is_outdated {
                sharing.is_first(id).then_some(Statement::Unlimited)
            } else {
                entry.publishable(now)
            };
            if let Some(statement) = statement.filter(|_| is_due) {
                entry.published_at = Some(now);
                publications.push(Publication {
                    id: id.clone(),
                    incarnation: entry.incarnation,
                    statement,
                    replaces_revision: entry.revision,
                });
            }
            !is_gone || entry.revision > 0
        });
        publications
    }

    /// The entry of an instance; `None` for an earlier incarnation. An instance that has started again
    /// has no limit until it states one.
    fn entry(&mut self, id: &Arc<str>, incarnation: u64) -> Option<&mut Entry> {
        let entry = self.entries.entry(id.clone()).or_insert_with(|| Entry::new(incarnation));
        if entry.incarnation < incarnation {
            // The store may still hold the record of the earlier incarnation.
            *entry = Entry { revision: entry.revision, ..Entry::new(incarnation) };
        }
        (entry.incarnation == incarnation).then_some(entry)
    }
}
