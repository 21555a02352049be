//! Case: answers that are being sent are cut when the configuration lowers the idle time of connections.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time::sleep;

use crate::{
    http::Connection,
    instance::Work,
    record::Record,
    world::{Folder, Verdict, World, config, has_trouble, request, send},
};

/// Callers, each with one kept connection.
const CALLERS: usize = 20;

/// Time limit of a request, in milliseconds.
const LIMIT_MS: u64 = 12_000;

/// The answer has 64 KB, of which the instance sends a piece each 500 ms: 7.6 s in all.
const WORK: Work = Work {
    time: Duration::from_millis(100),
    pieces: 16,
    piece_bytes: 4000,
    pause: Duration::from_millis(500),
};

/// Time after the acknowledgement within which a cut counts: `config_apply` and 1 s.
const WINDOW: Duration = Duration::from_millis(3_500);

/// Part of the time limit after which a cut does not count.
const USED: f64 = 0.7;

/// Idle times before and after the change.
const IDLE: (&str, &str) = ("15000ms", "5000ms");

pub async fn run(folder: &Folder, record: Arc<Record>) -> std::io::Result<Verdict> {
    let services = [("wuno96b", 9)];
    let mut world = World::start(folder.0.clone(), record.clone(), &services, 12, WORK).await?;
    let routes = [("sign", "non_idempotent", "wuno96b", "12000ms")];
    world.configure(&config(1, &routes, &[("cuka620", &["key-1"])], IDLE.0));
    world.start_hosts(&["ee-north-a"], 6).await?;
    let address = world.hosts[0].callers;
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let record = record.clone();
        callers.push(tokio::spawn(async move { call_twice(&record, address, number).await }));
    }
    // The first requests have ended by now, and the second ones are 3 s old.
    sleep(Duration::from_millis(11_300)).await;
    let acknowledged_at = Instant::now();
    if has_trouble() {
        world.configure(&config(2, &routes, &[("cuka620", &["key-1"])], IDLE.1));
    }
    let (mut before, mut cut, mut complete) = (0, 0, 0);
    for caller in callers {
        let (first, second) = caller.await.map_err(std::io::Error::other)??;
        before += usize::from(first.is_cut);
        complete += usize::from(second.is_answered);
        let is_in_window = second.ended_at < acknowledged_at + WINDOW;
        let used = (second.ended_at - second.sent_at).as_secs_f64() * 1000.0 / LIMIT_MS as f64;
        cut += usize::from(second.is_cut && is_in_window && used < USED);
    }
    // The instances see the end of their connections.
    sleep(Duration::from_millis(500)).await;
    let runs = world.runs.lock().unwrap().clone();
    let cut_runs = runs.iter().filter(|run| run.is_cut).count();
    record.say(&format!(
        "{CALLERS} requests before the change: {before} cut; {CALLERS} requests around it: {complete} \
         answered, {cut} cut; runs {}, of which {cut_runs} ended as the host closed the connection",
        runs.len()
    ));
    Ok(if cut > 3 && cut > 3 * before { Verdict::Broken } else { Verdict::Held })
}

/// What became of a request.
struct End {
    sent_at: Instant,
    ended_at: Instant,
    /// Whether the whole answer of an instance came.
    is_answered: bool,
    /// Whether the connection ended without it.
    is_cut: bool,
}

/// Sends two requests one after the other on one connection.
async fn call_twice(
    record: &Record,
    address: std::net::SocketAddr,
    number: usize,
) -> std::io::Result<(End, End)> {
    let mut connection = Connection::open(address).await?;
    let first = call(record, &mut connection, &format!("0-{number}")).await;
    sleep(Duration::from_millis(700)).await;
    let second = call(record, &mut connection, &format!("1-{number}")).await;
    Ok((first, second))
}

async fn call(record: &Record, connection: &mut Connection, id: &str) -> End {
    let bytes = request("POST", "/sign/1", id, "key-1", LIMIT_MS);
    let sent_at = Instant::now();
    let answer = send(record, connection, id, &bytes, Duration::from_millis(LIMIT_MS)).await;
    End {
        sent_at,
        ended_at: Instant::now(),
        is_answered: answer.as_ref().is_ok_and(|answer| answer.status() == 200),
        is_cut: answer.is_err(),
    }
}
