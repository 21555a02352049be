//! Region and backend server of a request. See docs/design.md §9.

use std::sync::Arc;

use marjorampick_core::budget::Budget;
use rand::RngExt as _;

use super::{
    Callers,
    arrival::Call,
    fleet::{Instance, Running},
    rate,
    refusal::{Code, Refusal},
    tokens::Slot,
};
use crate::shared::Snapshot;

/// Where a request runs.
pub(crate) struct Target {
    pub(crate) running: Running,
    /// Slot of the region's budget, held until the exchange ends.
    _slot: Slot,
    /// Whether the exchange is charged to the service's cross-region budget.
    pub(crate) crosses: bool,
}

impl Target {
    pub(crate) fn instance(&self) -> &Arc<Instance> {
        &self.running.0
    }
}

/// Why a region can't take the request.
enum Full {
    /// No backend server is left to try.
    NoBackend,
    /// The region has no free slot.
    Slots,
    /// The service has no cross-region volume left.
    Volume,
}

/// Takes a slot in the first region that can take the request; `tried` servers are left out.
///
/// `bytes` are those of the request's head, charged if the request crosses regions.
pub(crate) async fn target(
    callers: &Arc<Callers>,
    call: &Call,
    tried: &[Arc<Instance>],
    bytes: u64,
) -> Result<Target, Refusal> {
    let snapshot = callers.shared.snapshot.load_full();
    let instances = callers.fleet.instances(&snapshot, &call.service);
    let eligible: Vec<&Arc<Instance>> = instances
        .iter()
        .filter(|instance| instance.is_eligible())
        .filter(|instance| !tried.iter().any(|tried| Arc::ptr_eq(tried, instance)))
        .collect();
    let regions = regions(&snapshot, call);
    let mut full = None;
    for region in &regions {
        match take(callers, call, region, &eligible, bytes) {
            Ok(target) => return Ok(target),
            Err(Full::NoBackend) => {}
            Err(reason) => full = full.or(Some((region, reason))),
        }
    }
    let Some((region, reason)) = full else {
        return Err(Refusal::not_run(
            Code::NoBackend,
            "no backend server is available",
        ));
    };
    // Rather than being refused, the request waits for one borrowing round trip.
    rate::borrow(callers, call, &budget(call, region, &reason)).await;
    take(callers, call, region, &eligible, bytes).map_err(|_| {
        Refusal::not_run(
            Code::RegionFull,
            "no region has a free slot for the request",
        )
    })
}

fn budget(call: &Call, region: &Arc<str>, reason: &Full) -> Budget {
    let service = call.service.clone();
    match reason {
        Full::Volume => Budget::CrossRegion { service },
        Full::Slots | Full::NoBackend => Budget::Region {
            service,
            region: region.clone(),
        },
    }
}

fn take(
    callers: &Arc<Callers>,
    call: &Call,
    region: &Arc<str>,
    eligible: &[&Arc<Instance>],
    bytes: u64,
) -> Result<Target, Full> {
    let instance = instance(eligible, region).ok_or(Full::NoBackend)?;
    let slot = callers
        .tokens
        .slot(budget(call, region, &Full::Slots))
        .ok_or(Full::Slots)?;
    let crosses = *region != callers.shared.region;
    if crosses && !(callers.tokens.take)(&budget(call, region, &Full::Volume), bytes) {
        return Err(Full::Volume);
    }
    Ok(Target {
        running: Running::start(instance),
        _slot: slot,
        crosses,
    })
}

/// Regions in the order in which they are tried: one by weight, then the others by weight.
fn regions(snapshot: &Snapshot, call: &Call) -> Vec<Arc<str>> {
    let Some(service) = snapshot.services.get(&call.service) else {
        return Vec::new();
    };
    let mut weights = service.weights.regions.clone();
    weights.retain(|(_, weight)| *weight > 0.0);
    weights.sort_by(|a, b| b.1.total_cmp(&a.1));
    let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
    let mut point = rand::rng().random::<f64>() * total;
    let first = weights.iter().position(|(_, weight)| {
        point -= weight;
        point < 0.0
    });
    weights[..first.map_or(0, |first| first + 1)].rotate_right(1);
    weights.into_iter().map(|(region, _)| region).collect()
}

/// Of two random servers of the region, the one with fewer requests of this host.
fn instance(eligible: &[&Arc<Instance>], region: &Arc<str>) -> Option<Arc<Instance>> {
    let there: Vec<_> = eligible
        .iter()
        .filter(|instance| instance.region == *region)
        .collect();
    if there.is_empty() {
        return None;
    }
    let mut random = rand::rng();
    let one = there[random.random_range(..there.len())];
    let other = there[random.random_range(..there.len())];
    let chosen = if other.in_flight() < one.in_flight() {
        other
    } else {
        one
    };
    Some(Arc::clone(chosen))
}
