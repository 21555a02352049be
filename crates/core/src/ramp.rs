//! Rate-limited changes of the region weights of one service.
//!
//! See docs/design.md §9. The distance between two sets of weights is the fraction of the traffic
//! that shifts when one replaces the other: half the sum of the absolute differences. A ramp moves
//! its actual weights towards the target by at most the cap in any second. A new document, a lost
//! region, a late load report or a pause of the process can't shift traffic faster.

use std::{collections::VecDeque, sync::Arc, time::Duration};

#[cfg(test)]
mod tests;

/// Longest elapsed time that one step covers. After a longer pause of the process, the ramp
/// continues from its last weights and doesn't catch up.
pub const MAX_STEP_TIME: Duration = Duration::from_millis(500);

/// Sliding window over which the cap is enforced.
const CAP_WINDOW: Duration = Duration::from_secs(1);

/// How long a lost region must be usable before traffic returns to it. This limits the traffic that
/// shifts when a region flaps.
pub const RECOVERY_DELAY: Duration = Duration::from_secs(5);

/// Reported load above which a region's target weight is lowered.
pub const HIGH_LOAD_RATIO: f64 = 0.95;

/// Reported load below which a lowered target weight rises again.
///
/// Between this and [`HIGH_LOAD_RATIO`] the target weight is unchanged. With load reports up to 5 s
/// late, hosts that all lower the weight by [`LOAD_FACTOR_DECREASE_PER_SECOND`] overshoot by less
/// than this band, so the weights converge instead of oscillating.
pub const LOW_LOAD_RATIO: f64 = 0.75;

/// Fraction of its document weight that a region with a high load loses per second.
pub const LOAD_FACTOR_DECREASE_PER_SECOND: f64 = 0.02;

/// Fraction of its document weight that a region with a low load regains per second.
pub const LOAD_FACTOR_INCREASE_PER_SECOND: f64 = 0.005;

/// Smallest fraction of its document weight that a region keeps because of load reports. Reports
/// may be wrong, so only failures of the host's own requests remove all traffic.
pub const MIN_LOAD_FACTOR: f64 = 0.5;

/// How long a load report is valid. Without a valid report the target returns to the document's
/// weights.
pub const LOAD_REPORT_VALIDITY: Duration = Duration::from_secs(10);

/// Actual region weights of one service and the target that they move towards.
#[derive(Clone, Debug)]
pub struct Ramp {
    max_shift_per_second: f64,
    regions: Vec<Region>,
    last_advance: Option<Duration>,
    recent_shifts: VecDeque<Shift>,
}

#[derive(Clone, Debug)]
struct Region {
    name: Arc<str>,
    /// Weight in the document, relative to the other regions; 0 if drained or removed.
    document_weight: f64,
    actual_weight: f64,
    /// Fraction of the document weight that load reports leave, see [`MIN_LOAD_FACTOR`].
    load_factor: f64,
    report: Option<Report>,
    availability: Availability,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    received: Duration,
    load: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Availability {
    Usable,
    Lost,
    /// Usable again; gets no traffic before this time.
    Recovering(Duration),
}

/// A past step, kept to enforce the cap over the last [`CAP_WINDOW`].
#[derive(Clone, Copy, Debug)]
struct Shift {
    at: Duration,
    distance: f64,
}

impl Ramp {
    /// Creates a ramp that starts at `weights`, the document's weights without its drained regions.
    ///
    /// `percent_per_second` is the largest percentage of the traffic that may shift per second.
    pub fn new(percent_per_second: f64, weights: &[(Arc<str>, f64)]) -> Self {
        let mut ramp = Self {
            max_shift_per_second: 0.0,
            regions: Vec::new(),
            last_advance: None,
            recent_shifts: VecDeque::new(),
        };
        ramp.set_target(percent_per_second, weights);
        ramp.set_actual(weights);
        ramp
    }

    /// Replaces the actual weights by those of a peer. After the first [`Self::advance`] it returns
    /// `false` and changes nothing, because a late or repeated message would make the weights jump.
    ///
    /// A starting host must therefore not advance the ramp until a peer has replied or none is
    /// expected to reply.
    pub fn adopt(&mut self, weights: &[(Arc<str>, f64)]) -> bool {
        self.last_advance.is_none() && self.set_actual(weights)
    }

    /// Sets the document's weights; drained regions have weight 0 or are left out.
    ///
    /// If all weights are 0, no region could take the traffic, so the target stays as it is.
    pub fn set_target(&mut self, percent_per_second: f64, weights: &[(Arc<str>, f64)]) {
        self.max_shift_per_second = (percent_per_second / 100.0).clamp(0.0, 1.0);
        if total(weights) <= 0.0 {
            return;
        }
        for region in &mut self.regions {
            region.document_weight = 0.0;
        }
        for (name, weight) in weights {
            self.find_or_add(name).document_weight = weight.max(0.0);
        }
    }

    /// Sets whether no backend server of `region` can be used, according to this host's own
    /// requests.
    pub fn set_lost(&mut self, now: Duration, region: &str, is_lost: bool) {
        let Some(region) = self.find(region) else {
            return;
        };
        region.availability = match (is_lost, region.availability) {
            (true, _) => Availability::Lost,
            (false, Availability::Lost) => Availability::Recovering(now + RECOVERY_DELAY),
            (false, known) => known,
        };
    }

    /// Records the reported load of `region` relative to its capacity. The report may be late.
    pub fn report_load(&mut self, now: Duration, region: &str, load: f64) {
        let Some(region) = self.find(region) else {
            return;
        };
        if load.is_finite() {
            region.report = Some(Report { received: now, load });
        }
    }

    /// Moves the actual weights towards the target and returns whether they changed.
    pub fn advance(&mut self, now: Duration) -> bool {
        let elapsed = self.last_advance.map_or(Duration::ZERO, |before| now.saturating_sub(before));
        let step = elapsed.min(MAX_STEP_TIME);
        if self.last_advance.is_none() {
            // The peer may have shifted the adopted weights by the full cap just before.
            self.recent_shifts.push_back(Shift { at: now, distance: self.max_shift_per_second });
        }
        self.last_advance = self.last_advance.max(Some(now));
        for region in &mut self.regions {
            region.update(now, step);
        }
        let target = self.target();
        let distance = self.distance(&target);
        let allowed_shift =
            (self.max_shift_per_second * step.as_secs_f64()).min(self.remaining_cap(now));
        if distance <= 0.0 || allowed_shift <= 0.0 {
            return false;
        }
        self.shift_towards(&target, (allowed_shift / distance).min(1.0));
        self.recent_shifts.push_back(Shift { at: now, distance: distance.min(allowed_shift) });
        true
    }

    /// Actual weight of each region; they add up to 1.
    pub fn weights(&self) -> Vec<(Arc<str>, f64)> {
        let named = |region: &Region| (region.name.clone(), region.actual_weight);
        self.regions.iter().map(named).collect()
    }

    /// Fraction of the traffic that still has to shift.
    pub fn remaining_shift(&self) -> f64 {
        self.distance(&self.target())
    }

    fn find(&mut self, name: &str) -> Option<&mut Region> {
        self.regions.iter_mut().find(|region| region.name.as_ref() == name)
    }

    fn find_or_add(&mut self, name: &Arc<str>) -> &mut Region {
        let known = self.regions.iter().position(|region| region.name == *name);
        let index = known.unwrap_or_else(|| {
            self.regions.push(Region::new(name.clone()));
            self.regions.len() - 1
        });
        &mut self.regions[index]
    }

    fn set_actual(&mut self, weights: &[(Arc<str>, f64)]) -> bool {
        let total = total(weights);
        if total <= 0.0 {
            return false;
        }
        for region in &mut self.regions {
            region.actual_weight = 0.0;
        }
        for (name, weight) in weights {
            self.find_or_add(name).actual_weight = weight.max(0.0) / total;
        }
        true
    }

    /// Target weights in the order of the regions. Lost regions get none, unless all regions are
    /// lost: shifting traffic has no use then, so the target is the document's weights.
    fn target(&self) -> Vec<f64> {
        let usable_weight = |region: &Region| match region.availability {
            Availability::Usable => region.document_weight * region.load_factor,
            Availability::Lost | Availability::Recovering(_) => 0.0,
        };
        let mut target: Vec<f64> = self.regions.iter().map(usable_weight).collect();
        if target.iter().sum::<f64>() <= 0.0 {
            target = self.regions.iter().map(|region| region.document_weight).collect();
        }
        let total: f64 = target.iter().sum();
        if total > 0.0 {
            target.iter_mut().for_each(|weight| *weight /= total);
        } else {
            target = self.regions.iter().map(|region| region.actual_weight).collect();
        }
        target
    }

    fn distance(&self, target: &[f64]) -> f64 {
        let pairs = self.regions.iter().zip(target);
        pairs.map(|(region, weight)| (region.actual_weight - weight).abs()).sum::<f64>() / 2.0
    }

    /// Shift that the cap still allows in the window that ends at `now`.
    fn remaining_cap(&mut self, now: Duration) -> f64 {
        while self.recent_shifts.front().is_some_and(|oldest| oldest.at + CAP_WINDOW <= now) {
            self.recent_shifts.pop_front();
        }
        self.max_shift_per_second
            - self.recent_shifts.iter().map(|shift| shift.distance).sum::<f64>()
    }

    fn shift_towards(&mut self, target: &[f64], fraction: f64) {
        for (region, weight) in self.regions.iter_mut().zip(target) {
            region.actual_weight += (weight - region.actual_weight) * fraction;
        }
        self.regions.retain(|region| region.document_weight > 0.0 || region.actual_weight > 0.0);
    }
}

impl Region {
    fn new(name: Arc<str>) -> Self {
        Self {
            name,
            document_weight: 0.0,
            actual_weight: 0.0,
            load_factor: 1.0,
            report: None,
            availability: Availability::Usable,
        }
    }

    fn update(&mut self, now: Duration, step: Duration) {
        if matches!(self.availability, Availability::Recovering(at) if now >= at) {
            self.availability = Availability::Usable;
        }
        let valid_report =
            self.report.filter(|report| now < report.received + LOAD_REPORT_VALIDITY);
        let change_per_second = match valid_report.map(|report| report.load) {
            Some(load) if load > HIGH_LOAD_RATIO => -LOAD_FACTOR_DECREASE_PER_SECOND,
            Some(load) if load >= LOW_LOAD_RATIO => 0.0,
            _ => LOAD_FACTOR_INCREASE_PER_SECOND,
        };
        let load_factor = self.load_factor + change_per_second * step.as_secs_f64();
        self.load_factor = load_factor.clamp(MIN_LOAD_FACTOR, 1.0);
    }
}

fn total(weights: &[(Arc<str>, f64)]) -> f64 {
    weights.iter().map(|(_, weight)| weight.max(0.0)).sum()
}
