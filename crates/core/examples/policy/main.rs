//! Compares the policies for dividing a rate limit between hosts with a single global limiter.
//!
//! For each scenario and policy, prints the admitted requests as a percentage of those that the
//! global (`Omniscient`) limiter admits, in total and for the workspace with the lowest percentage,
//! the requests refused although within the rate, the messages about loans, and the waits for
//! loans. Time is virtual, and all runs use the same arrivals.

mod traffic;
mod world;

use std::time::Duration;

use marjorampick_core::budget::Policy;
use traffic::{Arrival, SMALL, Spread, WORKSPACES, Workspace};
use world::{Conditions, Counts, World};

/// Lease term of the policy `leased`.
const LEASE: Duration = Duration::from_secs(10);

struct Scenario {
    name: &'static str,
    workspaces: Vec<Workspace>,
    spread: Spread,
    seconds: f64,
    conditions: Conditions,
    /// Requests that arrived before this time are not counted.
    counted_from: Duration,
}

fn scenarios(inter_region_delay: Duration) -> Vec<Scenario> {
    let conditions = Conditions { inter_region_delay, ..Conditions::default() };
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
    let crash_time = Duration::from_secs(30);
    vec![
        scenario("ordinary day", Spread::Uneven, &WORKSPACES),
        scenario("anchor at five times its rate", Spread::Uneven, &overload),
        scenario("traffic moves between hosts", Spread::Moving, &busy),
        scenario("small workspaces on few hosts", Spread::Few, &SMALL),
        Scenario {
            conditions: Conditions { crash_time: Some(crash_time), ..conditions },
            counted_from: crash_time + Duration::from_secs(10),
            ..scenario("one host dead, from 10 s on", Spread::Uneven, &overload)
        },
        Scenario {
            seconds: 3_600.0,
            conditions: Conditions { outage_start: Some(Duration::ZERO), ..conditions },
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
    for inter_region_delay in [20, 55].map(Duration::from_millis) {
        println!("one-way delay between regions: {inter_region_delay:?}");
        for scenario in scenarios(inter_region_delay) {
            let Scenario { spread, seconds, .. } = scenario;
            let arrivals = traffic::arrivals(&scenario.workspaces, spread, seconds, 11);
            let reference = run(&scenario, Policy::Omniscient, &arrivals);
            println!("  {}, {} requests", scenario.name, arrivals.len());
            for (name, policy) in variants {
                let counts = run(&scenario, policy, &arrivals);
                report(name, &scenario, &counts, &reference);
            }
        }
    }
}

fn run(scenario: &Scenario, policy: Policy, arrivals: &[Arrival]) -> Counts {
    World::run(&scenario.workspaces, policy, scenario.conditions, arrivals)
}

fn report(name: &str, scenario: &Scenario, counts: &Counts, reference: &Counts) {
    let from = scenario.counted_from;
    let counted = |times: &Vec<Duration>| times.iter().filter(|at| **at >= from).count() as f64;
    let admitted: Vec<f64> = counts.admitted.iter().map(counted).collect();
    let reference_admitted: Vec<f64> = reference.admitted.iter().map(counted).collect();
    let total_ratio = admitted.iter().sum::<f64>() / reference_admitted.iter().sum::<f64>();
    let ratios =
        admitted.iter().zip(&reference_admitted).map(|(admitted, reference)| admitted / reference);
    let (worst, worst_ratio) =
        ratios.enumerate().min_by(|a, b| a.1.total_cmp(&b.1)).expect("there are workspaces");
    let refused = counted(&counts.refused_within_rate);
    let mut waits = counts.waits.clone();
    waits.sort();
    let p99_wait = waits.get(waits.len() * 99 / 100).copied().unwrap_or_default();
    println!(
        "    {name:8} total {:7.3}%  worst {:7.3}% {:8}  refused within rate {refused:6}  \
         messages/s {:6.1}  waited {:6} p99 {:3} ms",
        total_ratio * 100.0,
        worst_ratio * 100.0,
        scenario.workspaces[worst].name,
        counts.messages as f64 / scenario.seconds,
        waits.len(),
        p99_wait.as_millis(),
    );
}
