//! The member tables of the retention time: which hosts held a claim, and whether one survived.

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

/// One start of a process on a host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Process {
    pub(super) host: Arc<str>,
    pub(super) incarnation: u64,
}

impl Process {
    pub(super) fn of(sender: &Sender) -> Self {
        Self { host: sender.host.clone(), incarnation: sender.incarnation }
    }

    pub(super) fn is(&self, member: &Member) -> bool {
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
pub(super) struct Pair<'a> {
    pub(super) owner: Option<&'a Member>,
    /// None only if the table has a single member.
    pub(super) backup: Option<&'a Member>,
}

impl<'a> Pair<'a> {
    pub(super) fn members(self) -> impl Iterator<Item = &'a Member> {
        self.owner.into_iter().chain(self.backup)
    }

    pub(super) fn has(self, process: &Process) -> bool {
        self.members().any(|member| process.is(member))
    }
}

/// Whether this host may answer for a name that it has no record of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Availability {
    /// Every claim of the name would be among the records.
    Complete,
    /// Records may still arrive from other hosts, or another host may still grant.
    Waiting,
    /// The hosts that may have held a claim of the name are all gone.
    Lost,
}

#[derive(Clone, Debug)]
struct Table {
    revision: u64,
    /// When claims of this table are older than the retention time; none for the current table.
    ends: Option<Duration>,
    members: Vec<Member>,
}

impl Table {
    fn has(&self, process: &Process) -> bool {
        self.members.iter().any(|member| process.is(member))
    }

    /// The member that ranks first, and the first one of another failure domain, in one pass: it is
    /// done for every record on a change of members.
    fn pair(&self, key: Key) -> Pair<'_> {
        let mut owner: Option<Ranked<'_>> = None;
        let mut backup: Option<Ranked<'_>> = None;
        for member in &self.members {
            let ranked = Ranked::new(key, member);
            let apart = owner.filter(|owner| owner.member.domain != member.domain);
            if owner.is_none_or(|owner| owner < ranked) {
                // The former owner ranks before all others, so it is the first of another domain.
                backup = apart.or(backup);
                owner = Some(ranked);
            } else if apart.is_some() && backup < Some(ranked) {
                backup = Some(ranked);
            }
        }
        let others = self.members.iter().map(|member| Ranked::new(key, member));
        let next = || others.filter(|ranked| Some(*ranked) != owner).max();
        let backup = backup.or_else(next);
        Pair {
            owner: owner.map(|ranked| ranked.member),
            backup: backup.map(|ranked| ranked.member),
        }
    }
}

/// A member in the order of rendezvous hashing.
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

/// Membership by age, the current one last, and what hosts have received under them.
#[derive(Debug)]
pub(super) struct History {
    me: Process,
    tables: Vec<Table>,
    in_force: u64,
    /// Hosts that have handed over everything for the current table.
    arrived: BTreeSet<Process>,
    /// Revisions of the tables under which a host had every record of its own.
    ready: BTreeMap<Process, BTreeSet<u64>>,
    /// Until when tables are missing whose claims may matter.
    gap_until: Duration,
}

fn key(name: &Name) -> Key {
    Key::new([name.service.as_ref(), name.workspace.as_ref(), name.key.as_ref()])
}

/// How long the claims of a replaced table matter. Grants may follow its replacement until that is in
/// force, and ages were counted on several clocks.
fn relevance() -> Duration {
    CLAIM_RETENTION * (100 + 2 * CLOCK_DRIFT_PERCENT) / 100 + IN_FORCE_BOUND
}

impl History {
    pub(super) fn new(me: Process) -> Self {
        Self {
            me,
            tables: Vec::new(),
            in_force: 0,
            arrived: BTreeSet::new(),
            ready: BTreeMap::new(),
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
    pub(super) fn pair(&self, name: &Name) -> Pair<'_> {
        self.tables.last().map(|table| table.pair(key(name))).unwrap_or_default()
    }

    /// The current member that is this process.
    pub(super) fn member(&self, process: &Process) -> Option<&Member> {
        self.members().iter().find(|member| process.is(member))
    }

    /// Whether the process was a member and is none now.
    pub(super) fn has_left(&self, process: &Process) -> bool {
        self.member(process).is_none() && self.knows(process)
    }

    /// Whether the process is known to be dead: it has left, or a later start of its host has just
    /// joined. A host that was a guest leaves no table.
    pub(super) fn is_gone(&self, process: &Process) -> bool {
        let earlier = self.tables.split_last().map_or(&[][..], |(_, earlier)| earlier);
        let replaces = |member: &Member| {
            let joined = Process::from(member);
            let new = || earlier.iter().all(|table| !table.has(&joined));
            member.host == process.host && joined != *process && new()
        };
        self.has_left(process) || self.members().iter().any(replaces)
    }

    /// Whether the process is or was a member.
    pub(super) fn knows(&self, process: &Process) -> bool {
        self.tables.iter().any(|table| table.has(process))
    }

    /// Revisions under which this host had every record of its own.
    pub(super) fn own_ready(&self) -> Vec<u64> {
        self.ready.get(&self.me).into_iter().flatten().copied().collect()
    }

    /// Takes a table over; answers `false` when it is not newer than the current one.
    pub(super) fn replace(&mut self, now: Duration, tables: &Membership) -> bool {
        if tables.revision <= self.revision() {
            return false;
        }
        self.note_gap(now, tables);
        for table in &mut self.tables {
            table.ends.get_or_insert(now + relevance());
        }
        for epoch in &tables.earlier {
            let ends = now + relevance().saturating_sub(epoch.replaced_ago);
            self.add(epoch.revision, Some(ends), &epoch.members);
        }
        self.add(tables.revision, None, &tables.members);
        self.tables.sort_by_key(|table| table.revision);
        self.forget(now);
        self.arrived.clear();
        self.settle();
        true
    }

    /// The change with this revision, and so every one before, is in force.
    pub(super) fn set_in_force(&mut self, revision: u64) {
        self.in_force = self.in_force.max(revision);
        self.settle();
    }

    /// `from` has handed over everything for the current table.
    pub(super) fn arrive(&mut self, from: &Process, ready: &[u64]) {
        self.ready.entry(from.clone()).or_default().extend(ready);
        self.arrived.insert(from.clone());
        self.settle();
    }

    /// Whether this host has every record of its own under the current table.
    pub(super) fn is_ready(&self) -> bool {
        self.was_ready(&self.me, self.revision())
    }

    /// Whether this host, the owner of `name`, may answer although it has no record of it.
    pub(super) fn availability(&self, now: Duration, name: &Name) -> Availability {
        let Some(base) = self.tables.iter().rposition(|t| self.was_ready(&self.me, t.revision))
        else {
            return Availability::Waiting;
        };
        let key = key(name);
        let pairs: Vec<Pair<'_>> = self.tables.iter().map(|table| table.pair(key)).collect();
        let owned = |pair: &Pair<'_>| pair.owner.is_some_and(|owner| self.me.is(owner));
        if !pairs[base..].iter().all(owned) {
            return Availability::Waiting;
        }
        let relevant = |table: &Table| table.ends.is_none_or(|ends| now < ends);
        let mut earlier = (0..base).filter(|&index| relevant(&self.tables[index]));
        if now < self.gap_until || !earlier.all(|index| self.survived(&pairs, index, base)) {
            return Availability::Lost;
        }
        Availability::Complete
    }

    /// Whether the claims recorded under table `from` were held by a member of table `to`.
    ///
    /// They were if one of the pair was still a member, or if a host that was of the name's pair
    /// under a table in between had received everything then.
    fn survived(&self, pairs: &[Pair<'_>], from: usize, to: usize) -> bool {
        let mut held = vec![false; to + 1];
        held[from] = true;
        for index in from + 1..=to {
            let table = &self.tables[index];
            let kept = |at: usize| {
                let mut members = pairs[at].members().map(Process::from);
                held[at]
                    && members.any(|p| table.has(&p) && (at == from || self.was_ready_at(&p, at)))
            };
            held[index] = (from..index).any(kept);
        }
        held[to]
    }

    fn was_ready_at(&self, process: &Process, index: usize) -> bool {
        self.was_ready(process, self.tables[index].revision)
    }

    fn was_ready(&self, process: &Process, revision: u64) -> bool {
        self.ready.get(process).is_some_and(|revisions| revisions.contains(&revision))
    }

    /// Notes whether this host has every record of its own now: no host can grant under an earlier
    /// table any more, and every member that may hold records has handed them over.
    fn settle(&mut self) {
        let revision = self.revision();
        let (earlier, current) = match self.tables.split_last() {
            Some((current, earlier)) if current.has(&self.me) => (earlier, current),
            _ => return,
        };
        let missing = |member: &&Member| {
            let process = Process::from(*member);
            let may_hold = earlier.iter().any(|table| table.has(&process));
            process != self.me && may_hold && !self.arrived.contains(&process)
        };
        if self.in_force >= revision && !current.members.iter().any(|m| missing(&m)) {
            self.ready.entry(self.me.clone()).or_default().insert(revision);
        }
    }

    fn add(&mut self, revision: u64, ends: Option<Duration>, members: &[Member]) {
        if self.tables.iter().all(|table| table.revision != revision) {
            self.tables.push(Table { revision, ends, members: members.to_vec() });
        }
    }

    /// A list of tables that was cut off hides pairs that may be lost, unless this host had every
    /// record under a table that is still listed.
    fn note_gap(&mut self, now: Duration, tables: &Membership) {
        let oldest = tables.earlier.iter().map(|epoch| epoch.revision).min();
        let covered = self.ready.get(&self.me).is_some_and(|revisions| {
            oldest.is_some_and(|oldest| revisions.range(oldest..).next().is_some())
        });
        if !tables.earlier_complete && !covered {
            self.gap_until = now + relevance();
        }
    }

    fn forget(&mut self, now: Duration) {
        self.tables.retain(|table| table.ends.is_none_or(|ends| now < ends));
        let oldest = self.tables.first().map_or(0, |table| table.revision);
        for revisions in self.ready.values_mut() {
            *revisions = revisions.split_off(&oldest);
        }
        self.ready.retain(|_, revisions| !revisions.is_empty());
    }
}
