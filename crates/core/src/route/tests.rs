//! Tests that regions and backend servers aren't overloaded, and that no request is refused while a
//! slot is free.

use super::*;
use crate::testing::check;

fn warm(in_flight: u64) -> Candidate {
    Candidate { availability: Availability::Eligible(1.0), in_flight, slots: 9 }
}

/// A late load report that shows a full region as empty must not fill the region beyond its slots,
/// and the headroom must stay free while no region is lost. The weights follow reports that are 50
/// steps old.
#[test]
fn a_region_that_is_reported_empty_is_never_over_its_slots() {
    const SLOTS: [u64; 3] = [40, 25, 10];
    const HEADROOM: u64 = 4;
    check(60, 8192, |u| {
        let (mut running, mut cross_region_budget) = ([0_u64; 3], 100_u64);
        let mut reports = vec![[0_u64; 3]; 50];
        let mut lost = None;
        for step in 0..400 {
            let late_report = reports[step];
            if step >= 200 && step % 40 == 0 {
                lost = Some(u.int_in_range(0..=2)?);
            }
            let region = |index: usize| Region {
                weight: if late_report[index] < 5 { 1.0 } else { 0.05 },
                accepts_spillover: true,
                is_lost: lost == Some(index),
                is_remote: index != 0,
            };
            let budget_left = cross_region_budget;
            let take_slot = |index: usize, slots| {
                let reserved = if slots == Slots::Regular { HEADROOM } else { 0 };
                running[index] + reserved < SLOTS[index]
            };
            match super::choose_region(
                &[0, 1, 2].map(region),
                u.arbitrary()?,
                || budget_left > 0,
                take_slot,
            ) {
                Ok(index) => {
                    assert!(lost != Some(index) && (index == 0 || cross_region_budget > 0));
                    running[index] += 1;
                    cross_region_budget -= u64::from(index != 0);
                }
                Err(_) if lost.is_none() => assert!(running[0] >= SLOTS[0] - HEADROOM),
                Err(_) => assert!(lost == Some(0) || running[0] >= SLOTS[0]),
            }
            let reserved = if lost.is_none() { HEADROOM } else { 0 };
            assert!((0..3).all(|index| running[index] <= SLOTS[index] - reserved));
            let ended = u.int_in_range(0..=2)?;
            running[ended] = running[ended].saturating_sub(u.int_in_range(0..=2)?);
            reports.push(running);
        }
        Ok(())
    });
}

/// Requests must not fail over to a drained region, nor to a remote one when the cross-region
/// budget is used up; the refusal must name the cause.
#[test]
fn failover_respects_drains_and_the_cross_region_budget() {
    let region = |weight, accepts_spillover, is_lost, is_remote| Region {
        weight,
        accepts_spillover,
        is_lost,
        is_remote,
    };
    let regions = [
        region(1.0, true, true, false),
        region(0.0, false, false, true),
        region(0.0, true, false, true),
    ];
    let only_with_headroom = |_: usize, slots: Slots| slots == Slots::WithHeadroom;
    assert_eq!(super::choose_region(&regions, 7, || true, only_with_headroom), Ok(2));
    assert_eq!(
        super::choose_region(&regions, 7, || false, only_with_headroom),
        Err(Refusal::CrossRegionBudgetSpent)
    );
    assert_eq!(super::choose_region(&regions, 7, || true, |_, _| false), Err(Refusal::RegionFull));
    assert_eq!(
        super::choose_region(&regions[..1], 7, || true, only_with_headroom),
        Err(Refusal::NoBackend)
    );
    assert_eq!(super::choose_region(&[], 7, || true, only_with_headroom), Err(Refusal::NoBackend));
}

/// The first region tried must follow the weights.
#[test]
fn the_first_choice_follows_the_weights() {
    let region =
        |weight| Region { weight, accepts_spillover: true, is_lost: false, is_remote: true };
    let regions = [0.0, 0.6, 0.3, 0.1].map(region);
    let mut counts = [0_u64; 4];
    for step in 0..1000_u64 {
        let random = step * (u64::MAX / 1000);
        counts[super::choose_region(&regions, random, || true, |_, _| true).unwrap()] += 1;
    }
    assert!(counts[0] == 0 && counts[1].abs_diff(600) < 3 && counts[2].abs_diff(300) < 3);
}

/// Unavailable or full instances must not be chosen while another one has a free slot.
#[test]
fn backend_choice_skips_full_and_unavailable_instances() {
    let candidate = |availability, in_flight| Candidate { availability, in_flight, slots: 9 };
    let unavailable = candidate(Availability::Unavailable, 0);
    let degraded = candidate(Availability::Degraded(1.0), 0);
    check(500, 16, |u| {
        let random = u.arbitrary()?;
        assert_eq!(choose_backend(&[unavailable, warm(9), degraded, warm(8)], random), Ok(3));
        assert_eq!(choose_backend(&[unavailable, warm(9), degraded], random), Ok(2));
        assert_eq!(choose_backend(&[unavailable, warm(9)], random), Err(Refusal::RegionFull));
        assert_eq!(choose_backend(&[unavailable], random), Err(Refusal::NoBackend));
        assert_eq!(choose_backend(&[warm(5), warm(2)], random), Ok(1));
        Ok(())
    });
}

/// An instance that warms up must get a rising part of the traffic, neither all of it at once nor
/// none, whether the instances are idle or loaded.
#[test]
fn a_cold_instance_gets_a_rising_part_of_the_traffic() {
    let relative_traffic = |fraction: f64, in_flight: u64| {
        let mut candidates = [warm(in_flight); 10];
        candidates[0].availability = Availability::Eligible(fraction);
        let random = |step: u64| step.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let chosen =
            (0..20_000).map(|step| choose_backend(&candidates, [random(step), random(!step)]));
        let cold = chosen.filter(|choice| *choice == Ok(0)).count();
        cold as f64 * 10.0 / 20_000.0
    };
    assert!((0.05..=0.2).contains(&relative_traffic(0.1, 0)), "{}", relative_traffic(0.1, 0));
    assert!((0.4..=0.7).contains(&relative_traffic(0.5, 0)), "{}", relative_traffic(0.5, 0));
    assert!(
        relative_traffic(0.1, 4) < 0.05,
        "a cold instance with as much work as warm ones gets no more"
    );
}
