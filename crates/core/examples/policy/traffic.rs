//! Traffic of the scenarios: the same arrivals for every variant.

use std::time::Duration;

/// Number of hosts.
pub(crate) const HOSTS: usize = 8;

/// Small generator of random numbers (splitmix64), so that every run sees the same arrivals.
pub(crate) struct Random(pub(crate) u64);

impl Random {
    /// The next 64 random bits.
    pub(crate) fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }

    /// Uniform between 0 and 1.
    pub(crate) fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Index below `count`.
    pub(crate) fn below(&mut self, count: usize) -> usize {
        (self.bits() % count as u64) as usize
    }

    /// Time to the next event of a Poisson process.
    fn interval(&mut self, per_second: f64) -> f64 {
        -(1.0 - self.unit()).ln() / per_second
    }
}

/// A workspace with its limit and its load relative to the rate.
#[derive(Clone, Copy)]
pub(crate) struct Workspace {
    pub(crate) name: &'static str,
    pub(crate) rate: f64,
    pub(crate) burst: u64,
    pub(crate) load: f64,
}

/// How the requests of a workspace spread over the hosts.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Spread {
    /// Every host gets some, with weights that stay.
    Uneven,
    /// One or two hosts for two to five seconds, then others.
    Moving,
    /// One or two hosts that stay.
    Few,
}

/// One request.
#[derive(Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) host: usize,
    pub(crate) workspace: usize,
}

/// The workspaces of a deployment: a few large ones.
pub(crate) const WORKSPACES: [Workspace; 8] = [
    workspace("anchor", 200.0, 400, 0.7),
    workspace("harbour", 120.0, 240, 0.7),
    workspace("tram", 60.0, 90, 0.75),
    workspace("ferry", 25.0, 50, 0.8),
    workspace("courier", 10.0, 20, 0.8),
    workspace("depot", 5.0, 10, 0.8),
    workspace("bakery", 2.0, 5, 0.8),
    workspace("kiosk", 1.0, 3, 0.8),
];

/// Workspaces whose bursts are smaller than the number of hosts.
pub(crate) const SMALL: [Workspace; 8] = [
    workspace("small-1", 1.0, 2, 0.9),
    workspace("small-2", 1.0, 3, 1.1),
    workspace("small-3", 2.0, 2, 0.9),
    workspace("small-4", 2.0, 4, 1.1),
    workspace("small-5", 3.0, 3, 0.9),
    workspace("small-6", 4.0, 4, 1.1),
    workspace("small-7", 5.0, 5, 0.9),
    workspace("small-8", 5.0, 2, 1.1),
];

const fn workspace(name: &'static str, rate: f64, burst: u64, load: f64) -> Workspace {
    Workspace { name, rate, burst, load }
}

/// Arrivals of all workspaces during `seconds`, in order of time.
pub(crate) fn arrivals(
    workspaces: &[Workspace],
    spread: Spread,
    seconds: f64,
    seed: u64,
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (index, workspace) in workspaces.iter().enumerate() {
        let mut random = Random(seed.wrapping_mul(1_000) + index as u64);
        one_workspace(&mut arrivals, index, workspace, spread, seconds, &mut random);
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Poisson arrivals whose rate changes every few seconds between half and one and a half times the
/// load.
fn one_workspace(
    arrivals: &mut Vec<Arrival>,
    index: usize,
    workspace: &Workspace,
    spread: Spread,
    seconds: f64,
    random: &mut Random,
) {
    let mut weights = weights(spread, random);
    let (mut at, mut phase_end, mut factor) = (0.0, 0.0, 1.0);
    while at < seconds {
        if at >= phase_end {
            phase_end = at + 2.0 + 3.0 * random.unit();
            factor = 0.5 + random.unit();
            if spread == Spread::Moving {
                weights = self::weights(spread, random);
            }
        }
        at += random.interval(workspace.rate * workspace.load * factor);
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at),
            host: choose(&weights, random),
            workspace: index,
        });
    }
}

fn weights(spread: Spread, random: &mut Random) -> [f64; HOSTS] {
    let mut weights = [0.0; HOSTS];
    if spread == Spread::Uneven {
        weights.fill_with(|| 0.25 + random.unit());
        return weights;
    }
    weights[random.below(HOSTS)] += 1.0;
    if random.unit() < 0.5 {
        weights[random.below(HOSTS)] += 1.0;
    }
    weights
}

fn choose(weights: &[f64; HOSTS], random: &mut Random) -> usize {
    let mut rest = random.unit() * weights.iter().sum::<f64>();
    let chosen = weights.iter().position(|weight| {
        rest -= weight;
        rest < 0.0
    });
    chosen.unwrap_or(HOSTS - 1)
}
