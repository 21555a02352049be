//! The member tables of the retention time: which hosts stored the records of a name, and whether
//! the records survived the changes of members.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{Name, membership::Membership};
use crate::{
    constants::{CLAIM_RETENTION, CLOCK_DRIFT_PERCENT, IN_FORCE_BOUND},
    member::Member,
    message::Sender,
    rendezvous::Key,
};

/// A process: one incarnation of a host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Process {
    pub(super) host: Arc<str>,
    pub(super) incarnation: u64,
}

impl Process {
    pub(super) fn of(sender: &Sender) -> Self {
        Self { host: sender.host.clone(), incarnation: sender.incarnation }
    }

    pub(super) fn matches(&self, member: &Member) -> bool {
        self.incarnation == member.incarnation && self.host == member.host
    }
}

impl From<&Member> for Process {
    fn from(member: &Member) -> Self {
        Self { host: member.host.clone(), incarnation: member.incarnation }
    }
}

/// Owner and backup of a name under one table.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Placement<'a> {
    pub(super) owner: Option<&'a Member>,
    /// `None` if the table has fewer than two members.
    pub(super) backup: Option<&'a Member>,
}

impl<'a> Placement<'a> {
    pub(super) fn members(self) -> impl Iterator<Item = &'a Member> {
        self.owner.into_iter().chain(self.backup)
    }

    pub(super) fn contains(self, process: &Process) -> bool {
        self.members().any(|member| process.matches(member))
    }
}

/// Whether the records of this host are complete for a name, so that it may decide on the name even
/// without a record of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Completeness {
    /// Every claim of the name that may matter is among the records.
    Complete,
    /// Records may still arrive from other hosts, or another host may still grant a claim.
    Incomplete,
    /// Records of the name may be lost, as all hosts that may have stored them are gone.
    Lost,
}

#[derive(Clone, Debug)]
struct Table {
    revision: u64,
    /// Time from which on claims recorded under this table no longer matter; `None` for the current
    /// table.
    relevant_until: Option<Duration>,
    members: Vec<Member>,
}

impl Table {
    fn contains(&self, process: &Process) -> bool {
        self.members.iter().any(|member| process.matches(member))
    }

    /// The member that ranks first for the key, and as backup the first one of another failure
    /// domain or else the second one. Owner and backup of another domain are found in one pass, as
    /// this runs for every record on a change of members.
    fn placement(&self, key: Key) -> Placement<'_> {
        let mut owner: Option<Ranked<'_>> = None;
        let mut backup: Option<Ranked<'_>> = None;
        for member in &self.members {
            let ranked = Ranked::new(key, member);
            let owner_in_other_domain = owner.filter(|owner| owner.member.domain != member.domain);
            if owner.is_none_or(|owner| owner < ranked) {
                // The former owner ranks before all others seen so far, so if it is of another
                // domain, it is the backup.
                backup = owner_in_other_domain.or(backup);
                owner = Some(ranked);
            } else if owner_in_other_domain.is_some() && backup < Some(ranked) {
                backup = Some(ranked);
            }
        }
        let others = self.members.iter().map(|member| Ranked::new(key, member));
        let second = || others.filter(|ranked| Some(*ranked) != owner).max();
        let backup = backup.or_else(second);
        Placement {
            owner: owner.map(|ranked| ranked.member),
            backup: backup.map(|ranked| ranked.member),
        }
    }
}

/// A member, ordered by its weight in rendezvous hashing.
#[derive(Clone, Copy)]
struct Ranked<'a> {
    weight: u64,
    member: &'a Member,
}

impl<'a> Ranked<'a> {
    fn new(key: Key, member: &'a Member) -> Self {
        Self { weight: key.weight(&member.host), member }
    }
}

impl Ord for Ranked<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_name = || self.member.host.cmp(&other.member.host);
        self.weight.cmp(&other.weight).then_with(by_name)
    }
}

impl PartialOrd for Ranked<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Ranked<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Ranked<'_> {}

/// Member tables, and the handovers that hosts have completed under them.
#[derive(Debug)]
pub(super) struct History {
    local: Process,
    /// By revision, the current table last.
    tables: Vec<Table>,
    /// Latest revision that is known to be in force.
    in_force: u64,
    /// Processes that have handed over all records for the current table to this host.
    handed_over: BTreeSet<Process>,
    /// Revisions of the tables under which a process had all records of its own names.
    ready_revisions: BTreeMap<Process, BTreeSet<u64>>,
    /// Time until which claims of tables that this host does not know may matter.
    gap_until: Duration,
}

fn key(name: &Name) -> Key {
    Key::new([name.service.as_ref(), name.workspace.as_ref(), name.key.as_ref()])
}

/// How long claims of a table matter after its replacement: the retention time, with clock drift as
/// ages are counted on several clocks, and the time until the replacement is in force, as claims
/// may be granted until then.
fn relevance_time() -> Duration {
    CLAIM_RETENTION * (100 + 2 * CLOCK_DRIFT_PERCENT) / 100 + IN_FORCE_BOUND
}

impl History {
    pub(super) fn new(local: Process) -> Self {
        Self {
            local,
            tables: Vec::new(),
            in_force: 0,
            handed_over: BTreeSet::new(),
            ready_revisions: BTreeMap::new(),
            gap_until: Duration::ZERO,
        }
    }

    /// Revision of the current table; 0 before the first one.
    pub(super) fn revision(&self) -> u64 {
        self.tables.last().map_or(0, |table| table.revision)
    }

    pub(super) fn members(&self) -> &[Member] {
        self.tables.last().map_or(&[], |table| &table.members)
    }

    /// Owner and backup under the current table.
    pub(super) fn placement(&self, name: &Name) -> Placement<'_> {
        self.tables.last().map(|table| table.placement(key(name))).unwrap_or_default()
    }

    /// The current member that is this process.
    pub(super) fn member(&self, process: &Process) -> Option<&Member> {
        self.members().iter().find(|member| process.matches(member))
    }

    /// Whether the process was a member and no longer is.
    pub(super) fn has_left(&self, process: &Process) -> bool {
        self.member(process).is_none() && self.is_or_was_member(process)
    }

    /// Whether the process counts as dead: it is no longer a member, or another incarnation of its
    /// host has just joined. The latter covers processes that never were members and so are in no
    /// table.
    pub(super) fn is_gone(&self, process: &Process) -> bool {
        let earlier = self.tables.split_last().map_or(&[][..], |(_, earlier)| earlier);
        let replaces = |member: &Member| {
            let joined = Process::from(member);
            let new = || earlier.iter().all(|table| !table.contains(&joined));
            member.host == process.host && joined != *process && new()
        };
        self.has_left(process) || self.members().iter().any(replaces)
    }

    /// Whether the process is or was a member.
    pub(super) fn is_or_was_member(&self, process: &Process) -> bool {
        self.tables.iter().any(|table| table.contains(process))
    }

    /// Revisions of the tables under which this host had all records of its own names.
    pub(super) fn local_ready_revisions(&self) -> Vec<u64> {
        self.ready_revisions.get(&self.local).into_iter().flatten().copied().collect()
    }

    /// Replaces the current table. Returns `false` if the given one is not newer.
    pub(super) fn replace(&mut self, now: Duration, membership: &Membership) -> bool {
        if membership.revision <= self.revision() {
            return false;
        }
        self.detect_gap(now, membership);
        for table in &mut self.tables {
            table.relevant_until.get_or_insert(now + relevance_time());
        }
        for epoch in &membership.earlier {
            let relevant_until = now + relevance_time().saturating_sub(epoch.replaced_ago);
            self.add(epoch.revision, Some(relevant_until), &epoch.members);
        }
        self.add(membership.revision, None, &membership.members);
        self.tables.sort_by_key(|table| table.revision);
        self.remove_expired(now);
        self.handed_over.clear();
        self.update_readiness();
        true
    }

    /// Notes that the change with this revision, and so every earlier one, is in force.
    pub(super) fn set_in_force(&mut self, revision: u64) {
        self.in_force = self.in_force.max(revision);
        self.update_readiness();
    }

    /// Notes that `from` has handed over all records for the current table.
    pub(super) fn record_handover(&mut self, from: &Process, ready_revisions: &[u64]) {
        self.ready_revisions.entry(from.clone()).or_default().extend(ready_revisions);
        self.handed_over.insert(from.clone());
        self.update_readiness();
    }

    /// Whether this host has all records of its own names under the current table.
    pub(super) fn is_ready(&self) -> bool {
        self.was_ready(&self.local, self.revision())
    }

    /// Whether the records of this host, the owner of `name`, are complete for it.
    pub(super) fn completeness(&self, now: Duration, name: &Name) -> Completeness {
        let Some(base) = self.tables.iter().rposition(|t| self.was_ready(&self.local, t.revision))
        else {
            return Completeness::Incomplete;
        };
        let key = key(name);
        let placements: Vec<Placement<'_>> =
            self.tables.iter().map(|table| table.placement(key)).collect();
        let owned = |placement: &Placement<'_>| {
            placement.owner.is_some_and(|owner| self.local.matches(owner))
        };
        if !placements[base..].iter().all(owned) {
            return Completeness::Incomplete;
        }
        let relevant = |table: &Table| table.relevant_until.is_none_or(|end| now < end);
        let mut earlier = (0..base).filter(|&index| relevant(&self.tables[index]));
        if now < self.gap_until || !earlier.all(|index| self.survived(&placements, index, base)) {
            return Completeness::Lost;
        }
        Completeness::Complete
    }

    /// Whether a member of table `to` stored the records of the name that were made under table
    /// `from`; both are indexes of tables.
    ///
    /// It did if an owner or backup under `from` was a member of `to`. The records may also have
    /// been handed over several times: from a table that they reached, an owner or backup that had
    /// received all records under it takes them to every later table of which it is a member.
    fn survived(&self, placements: &[Placement<'_>], from: usize, to: usize) -> bool {
        let mut stored = vec![false; to + 1];
        stored[from] = true;
        for index in from + 1..=to {
            let table = &self.tables[index];
            let survived_from = |at: usize| {
                let mut members = placements[at].members().map(Process::from);
                stored[at]
                    && members
                        .any(|p| table.contains(&p) && (at == from || self.was_ready_at(&p, at)))
            };
            stored[index] = (from..index).any(survived_from);
        }
        stored[to]
    }

    fn was_ready_at(&self, process: &Process, index: usize) -> bool {
        self.was_ready(process, self.tables[index].revision)
    }

    fn was_ready(&self, process: &Process, revision: u64) -> bool {
        self.ready_revisions.get(process).is_some_and(|revisions| revisions.contains(&revision))
    }

    /// Records that this host has all records of its own names under the current table, if no host
    /// can grant under an earlier table any more and every member that may store records has
    /// handed them over.
    fn update_readiness(&mut self) {
        let revision = self.revision();
        let (earlier, current) = match self.tables.split_last() {
            Some((current, earlier)) if current.contains(&self.local) => (earlier, current),
            _ => return,
        };
        let missing = |member: &&Member| {
            let process = Process::from(*member);
            let may_store = earlier.iter().any(|table| table.contains(&process));
            process != self.local && may_store && !self.handed_over.contains(&process)
        };
        if self.in_force >= revision && !current.members.iter().any(|m| missing(&m)) {
            self.ready_revisions.entry(self.local.clone()).or_default().insert(revision);
        }
    }

    fn add(&mut self, revision: u64, relevant_until: Option<Duration>, members: &[Member]) {
        if self.tables.iter().all(|table| table.revision != revision) {
            self.tables.push(Table { revision, relevant_until, members: members.to_vec() });
        }
    }

    /// Notes that records may be lost under tables that a truncated list no longer has, unless this
    /// host had all of its records under a table that is still listed.
    fn detect_gap(&mut self, now: Duration, membership: &Membership) {
        let oldest = membership.earlier.iter().map(|epoch| epoch.revision).min();
        let covered = self.ready_revisions.get(&self.local).is_some_and(|revisions| {
            oldest.is_some_and(|oldest| revisions.range(oldest..).next().is_some())
        });
        if !membership.earlier_complete && !covered {
            self.gap_until = now + relevance_time();
        }
    }

    fn remove_expired(&mut self, now: Duration) {
        self.tables.retain(|table| table.relevant_until.is_none_or(|end| now < end));
        let oldest = self.tables.first().map_or(0, |table| table.revision);
        for revisions in self.ready_revisions.values_mut() {
            *revisions = revisions.split_off(&oldest);
        }
        self.ready_revisions.retain(|_, revisions| !revisions.is_empty());
    }
}
