//! Guards against a signing that runs twice when entry hosts die and callers repeat, and against
//! answers that say something else than what happened at the backend servers.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use http::StatusCode;
use tokio::task::JoinHandle;

use crate::{
    support::{Platform, eventually},
    traffic::{self, Ask, KEY},
};

/// Long enough that some requests run on a host when it is killed.
const SERVICE_TIME: Duration = Duration::from_millis(200);

/// Time between two requests of one caller; all of them send 50 a second.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);
const CALLERS: usize = 10;

/// Time during which new requests are sent.
const SENDING: Duration = Duration::from_secs(6);

/// Time after which a caller no longer repeats a request.
const PATIENCE: Duration = Duration::from_secs(4);
const REPEAT_PAUSE: Duration = Duration::from_millis(150);

/// One of this many requests loses its first answer between backend server and entry host.
const LOST_ANSWER_INTERVAL: usize = 7;

/// What a caller knows about one request in the end.
struct Known {
    id: String,
    served: bool,
    /// Every attempt was refused with the outcome `not-run`.
    never_ran: bool,
}

#[test]
fn no_signing_runs_twice_while_entry_hosts_are_killed() {
    let platform = Platform::start(3, 4);
    let backends = traffic::backends(&platform, 2, SERVICE_TIME);
    let mut hosts = platform.hosts();
    traffic::serve(&platform, &hosts, &[KEY]);

    let look_ups: Arc<[SocketAddr]> = platform.look_ups().into();
    let started = Instant::now();
    let callers: Vec<JoinHandle<Vec<Known>>> = (0..CALLERS)
        .map(|number| platform.runtime.spawn(call(number, look_ups.clone(), started)))
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    hosts[0].crash();
    std::thread::sleep(Duration::from_secs(1));
    hosts[0] = platform.host(0);
    eventually(Duration::from_secs(8), "the restarted host is current", || hosts[0].is_current());
    hosts[1].crash();

    let mut known = Vec::new();
    for caller in callers {
        known.extend(platform.runtime.block_on(caller).expect("a caller"));
    }
    let runs = |id: &str| -> u64 {
        let runs = backends.iter().map(|backend| backend.record().runs_of(id));
        runs.sum()
    };
    let served = known.iter().filter(|request| request.served).count();
    let never_ran = known.iter().filter(|request| request.never_ran).count();
    println!("{} sent, {served} served, {never_ran} not run", known.len());
    for request in &known {
        let runs = runs(&request.id);
        assert!(runs <= 1, "{} ran {runs} times", request.id);
        assert!(!request.served || runs == 1, "{} did not run", request.id);
        assert!(!request.never_ran || runs == 0, "{} ran", request.id);
    }
    // Otherwise the checks above would say little.
    assert!(served * 4 > known.len(), "{served} of {} were served", known.len());
}

async fn call(number: usize, look_ups: Arc<[SocketAddr]>, started: Instant) -> Vec<Known> {
    let mut requests = Vec::new();
    let mut count = number;
    while started.elapsed() < SENDING {
        let look_ups = look_ups.clone();
        requests.push(tokio::spawn(sign(count, look_ups)));
        count += CALLERS;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let mut known = Vec::new();
    for request in requests {
        known.push(request.await.expect("a request"));
    }
    known
}

/// Sends one signing, and repeats it through other hosts until it is served.
async fn sign(count: usize, look_ups: Arc<[SocketAddr]>) -> Known {
    let mut known = Known { id: format!("signing-{count}"), served: false, never_ran: true };
    let started = Instant::now();
    let mut attempt = 0;
    while !known.served && started.elapsed() < PATIENCE {
        let hosts = traffic::look_up(&look_ups).await;
        let mut ask = Ask::signing(&known.id);
        if attempt == 0 && count.is_multiple_of(LOST_ANSWER_INTERVAL) {
            ask = ask.with("x-standin-fault", "close=run");
        }
        if let Some(host) = hosts.get((count + attempt) % hosts.len().max(1)) {
            let answer = traffic::send(*host, &ask).await;
            let refused = answer.as_ref().map(traffic::outcome);
            known.served = answer.as_ref().is_some_and(|answer| answer.status() == StatusCode::OK);
            known.never_ran &= refused == Some("not-run");
        }
        attempt += 1;
        tokio::time::sleep(REPEAT_PAUSE).await;
    }
    known
}
