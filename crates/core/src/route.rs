//! Choice of a region and of a backend server for one request.
//!
//! See docs/design.md §9. Plain functions over candidates and random numbers. Load reports are no
//! input here: only slots that were really taken and the host's own in-flight counts decide, so a
//! report that calls a full region empty cannot overload it.

use std::fmt;

use crate::backend::Availability;

#[cfg(test)]
mod tests;

/// A region that may run the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Region {
    /// Actual weight of the region on this host, see [`crate::ramp`].
    pub weight: f64,
    /// Whether requests for other regions may spill into it: the document has it and does not
    /// drain it.
    pub accepts_spillover: bool,
    /// Whether none of its backend servers can be used.
    pub is_lost: bool,
    /// Whether requests from this host cross regions to reach it.
    pub is_remote: bool,
}

/// Which slots of a region a request may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slots {
    /// All but the headroom.
    Regular,
    /// All, since another region is lost.
    WithHeadroom,
}

/// A backend server that may run the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Availability of the instance; [`Availability::Unavailable`] also for those already tried.
    pub availability: Availability,
    /// Requests of this host that run there now.
    pub in_flight: u64,
    /// Requests that the instance runs at the same time.
    pub slots: u64,
}

/// Why no region or backend server was chosen. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Every region with a backend server is out of slots.
    RegionFull,
    /// A region has slots, but the volume that may cross regions is spent.
    CrossRegionBudgetSpent,
    /// No backend server can be used.
    NoBackend,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::RegionFull => "no region has a free slot",
            Self::CrossRegionBudgetSpent => "the volume between regions is spent",
            Self::NoBackend => "no backend server can be used",
        })
    }
}

impl std::error::Error for Refusal {}

/// Chooses a region and takes a slot there; answers its index.
///
/// The first choice follows the actual weights. If it is lost, out of slots, or out of reach since
/// the volume between regions is spent, the others follow, the host's own region first and then by
/// weight. `volume` tells whether some cross-region volume is left; `slot` takes a slot of the
/// region with the given index or answers `false`.
pub fn choose_region(
    regions: &[Region],
    random: u64,
    mut volume: impl FnMut() -> bool,
    mut slot: impl FnMut(usize, Slots) -> bool,
) -> Result<usize, Refusal> {
    let mut refusal = Refusal::NoBackend;
    for index in order(regions, random) {
        if regions[index].is_lost {
            continue;
        }
        if regions[index].is_remote && !volume() {
            // A full region is the more lasting reason, so it is not replaced.
            if refusal == Refusal::NoBackend {
                refusal = Refusal::CrossRegionBudgetSpent;
            }
        } else if slot(index, slots(regions, index)) {
            return Ok(index);
        } else {
            refusal = Refusal::RegionFull;
        }
    }
    Err(refusal)
}

/// Chooses a backend server of a region; answers its index.
///
/// Of two random candidates the one with fewer own in-flight requests per slot wins. A cold
/// candidate counts with the part of its slots that its availability states.
pub fn choose_backend(candidates: &[Candidate], random: [u64; 2]) -> Result<usize, Refusal> {
    let eligible = |candidate: &Candidate| match candidate.availability {
        Availability::Eligible(share) => share,
        Availability::Degraded(_) | Availability::Unavailable => 0.0,
    };
    let degraded = |candidate: &Candidate| match candidate.availability {
        Availability::Degraded(share) => share,
        Availability::Eligible(_) | Availability::Unavailable => 0.0,
    };
    let chosen = better_of_two(candidates, random, eligible)
        .or_else(|| better_of_two(candidates, random, degraded));
    let usable = |candidate: &Candidate| candidate.availability != Availability::Unavailable;
    chosen.ok_or_else(|| match candidates.iter().any(usable) {
        true => Refusal::RegionFull,
        false => Refusal::NoBackend,
    })
}

/// The first choice by weight, then the other regions that the document allows.
fn order(regions: &[Region], random: u64) -> Vec<usize> {
    let weights = regions.iter().map(|region| region.weight);
    let first = pick(weights, random);
    let mut rest: Vec<usize> = (0..regions.len())
        .filter(|&index| regions[index].accepts_spillover && Some(index) != first)
        .collect();
    rest.sort_by(|&a, &b| {
        let (a, b) = (&regions[a], &regions[b]);
        a.is_remote.cmp(&b.is_remote).then(b.weight.total_cmp(&a.weight))
    });
    first.into_iter().chain(rest).collect()
}

/// The headroom of a region is for the traffic of another one that is lost.
fn slots(regions: &[Region], index: usize) -> Slots {
    let lost = |(other, region): (usize, &Region)| {
        other != index && region.is_lost && (region.accepts_spillover || region.weight > 0.0)
    };
    if regions.iter().enumerate().any(lost) { Slots::WithHeadroom } else { Slots::Regular }
}

fn better_of_two(
    candidates: &[Candidate],
    random: [u64; 2],
    share: impl Fn(&Candidate) -> f64,
) -> Option<usize> {
    let slots = |index: usize| share(&candidates[index]) * candidates[index].slots as f64;
    let free = |index: usize| {
        let candidate = &candidates[index];
        if candidate.in_flight < candidate.slots { slots(index) } else { 0.0 }
    };
    let load = |index: usize| candidates[index].in_flight as f64 / slots(index);
    let indexes = 0..candidates.len();
    let first = pick(indexes.clone().map(free), random[0])?;
    let others = indexes.map(|index| if index == first { 0.0 } else { free(index) });
    match pick(others, random[1]) {
        Some(second) if load(second) < load(first) => Some(second),
        _ => Some(first),
    }
}

/// Index of a random item, each with a chance in proportion to its weight; `None` if all are 0.
fn pick(weights: impl Iterator<Item = f64> + Clone, random: u64) -> Option<usize> {
    let total: f64 = weights.clone().sum();
    let mut left = total * (random >> 11) as f64 / (1_u64 << 53) as f64;
    let mut chosen = None;
    for (index, weight) in weights.enumerate().filter(|(_, weight)| *weight > 0.0) {
        chosen = Some(index);
        if left < weight {
            break;
        }
        left -= weight;
    }
    chosen
}
