//! Command line of `marjorampick-replay`.

use std::{process::ExitCode, time::Duration};

use bpaf::Bpaf;
use marjorampick_scenario::steering::{
    noise::{Selection, Summary, noisy_instances, summarize, uneven_costs},
    pattern::{Fault, Pattern, Window, sixty_hosts, twelve_hosts},
    play,
};

/// Time after which the caches are filled in a comparison. Requests before it are not counted.
const CACHES_FILLED_AFTER: Duration = Duration::from_secs(12);

/// Replays a load pattern on the decisions of the entry host for the users' platform, in virtual
/// time, and prints what the callers got in each second. See docs/steering-study.md.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Replays 60 hosts and 138 instances in place of 12 and 28.
    large: bool,
    /// Replays 113 hosts and 54 instances of which some are slow at any moment, and prints what the
    /// callers got with and without the speed that instances report.
    noise: bool,
    /// Replays uneven costs and speeds at several loads and tails with each selection, and prints what
    /// the callers got.
    compare: bool,
    /// Number of hosts with `--compare`.
    #[bpaf(argument("COUNT"), fallback(113))]
    hosts: u32,
    /// Requests per second in each of the three regions.
    #[bpaf(argument("NUMBER"))]
    rate: Option<f64>,
    /// Length of the load, in seconds.
    #[bpaf(argument("SECONDS"), fallback(24))]
    length: u64,
    /// Fraction of the requests that the affected instances reject, 0 to 1.
    #[bpaf(argument("FRACTION"), fallback(0.0))]
    rejected: f64,
    /// Factor by which the affected instances are slower.
    #[bpaf(argument("FACTOR"), fallback(1.0))]
    slowness: f64,
    /// One in this many instances is affected.
    #[bpaf(argument("COUNT"), fallback(1))]
    one_in: usize,
    /// Second at which the fault starts.
    #[bpaf(argument("SECOND"), fallback(8))]
    from: u64,
    /// Second at which the fault ends.
    #[bpaf(argument("SECOND"), fallback(16))]
    to: u64,
    /// Second at which all hosts start anew.
    #[bpaf(argument("SECOND"))]
    restart: Option<u64>,
    /// Seed of the random numbers.
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
}

fn main() -> ExitCode {
    let options = options().run();
    match check(&options) {
        Ok(()) if options.compare => {
            print_comparison(&options);
            ExitCode::SUCCESS
        }
        Ok(()) if options.noise => {
            print_selections(&options);
            ExitCode::SUCCESS
        }
        Ok(()) => {
            print_windows(&play(&pattern(&options), options.seed));
            ExitCode::SUCCESS
        }
        Err(message) => {
            eprintln!("replay: {message}");
            ExitCode::from(2)
        }
    }
}

/// Returns what is wrong with the options.
fn check(options: &Options) -> Result<(), &'static str> {
    if !(0.0..=1.0).contains(&options.rejected) {
        return Err("--rejected must be a fraction from 0 to 1");
    }
    if !options.slowness.is_finite() || options.slowness <= 0.0 {
        return Err("--slowness must be a positive number");
    }
    if options.hosts < 3 {
        return Err("--hosts must be at least 3");
    }
    if options.one_in == 0 {
        return Err("--one-in must be at least 1");
    }
    if options.rate.is_some_and(|rate| !rate.is_finite() || rate <= 0.0) {
        return Err("--rate must be a positive number");
    }
    Ok(())
}

fn pattern(options: &Options) -> Pattern {
    let base = if options.large { sixty_hosts() } else { twelve_hosts() };
    let fault = Fault {
        time: Duration::from_secs(options.from)..Duration::from_secs(options.to),
        one_in: options.one_in,
        rejected: options.rejected,
        slowness: options.slowness,
    };
    Pattern {
        rate: options.rate.unwrap_or(base.rate),
        length: Duration::from_secs(options.length),
        fault: Some(fault),
        hosts_restart_at: options.restart.map(Duration::from_secs),
        ..base
    }
}

fn print_selections(options: &Options) {
    let base = noisy_instances();
    let pattern = Pattern {
        rate: options.rate.unwrap_or(base.rate),
        length: Duration::from_secs(options.length),
        ..base
    };
    println!("selection  asked  p50 ms  p99 ms  answered  in time  worst region  loaded");
    for (name, selection) in [("usual", Selection::Usual), ("reported", Selection::Reported)] {
        let summary = summarize(&pattern, selection, options.seed, Duration::ZERO);
        let Summary { asked, p50, p99, answered, in_time, worst_region, loaded } = summary;
        let (p50, p99) = (p50.as_millis(), p99.as_millis());
        println!(
            "{name:9}  {asked:5}  {p50:6}  {p99:6}  {answered:8.3}  {in_time:7.3}  {worst_region:12.3}  \
             {loaded:6.3}"
        );
    }
}

fn print_comparison(options: &Options) {
    println!("hosts  load  tail  selection  p50 ms  p99 ms  in time  worst region");
    for tail in [0.0, 0.03, 0.1] {
        for load in [0.5, 0.8, 1.0, 1.3] {
            let pattern = uneven_costs(options.hosts, load, tail);
            let pattern = Pattern { length: Duration::from_secs(options.length), ..pattern };
            let selections = Selection::ALL.into_iter().filter(|(_, s)| *s != Selection::Usual);
            for (name, selection) in selections {
                let summary = summarize(&pattern, selection, options.seed, CACHES_FILLED_AFTER);
                let (p50, p99) = (summary.p50.as_millis(), summary.p99.as_millis());
                println!(
                    "{:5}  {load:4.1}  {tail:4.2}  {name:9}  {p50:6}  {p99:6}  {:7.3}  {:12.3}",
                    options.hosts, summary.in_time, summary.worst_region
                );
            }
        }
    }
}

fn print_windows(windows: &[Window]) {
    println!("second  worth  asked  on time   late    run  loaded");
    for (second, window) in windows.iter().enumerate() {
        let worth = window.worth();
        let Window { asked, on_time, late, run, loaded } = window;
        println!("{second:6}  {worth:5.2}  {asked:5}  {on_time:7}  {late:5}  {run:5}  {loaded:6}");
    }
}
