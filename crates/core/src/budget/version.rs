//! Shares of one host under every version of members and limit that some host may still use.

use std::time::Duration;

use super::limit::Share;

/// One version of a share.
#[derive(Clone, Copy, Debug)]
struct Version {
    revision: u64,
    share: Share,
    /// When the version is known to be in force everywhere.
    in_force: Option<Duration>,
}

/// Versions since the last settled one, oldest first.
///
/// The host uses the smallest share of all of them. Every current host knows the newest version
/// that is settled at any host, so that the shares in use add up to at most the limit of that
/// version.
#[derive(Clone, Debug)]
pub(super) struct Versions {
    versions: Vec<Version>,
    /// Time from being in force to being settled: whatever was granted under an older version has
    /// ended by then.
    delay: Duration,
}

impl Versions {
    /// Starts with no share at all.
    pub(super) fn new(delay: Duration) -> Self {
        let mut versions = Self { versions: Vec::new(), delay };
        versions.clear();
        versions
    }

    /// Starts with a share that no host can hold a different version of.
    pub(super) fn settled(delay: Duration, revision: u64, share: Share) -> Self {
        let version = Version { revision, share, in_force: Some(Duration::ZERO) };
        Self { versions: vec![version], delay }
    }

    /// Forgets all versions, so that the next share counts as an increase from nothing.
    pub(super) fn clear(&mut self) {
        let nothing =
            Version { revision: 0, share: Share::default(), in_force: Some(Duration::ZERO) };
        self.versions = vec![nothing];
    }

    /// Adds the share of `revision`, in force since `in_force` if that is known already.
    ///
    /// A revision below the newest one counts as the newest one: the share may rest on limits of that
    /// revision.
    pub(super) fn push(&mut self, revision: u64, share: Share, in_force: Option<Duration>) {
        let (mut revision, mut in_force) = (revision, in_force);
        if let Some(last) = self.versions.last() {
            if last.share == share {
                return;
            }
            if last.revision > revision {
                (revision, in_force) = (last.revision, last.in_force);
            }
        }
        self.versions.push(Version { revision, share, in_force });
    }

    /// Raises the time until a version settles.
    pub(super) fn extend_delay(&mut self, delay: Duration) {
        self.delay = self.delay.max(delay);
    }

    /// Time from being in force to being settled.
    pub(super) fn delay(&self) -> Duration {
        self.delay
    }

    /// The share of the newest version.
    pub(super) fn newest(&self) -> Share {
        self.versions.last().map_or_else(Share::default, |version| version.share)
    }

    /// Notes that every version up to `revision` is in force.
    pub(super) fn mark_in_force(&mut self, now: Duration, revision: u64) {
        for version in &mut self.versions {
            if version.revision <= revision {
                version.in_force.get_or_insert(now);
            }
        }
    }

    /// Drops the versions before the newest one that is settled at `now`.
    pub(super) fn settle(&mut self, now: Duration) {
        let delay = self.delay;
        let settled = |version: &Version| version.in_force.is_some_and(|at| at + delay <= now);
        if let Some(newest) = self.versions.iter().rposition(settled) {
            self.versions.drain(..newest);
        }
    }

    /// When the next version settles.
    pub(super) fn next_settled(&self) -> Option<Duration> {
        let pending = self.versions.iter().skip(1);
        pending.filter_map(|version| version.in_force).map(|at| at + self.delay).min()
    }

    /// The smallest share of all versions.
    pub(super) fn share(&self) -> Share {
        self.versions.iter().map(|version| version.share).reduce(Share::min).unwrap_or_default()
    }
}
