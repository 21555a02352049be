//! Compares the ways of spending a budget with one limiter that sees all requests.
//!
//! Prints, for each scenario and variant, the share of what the omniscient limiter admits in total
//! and for the worst-served workspace, the requests refused although within the rate, and the
//! messages about loans. Time is virtual and the arrivals are the same in every run.

mod traffic;
mod world;

use std::time::Duration;

use marjorampick_core::budget::Policy;
use traffic::{Arrival, SMALL, Spread, WORKSPACES, Workspace};
use world::{Conditions, Figures, World};

/// Term of the leases of the baseline `leased`.
const LEASE: Duration = Duration::from_secs(10);

struct Scenario {
    name: &'static str,
    workspaces: Vec<Workspace>,
    spread: Spread,
    seconds: f64,
    conditions: Conditions,
    /// Requests that arrived earlier do not count.
    counted_from: Duration,
}

fn scenarios(between_regions: Duration) -> Vec<Scenario> {
    let conditions = Conditions { between_regions, ..Conditions::default() };
    let scenario = |name, spread, workspaces: &[Workspace]| Scenario {
        name,
        workspaces: workspaces.to_vec(),
        spread,
        seconds: 300.0,
        conditions,
        counted_from: Duration::ZERO,
    };
    let mut overload = WORKSPACES;
    overload[0].load = 5.0;
    let mut busy = WORKSPACES;
    busy[0].load = 1.5;
    let death = Duration::from_secs(30);
    vec![
        scenario("ordinary day", Spread::Uneven, &WORKSPACES),
        scenario("anchor at five times its rate", Spread::Uneven, &overload),
        scenario("traffic moves between hosts", Spread::Moving, &busy),
        scenario("small workspaces on few hosts", Spread::Few, &SMALL),
        Scenario {
            conditions: Conditions { death: Some(death), ..conditions },
            counted_from: death + Duration::from_secs(10),
            ..scenario("one host dead, from 10 s on", Spread::Uneven, &overload)
        },
        Scenario {
            seconds: 3_600.0,
            conditions: Conditions { outage: Some(Duration::ZERO), ..conditions },
            ..scenario("store away for an hour", Spread::Uneven, &overload)
        },
    ]
}

fn main() {
    let variants = [
        ("lending", Policy::Lending),
        ("fixed", Policy::Fixed),
        ("leased", Policy::Leased { lease: LEASE }),
    ];
    for between_regions in [20, 55].map(Duration::from_millis) {
        println!("one-way delay between regions: {between_regions:?}");
        for scenario in scenarios(between_regions) {
            let Scenario { spread, seconds, .. } = scenario;
            let arrivals = traffic::arrivals(&scenario.workspaces, spread, seconds, 11);
            let best = run(&scenario, Policy::Omniscient, &arrivals);
            println!("  {}, {} requests", scenario.name, arrivals.len());
            for (name, policy) in variants {
                let figures = run(&scenario, policy, &arrivals);
                report(name, &scenario, &figures, &best);
            }
        }
    }
}

fn run(scenario: &Scenario, policy: Policy, arrivals: &[Arrival]) -> Figures {
    World::run(&scenario.workspaces, policy, scenario.conditions, arrivals)
}

fn report(name: &str, scenario: &Scenario, figures: &Figures, best: &Figures) {
    let from = scenario.counted_from;
    let counted = |times: &Vec<Duration>| times.iter().filter(|at| **at >= from).count() as f64;
    let admitted: Vec<f64> = figures.admitted.iter().map(counted).collect();
    let possible: Vec<f64> = best.admitted.iter().map(counted).collect();
    let total = admitted.iter().sum::<f64>() / possible.iter().sum::<f64>();
    let shares = admitted.iter().zip(&possible).map(|(one, best)| one / best);
    let (worst, share) =
        shares.enumerate().min_by(|a, b| a.1.total_cmp(&b.1)).expect("there are workspaces");
    let refused = counted(&figures.refused_within_rate);
    let mut waits = figures.waits.clone();
    waits.sort();
    let longest = waits.get(waits.len() * 99 / 100).copied().unwrap_or_default();
    println!(
        "    {name:8} total {:7.3}%  worst {:7.3}% {:8}  refused within rate {refused:6}  \
         messages/s {:6.1}  waited {:6} p99 {:3} ms",
        total * 100.0,
        share * 100.0,
        scenario.workspaces[worst].name,
        figures.messages as f64 / scenario.seconds,
        waits.len(),
        longest.as_millis(),
    );
}
