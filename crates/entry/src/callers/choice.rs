//! Choice of a region and a backend server for a request, by [`marjorampick_core::route`].
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
    tokens::{Slot, TakeOptions},
};
use crate::shared::Service;

/// Backend server that was chosen for a request, with the slot that the request holds.
pub(crate) struct Target {
    /// Counts the request as in flight at the instance.
    pub(crate) running: Running,
    /// Slot of the region's budget, held until the exchange ends.
    _slot: Slot,
    /// Counts the request for its workspace.
    _share: fair::Share,
    /// Whether the exchange is charged to the service's cross-region budget.
    pub(crate) crosses_regions: bool,
}

impl Target {
    pub(crate) fn instance(&self) -> &Arc<Instance> {
        &self.running.0
    }
}

/// One attempt to choose among the regions and backend servers of a service.
struct Choice<'a> {
    callers: &'a Callers,
    call: &'a Call,
    document: &'a Document,
    /// Candidates of each region of the document, in the document's order.
    regions: Vec<Candidates>,
    /// Actual weight of each region on this host, in the same order.
    weights: Vec<f64>,
    /// Whether an earlier attempt failed for lack of tokens, so that this one isn't counted as new
    /// demand.
    after_shortfall: bool,
    /// First budget that lacked tokens or slots; a loan may help.
    exhausted_budget: Option<Budget>,
    target: Option<Target>,
}

/// Backend servers of one region that were not tried yet; both lists have the same order.
#[derive(Default)]
struct Candidates {
    instances: Vec<Arc<Instance>>,
    candidates: Vec<Candidate>,
}

/// Chooses a backend server other than the `tried` ones and takes a slot in its region.
///
/// If a budget lacks tokens or slots, the request waits for one borrowing round trip and tries once
/// more before it is refused.
pub(crate) async fn choose(
    callers: &Callers,
    call: &Call,
    tried: &[Arc<Instance>],
) -> Result<Target, Refusal> {
    let exhausted_budget = match try_choose(callers, call, tried, false) {
        Ok(target) => return Ok(target),
        Err((_, Some(budget))) => budget,
        Err((refusal, None)) => return Err(refuse(refusal)),
    };
    rate::wait_for_loan(callers, call, &exhausted_budget, 1, BORROW_TIMEOUT).await;
    try_choose(callers, call, tried, true).map_err(|(refusal, _)| refuse(refusal))
}

/// Converts a refusal of [`route`] to the one for the caller.
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

/// Makes one attempt to choose; on failure also returns the budget that lacked tokens or slots.
fn try_choose(
    callers: &Callers,
    call: &Call,
    tried: &[Arc<Instance>],
    after_shortfall: bool,
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
        after_shortfall,
        exhausted_budget: None,
        target: None,
    };
    let chosen = choice.choose_region();
    let exhausted_budget = choice.exhausted_budget;
    match (chosen, choice.target) {
        (Ok(_), Some(target)) => Ok(target),
        (Ok(_), None) => Err((route::Refusal::NoBackend, None)),
        (Err(refusal), _) => Err((refusal, exhausted_budget)),
    }
}

/// Actual weight of a region on this host; 0 if it has none yet.
fn weight(service: &Service, region: &Region) -> f64 {
    let mut weights = service.weights.regions.iter();
    weights.find(|(name, _)| *name == region.name).map_or(0.0, |(_, weight)| *weight)
}

/// Instances of a region that are not in `tried`.
fn candidates(
    now: Duration,
    region: &Region,
    instances: &[Arc<Instance>],
    tried: &[Arc<Instance>],
) -> Candidates {
    let is_tried =
        |instance: &Arc<Instance>| tried.iter().any(|tried| Arc::ptr_eq(tried, instance));
    let in_region = instances.iter().filter(|instance| instance.region == region.name);
    let mut found = Candidates::default();
    for instance in in_region.filter(|instance| !is_tried(instance)) {
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
    /// Chooses a region, takes a slot there and sets the target; returns the region's index.
    fn choose_region(&mut self) -> Result<usize, route::Refusal> {
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
        let cross_region = Budget::CrossRegion { service: self.call.service.clone() };
        let mut is_exhausted = false;
        let available = &self.callers.tokens.available;
        let may_cross_regions = || {
            is_exhausted |= available(&cross_region) == 0;
            !is_exhausted
        };
        let random = rand::rng().random();
        let chosen = route::choose_region(&regions, random, may_cross_regions, |index, slots| {
            self.take_slot(index, slots, regions[index].is_remote)
        });
        if is_exhausted {
            self.exhausted_budget.get_or_insert(cross_region);
        }
        chosen
    }

    /// Takes a slot of a region and sets the target, if one of the region's backend servers can run
    /// the request.
    fn take_slot(&mut self, index: usize, slots: Slots, crosses_regions: bool) -> bool {
        let candidates = &self.regions[index];
        let random = rand::rng().random();
        let Ok(chosen) = route::choose_backend(&candidates.candidates, random) else {
            return false;
        };
        let region = &self.document.regions[index];
        let options = self.slot_options(slots);
        let budget =
            Budget::Region { service: self.call.service.clone(), region: region.name.clone() };
        let Some(share) = self.take_fair_share(region, options) else {
            // Without a free slot on this host a loan may help, as peers may have slots to lend.
            if (self.callers.tokens.available)(&budget) == 0 {
                self.exhausted_budget.get_or_insert(budget);
            }
            return false;
        };
        let Some(slot) = self.callers.tokens.take_slot(budget.clone(), options) else {
            self.exhausted_budget.get_or_insert(budget);
            return false;
        };
        self.target = Some(Target {
            running: Running::start(candidates.instances[chosen].clone()),
            _slot: slot,
            _share: share,
            crosses_regions,
        });
        true
    }

    /// Options for taking a slot: whether the headroom of the region may be used.
    fn slot_options(&self, slots: Slots) -> TakeOptions {
        let headroom_percent = match slots {
            Slots::Regular => self.document.headroom_percent,
            Slots::WithHeadroom => 0.0,
        };
        TakeOptions { is_retry: self.after_shortfall, headroom_percent }
    }

    /// Counts the request for its workspace; `None` if free slots are scarce and the workspace has
    /// its fair share.
    fn take_fair_share(&self, region: &Region, options: TakeOptions) -> Option<fair::Share> {
        let budget =
            Budget::Region { service: self.call.service.clone(), region: region.name.clone() };
        let free = (self.callers.tokens.available)(&budget);
        self.callers.usage.take(
            self.callers.shared.now(),
            &budget,
            self.call.workspace.as_ref(),
            free,
            options.headroom_percent,
        )
    }
}

impl Candidates {
    /// Whether none of the backend servers can be used.
    fn is_lost(&self) -> bool {
        let mut candidates = self.candidates.iter();
        candidates.all(|candidate| candidate.availability == Availability::Unavailable)
    }
}
