//! Crashes of instances, with the requests that were on them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{Crash, Fingerprint, SETTLING_TIME, TRIAL_CRASHES, claim::Claim};

/// Time after which a crash no longer counts.
const RETENTION_TIME: Duration = Duration::from_secs(600);

/// Most suspects. If there are more, those with the fewest crashes are forgotten.
const MAX_SUSPECTS: usize = 4096;

/// Most crashes that are remembered.
const MAX_CRASHES: usize = 1024;

/// Most crashes of one suspect that are remembered.
const MAX_RUNS: usize = 8;

/// Time between two crashes of a suspect after which the second one is no part of the same wave. Shorter
/// than [`TRIAL_DELAY`], as hosts hear of a crash at different times.
const MIN_QUIET_TIME: Duration = Duration::from_millis(300);

/// Crashes of a suspect that no condemned request explains, from which on it can be condemned.
const MIN_UNEXPLAINED: usize = 2;

/// Time without a crash of a suspect after which it may be tried. A wave of crashes with another cause
/// should be over by then.
const TRIAL_DELAY: Duration = Duration::from_millis(500);

/// Time by which an answer must come later than a reported crash to refute it, as the time of the crash is
/// known only roughly.
const SURVIVAL_MARGIN: Duration = Duration::from_millis(150);

/// Time for which a trial of a request keeps it from being tried again.
const TRIAL_TIME: Duration = Duration::from_secs(2);

/// Time for which a trial keeps other requests from being tried, so that they don't meet at one instance.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// Id and incarnation of an instance that crashed.
pub(super) type Instance = (Arc<str>, u64);

/// Run of a suspect that ended with a crash.
#[derive(Clone, Debug)]
struct Run {
    instance: Instance,
    ended_at: Duration,
    /// Whether it was on trial, apart from a wave of crashes.
    is_trial: bool,
}

/// Request that was on an instance that crashed, and has not been answered since.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Crashes from an earlier sentence.
    earlier: usize,
    /// Crashes of which only other hosts have heard.
    unheard: usize,
    /// Runs one after the other: each began after the previous one had ended.
    runs: Vec<Run>,
    /// When a crash was last reported.
    reported_at: Duration,
    /// Whether one of the runs was of this host.
    is_own: bool,
    /// Time from which on the request may be tried again.
    next_trial_at: Duration,
    claim: Claim,
}

impl Suspect {
    fn crashes(&self) -> usize {
        self.earlier + self.unheard + self.runs.len()
    }

    /// Adds a run, unless another one is known of the same instance or at the same time.
    fn add_run(&mut self, instance: Instance, started_at: Duration, ended_at: Duration) {
        let last_ended_at = self.runs.last().map(|last| last.ended_at);
        let is_after =
            |time: Duration| last_ended_at.is_none_or(|ended| ended + time <= started_at);
        let is_known = self.runs.iter().any(|run| run.instance == instance);
        if is_known || !is_after(Duration::ZERO) {
            return;
        }
        let is_trial = self.needs_trial() && is_after(MIN_QUIET_TIME);
        self.runs.push(Run { instance, ended_at, is_trial });
        let excess = self.runs.len().saturating_sub(MAX_RUNS);
        self.runs.drain(..excess);
    }

    /// Whether the request may run only alone, to find out whether it is to blame.
    fn needs_trial(&self) -> bool {
        self.crashes() >= TRIAL_CRASHES
    }
}

/// Requests that were on an instance when it crashed.
#[derive(Clone, Debug, Default)]
struct Scene {
    reported_at: Duration,
    /// When the instance crashed, as far as known.
    ended_at: Duration,
    requests: BTreeSet<Fingerprint>,
}

/// Crashes and suspects that a host knows of.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    suspects: BTreeMap<Fingerprint, Suspect>,
    scenes: BTreeMap<Instance, Scene>,
    /// Time from which on any request may be tried.
    next_trial_at: Duration,
}

impl Evidence {
    /// Whether there are no suspects.
    pub(super) fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of suspects.
    pub(super) fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Adds the report of a crash. `may_be_suspect` says whether the request is not condemned already.
    ///
    /// Runs at the same time count once: the instances may all have crashed for another reason.
    pub(super) fn add(&mut self, now: Duration, crash: &Crash, is_own: bool, may_be_suspect: bool) {
        let instance = (crash.instance.clone(), crash.incarnation);
        let ended_at = now.saturating_sub(crash.ended_ago);
        let started_at = ended_at.saturating_sub(crash.ran_for);
        let scene = self.scenes.entry(instance.clone()).or_default();
        scene.reported_at = now;
        scene.ended_at = scene.ended_at.max(ended_at);
        scene.requests.insert(crash.request);
        if may_be_suspect {
            let suspect = self.suspects.entry(crash.request).or_default();
            suspect.reported_at = now;
            suspect.is_own |= is_own;
            suspect.next_trial_at = now + TRIAL_DELAY;
            suspect.add_run(instance, started_at, ended_at);
        }
        self.limit_size();
    }

    /// Records that the instance answered, on one and the same connection, a request that was sent at
    /// `sent_at`. A crash in between did not happen: the host that reported it lost its own connections.
    pub(super) fn add_survival(&mut self, now: Duration, instance: &Instance, sent_at: Duration) {
        let is_refuted =
            |scene: &Scene| sent_at < scene.ended_at && scene.ended_at + SURVIVAL_MARGIN < now;
        if !self.scenes.get(instance).is_some_and(is_refuted) {
            return;
        }
        self.scenes.remove(instance);
        for suspect in self.suspects.values_mut() {
            suspect.runs.retain(|run| run.instance != *instance);
        }
        self.suspects.retain(|_, suspect| suspect.crashes() > 0);
    }

    /// Adds a request whose sentence has ended: one more crash condemns it again.
    pub(super) fn add_released(&mut self, now: Duration, request: Fingerprint) {
        let suspect = Suspect { earlier: TRIAL_CRASHES, reported_at: now, ..Suspect::default() };
        self.suspects.insert(request, suspect);
        self.limit_size();
    }

    /// Time until the next trial of a request; `None` if it needs none.
    pub(super) fn trial_wait(&self, now: Duration, request: Fingerprint) -> Option<Duration> {
        let suspect = self.suspects.get(&request).filter(|suspect| suspect.needs_trial())?;
        Some(suspect.next_trial_at.max(self.next_trial_at).saturating_sub(now))
    }

    /// Records that a host with this rank wants to try a request.
    pub(super) fn claim_trial(&mut self, now: Duration, request: Fingerprint, rank: u64) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.claim.add(now, rank);
            suspect.next_trial_at = now + TRIAL_TIME;
            self.next_trial_at = now + TRIAL_INTERVAL;
        }
    }

    /// Whether no host with a higher rank wants to try a request.
    pub(super) fn holds_trial(&self, request: Fingerprint, rank: u64) -> bool {
        self.suspects.get(&request).is_none_or(|suspect| suspect.claim.is_held_by(rank))
    }

    /// Records that another host wants to try a request, so that it has enough crashes also if this host has
    /// not heard of them.
    pub(super) fn add_trial(&mut self, now: Duration, request: Fingerprint, rank: u64) {
        let suspect = self.suspects.entry(request).or_default();
        suspect.reported_at = now;
        if !suspect.needs_trial() {
            suspect.unheard = TRIAL_CRASHES - suspect.crashes();
        }
        self.claim_trial(now, request, rank);
        self.limit_size();
    }

    /// Forgets a request. Returns whether it was a suspect.
    pub(super) fn remove(&mut self, request: Fingerprint) -> bool {
        self.suspects.remove(&request).is_some()
    }

    /// Whether one of the runs of a suspect was of this host.
    pub(super) fn is_own(&self, request: Fingerprint) -> bool {
        self.suspects.get(&request).is_some_and(|suspect| suspect.is_own)
    }

    /// Suspects that are to blame for their crashes, given what is condemned already.
    pub(super) fn guilty(
        &self,
        now: Duration,
        is_condemned: impl Fn(Fingerprint) -> bool,
    ) -> Vec<Fingerprint> {
        let is_settled = |suspect: &Suspect| now >= suspect.reported_at + SETTLING_TIME;
        let suspects = self.suspects.iter();
        let mut failed: Vec<(&Fingerprint, &Suspect)> = suspects
            .filter(|(_, suspect)| is_settled(suspect))
            .filter(|(request, suspect)| self.has_failed_trial(**request, suspect))
            .collect();
        failed.sort_by_key(|(_, suspect)| std::cmp::Reverse(suspect.crashes()));
        let mut guilty: Vec<Fingerprint> = Vec::new();
        for (request, suspect) in failed {
            let is_known = |other: Fingerprint| is_condemned(other) || guilty.contains(&other);
            if self.unexplained(suspect, is_known) >= MIN_UNEXPLAINED {
                guilty.push(*request);
            }
        }
        guilty
    }

    /// Number of crashes of a suspect on which no condemned request was.
    fn unexplained(&self, suspect: &Suspect, is_condemned: impl Fn(Fingerprint) -> bool) -> usize {
        let is_explained = |scene: &Scene| scene.requests.iter().any(|other| is_condemned(*other));
        let scenes = suspect.runs.iter().filter_map(|run| self.scenes.get(&run.instance));
        let explained = scenes.filter(|scene| is_explained(scene)).count();
        suspect.crashes() - explained
    }

    /// Whether a request has crashed an instance on trial, on which no other suspect was that may be to
    /// blame.
    fn has_failed_trial(&self, request: Fingerprint, suspect: &Suspect) -> bool {
        let may_be_to_blame = |other: &Fingerprint| {
            *other != request && self.suspects.get(other).is_some_and(Suspect::needs_trial)
        };
        let trials = suspect.runs.iter().filter(|run| run.is_trial);
        let mut scenes = trials.filter_map(|run| self.scenes.get(&run.instance));
        scenes.any(|scene| !scene.requests.iter().any(may_be_to_blame))
    }

    /// Forgets what is too old.
    pub(super) fn remove_expired(&mut self, now: Duration) {
        let is_recent = |at: Duration| now < at + RETENTION_TIME;
        self.suspects.retain(|_, suspect| is_recent(suspect.reported_at));
        self.scenes.retain(|_, scene| is_recent(scene.reported_at));
    }

    fn limit_size(&mut self) {
        if self.suspects.len() > MAX_SUSPECTS {
            let weight = |suspect: &Suspect| (suspect.crashes(), suspect.reported_at);
            let weakest = self.suspects.iter().min_by_key(|(_, suspect)| weight(suspect));
            let weakest = weakest.map(|(request, _)| *request);
            weakest.map(|request| self.suspects.remove(&request));
        }
        if self.scenes.len() > MAX_CRASHES {
            let oldest = self.scenes.iter().min_by_key(|(_, scene)| scene.reported_at);
            let oldest = oldest.map(|(instance, _)| instance.clone());
            oldest.map(|instance| self.scenes.remove(&instance));
        }
    }
}
