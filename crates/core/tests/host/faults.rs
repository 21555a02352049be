//! Runs with random faults.

use std::{collections::BTreeSet, thread, time::Duration};

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use marjorampick_core::host::event::Event;

use crate::{
    accept, cut_off,
    fleet::{Fleet, HOSTS, SPENT, SPENT_RATE},
};

/// Runs with fixed seeds, so that every run gives the same verdict. The low half of a seed is the
/// number of random bytes.
fn seeds(count: u64, run: fn(&mut Unstructured<'_>) -> Result<()>) {
    const THREADS: u64 = 4;
    thread::scope(|scope| {
        for first in 0..THREADS {
            let seeds = (first..count).step_by(THREADS as usize);
            scope.spawn(|| seeds.for_each(|seed| arbtest(run).seed((seed << 32) | 2048).run()));
        }
    });
}

/// Guards against any mix of faults after which an accepted edit reverts, a host acts on an old
/// configuration, hosts spend more than a limit together, a claim is granted twice, or the fleet
/// does not recover. `Fleet` checks all but the last after every step.
#[test]
fn accepted_edits_hold_under_any_mix_of_faults() {
    seeds(64, |u| {
        let mut fleet = Fleet::formed(u.arbitrary()?, *u.choose(&[3, 5, HOSTS])?);
        fleet.edit(0, SPENT, 0, SPENT_RATE);
        fleet.run_ms(8000);
        let mut gone = BTreeSet::new();
        for _ in 0..u.int_in_range(10..=30)? {
            disturb(&mut fleet, &mut gone, u)?;
            fleet.run_ms(u.int_in_range(0..=2000)?);
        }
        recover(&mut fleet);
        Ok(())
    });
}

fn disturb(fleet: &mut Fleet, gone: &mut BTreeSet<usize>, u: &mut Unstructured<'_>) -> Result<()> {
    let index = u.choose_index(fleet.nodes.len())?;
    match u.int_in_range(0..=14)? {
        0 if !gone.contains(&index) => fleet.start(index),
        1 => fleet.nodes[index].alive = false,
        2 => {
            let pause = Duration::from_millis(u.int_in_range(0..=8000)?);
            fleet.nodes[index].paused_until = fleet.now + pause;
        }
        3 => {
            for node in &mut fleet.nodes {
                node.group = u.int_in_range(0..=1)?;
                node.sees_store = u.ratio(2, 3)?;
            }
        }
        4 => cut_off(fleet, index),
        5 => fleet.store.up = u.ratio(1, 3)?,
        6 => fleet.store.lost_answers = u.int_in_range(0..=50)?,
        7 => fleet.store.delay = u.int_in_range(1..=1500)?,
        8 => {
            (fleet.loss, fleet.duplicates, fleet.delay) = u.arbitrary().map(mild)?;
        }
        9 => {
            *gone = (0..fleet.nodes.len()).filter(|index| !fleet.nodes[*index].alive).collect();
            fleet.list(gone, 0);
        }
        10 => heal(fleet),
        11 => fleet.give(index, Event::Leave),
        12 | 13 => fleet.claim(index, u.int_in_range(0..=5)?),
        _ => {
            let known = fleet.nodes[index].host.documents().get("signing");
            let base = known.map_or(0, |known| known.revision);
            fleet.edit(index, "signing", base, u.int_in_range(1..=1000)?);
        }
    }
    Ok(())
}

fn mild((loss, duplicates, delay): (u8, u8, u8)) -> (u64, u64, u64) {
    let [loss, duplicates, delay] = [loss, duplicates, delay].map(u64::from);
    (loss % 30, duplicates % 30, 1 + 2 * delay)
}

fn heal(fleet: &mut Fleet) {
    for node in &mut fleet.nodes {
        node.group = 0;
        node.sees_store = true;
    }
    (fleet.loss, fleet.duplicates, fleet.delay) = (0, 0, 25);
    (fleet.store.up, fleet.store.lost_answers, fleet.store.delay) = (true, 0, 5);
}

fn recover(fleet: &mut Fleet) {
    heal(fleet);
    fleet.list(&BTreeSet::new(), 0);
    // Long enough for pauses to end and for hosts that leave.
    fleet.run_ms(20_000);
    for index in 0..fleet.nodes.len() {
        if !fleet.nodes[index].alive {
            fleet.start(index);
        }
    }
    fleet.run_ms(20_000);
    let spent = fleet.spent;
    fleet.run_ms(6000);
    assert!(fleet.spent >= spent + 3.5 * SPENT_RATE as f64);
    assert_eq!(fleet.current().len(), fleet.nodes.len());
    assert!(fleet.nodes.iter().all(|node| node.host.is_member()));
    accept(fleet, 0, "bookings");
}
