//! Speed of instances between their reports.
//!
//! Some instances report with each response how long work takes there at that moment. The value
//! changes several times a second, and a host hears of one instance less often than that. So the host
//! learns how far a value still holds after some time, and expects what is usual otherwise. See
//! docs/hard-load.md.

use std::time::Duration;

/// Smallest and largest reported value that counts, in percent. Values beyond are taken for these.
const PERCENT_RANGE: (f64, f64) = (20.0, 1000.0);

/// Upper bounds of the ages for which the correlation of two reports is learned, in milliseconds.
/// Older values say nothing.
const AGE_BOUNDS_MS: [u64; 7] = [50, 100, 200, 400, 800, 1600, 3200];

/// Time after which a value has lost most of its meaning, until reports show it.
const DEFAULT_PERSISTENCE: Duration = Duration::from_millis(600);

/// Weight of the default correlation: squared deviation of as many reports.
const DEFAULT_WEIGHT: f64 = 2.0;

/// Part of the evidence of an age that each further report of this age replaces.
const EVIDENCE_DECAY: f64 = 1.0 / 128.0;

/// Weight of the newest report in the usual factor.
const SMOOTHING_FACTOR: f64 = 0.02;

/// Time that work takes at an instance, relative to the usual time.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Factor(f64);

impl Factor {
    /// The factor of a reported value, where 100 is the usual time. `None` if it is not a number
    /// above zero.
    pub fn from_percent(percent: f64) -> Option<Self> {
        let (least, most) = PERCENT_RANGE;
        let is_valid = percent.is_finite() && percent > 0.0;
        is_valid.then(|| Self(percent.clamp(least, most) / 100.0))
    }

    /// The factor as a number; 1 is the usual time.
    pub fn get(self) -> f64 {
        self.0
    }
}

/// Latest report of an instance's factor.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// Reported factor.
    pub factor: Factor,
    /// When the report arrived.
    pub at: Duration,
}

/// How the factors of a service's instances change, learned from consecutive reports of the same
/// instance.
#[derive(Clone, Debug, Default)]
pub struct Model {
    /// Moving average of the reported factors; `None` before the first report.
    usual: Option<f64>,
    /// Evidence for each of [`AGE_BOUNDS_MS`].
    evidence: [Evidence; AGE_BOUNDS_MS.len()],
}

/// Sums over pairs of consecutive deviations from the usual factor.
#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    products: f64,
    squares: f64,
}

impl Model {
    /// Records a report of an instance whose previous one is given.
    pub fn record(&mut self, previous: Option<Reading>, reading: Reading) {
        let factor = reading.factor.get();
        let usual = self.usual.unwrap_or(factor);
        self.usual = Some(usual + SMOOTHING_FACTOR * (factor - usual));
        let Some(previous) = previous else {
            return;
        };
        let Some(index) = age_index(reading.at.saturating_sub(previous.at)) else {
            return;
        };
        let before = previous.factor.get() - usual;
        let evidence = &mut self.evidence[index];
        evidence.products += before * (factor - usual) - EVIDENCE_DECAY * evidence.products;
        evidence.squares += before * before - EVIDENCE_DECAY * evidence.squares;
    }

    /// Whether instances of the service report their factors.
    pub fn is_reported(&self) -> bool {
        self.usual.is_some()
    }

    /// Expected factor of an instance with this latest report, or of one without a report: 1 if the
    /// service does not report it.
    pub fn expected(&self, now: Duration, reading: Option<Reading>) -> f64 {
        let Some(usual) = self.usual else {
            return 1.0;
        };
        let Some(reading) = reading else {
            return usual;
        };
        usual + (reading.factor.get() - usual) * self.weight(now.saturating_sub(reading.at))
    }

    /// Part of a deviation from the usual factor that is left after this time.
    fn weight(&self, age: Duration) -> f64 {
        let Some(index) = age_index(age) else {
            return 0.0;
        };
        let default = (-age.as_secs_f64() / DEFAULT_PERSISTENCE.as_secs_f64()).exp();
        let evidence = self.evidence[index];
        let products = evidence.products + DEFAULT_WEIGHT * default;
        (products / (evidence.squares + DEFAULT_WEIGHT)).clamp(0.0, 1.0)
    }
}

fn age_index(age: Duration) -> Option<usize> {
    AGE_BOUNDS_MS.iter().position(|bound| age < Duration::from_millis(*bound))
}
