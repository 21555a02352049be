//! Runs a scenario and checks its expectations.

use std::{fmt::Write as _, sync::Arc, time::Duration};

use marjorampick_core::{constants::IN_FORCE_BOUND, host::event::EditOutcome};

use crate::{
    script::{Check, Hosts, Script},
    world::{Snapshot, World},
};

/// Result of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Messages about the expectations that did not hold, with their line numbers.
    pub failures: Vec<String>,
    /// Measured values, as text with one or more lines; empty if no check measures a value.
    pub measurements: String,
}

/// Runs `script` with `seed` and checks its expectations.
pub fn run(script: &Script, seed: u64) -> Outcome {
    let mut world = World::new(script, seed);
    world.run();
    let mut outcome = Outcome::default();
    for expectation in &script.expectations {
        if let Err(failure) =
            check_expectation(script, &world, &expectation.check, &mut outcome.measurements)
        {
            outcome.failures.push(format!("line {}: {failure}", expectation.line));
        }
    }
    outcome
}

fn check_expectation(
    script: &Script,
    world: &World,
    check: &Check,
    measurements: &mut String,
) -> Result<(), String> {
    match check {
        Check::WithinLimits => check_limits(world),
        Check::Share { workspace, percent, from, to } => {
            let percent_found = share_percent(world, workspace.as_ref(), *from, *to);
            let subject = workspace.as_deref().unwrap_or("every workspace");
            if workspace.is_none() {
                let (percent, name) = worst_workspace(world, *from, *to);
                let _ = write!(measurements, "worst workspace {name} {percent:.2}%, ");
            }
            let _ =
                writeln!(measurements, "{subject}: {percent_found:.3}% of the omniscient limiter");
            expect(percent_found >= *percent, || {
                format!("{subject} got {percent_found:.3}%, expected {percent}%")
            })
        }
        Check::NoneAdmitted { workspace, from, to } => {
            let admitted = world.traffic[workspace].count_admitted(*from, *to).0;
            expect(admitted == 0, || format!("{workspace} was admitted {admitted} times"))
        }
        Check::Current(hosts, at) => check_currency(script, world, hosts, *at, true),
        Check::NotCurrent(hosts, at) => check_currency(script, world, hosts, *at, false),
        Check::AcceptedEditsHold => check_accepted_edits(world),
        Check::Edit { at, accepted } => check_edit(world, *at, *accepted),
        Check::Members { host, count, at } => {
            let members = snapshot_at(world, host - 1, *at).map(|snapshot| snapshot.members);
            expect(members == Some(*count), || format!("host {host} lists {members:?} members"))
        }
        Check::StoreCalls(limit) => {
            let calls = world.store_calls() as f64 / script.end.as_secs_f64();
            let _ = writeln!(measurements, "{calls:.2} store calls per second");
            expect(calls <= *limit, || format!("{calls:.2} store calls per second"))
        }
    }
}

fn expect(is_met: bool, failure: impl Fn() -> String) -> Result<(), String> {
    if is_met { Ok(()) } else { Err(failure()) }
}

pub(crate) fn check_limits(world: &World) -> Result<(), String> {
    let mut failures = world.traffic.iter().filter_map(|(name, traffic)| {
        let (at, excess) = traffic.find_excess()?;
        Some(format!("{name} exceeds its limit by {excess:.2} at {at:?}"))
    });
    failures.next().map_or(Ok(()), Err)
}

/// Requests that the hosts admitted from `from` until `to`, in percent of what the omniscient
/// limiter admits; 100 if it admits none. Without a `workspace`, all workspaces count together.
pub(crate) fn share_percent(
    world: &World,
    workspace: Option<&Arc<str>>,
    from: Duration,
    to: Duration,
) -> f64 {
    let chosen = world.traffic.iter().filter(|(name, _)| workspace.is_none_or(|w| w == *name));
    let counts = chosen.map(|(_, traffic)| traffic.count_admitted(from, to));
    let (admitted, possible) = counts.fold((0, 0), |sum, (a, b)| (sum.0 + a, sum.1 + b));
    if possible == 0 { 100.0 } else { 100.0 * admitted as f64 / possible as f64 }
}

/// Smallest [`share_percent`] of a single workspace, and the name of the workspace.
pub(crate) fn worst_workspace(world: &World, from: Duration, to: Duration) -> (f64, Arc<str>) {
    let shares =
        world.traffic.keys().map(|name| (share_percent(world, Some(name), from, to), name.clone()));
    shares.min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((100.0, Arc::default()))
}

fn check_currency(
    script: &Script,
    world: &World,
    hosts: &Hosts,
    at: Duration,
    expected: bool,
) -> Result<(), String> {
    let hosts: Vec<usize> = match hosts {
        Hosts::Listed(hosts) => hosts.clone(),
        _ => (1..=script.hosts).collect(),
    };
    for host in hosts {
        let is_current = snapshot_at(world, host - 1, at).is_some_and(|snapshot| snapshot.current);
        expect(is_current == expected, || format!("host {host} is current: {is_current}"))?;
    }
    Ok(())
}

/// First snapshot of a host at `at` or later.
fn snapshot_at(world: &World, host: usize, at: Duration) -> Option<&Snapshot> {
    world.snapshots.iter().find(|snapshot| snapshot.host == host && snapshot.at >= at)
}

/// Checks that every host with an older revision than an accepted edit stops being current within
/// [`IN_FORCE_BOUND`] of its acceptance, and that no host returns to an older revision.
fn check_accepted_edits(world: &World) -> Result<(), String> {
    for edit in &world.edits {
        let Some((accepted_at, EditOutcome::Accepted { revision })) = edit.outcome else {
            continue;
        };
        let due =
            world.snapshots.iter().filter(|snapshot| snapshot.at >= accepted_at + IN_FORCE_BOUND);
        let stale = due.clone().find(|snapshot| snapshot.current && snapshot.revision < revision);
        if let Some(stale) = stale {
            return Err(format!(
                "host {} is current at {:?} with revision {}, edit {revision} was accepted at {accepted_at:?}",
                stale.host + 1,
                stale.at,
                stale.revision
            ));
        }
    }
    check_revisions_never_decrease(world)
}

fn check_revisions_never_decrease(world: &World) -> Result<(), String> {
    let mut latest_revisions = std::collections::BTreeMap::new();
    for snapshot in &world.snapshots {
        let latest = latest_revisions
            .entry((snapshot.host, snapshot.incarnation))
            .or_insert(snapshot.revision);
        if snapshot.revision < *latest {
            return Err(format!("host {} went back at {:?}", snapshot.host + 1, snapshot.at));
        }
        *latest = snapshot.revision;
    }
    Ok(())
}

fn check_edit(world: &World, at: Duration, accepted: bool) -> Result<(), String> {
    let edit = world.edits.iter().find(|edit| edit.submitted_at == at);
    let Some(edit) = edit else {
        return Err(format!("no edit was made at {at:?}"));
    };
    let is_accepted = matches!(edit.outcome, Some((_, EditOutcome::Accepted { .. })));
    expect(is_accepted == accepted, || {
        format!("the edit at {at:?} was answered {:?}", edit.outcome)
    })
}
