//! Runs a scenario and checks its expectations.

use std::{fmt::Write as _, sync::Arc, time::Duration};

use marjorampick_core::{constants::IN_FORCE_BOUND, host::event::EditOutcome};

use crate::{
    script::{Check, Hosts, Script},
    world::{Probe, World},
};

/// Result of one run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Expectations that did not hold, with their line.
    pub failures: Vec<String>,
    /// Figures of the run.
    pub figures: String,
}

/// Runs `script` with `seed`.
pub fn run(script: &Script, seed: u64) -> Outcome {
    let mut world = World::new(script, seed);
    world.run();
    let mut outcome = Outcome::default();
    for expectation in &script.expectations {
        if let Err(failure) = check(script, &world, &expectation.check, &mut outcome.figures) {
            outcome.failures.push(format!("line {}: {failure}", expectation.line));
        }
    }
    outcome
}

fn check(
    script: &Script,
    world: &World,
    check: &Check,
    figures: &mut String,
) -> Result<(), String> {
    match check {
        Check::WithinLimits => within_limits(world),
        Check::Share { workspace, percent, from, to } => {
            let share = share(world, workspace.as_ref(), *from, *to);
            let whose = workspace.as_deref().unwrap_or("every workspace");
            if workspace.is_none() {
                let worst = worst(world, *from, *to);
                let _ = write!(figures, "worst workspace {} {:.2}%, ", worst.1, worst.0);
            }
            let _ = writeln!(figures, "{whose}: {share:.3}% of the omniscient limiter");
            expect(share >= *percent, || format!("{whose} got {share:.3}%, expected {percent}%"))
        }
        Check::NoneAdmitted { workspace, from, to } => {
            let admitted = world.traffic[workspace].admitted_in(*from, *to).0;
            expect(admitted == 0, || format!("{workspace} was admitted {admitted} times"))
        }
        Check::Current(hosts, at) => currency(script, world, hosts, *at, true),
        Check::NotCurrent(hosts, at) => currency(script, world, hosts, *at, false),
        Check::EditsHold => edits_hold(world),
        Check::Edit { at, accepted } => edit(world, *at, *accepted),
        Check::Members { host, count, at } => {
            let found = probe(world, host - 1, *at).map(|probe| probe.members);
            expect(found == Some(*count), || format!("host {host} lists {found:?} members"))
        }
        Check::StoreCalls(most) => {
            let calls = world.store_calls() as f64 / script.end.as_secs_f64();
            let _ = writeln!(figures, "{calls:.2} store calls per second");
            expect(calls <= *most, || format!("{calls:.2} store calls per second"))
        }
    }
}

fn expect(holds: bool, failure: impl Fn() -> String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(failure()) }
}

pub(crate) fn within_limits(world: &World) -> Result<(), String> {
    let mut over = world.traffic.iter().filter_map(|(name, traffic)| {
        let (at, excess) = traffic.excess()?;
        Some(format!("{name} exceeds its limit by {excess:.2} at {at:?}"))
    });
    over.next().map_or(Ok(()), Err)
}

/// Share of the omniscient limiter in percent; 100 when nothing could be admitted.
pub(crate) fn share(
    world: &World,
    workspace: Option<&Arc<str>>,
    from: Duration,
    to: Duration,
) -> f64 {
    let chosen = world.traffic.iter().filter(|(name, _)| workspace.is_none_or(|w| w == *name));
    let counts = chosen.map(|(_, traffic)| traffic.admitted_in(from, to));
    let (admitted, possible) = counts.fold((0, 0), |sum, (a, b)| (sum.0 + a, sum.1 + b));
    if possible == 0 { 100.0 } else { 100.0 * admitted as f64 / possible as f64 }
}

/// The workspace with the smallest share, and its share in percent.
pub(crate) fn worst(world: &World, from: Duration, to: Duration) -> (f64, Arc<str>) {
    let shares =
        world.traffic.keys().map(|name| (share(world, Some(name), from, to), name.clone()));
    shares.min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((100.0, Arc::default()))
}

fn currency(
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
        let current = probe(world, host - 1, at).is_some_and(|probe| probe.current);
        expect(current == expected, || format!("host {host} is current: {current}"))?;
    }
    Ok(())
}

/// The first probe of a host at `at` or later.
fn probe(world: &World, host: usize, at: Duration) -> Option<&Probe> {
    world.probes.iter().find(|probe| probe.host == host && probe.at >= at)
}

fn edits_hold(world: &World) -> Result<(), String> {
    for edit in &world.edits {
        let Some((answered, EditOutcome::Accepted { revision })) = edit.answer else {
            continue;
        };
        let late = world.probes.iter().filter(|probe| probe.at >= answered + IN_FORCE_BOUND);
        let stale = late.clone().find(|probe| probe.current && probe.revision < revision);
        if let Some(stale) = stale {
            return Err(format!(
                "host {} is current at {:?} with revision {}, edit {revision} was accepted at {answered:?}",
                stale.host + 1,
                stale.at,
                stale.revision
            ));
        }
    }
    never_reverts(world)
}

fn never_reverts(world: &World) -> Result<(), String> {
    let mut newest = std::collections::BTreeMap::new();
    for probe in &world.probes {
        let known = newest.entry((probe.host, probe.incarnation)).or_insert(probe.revision);
        if probe.revision < *known {
            return Err(format!("host {} went back at {:?}", probe.host + 1, probe.at));
        }
        *known = probe.revision;
    }
    Ok(())
}

fn edit(world: &World, at: Duration, accepted: bool) -> Result<(), String> {
    let edit = world.edits.iter().find(|edit| edit.at == at);
    let Some(edit) = edit else {
        return Err(format!("no edit was made at {at:?}"));
    };
    let found = matches!(edit.answer, Some((_, EditOutcome::Accepted { .. })));
    expect(found == accepted, || format!("the edit at {at:?} was answered {:?}", edit.answer))
}
