//! Shares of one host under each version of members and limits that some host may still use.

use std::time::Duration;

use super::limit::Share;

/// One version of a share.
#[derive(Clone, Copy, Debug)]
struct Version {
    revision: u64,
    share: Share,
    /// When this host learned that the version is in force on all hosts; `None` if it has not.
    in_force_at: Option<Duration>,
}

/// Versions of a share from the newest settled one on, oldest first.
///
/// The host uses the smallest share of all of them. Every current host knows the newest version
/// that is settled at any host, so that the shares in use add up to at most the limit of that
/// version.
#[derive(Clone, Debug)]
pub(super) struct Versions {
    versions: Vec<Version>,
    /// Time from being in force to being settled. By then, all loans and requests admitted under
    /// older versions have ended.
    settling_time: Duration,
}

impl Versions {
    /// Starts with an empty share.
    pub(super) fn new(settling_time: Duration) -> Self {
        let mut versions = Self { versions: Vec::new(), settling_time };
        versions.clear();
        versions
    }

    /// Starts with a settled share: no host can use an older version of it.
    pub(super) fn from_settled(settling_time: Duration, revision: u64, share: Share) -> Self {
        let version = Version { revision, share, in_force_at: Some(Duration::ZERO) };
        Self { versions: vec![version], settling_time }
    }

    /// Drops all versions, so that the next share counts as an increase from an empty one.
    pub(super) fn clear(&mut self) {
        let empty =
            Version { revision: 0, share: Share::default(), in_force_at: Some(Duration::ZERO) };
        self.versions = vec![empty];
    }

    /// Adds the share of `revision`, in force since `in_force_at` if that is known already.
    ///
    /// A revision older than the newest one is treated as the newest one, as the share may have
    /// been computed from limits of the newest revision.
    pub(super) fn push(&mut self, revision: u64, share: Share, in_force_at: Option<Duration>) {
        let (mut revision, mut in_force_at) = (revision, in_force_at);
        if let Some(last) = self.versions.last() {
            if last.share == share {
                return;
            }
            if last.revision > revision {
                (revision, in_force_at) = (last.revision, last.in_force_at);
            }
        }
        self.versions.push(Version { revision, share, in_force_at });
    }

    /// Raises the time until a version settles to at least `settling_time`.
    pub(super) fn extend_settling_time(&mut self, settling_time: Duration) {
        self.settling_time = self.settling_time.max(settling_time);
    }

    /// Time after which a version in force is settled.
    pub(super) fn settling_time(&self) -> Duration {
        self.settling_time
    }

    /// Share of the newest version.
    pub(super) fn newest(&self) -> Share {
        self.versions.last().map_or_else(Share::default, |version| version.share)
    }

    /// Records that every version up to `revision` is in force.
    pub(super) fn mark_in_force(&mut self, now: Duration, revision: u64) {
        for version in &mut self.versions {
            if version.revision <= revision {
                version.in_force_at.get_or_insert(now);
            }
        }
    }

    /// Drops the versions before the newest one that is settled at `now`.
    pub(super) fn settle(&mut self, now: Duration) {
        let settling_time = self.settling_time;
        let settled =
            |version: &Version| version.in_force_at.is_some_and(|at| at + settling_time <= now);
        if let Some(newest) = self.versions.iter().rposition(settled) {
            self.versions.drain(..newest);
        }
    }

    /// When the next version in force settles; `None` while no unsettled version is in force.
    pub(super) fn next_settling_at(&self) -> Option<Duration> {
        let pending = self.versions.iter().skip(1);
        pending.filter_map(|version| version.in_force_at).map(|at| at + self.settling_time).min()
    }

    /// Share that the host may use now: the smallest of all versions, field by field.
    pub(super) fn effective_share(&self) -> Share {
        self.versions.iter().map(|version| version.share).reduce(Share::min).unwrap_or_default()
    }
}
