//! Tests that traffic doesn't shift faster than the cap and that the hosts' weights don't
//! oscillate.

use super::*;
use crate::testing::check;

const NAMES: [&str; 4] = ["ee-north", "fi-south", "de-central", "lothian"];

fn weights(parts: &[f64]) -> Vec<(Arc<str>, f64)> {
    NAMES.iter().zip(parts).map(|(name, part)| (Arc::from(*name), *part)).collect()
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn weight(ramp: &Ramp, name: &str) -> f64 {
    let weights = ramp.weights();
    weights.iter().find(|(known, _)| known.as_ref() == name).map_or(0.0, |(_, weight)| *weight)
}

fn shift_since(before: &[f64], ramp: &Ramp) -> f64 {
    let pairs = NAMES.iter().zip(before);
    pairs.map(|(name, part)| (weight(ramp, name) - part).abs()).sum::<f64>() / 2.0
}

/// No sequence of documents, losses, reports, restarts and pauses may shift more than the cap in
/// any second, or catch up on a long pause in one step.
#[test]
fn no_window_moves_more_than_the_cap() {
    check(200, 2048, |u| {
        let percent = f64::from(u.int_in_range(1..=30_u8)?);
        let mut ramp = Ramp::new(percent, &weights(&[5.0, 3.0, 2.0, 0.0]));
        let (mut now, mut shifts) = (0_u64, Vec::new());
        while !u.is_empty() {
            let name = *u.choose(&NAMES)?;
            match u.int_in_range(0..=9)? {
                0 => {
                    let parts: [u8; 4] = u.arbitrary()?;
                    ramp.set_target(percent, &weights(&parts.map(|part| f64::from(part / 64))));
                }
                1 => ramp.set_lost(at(now), name, u.arbitrary()?),
                2 => ramp.report_load(at(now), name, f64::from(u.int_in_range(0..=20_u8)?) / 10.0),
                3 if u.ratio(1, 10)? => {
                    let peer = ramp.weights();
                    ramp = Ramp::new(percent, &weights(&[1.0, 0.0, 0.0, 0.0]));
                    assert!(ramp.adopt(&peer) && !ramp.adopt(&[]));
                }
                4 => assert!(!ramp.adopt(&weights(&[1.0])) || ramp.last_advance.is_none()),
                5 if u.ratio(1, 10)? => now += 60_000,
                _ => now += u64::from(u.int_in_range(0..=400_u16)?),
            }
            let before = NAMES.map(|name| weight(&ramp, name));
            ramp.advance(at(now));
            let total: f64 = ramp.weights().iter().map(|(_, weight)| weight).sum();
            assert!((total - 1.0).abs() < 1e-9);
            shifts.push((now, shift_since(&before, &ramp)));
            shifts.retain(|(at, _)| at + 1000 > now);
            let sum: f64 = shifts.iter().map(|(_, shift)| shift).sum();
            assert!(sum <= percent / 100.0 + 1e-9, "{sum} shifted in a second");
            let step = shifts.last().map_or(0.0, |(_, shift)| *shift);
            assert!(
                step <= percent / 100.0 * MAX_STEP_TIME.as_secs_f64() + 1e-9,
                "{step} shifted in one step"
            );
        }
        Ok(())
    });
}

/// The ramp must not be slower than the cap allows, since that would prolong every drain.
#[test]
fn a_drain_takes_as_long_as_the_cap_demands() {
    let mut ramp = Ramp::new(5.0, &weights(&[0.5, 0.5]));
    ramp.advance(at(0));
    ramp.set_target(5.0, &weights(&[0.0, 1.0]));
    let times = (100..=11_000).step_by(100);
    times.for_each(|now| _ = ramp.advance(at(now)));
    assert!(ramp.remaining_shift() < 1e-9, "{}", ramp.remaining_shift());
    assert_eq!(ramp.weights().len(), 1);
}

/// After a loss, traffic must not return at once or with each flap. If all regions are lost, the
/// weights must return to the document's.
#[test]
fn a_lost_region_returns_by_the_same_pace() {
    let mut ramp = Ramp::new(10.0, &weights(&[0.5, 0.5]));
    let run = |ramp: &mut Ramp, from: u64, to: u64| {
        (from..=to).step_by(100).for_each(|now| _ = ramp.advance(at(now)));
        weight(ramp, NAMES[0])
    };
    run(&mut ramp, 0, 1000);
    ramp.set_lost(at(1000), NAMES[0], true);
    assert!((run(&mut ramp, 1100, 3000) - 0.3).abs() < 1e-9);
    assert_eq!(run(&mut ramp, 3100, 9000), 0.0);
    for now in [9000, 10_000, 11_000] {
        ramp.set_lost(at(now), NAMES[0], false);
        assert_eq!(
            run(&mut ramp, now + 100, now + 900),
            0.0,
            "traffic returned while the region flapped"
        );
        ramp.set_lost(at(now + 950), NAMES[0], now < 11_000);
    }
    assert_eq!(run(&mut ramp, 12_000, 15_900), 0.0);
    assert!((run(&mut ramp, 16_000, 17_900) - 0.2).abs() < 1e-9);
    NAMES.iter().for_each(|name| ramp.set_lost(at(18_000), name, true));
    assert!((run(&mut ramp, 18_000, 60_000) - 0.5).abs() < 1e-9);
}

/// The weights of 8 hosts that read the same load report 2 s late, at the same time, must converge
/// instead of oscillating.
#[test]
fn hosts_with_the_same_late_figure_come_to_rest() {
    let document = weights(&[0.6, 0.2, 0.2]);
    // Capacity of each region relative to the total traffic; the first region has lost part
    // of its capacity.
    for capacity in [[0.5, 0.4, 0.4], [0.5, 0.5, 0.3], [0.55, 0.6, 0.6]] {
        let mut hosts = vec![Ramp::new(5.0, &document); 8];
        let mut loads = VecDeque::new();
        let (mut total_shift, mut reversals, mut direction) = (0.0, 0, 0.0);
        for now in (0..300_000).step_by(100) {
            let load = |index: usize| {
                let sum: f64 = hosts.iter().map(|ramp| weight(ramp, NAMES[index])).sum();
                sum / 8.0 / capacity[index]
            };
            loads.push_back([load(0), load(1), load(2)]);
            let late_loads = if loads.len() > 20 { loads.pop_front() } else { None };
            let before = weight(&hosts[0], NAMES[0]);
            for ramp in &mut hosts {
                let reports = late_loads.into_iter().filter(|_| now % 1000 == 0).flatten();
                NAMES
                    .iter()
                    .zip(reports)
                    .for_each(|(name, load)| ramp.report_load(at(now), name, load));
                ramp.advance(at(now));
            }
            let change = weight(&hosts[0], NAMES[0]) - before;
            reversals += i32::from(change * direction < 0.0);
            direction = if change == 0.0 { direction } else { change };
            total_shift += if now > 100_000 { change.abs() } else { 0.0 };
        }
        let last = loads.back().unwrap();
        assert!(
            total_shift < 1e-9 && reversals <= 1,
            "shifted {total_shift} after 100 s, reversed {reversals} times"
        );
        assert!(last.iter().all(|load| *load <= HIGH_LOAD_RATIO), "{last:?}");
        assert!(last[0] > LOW_LOAD_RATIO, "the load of the first region is too low: {last:?}");
    }
}
