//! Runs a plan.

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

/// Requests of one stream that may be open at once; more are counted as unknown at once, so that a
/// system that answers nothing does not exhaust the memory of the load tool.
const LARGEST_OPEN: usize = 20_000;

/// One request as the caller saw it.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Index of the stream in the plan.
    pub stream: usize,
    /// When the request was due, from the start of the run.
    pub due: Duration,
    /// Time from the due moment to the whole answer.
    pub latency: Duration,
    /// What the caller saw.
    pub outcome: Outcome,
}

/// Runs `plan` to its end and collects what callers saw.
pub fn execute(plan: &Plan) -> eyre::Result<Report> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    Ok(runtime.block_on(run(plan)))
}

async fn run(plan: &Plan) -> Report {
    let (samples, mut received) = mpsc::channel(65_536);
    let start = Instant::now();
    for (index, stream) in plan.streams.iter().enumerate() {
        let arrivals = arrivals(stream, plan.duration, plan.seed.wrapping_add(index as u64));
        tokio::spawn(send(index, stream.clone(), arrivals, start, samples.clone()));
    }
    drop(samples);
    let mut report = Report::new(plan);
    while let Some(sample) = received.recv().await {
        report.add(&sample);
    }
    report
}

/// Moments of a Poisson process, so that bursts occur as with independent callers.
fn arrivals(stream: &Stream, duration: Duration, seed: u64) -> Vec<Duration> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut moments = Vec::new();
    let mut at = 0.0;
    loop {
        let rate = stream.rate_at(Duration::from_secs_f64(at));
        at += -(1.0 - random.random::<f64>()).ln() / rate;
        if at >= duration.as_secs_f64() {
            return moments;
        }
        moments.push(Duration::from_secs_f64(at));
    }
}

async fn send(
    index: usize,
    stream: Stream,
    arrivals: Vec<Duration>,
    start: Instant,
    samples: mpsc::Sender<Sample>,
) {
    let caller = Arc::new(Caller::new(stream));
    let open = Arc::new(tokio::sync::Semaphore::new(LARGEST_OPEN));
    for (number, due) in arrivals.into_iter().enumerate() {
        tokio::time::sleep_until((start + due).into()).await;
        let Ok(permit) = open.clone().try_acquire_owned() else {
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
