//! Region and backend server of a request, chosen by [`marjorampick_core::route`].
//!
//! See docs/design.md §9.

use std::{sync::Arc, time::Duration};

use marjorampick_core::{
    backend::Availability,
    budget::Budget,
    constants::BORROW_TIMEOUT,
    document::{Document, Region},
    route::{self, Candidate, Slots},
};
use rand::RngExt as _;

use super::{
    Callers, fair,
    fleet::{Instance, Running},
    rate,
    refusal::{Code, Refusal},
    request::Call,
    tokens::{Slot, Taking},
};
use crate::shared::Service;

/// Where a request runs.
pub(crate) struct Target {
    pub(crate) running: Running,
    /// Slot of the region's budget, held until the exchange ends.
    _slot: Slot,
    _share: fair::Share,
    /// Whether the exchange is charged to the service's cross-region budget.
    pub(crate) crosses_regions: bool,
}

impl Target {
    pub(crate) fn instance(&self) -> &Arc<Instance> {
        &self.running.0
    }
}

/// One choice among the backend servers of a service.
struct Choice<'a> {
    callers: &'a Callers,
    call: &'a Call,
    document: &'a Document,
    /// Candidates of each region of the document, in the document's order.
    regions: Vec<Candidates>,
    weights: Vec<f64>,
    /// Whether the request already asked in vain.
    again: bool,
    /// First budget that was short, which may be borrowed.
    short: Option<Budget>,
    target: Option<Target>,
}

#[derive(Default)]
struct Candidates {
    instances: Vec<Arc<Instance>>,
    candidates: Vec<Candidate>,
}

/// Takes a slot in a region for the request; the `tried` servers are left out.
///
/// Rather than being refused for lack of tokens, the request waits for one borrowing round trip.
pub(crate) async fn choose(
    callers: &Callers,
    call: &Call,
    tried: &[Arc<Instance>],
) -> Result<Target, Refusal> {
    let short = match try_choose(callers, call, tried, false) {
        Ok(target) => return Ok(target),
        Err((_, Some(short))) => short,
        Err((refusal, None)) => return Err(refuse(refusal)),
    };
    rate::borrow(callers, call, &short, 1, BORROW_TIMEOUT).await;
    try_choose(callers, call, tried, true).map_err(|(refusal, _)| refuse(refusal))
}

fn refuse(refusal: route::Refusal) -> Refusal {
    match refusal {
        route::Refusal::NoBackend => {
            Refusal::not_run(Code::NoBackend, "no backend server can be used")
        }
        route::Refusal::RegionFull => {
            Refusal::not_run(Code::RegionFull, "no region has a free slot")
        }
        route::Refusal::CrossRegionBudgetSpent => {
            Refusal::not_run(Code::RegionFull, "the volume between regions is spent")
        }
    }
}

fn try_choose(
    callers: &Callers,
    call: &Call,
    tried: &[Arc<Instance>],
    again: bool,
) -> Result<Target, (route::Refusal, Option<Budget>)> {
    let now = callers.shared.now();
    let snapshot = callers.shared.snapshot.load_full();
    let Some(service) = snapshot.services.get(&call.service) else {
        return Err((route::Refusal::NoBackend, None));
    };
    let instances = callers.fleet.instances(now, &snapshot, &call.service);
    let regions = &service.document.regions;
    let mut choice = Choice {
        callers,
        call,
        document: &service.document,
        regions: regions.iter().map(|region| candidates(now, region, &instances, tried)).collect(),
        weights: regions.iter().map(|region| weight(service, region)).collect(),
        again,
        short: None,
        target: None,
    };
    let chosen = choice.run();
    let short = choice.short;
    match (chosen, choice.target) {
        (Ok(_), Some(target)) => Ok(target),
        (Ok(_), None) => Err((route::Refusal::NoBackend, None)),
        (Err(refusal), _) => Err((refusal, short)),
    }
}

fn weight(service: &Service, region: &Region) -> f64 {
    let mut weights = service.weights.regions.iter();
    weights.find(|(name, _)| *name == region.name).map_or(0.0, |(_, weight)| *weight)
}

fn candidates(
    now: Duration,
    region: &Region,
    instances: &[Arc<Instance>],
    tried: &[Arc<Instance>],
) -> Candidates {
    let is_tried =
        |instance: &Arc<Instance>| tried.iter().any(|tried| Arc::ptr_eq(tried, instance));
    let there = instances.iter().filter(|there| there.region == region.name);
    let mut found = Candidates::default();
    for instance in there.filter(|there| !is_tried(there)) {
        found.instances.push(instance.clone());
        found.candidates.push(Candidate {
            availability: instance.availability(now),
            in_flight: instance.in_flight(),
            slots: region.slots_per_backend,
        });
    }
    found
}

impl Choice<'_> {
    fn run(&mut self) -> Result<usize, route::Refusal> {
        let regions: Vec<_> = self.document.regions.iter().enumerate().collect();
        let regions: Vec<_> = regions
            .into_iter()
            .map(|(index, region)| route::Region {
                weight: self.weights[index],
                accepts_spillover: !region.drain,
                is_lost: self.regions[index].is_lost(),
                is_remote: region.name != self.callers.shared.region,
            })
            .collect();
        let volume = Budget::CrossRegion { service: self.call.service.clone() };
        let mut volume_short = false;
        let left = &self.callers.tokens.left;
        let has_volume = || {
            volume_short |= left(&volume) == 0;
            !volume_short
        };
        let random = rand::rng().random();
        let chosen = route::choose_region(&regions, random, has_volume, |index, slots| {
            self.take(index, slots, regions[index].is_remote)
        });
        if volume_short {
            self.short.get_or_insert(volume);
        }
        chosen
    }

    /// Takes a slot of a region if one of its backend servers can run the request.
    fn take(&mut self, index: usize, slots: Slots, crosses: bool) -> bool {
        let found = &self.regions[index];
        let random = rand::rng().random();
        let Ok(chosen) = route::choose_backend(&found.candidates, random) else {
            return false;
        };
        let region = &self.document.regions[index];
        let taking = self.taking(slots);
        let budget =
            Budget::Region { service: self.call.service.clone(), region: region.name.clone() };
        let Some(share) = self.fair_share(region, taking) else {
            // A host without a free slot has no part to divide, but peers may have slots to lend.
            if (self.callers.tokens.left)(&budget) == 0 {
                self.short.get_or_insert(budget);
            }
            return false;
        };
        let Some(slot) = self.callers.tokens.slot(budget.clone(), taking) else {
            self.short.get_or_insert(budget);
            return false;
        };
        self.target = Some(Target {
            running: Running::start(found.instances[chosen].clone()),
            _slot: slot,
            _share: share,
            crosses_regions: crosses,
        });
        true
    }

    fn taking(&self, slots: Slots) -> Taking {
        let spared_percent = match slots {
            Slots::Regular => self.document.headroom_percent,
            Slots::WithHeadroom => 0.0,
        };
        Taking { again: self.again, spared_percent }
    }

    /// Counts the request for its workspace, unless the workspace is over its part of scarce slots.
    fn fair_share(&self, region: &Region, taking: Taking) -> Option<fair::Share> {
        let budget =
            Budget::Region { service: self.call.service.clone(), region: region.name.clone() };
        let free = (self.callers.tokens.left)(&budget);
        self.callers.usage.take(
            self.callers.shared.now(),
            &budget,
            self.call.workspace.as_ref(),
            free,
            taking.spared_percent,
        )
    }
}

impl Candidates {
    fn is_lost(&self) -> bool {
        let mut candidates = self.candidates.iter();
        candidates.all(|candidate| candidate.availability == Availability::Unavailable)
    }
}
