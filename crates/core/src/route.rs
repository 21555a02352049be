//! Selection of a region and of a backend server for one request.
//!
//! See docs/design.md §9. The functions depend on the candidates and the random numbers only. They
//! use the slots taken from the budget and the host's own in-flight counts rather than load
//! reports, so a wrong report that a full region is empty can't overload the region.

use std::fmt;

use crate::backend::Availability;

#[cfg(test)]
mod tests;

/// A region that may run the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Region {
    /// Weight of the region that is in effect on this host, see [`crate::ramp`].
    pub weight: f64,
    /// Whether requests may fail over to this region from others: the document names the region and
    /// doesn't drain it.
    pub accepts_spillover: bool,
    /// Whether none of the region's backend servers can be used.
    pub is_lost: bool,
    /// Whether this host is in another region.
    pub is_remote: bool,
}

/// Part of a region's slots that a request may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slots {
    /// All slots except the headroom.
    Regular,
    /// All slots, because another region is lost.
    WithHeadroom,
}

/// A backend server instance that may run the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Availability of the instance. An instance that the request has already tried is left out or
    /// marked [`Availability::Unavailable`].
    pub availability: Availability,
    /// Requests that this host has in flight at the instance.
    pub in_flight: u64,
    /// Number of requests that the instance can run concurrently, over all hosts.
    pub slots: u64,
}

/// Reason why no region or backend server was chosen. The request was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No region with a usable backend server has a free slot.
    RegionFull,
    /// The remaining candidates are in other regions, and the cross-region byte budget is used up.
    CrossRegionBudgetSpent,
    /// No region has a usable backend server.
    NoBackend,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::RegionFull => "no region has a free slot",
            Self::CrossRegionBudgetSpent => "the cross-region byte budget is used up",
            Self::NoBackend => "no backend server can be used",
        })
    }
}

impl std::error::Error for Refusal {}

/// Chooses a region, takes a slot there and returns the region's index.
///
/// The first candidate is picked at random in proportion to the weights. If it is lost, has no free
/// slot, or is remote while the cross-region byte budget is used up, the others are tried: the
/// host's own region first, then by descending weight. `has_cross_region_budget` returns whether
/// some of that budget is left. `take_slot` takes a slot of the region with the given index, or
/// returns `false`.
pub fn choose_region(
    regions: &[Region],
    random: u64,
    mut has_cross_region_budget: impl FnMut() -> bool,
    mut take_slot: impl FnMut(usize, Slots) -> bool,
) -> Result<usize, Refusal> {
    let mut refusal = Refusal::NoBackend;
    for index in failover_order(regions, random) {
        if regions[index].is_lost {
            continue;
        }
        if regions[index].is_remote && !has_cross_region_budget() {
            // `RegionFull` takes precedence, because a full region lasts longer than a spent
            // budget.
            if refusal == Refusal::NoBackend {
                refusal = Refusal::CrossRegionBudgetSpent;
            }
        } else if take_slot(index, usable_slots(regions, index)) {
            return Ok(index);
        } else {
            refusal = Refusal::RegionFull;
        }
    }
    Err(refusal)
}

/// Chooses a backend server of a region and returns its index.
///
/// Of two random candidates, the one with fewer in-flight requests of this host per slot is chosen.
/// The slots of a candidate that is warming up are scaled by the fraction in its availability.
/// Degraded candidates are used only if no eligible one has a free slot.
pub fn choose_backend(candidates: &[Candidate], random: [u64; 2]) -> Result<usize, Refusal> {
    let eligible_fraction = |candidate: &Candidate| match candidate.availability {
        Availability::Eligible(fraction) => fraction,
        Availability::Degraded(_) | Availability::Unavailable => 0.0,
    };
    let degraded_fraction = |candidate: &Candidate| match candidate.availability {
        Availability::Degraded(fraction) => fraction,
        Availability::Eligible(_) | Availability::Unavailable => 0.0,
    };
    let chosen = pick_less_loaded(candidates, random, eligible_fraction)
        .or_else(|| pick_less_loaded(candidates, random, degraded_fraction));
    let is_usable = |candidate: &Candidate| candidate.availability != Availability::Unavailable;
    chosen.ok_or_else(|| match candidates.iter().any(is_usable) {
        true => Refusal::RegionFull,
        false => Refusal::NoBackend,
    })
}

/// Indexes of the regions in the order in which they are tried: one picked by weight, then the
/// others that accept spillover.
fn failover_order(regions: &[Region], random: u64) -> Vec<usize> {
    let weights = regions.iter().map(|region| region.weight);
    let first = pick_weighted(weights, random);
    let mut rest: Vec<usize> = (0..regions.len())
        .filter(|&index| regions[index].accepts_spillover && Some(index) != first)
        .collect();
    rest.sort_by(|&a, &b| {
        let (a, b) = (&regions[a], &regions[b]);
        a.is_remote.cmp(&b.is_remote).then(b.weight.total_cmp(&a.weight))
    });
    first.into_iter().chain(rest).collect()
}

/// Slots that a request may take in a region. The headroom is reserved for the traffic of another
/// region that is lost.
fn usable_slots(regions: &[Region], index: usize) -> Slots {
    let is_other_lost = |(other, region): (usize, &Region)| {
        other != index && region.is_lost && (region.accepts_spillover || region.weight > 0.0)
    };
    if regions.iter().enumerate().any(is_other_lost) { Slots::WithHeadroom } else { Slots::Regular }
}

/// Index of the less loaded one of two random candidates that have a free slot.
fn pick_less_loaded(
    candidates: &[Candidate],
    random: [u64; 2],
    traffic_fraction: impl Fn(&Candidate) -> f64,
) -> Option<usize> {
    let scaled_slots =
        |index: usize| traffic_fraction(&candidates[index]) * candidates[index].slots as f64;
    let weight = |index: usize| {
        let candidate = &candidates[index];
        if candidate.in_flight < candidate.slots { scaled_slots(index) } else { 0.0 }
    };
    let load = |index: usize| candidates[index].in_flight as f64 / scaled_slots(index);
    let indexes = 0..candidates.len();
    let first = pick_weighted(indexes.clone().map(weight), random[0])?;
    let others = indexes.map(|index| if index == first { 0.0 } else { weight(index) });
    match pick_weighted(others, random[1]) {
        Some(second) if load(second) < load(first) => Some(second),
        _ => Some(first),
    }
}

/// Index of a random item, chosen in proportion to the weights; `None` if all weights are 0.
fn pick_weighted(weights: impl Iterator<Item = f64> + Clone, random: u64) -> Option<usize> {
    let total: f64 = weights.clone().sum();
    let mut remaining = total * (random >> 11) as f64 / (1_u64 << 53) as f64;
    let mut chosen = None;
    for (index, weight) in weights.enumerate().filter(|(_, weight)| *weight > 0.0) {
        chosen = Some(index);
        if remaining < weight {
            break;
        }
        remaining -= weight;
    }
    chosen
}
