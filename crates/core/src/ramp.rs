//! Paced region weights of one service.
//!
//! See docs/design.md §9. The distance between two sets of weights is the part of the traffic that
//! moves between them: half the sum of the absolute differences. A ramp moves its actual weights
//! toward the target and never by more than the cap in any second, so a document, a lost region, a
//! late load report or a pause of the process cannot shift traffic faster.

use std::{collections::VecDeque, sync::Arc, time::Duration};

#[cfg(test)]
mod tests;

/// Longest time that one step makes up for. A host that was paused goes on from where it was.
pub const MAX_STEP_TIME: Duration = Duration::from_millis(500);

/// Window in which the cap holds exactly.
const CAP_WINDOW: Duration = Duration::from_secs(1);

/// How long a lost region must be usable before traffic returns, so that flapping moves little.
pub const RECOVERY_DELAY: Duration = Duration::from_secs(5);

/// Reported load above which a region's target is lowered.
pub const HIGH_LOAD_RATIO: f64 = 0.95;

/// Reported load below which a lowered target rises again.
///
/// Between the two loads the target stays. With figures up to 5 s late, hosts that all lower by
/// [`LOAD_FACTOR_DECREASE_PER_SECOND`] overshoot by less than this band, so they come to rest
/// instead of swinging.
pub const LOW_LOAD_RATIO: f64 = 0.75;

/// Part of its weight that a region with a high load loses in a second.
pub const LOAD_FACTOR_DECREASE_PER_SECOND: f64 = 0.02;

/// Part of its weight that a region with a low load regains in a second.
pub const LOAD_FACTOR_INCREASE_PER_SECOND: f64 = 0.005;

/// Lowest part of its weight that reports leave to a region. Reports can mislead; only the host's
/// own errors take all traffic away.
pub const MIN_LOAD_FACTOR: f64 = 0.5;

/// How long a load report counts. Without a report the target returns to the document's.
pub const LOAD_REPORT_VALIDITY: Duration = Duration::from_secs(10);

/// Actual weights of one service, and where they are going.
#[derive(Clone, Debug)]
pub struct Ramp {
    per_second: f64,
    regions: Vec<Region>,
    advanced: Option<Duration>,
    moves: VecDeque<Move>,
}

#[derive(Clone, Debug)]
struct Region {
    name: Arc<str>,
    /// Weight in the document relative to the others; 0 when drained or removed.
    wanted: f64,
    actual: f64,
    factor: f64,
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
    /// Usable again; traffic returns from this time on.
    Returning(Duration),
}

/// A step that was made, to hold the cap over the last [`CAP_WINDOW`].
#[derive(Clone, Copy, Debug)]
struct Move {
    at: Duration,
    distance: f64,
}

impl Ramp {
    /// A ramp that starts at `weights`, the document's weights without its drained regions.
    ///
    /// `percent_per_second` is the largest part of the traffic that may move in a second.
    pub fn new(percent_per_second: f64, weights: &[(Arc<str>, f64)]) -> Self {
        let mut ramp =
            Self { per_second: 0.0, regions: Vec::new(), advanced: None, moves: VecDeque::new() };
        ramp.set_target(percent_per_second, weights);
        ramp.set_actual(weights);
        ramp
    }

    /// Starts at a peer's actual weights. Answers `false` and changes nothing after the first
    /// [`Self::advance`], as a late or repeated message would make the weights jump.
    ///
    /// A starting host therefore advances the ramp only after a peer answered or none will.
    pub fn adopt(&mut self, weights: &[(Arc<str>, f64)]) -> bool {
        self.advanced.is_none() && self.set_actual(weights)
    }

    /// Sets the document's weights; drained regions have weight 0 or are left out.
    ///
    /// Weights that are all 0 name no place for the traffic, so they leave the target as it is.
    pub fn set_target(&mut self, percent_per_second: f64, weights: &[(Arc<str>, f64)]) {
        self.per_second = (percent_per_second / 100.0).clamp(0.0, 1.0);
        if total(weights) <= 0.0 {
            return;
        }
        for region in &mut self.regions {
            region.wanted = 0.0;
        }
        for (name, weight) in weights {
            self.region(name).wanted = weight.max(0.0);
        }
    }

    /// Sets whether the host's own errors show that no backend server of `region` can be used.
    pub fn set_lost(&mut self, now: Duration, region: &str, lost: bool) {
        let Some(region) = self.known(region) else {
            return;
        };
        region.availability = match (lost, region.availability) {
            (true, _) => Availability::Lost,
            (false, Availability::Lost) => Availability::Returning(now + RECOVERY_DELAY),
            (false, known) => known,
        };
    }

    /// Takes a late figure: load of `region` relative to what it can carry.
    pub fn report_load(&mut self, now: Duration, region: &str, load: f64) {
        let Some(region) = self.known(region) else {
            return;
        };
        if load.is_finite() {
            region.report = Some(Report { received: now, load });
        }
    }

    /// Moves the actual weights toward the target; answers whether they changed.
    pub fn advance(&mut self, now: Duration) -> bool {
        let since = self.advanced.map_or(Duration::ZERO, |before| now.saturating_sub(before));
        let step = since.min(MAX_STEP_TIME);
        if self.advanced.is_none() {
            // The weights taken over may have moved by the cap just before.
            self.moves.push_back(Move { at: now, distance: self.per_second });
        }
        self.advanced = self.advanced.max(Some(now));
        for region in &mut self.regions {
            region.update(now, step);
        }
        let target = self.target();
        let distance = self.distance(&target);
        let allowed = (self.per_second * step.as_secs_f64()).min(self.left(now));
        if distance <= 0.0 || allowed <= 0.0 {
            return false;
        }
        self.approach(&target, (allowed / distance).min(1.0));
        self.moves.push_back(Move { at: now, distance: distance.min(allowed) });
        true
    }

    /// Actual weights; they add up to 1.
    pub fn weights(&self) -> Vec<(Arc<str>, f64)> {
        let named = |region: &Region| (region.name.clone(), region.actual);
        self.regions.iter().map(named).collect()
    }

    /// Part of the traffic that still has to move.
    pub fn remaining_shift(&self) -> f64 {
        self.distance(&self.target())
    }

    fn known(&mut self, name: &str) -> Option<&mut Region> {
        self.regions.iter_mut().find(|region| region.name.as_ref() == name)
    }

    fn region(&mut self, name: &Arc<str>) -> &mut Region {
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
            region.actual = 0.0;
        }
        for (name, weight) in weights {
            self.region(name).actual = weight.max(0.0) / total;
        }
        true
    }

    /// Target in the order of the regions. Lost regions count unless that leaves none: with no
    /// usable region, moving traffic helps nobody.
    fn target(&self) -> Vec<f64> {
        let usable = |region: &Region| match region.availability {
            Availability::Usable => region.wanted * region.factor,
            Availability::Lost | Availability::Returning(_) => 0.0,
        };
        let mut target: Vec<f64> = self.regions.iter().map(usable).collect();
        if target.iter().sum::<f64>() <= 0.0 {
            target = self.regions.iter().map(|region| region.wanted).collect();
        }
        let total: f64 = target.iter().sum();
        if total > 0.0 {
            target.iter_mut().for_each(|weight| *weight /= total);
        } else {
            target = self.regions.iter().map(|region| region.actual).collect();
        }
        target
    }

    fn distance(&self, target: &[f64]) -> f64 {
        let pairs = self.regions.iter().zip(target);
        pairs.map(|(region, weight)| (region.actual - weight).abs()).sum::<f64>() / 2.0
    }

    /// What the cap leaves in the window that ends at `now`.
    fn left(&mut self, now: Duration) -> f64 {
        while self.moves.front().is_some_and(|oldest| oldest.at + CAP_WINDOW <= now) {
            self.moves.pop_front();
        }
        self.per_second - self.moves.iter().map(|step| step.distance).sum::<f64>()
    }

    fn approach(&mut self, target: &[f64], part: f64) {
        for (region, weight) in self.regions.iter_mut().zip(target) {
            region.actual += (weight - region.actual) * part;
        }
        self.regions.retain(|region| region.wanted > 0.0 || region.actual > 0.0);
    }
}

impl Region {
    fn new(name: Arc<str>) -> Self {
        Self {
            name,
            wanted: 0.0,
            actual: 0.0,
            factor: 1.0,
            report: None,
            availability: Availability::Usable,
        }
    }

    fn update(&mut self, now: Duration, step: Duration) {
        if matches!(self.availability, Availability::Returning(at) if now >= at) {
            self.availability = Availability::Usable;
        }
        let fresh = self.report.filter(|report| now < report.received + LOAD_REPORT_VALIDITY);
        let change = match fresh.map(|report| report.load) {
            Some(load) if load > HIGH_LOAD_RATIO => -LOAD_FACTOR_DECREASE_PER_SECOND,
            Some(load) if load >= LOW_LOAD_RATIO => 0.0,
            _ => LOAD_FACTOR_INCREASE_PER_SECOND,
        };
        let factor = self.factor + change * step.as_secs_f64();
        self.factor = factor.clamp(MIN_LOAD_FACTOR, 1.0);
    }
}

fn total(weights: &[(Arc<str>, f64)]) -> f64 {
    weights.iter().map(|(_, weight)| weight.max(0.0)).sum()
}
