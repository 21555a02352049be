//! Runs of a fleet with random faults.

use std::{collections::BTreeSet, thread, time::Duration};

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use marjorampick_core::host::event::Event;

use crate::{
    expect_accepted,
    fleet::{Fleet, HOSTS, SPENT_RATE, SPENT_SERVICE},
    isolate,
};

/// Runs `run` with `count` fixed seeds on several threads, so that every test run gives the same
/// verdict. The low 32 bits of an arbtest seed are the number of random bytes.
fn run_seeds(count: u64, run: fn(&mut Unstructured<'_>) -> Result<()>) {
    const THREADS: u64 = 4;
    thread::scope(|scope| {
        for first in 0..THREADS {
            let seeds = (first..count).step_by(THREADS as usize);
            scope.spawn(|| seeds.for_each(|seed| arbtest(run).seed((seed << 32) | 2048).run()));
        }
    });
}

/// Random faults must not make an accepted edit revert, a host act on an old configuration, the
/// hosts together spend more than a limit, or a claim be granted twice; and the fleet must recover.
/// `Fleet` checks all but the recovery after every step.
#[test]
fn accepted_edits_hold_under_any_mix_of_faults() {
    run_seeds(64, |u| {
        let mut fleet = Fleet::formed(u.arbitrary()?, *u.choose(&[3, 5, HOSTS])?);
        fleet.edit(0, SPENT_SERVICE, 0, SPENT_RATE);
        fleet.run_ms(8000);
        let mut listed_gone = BTreeSet::new();
        for _ in 0..u.int_in_range(10..=30)? {
            inject_fault(&mut fleet, &mut listed_gone, u)?;
            fleet.run_ms(u.int_in_range(0..=2000)?);
        }
        expect_recovery(&mut fleet);
        Ok(())
    });
}

/// Injects a random fault, ends all faults, or sends a random claim or edit. `listed_gone` are the
/// hosts that the platform reported as gone; they don't start again.
fn inject_fault(
    fleet: &mut Fleet,
    listed_gone: &mut BTreeSet<usize>,
    u: &mut Unstructured<'_>,
) -> Result<()> {
    let index = u.choose_index(fleet.nodes.len())?;
    match u.int_in_range(0..=14)? {
        0 if !listed_gone.contains(&index) => fleet.start(index),
        1 => fleet.nodes[index].alive = false,
        2 => {
            let pause = Duration::from_millis(u.int_in_range(0..=8000)?);
            fleet.nodes[index].paused_until = fleet.now + pause;
        }
        3 => {
            for node in &mut fleet.nodes {
                node.partition = u.int_in_range(0..=1)?;
                node.reaches_store = u.ratio(2, 3)?;
            }
        }
        4 => isolate(fleet, index),
        5 => fleet.store.up = u.ratio(1, 3)?,
        6 => fleet.store.lost_answers_percent = u.int_in_range(0..=50)?,
        7 => fleet.store.delay_limit_ms = u.int_in_range(1..=1500)?,
        8 => {
            (fleet.loss_percent, fleet.duplicate_percent, fleet.delay_limit_ms) =
                u.arbitrary().map(network_faults)?;
        }
        9 => {
            *listed_gone =
                (0..fleet.nodes.len()).filter(|index| !fleet.nodes[*index].alive).collect();
            fleet.send_host_list(listed_gone, 0);
        }
        10 => clear_faults(fleet),
        11 => fleet.send_event(index, Event::Leave),
        12 | 13 => fleet.claim(index, u.int_in_range(0..=5)?),
        _ => {
            let known = fleet.nodes[index].host.documents().get("signing");
            let base = known.map_or(0, |known| known.revision);
            fleet.edit(index, "signing", base, u.int_in_range(1..=1000)?);
        }
    }
    Ok(())
}

/// Returns percentages of lost and duplicated messages below 30, and a delay limit in milliseconds.
fn network_faults((loss, duplicates, delay): (u8, u8, u8)) -> (u64, u64, u64) {
    let [loss, duplicates, delay] = [loss, duplicates, delay].map(u64::from);
    (loss % 30, duplicates % 30, 1 + 2 * delay)
}

fn clear_faults(fleet: &mut Fleet) {
    for node in &mut fleet.nodes {
        node.partition = 0;
        node.reaches_store = true;
    }
    (fleet.loss_percent, fleet.duplicate_percent, fleet.delay_limit_ms) = (0, 0, 25);
    (fleet.store.up, fleet.store.lost_answers_percent, fleet.store.delay_limit_ms) = (true, 0, 5);
}

/// Ends all faults, starts the dead hosts again and expects that every host is a current member,
/// that tokens are spent at the full rate and that an edit is accepted.
fn expect_recovery(fleet: &mut Fleet) {
    clear_faults(fleet);
    fleet.send_host_list(&BTreeSet::new(), 0);
    // Long enough for every pause to end and every leaving host to stop.
    fleet.run_ms(20_000);
    for index in 0..fleet.nodes.len() {
        if !fleet.nodes[index].alive {
            fleet.start(index);
        }
    }
    fleet.run_ms(20_000);
    let spent = fleet.spent_tokens;
    fleet.run_ms(6000);
    assert!(fleet.spent_tokens >= spent + 3.5 * SPENT_RATE as f64);
    assert_eq!(fleet.current_hosts().len(), fleet.nodes.len());
    assert!(fleet.nodes.iter().all(|node| node.host.is_member()));
    expect_accepted(fleet, 0, "bookings");
}
