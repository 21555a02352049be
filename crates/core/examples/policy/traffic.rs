//! Traffic of the scenarios. Every policy gets the same arrivals.

use std::time::Duration;

/// Number of hosts.
pub(crate) const HOSTS: usize = 8;

/// Pseudorandom number generator (SplitMix64) with a fixed seed, so that every run has the same
/// arrivals.
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

    /// Uniform in `0.0..1.0`.
    pub(crate) fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Uniform in `0..count`.
    pub(crate) fn below(&mut self, count: usize) -> usize {
        (self.bits() % count as u64) as usize
    }

    /// Seconds to the next event of a Poisson process.
    fn interval(&mut self, per_second: f64) -> f64 {
        -(1.0 - self.unit()).ln() / per_second
    }
}

/// A workspace with its rate limit and its mean load.
#[derive(Clone, Copy)]
pub(crate) struct Workspace {
    pub(crate) name: &'static str,
    /// Requests per second.
    pub(crate) rate: f64,
    /// Capacity of the token bucket.
    pub(crate) burst: u64,
    /// Mean arrival rate relative to `rate`.
    pub(crate) load: f64,
}

/// Distribution of a workspace's requests over the hosts.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Spread {
    /// All hosts, with constant random weights.
    Uneven,
    /// One or two random hosts, chosen again every two to five seconds.
    Moving,
    /// The same one or two random hosts all the time.
    Few,
}

/// One request.
#[derive(Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) host: usize,
    pub(crate) workspace: usize,
}

/// Workspaces of a deployment in which a few have most of the traffic.
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

/// Workspaces whose burst capacity is smaller than the number of hosts.
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

/// Arrivals of all workspaces during `seconds`, ordered by time.
pub(crate) fn arrivals(
    workspaces: &[Workspace],
    spread: Spread,
    seconds: f64,
    seed: u64,
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (index, workspace) in workspaces.iter().enumerate() {
        let mut random = Random(seed.wrapping_mul(1_000) + index as u64);
        add_workspace_arrivals(&mut arrivals, index, workspace, spread, seconds, &mut random);
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Adds Poisson arrivals of one workspace. Every two to five seconds their rate changes to a random
/// value between 0.5 and 1.5 times the mean load.
fn add_workspace_arrivals(
    arrivals: &mut Vec<Arrival>,
    index: usize,
    workspace: &Workspace,
    spread: Spread,
    seconds: f64,
    random: &mut Random,
) {
    let mut weights = host_weights(spread, random);
    let (mut at, mut phase_end, mut load_factor) = (0.0, 0.0, 1.0);
    while at < seconds {
        if at >= phase_end {
            phase_end = at + 2.0 + 3.0 * random.unit();
            load_factor = 0.5 + random.unit();
            if spread == Spread::Moving {
                weights = host_weights(spread, random);
            }
        }
        at += random.interval(workspace.rate * workspace.load * load_factor);
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at),
            host: choose_host(&weights, random),
            workspace: index,
        });
    }
}

fn host_weights(spread: Spread, random: &mut Random) -> [f64; HOSTS] {
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

fn choose_host(weights: &[f64; HOSTS], random: &mut Random) -> usize {
    let mut remaining = random.unit() * weights.iter().sum::<f64>();
    let chosen = weights.iter().position(|weight| {
        remaining -= weight;
        remaining < 0.0
    });
    chosen.unwrap_or(HOSTS - 1)
}
