//! Sends the requests of a plan and collects their outcomes.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use tokio::sync::mpsc;

use crate::{
    caller::{Caller, Outcome},
    plan::{Plan, Stream},
    report::Report,
};

/// Largest number of requests of one stream in flight. Further requests are not sent and count as
/// unknown, so that a system that does not respond cannot exhaust the memory of the load tool.
const IN_FLIGHT_LIMIT: usize = 20_000;

/// Outcome and latency of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Index of the stream in the plan.
    pub stream: usize,
    /// Planned time of the request, since the start of the run.
    pub due: Duration,
    /// Time from the planned time to the outcome; zero if the request was not sent because too many
    /// others were in flight.
    pub latency: Duration,
    /// Outcome as seen by the caller.
    pub outcome: Outcome,
}

/// Runs `plan` to its end and returns when every request has an outcome.
///
/// # Errors
///
/// The runtime cannot be started.
pub fn execute(plan: &Plan) -> eyre::Result<Report> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    Ok(runtime.block_on(run(plan)))
}

async fn run(plan: &Plan) -> Report {
    let (sender, mut receiver) = mpsc::channel(65_536);
    let start = Instant::now();
    for (index, stream) in plan.streams.iter().enumerate() {
        let arrivals =
            generate_arrivals(stream, plan.duration, plan.seed.wrapping_add(index as u64));
        tokio::spawn(send_requests(index, stream.clone(), arrivals, start, sender.clone()));
    }
    drop(sender);
    let mut report = Report::new(plan);
    while let Some(sample) = receiver.recv().await {
        report.add(&sample);
    }
    report
}

/// Generates the arrival times of a Poisson process, which has bursts as the requests of many
/// independent callers do.
fn generate_arrivals(stream: &Stream, duration: Duration, seed: u64) -> Vec<Duration> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut times = Vec::new();
    let mut at = 0.0;
    loop {
        let rate = stream.rate_at(Duration::from_secs_f64(at));
        at += -(1.0 - random.random::<f64>()).ln() / rate;
        if at >= duration.as_secs_f64() {
            return times;
        }
        times.push(Duration::from_secs_f64(at));
    }
}

/// Sends the requests of a stream at their planned times, without waiting for responses.
async fn send_requests(
    index: usize,
    stream: Stream,
    arrivals: Vec<Duration>,
    start: Instant,
    samples: mpsc::Sender<Sample>,
) {
    let caller = Arc::new(Caller::new(stream));
    let in_flight = Arc::new(tokio::sync::Semaphore::new(IN_FLIGHT_LIMIT));
    for (number, due) in arrivals.into_iter().enumerate() {
        tokio::time::sleep_until((start + due).into()).await;
        let Ok(permit) = in_flight.clone().try_acquire_owned() else {
            let outcome = Outcome::Unknown(Arc::from("load-tool-full"));
            let sample = Sample { stream: index, due, latency: Duration::ZERO, outcome };
            let _ = samples.send(sample).await;
            continue;
        };
        let (caller, samples) = (caller.clone(), samples.clone());
        tokio::spawn(async move {
            let outcome = caller.call(number as u64).await;
            let latency = start.elapsed().saturating_sub(due);
            let _ = samples.send(Sample { stream: index, due, latency, outcome }).await;
            drop(permit);
        });
    }
}
