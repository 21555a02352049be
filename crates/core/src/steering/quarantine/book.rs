//! What a host knows of requests that crash instances, and which ones it refuses.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{CLAIM_TIME, Crash, Fingerprint, SENTENCE_TIME, evidence::Evidence};

/// Most condemned requests. If there are more, the oldest sentence ends.
const MAX_SENTENCES: usize = 1024;

/// Time after which a host on which no condemned run was publishes the sentence, because none of the
/// others has.
const PUBLICATION_DELAY: Duration = Duration::from_secs(3);

/// Shortest time between two writes of this host about one request.
const MIN_PUBLICATION_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which a host remembers that a condemned request was answered. A record that was written before
/// may reach it later.
const ACQUITTAL_TIME: Duration = Duration::from_secs(10);

/// Suspects and condemned requests.
#[derive(Clone, Debug, Default)]
pub struct Book {
    evidence: Evidence,
    sentences: BTreeMap<Fingerprint, Entry>,
}

/// Sentence of one request.
#[derive(Clone, Debug)]
struct Entry {
    ends_at: Duration,
    /// Revision of its record in the store; 0 if there is none.
    revision: u64,
    /// Whether one of the runs that condemned it was of this host.
    is_own: bool,
    learned_at: Duration,
    published_at: Option<Duration>,
    /// Whether the end of the sentence has been handled. Such an entry only waits until its record is
    /// removed.
    is_released: bool,
    /// Whether an instance ran the request to its end.
    is_acquitted: bool,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may run.
    Free,
    /// It may run on trial, if [`Book::admit_trial`] agrees after [`CLAIM_TIME`]. The other hosts should
    /// know at once.
    Trial,
    /// It is refused.
    Refused {
        /// Time until it may run, or be tried, again.
        retry_after: Duration,
    },
}

/// What a request was until an instance ran it to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquittal {
    /// It was not known.
    Unknown,
    /// It had been on an instance that crashed, and could run.
    Suspect,
    /// It ran on trial only, or was condemned.
    Refused,
}

/// Record of a condemned request that this host should write to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Publication {
    /// The request.
    pub request: Fingerprint,
    /// Whether the request is condemned; its record is removed otherwise.
    pub is_condemned: bool,
    /// Revision of the record that it replaces; 0 if there is none.
    pub replaces_revision: u64,
}

impl Book {
    /// Whether the host knows neither suspects nor condemned requests, so that it need not identify
    /// requests.
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty() && self.sentences.is_empty()
    }

    /// Number of requests that were on an instance that crashed and may be to blame.
    pub fn suspect_count(&self) -> usize {
        self.evidence.len()
    }

    /// Number of condemned requests.
    pub fn sentence_count(&self) -> usize {
        self.sentences.values().filter(|entry| !entry.is_released).count()
    }

    /// Decides whether a request may run now. A suspect that may be to blame runs on trial, once at a time.
    /// `rank` is this host's rank for trials of the request, which differs between hosts.
    pub fn admit(&mut self, now: Duration, request: Fingerprint, rank: u64) -> Admission {
        if let Some(retry_after) = self.sentence_left(now, request) {
            return Admission::Refused { retry_after };
        }
        match self.evidence.trial_wait(now, request) {
            None => Admission::Free,
            Some(Duration::ZERO) => {
                self.evidence.claim_trial(now, request, rank);
                Admission::Trial
            }
            Some(wait) => Admission::Refused { retry_after: wait + CLAIM_TIME },
        }
    }

    /// Decides whether the host may run a request on trial, after the others had time to say that they want
    /// to do so as well.
    pub fn admit_trial(&self, now: Duration, request: Fingerprint, rank: u64) -> Admission {
        let left = self.sentence_left(now, request);
        let other = !self.evidence.holds_trial(request, rank);
        match left.or_else(|| other.then(|| self.evidence.trial_wait(now, request)).flatten()) {
            Some(retry_after) => Admission::Refused { retry_after },
            None => Admission::Trial,
        }
    }

    /// Records that another host, which has this rank for it, wants to run a request on trial.
    pub fn record_trial(&mut self, now: Duration, request: Fingerprint, rank: u64) {
        if self.sentence_left(now, request).is_none() {
            self.evidence.add_trial(now, request, rank);
        }
    }

    /// Records that another host has condemned a request. Returns whether that is new to this host.
    pub fn record_verdict(&mut self, now: Duration, request: Fingerprint) -> bool {
        let is_new = self.sentence_left(now, request).is_none();
        if is_new {
            self.condemn(now, request, false, 0);
        }
        is_new
    }

    /// Time until the sentence of a request ends; `None` if it is not condemned.
    pub fn sentence_left(&self, now: Duration, request: Fingerprint) -> Option<Duration> {
        let left = self.sentences.get(&request)?.ends_at.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Records that a request was on an instance when it crashed. `is_own` says whether this host sent it.
    pub fn record_crash(&mut self, now: Duration, crash: &Crash, is_own: bool) {
        let may_be_suspect = self.sentence_left(now, crash.request).is_none();
        self.evidence.add(now, crash, is_own, may_be_suspect);
    }

    /// Records that an instance answered a request that was sent at `sent_at`, which refutes the report of a
    /// crash of the instance in between.
    pub fn record_survival(
        &mut self,
        now: Duration,
        instance: &Arc<str>,
        incarnation: u64,
        sent_at: Duration,
    ) {
        self.evidence.add_survival(now, &(instance.clone(), incarnation), sent_at);
    }

    /// Records that an instance ran a request to its end. Returns what the request was before; the other
    /// hosts should know if it was anything.
    pub fn record_answer(&mut self, now: Duration, request: Fingerprint) -> Acquittal {
        let was_on_trial = self.evidence.trial_wait(now, request).is_some();
        let was_suspect = self.evidence.remove(request);
        let was_condemned = self.sentence_left(now, request).is_some();
        let entry = self.sentences.get_mut(&request).filter(|_| was_condemned);
        if let Some(entry) = entry {
            entry.ends_at = now;
            entry.is_own = true;
            entry.is_released = true;
            entry.is_acquitted = true;
        }
        self.forget_released(now);
        match (was_suspect, was_condemned || was_on_trial) {
            (_, true) => Acquittal::Refused,
            (true, false) => Acquittal::Suspect,
            (false, false) => Acquittal::Unknown,
        }
    }

    /// Condemns the requests that the evidence blames, and returns them, with whether the other hosts should
    /// know: one that this host sent, as they may have missed the reports of the crashes.
    pub fn judge(&mut self, now: Duration) -> Vec<(Fingerprint, bool)> {
        let is_condemned = |request| self.sentence_left(now, request).is_some();
        let guilty = self.evidence.guilty(now, is_condemned);
        let judged = guilty.into_iter().map(|request| {
            let is_own = self.evidence.is_own(request);
            self.condemn(now, request, is_own, 0);
            (request, is_own)
        });
        judged.collect()
    }

    /// Applies a record of the store, which has this revision. Returns whether it is new to the host.
    pub fn apply_record(&mut self, now: Duration, request: Fingerprint, revision: u64) -> bool {
        match self.sentences.get_mut(&request) {
            Some(entry)
                if now < entry.ends_at || revision <= entry.revision || entry.is_acquitted =>
            {
                entry.revision = revision;
                false
            }
            _ => {
                self.condemn(now, request, false, revision);
                true
            }
        }
    }

    /// Applies the removal of a record from the store: the sentence has ended, or an operator has ended it.
    /// Returns whether the request was condemned.
    pub fn remove_record(&mut self, request: Fingerprint) -> bool {
        let is_recorded = self.sentences.get(&request).is_some_and(|entry| entry.revision > 0);
        is_recorded && self.sentences.remove(&request).is_some()
    }

    /// Records that a restore of the store has lost a record. The request stays condemned, and the record
    /// is written again.
    pub fn lose_record(&mut self, now: Duration, request: Fingerprint) {
        if let Some(entry) = self.sentences.get_mut(&request) {
            entry.revision = 0;
            entry.learned_at = now;
            entry.published_at = None;
        }
    }

    /// Requests with a record in the store.
    pub fn recorded(&self) -> impl Iterator<Item = Fingerprint> {
        self.sentences.iter().filter(|(_, entry)| entry.revision > 0).map(|(request, _)| *request)
    }

    /// Records that this host should write now. `is_first` says whether this host is the first one in the
    /// order in which hosts remove the record of a request.
    pub fn publications(
        &mut self,
        now: Duration,
        is_first: impl Fn(Fingerprint) -> bool,
    ) -> Vec<Publication> {
        let entries = self.sentences.iter_mut();
        entries.filter_map(|(request, entry)| entry.publication(now, *request, &is_first)).collect()
    }

    /// Forgets what is too old. Returns the requests whose sentences have ended.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<Fingerprint> {
        self.evidence.remove_expired(now);
        let entries = self.sentences.iter_mut();
        let ended = entries.filter(|(_, entry)| entry.ends_at <= now && !entry.is_released);
        let ended = ended.map(|(request, entry)| {
            entry.is_released = true;
            *request
        });
        let ended: Vec<Fingerprint> = ended.collect();
        for request in &ended {
            self.evidence.add_released(now, *request);
        }
        self.forget_released(now);
        ended
    }

    /// Forgets the sentences that have ended and have no record, or will have none.
    fn forget_released(&mut self, now: Duration) {
        let is_recent = |entry: &Entry| entry.is_acquitted && now < entry.ends_at + ACQUITTAL_TIME;
        let is_needed =
            |entry: &Entry| !entry.is_released || entry.revision > 0 || is_recent(entry);
        self.sentences.retain(|_, entry| is_needed(entry));
    }

    fn condemn(&mut self, now: Duration, request: Fingerprint, is_own: bool, revision: u64) {
        self.evidence.remove(request);
        let earlier = self.sentences.get(&request).map_or(0, |entry| entry.revision);
        let entry = Entry {
            ends_at: now + SENTENCE_TIME,
            revision: revision.max(earlier),
            is_own,
            learned_at: now,
            published_at: None,
            is_released: false,
            is_acquitted: false,
        };
        self.sentences.insert(request, entry);
        if self.sentences.len() > MAX_SENTENCES {
            let oldest = self.sentences.iter().min_by_key(|(_, entry)| entry.ends_at);
            let oldest = oldest.map(|(request, _)| *request);
            oldest.map(|request| self.sentences.remove(&request));
        }
    }
}

impl Entry {
    fn publication(
        &mut self,
        now: Duration,
        request: Fingerprint,
        is_first: impl Fn(Fingerprint) -> bool,
    ) -> Option<Publication> {
        let is_condemned = now < self.ends_at;
        let is_due = if is_condemned {
            self.revision == 0 && (self.is_own || now >= self.learned_at + PUBLICATION_DELAY)
        } else {
            self.revision > 0 && (self.is_own || is_first(request))
        };
        let is_too_soon = self.published_at.is_some_and(|at| now < at + MIN_PUBLICATION_INTERVAL);
        if !is_due || is_too_soon {
            return None;
        }
        self.published_at = Some(now);
        Some(Publication { request, is_condemned, replaces_revision: self.revision })
    }
}
