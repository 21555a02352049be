//! Guards against a signing that runs twice when entry hosts crash and callers retry, and against
//! responses that contradict the backend servers' records.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use http::StatusCode;
use tokio::task::JoinHandle;

use crate::{
    support::{Platform, wait_until},
    traffic::{self, Call, KEY},
};

/// Long enough that some requests are in flight on a host when it is killed.
const SERVICE_TIME: Duration = Duration::from_millis(200);

/// Interval between two requests of one caller; all callers together send 50 a second.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);
const CALLERS: usize = 10;

/// How long callers send new requests.
const SEND_PERIOD: Duration = Duration::from_secs(6);

/// How long a caller retries one request.
const RETRY_PERIOD: Duration = Duration::from_secs(4);
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// One in this many requests loses its first response between backend server and entry host.
const LOST_RESPONSE_INTERVAL: usize = 7;

/// What a caller knows about one request after its last attempt.
struct Observation {
    id: String,
    /// Some attempt got the status 200.
    served: bool,
    /// Every attempt was refused with the outcome `not-run`.
    never_ran: bool,
}

#[test]
fn no_signing_runs_twice_while_entry_hosts_are_killed() {
    let platform = Platform::start(3, 4);
    let backends = traffic::start_backends(&platform, 2, SERVICE_TIME);
    let mut hosts = platform.start_hosts();
    traffic::publish_document(&platform, &hosts, &[KEY]);

    let look_up_addresses: Arc<[SocketAddr]> = platform.look_up_addresses().into();
    let started = Instant::now();
    let callers: Vec<JoinHandle<Vec<Observation>>> = (0..CALLERS)
        .map(|number| {
            platform.runtime.spawn(run_caller(number, look_up_addresses.clone(), started))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    hosts[0].kill();
    std::thread::sleep(Duration::from_secs(1));
    hosts[0] = platform.start_host(0);
    wait_until(Duration::from_secs(8), "the restarted host is current", || hosts[0].is_current());
    hosts[1].kill();

    let mut observations = Vec::new();
    for caller in callers {
        observations.extend(platform.runtime.block_on(caller).expect("a caller"));
    }
    let runs_of = |id: &str| -> u64 {
        let runs = backends.iter().map(|backend| backend.record().runs_of(id));
        runs.sum()
    };
    let served = observations.iter().filter(|request| request.served).count();
    let never_ran = observations.iter().filter(|request| request.never_ran).count();
    println!("{} sent, {served} served, {never_ran} not run", observations.len());
    for request in &observations {
        let runs = runs_of(&request.id);
        assert!(runs <= 1, "{} ran {runs} times", request.id);
        assert!(!request.served || runs == 1, "{} was served but did not run", request.id);
        assert!(
            !request.never_ran || runs == 0,
            "{} ran although every attempt was refused as not run",
            request.id
        );
    }
    // With few served requests, the checks above would prove little.
    assert!(served * 4 > observations.len(), "{served} of {} were served", observations.len());
}

/// Sends a new signing in each interval; returns what became of each.
async fn run_caller(
    number: usize,
    look_up_addresses: Arc<[SocketAddr]>,
    started: Instant,
) -> Vec<Observation> {
    let mut requests = Vec::new();
    let mut count = number;
    while started.elapsed() < SEND_PERIOD {
        let look_up_addresses = look_up_addresses.clone();
        requests.push(tokio::spawn(sign_with_retries(count, look_up_addresses)));
        count += CALLERS;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let mut observations = Vec::new();
    for request in requests {
        observations.push(request.await.expect("a request"));
    }
    observations
}

/// Sends one signing and retries it through other hosts until it is served.
async fn sign_with_retries(count: usize, look_up_addresses: Arc<[SocketAddr]>) -> Observation {
    let mut observation =
        Observation { id: format!("signing-{count}"), served: false, never_ran: true };
    let started = Instant::now();
    let mut attempt = 0;
    while !observation.served && started.elapsed() < RETRY_PERIOD {
        let hosts = traffic::resolve_hosts(&look_up_addresses).await;
        let mut call = Call::signing(&observation.id);
        if attempt == 0 && count.is_multiple_of(LOST_RESPONSE_INTERVAL) {
            call = call.with_header("x-standin-fault", "close=run");
        }
        if let Some(host) = hosts.get((count + attempt) % hosts.len().max(1)) {
            let response = traffic::send(*host, &call).await;
            let refused = response.as_ref().map(traffic::outcome);
            observation.served =
                response.as_ref().is_some_and(|response| response.status() == StatusCode::OK);
            observation.never_ran &= refused == Some("not-run");
        }
        attempt += 1;
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    observation
}
