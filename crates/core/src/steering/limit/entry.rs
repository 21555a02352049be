//! What a host knows of the limit of one instance.

use std::{sync::Arc, time::Duration};

use super::{Group, Statement, book::Publication, interval};

/// Time for which an answer, or a message of another host, counts as fresh, longer than a record takes to
/// reach all hosts. A record that a host reads while its latest answer is fresh may have been written
/// before that answer.
const FRESHNESS_TIME: Duration = Duration::from_secs(4);

/// Shortest time between two writes of this host about one instance.
const MIN_PUBLICATION_INTERVAL: Duration = Duration::from_secs(2);

/// Time after which a host that doesn't share a limit publishes it, because none of those that share
/// it has.
const PUBLICATION_DELAY: Duration = Duration::from_secs(3);

/// Time for which a host that shares a limit may leave its part unused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);

/// Shortest time between two announcements of this host about one instance.
const MIN_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which an instance that is no longer registered is forgotten.
const ABSENCE_TIME: Duration = Duration::from_secs(60);

/// A statement and when this host learned of it.
#[derive(Clone, Copy, Debug)]
struct Known {
    statement: Statement,
    at: Duration,
}

/// Limit of one instance.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) incarnation: u64,
    /// Latest statement in an answer to this host.
    answer: Option<Known>,
    /// Whether the record has said the same as the answer since then.
    is_recorded: bool,
    /// Latest message of another host that had such an answer.
    message: Option<Known>,
    /// What this host last announced to the others; `None` if the limit has ended since.
    announced: Option<Known>,
    /// Record in the store.
    record: Option<Known>,
    /// Revision of the record; 0 if there is none.
    pub(super) revision: u64,
    /// Limit that applies, and this host's part of it in requests per second.
    pub(super) current: Statement,
    pub(super) host_rate: f64,
    /// Statement that was last reported as a [`Change`], and whether this host had a part of it.
    reported: Statement,
    was_sender: bool,
    /// When this host last sent a request, or began to apply the limit.
    pub(super) last_sent_at: Duration,
    published_at: Option<Duration>,
    /// Since when the instance has not been registered.
    absent_since: Option<Duration>,
}

impl Entry {
    pub(super) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            answer: None,
            is_recorded: false,
            message: None,
            announced: None,
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
    /// A message only lowers it, until this host has an answer of its own or the record has arrived: a
    /// late or wrong message must neither end a limit nor leave one for good.
    fn applicable(&self, now: Duration) -> Statement {
        let first_hand = self.applicable_without_messages(now);
        match self.message {
            Some(message) if self.counts(now, message) => first_hand.lower(message.statement),
            _ => first_hand,
        }
    }

    fn counts(&self, now: Duration, message: Known) -> bool {
        let is_answered = self.answer.is_some_and(|answer| answer.at > message.at);
        now < message.at + FRESHNESS_TIME && !is_answered
    }

    /// The limit that follows from answers and the record.
    ///
    /// A record follows an answer only if the record has said the same before, as its writer then knew
    /// of that. Otherwise the lower limit applies until there is another answer.
    fn applicable_without_messages(&self, now: Duration) -> Statement {
        match self.answer {
            Some(answer) if self.is_fresh(now) => answer.statement,
            Some(answer) if !self.is_recorded => answer.statement.lower(self.recorded()),
            _ => self.recorded(),
        }
    }

    /// Applies what an answer says.
    pub(super) fn set_answer(&mut self, now: Duration, statement: Statement) {
        self.answer = Some(Known { statement, at: now });
        self.is_recorded = !statement.differs(self.recorded());
    }

    /// Applies what another host heard in an answer.
    pub(super) fn set_message(&mut self, now: Duration, statement: Statement) {
        self.message = Some(Known { statement, at: now });
    }

    /// Limit in the latest answer, in requests per second.
    pub(super) fn answered_rate(&self) -> Option<f64> {
        self.answer?.statement.rate()
    }

    /// Whether this host should announce its latest answer to the others now. Records that it does.
    pub(super) fn take_announcement(&mut self, now: Duration) -> bool {
        let Some(answer) = self.answer.filter(|answer| answer.statement != Statement::Unlimited)
        else {
            return false;
        };
        let is_due = self.announced.is_none_or(|announced| {
            let is_lower = announced.statement.lower(answer.statement) == answer.statement;
            let is_other = is_lower && announced.statement.differs(answer.statement);
            is_other && now >= announced.at + MIN_ANNOUNCEMENT_INTERVAL
        });
        if is_due {
            self.announced = Some(Known { statement: answer.statement, at: now });
        }
        is_due
    }

    /// Applies what the record says now.
    pub(super) fn set_record(&mut self, now: Duration, statement: Statement, revision: u64) {
        self.record = Some(Known { statement, at: now });
        self.revision = revision;
        let is_same = self.answer.is_some_and(|answer| !answer.statement.differs(statement));
        self.is_recorded = is_same || (self.is_recorded && !self.is_fresh(now));
    }

    /// Records that the store has lost the record. What it said counts like a message until a host that
    /// knows the limit first-hand has written it again.
    pub(super) fn lose_record(&mut self, now: Duration) {
        if let Some(record) = self.record.take() {
            let lowest = self.applicable(now).lower(record.statement);
            self.set_message(now, lowest);
        }
        self.revision = 0;
        self.is_recorded = false;
    }

    fn recorded(&self) -> Statement {
        self.record.map_or(Statement::Unlimited, |record| record.statement)
    }

    /// When this host last learned anything about the limit.
    pub(super) fn learned_at(&self) -> Duration {
        let known = self.answer.into_iter().chain(self.record).chain(self.message);
        known.map(|known| known.at).max().unwrap_or_default()
    }

    /// Applies the current limit. Returns whether it differs from the one last reported, or this host has
    /// a part of it now and had none, or the other way round.
    pub(super) fn refresh(&mut self, now: Duration, host_rate: impl Fn(f64) -> f64) -> bool {
        let before = self.current;
        self.current = self.applicable(now);
        self.host_rate = self.current.rate().map_or(0.0, host_rate);
        if self.current == Statement::Unlimited {
            self.announced = None;
        }
        if before == Statement::Unlimited && self.current != before {
            // The first request follows after a whole interval: what this host sent before counts too.
            self.last_sent_at = now;
        }
        let is_changed = self.current.differs(self.reported) || self.is_sender() != self.was_sender;
        if is_changed {
            self.reported = self.current;
            self.was_sender = self.is_sender();
        }
        is_changed
    }

    /// What this host knows first-hand and the record doesn't say. The hosts that share the limit hear
    /// of it first and write it; another host does so only if they have not.
    fn publishable(&self, now: Duration) -> Option<Statement> {
        let answer = self.answer.filter(|_| !self.is_recorded)?;
        let applies = answer.statement == self.applicable(now);
        let is_first_to_hear = self.is_sender() || answer.statement == Statement::Unlimited;
        let is_due = is_first_to_hear || now >= answer.at + PUBLICATION_DELAY;
        (applies && is_due && answer.statement.differs(self.recorded())).then_some(answer.statement)
    }

    /// The record that this host should write now, if any.
    pub(super) fn publication(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        group: &Group,
    ) -> Option<Publication> {
        if self.published_at.is_some_and(|at| now < at + MIN_PUBLICATION_INTERVAL) {
            return None;
        }
        let is_outdated = self.revision > 0 && (self.is_gone(now) || self.record.is_none());
        let statement = if is_outdated {
            group.is_first(id).then_some(Statement::Unlimited)
        } else {
            self.publishable(now)
        }?;
        self.published_at = Some(now);
        Some(Publication {
            id: id.clone(),
            incarnation: self.incarnation,
            statement,
            replaces_revision: self.revision,
        })
    }

    /// Records whether this incarnation of the instance is registered.
    pub(super) fn set_registered(&mut self, now: Duration, is_registered: bool) {
        self.absent_since = (!is_registered).then(|| self.absent_since.unwrap_or(now));
    }

    /// Whether the instance has not been registered for so long that it won't come back.
    pub(super) fn is_gone(&self, now: Duration) -> bool {
        self.absent_since.is_some_and(|since| since + ABSENCE_TIME <= now)
    }

    /// Whether this host has a part of the limit.
    fn is_sender(&self) -> bool {
        self.host_rate > 0.0
    }

    /// Whether this host may send a request now.
    pub(super) fn allows(&self, now: Duration) -> bool {
        let is_due = || now >= self.last_sent_at + interval(self.host_rate);
        self.current == Statement::Unlimited || (self.is_sender() && is_due())
    }

    /// Whether this host has left its part of the limit unused for a while.
    pub(super) fn is_probe_due(&self, now: Duration) -> bool {
        let due_at = self.last_sent_at + interval(self.host_rate) + MAX_IDLE_TIME;
        self.current != Statement::Unlimited && self.is_sender() && now >= due_at
    }
}
