//! Case: the store comes back from a copy, and a host sends requests to an instance that it knows to have left.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tokio::time::sleep;

use crate::{
    http::Connection,
    instance::{HEARTBEAT, Work},
    record::Record,
    world::{Folder, Verdict, World, config, has_trouble, request, send},
};

/// Age of the copy that the drill restores.
const COPY_AGE: Duration = Duration::from_millis(3_000);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(200);

/// Time between the end of the instance's registration and the return of the store.
const LEFT_BEFORE: Duration = Duration::from_millis(2_700);

/// Time after the end of the registration from which no request may reach the instance.
const DRAIN: Duration = Duration::from_millis(2_500);

/// Time after the end of the registration at which the instance ends.
const SERVES_FOR: Duration = Duration::from_millis(5_000);

/// Time after the end of the registration at which the callers begin.
const QUIET_FOR: Duration = Duration::from_millis(2_000);

/// Pause between two requests to the host.
const PAUSE: Duration = Duration::from_millis(100);

const WORK: Work =
    Work { time: Duration::from_millis(2_500), pieces: 1, piece_bytes: 200, pause: Duration::ZERO };

/// A request and what became of it.
#[derive(Clone, Debug)]
struct Call {
    id: String,
    sent_at: Instant,
    /// Status of the answer; 0 without one.
    status: u16,
}

pub async fn run(folder: &Folder, record: Arc<Record>) -> std::io::Result<Verdict> {
    let services = [("huvo11a", 9), ("wuno96b", 7), ("kafi81c", 3), ("lovo22d", 3)];
    let mut world = World::start(folder.0.clone(), record.clone(), &services, 12, WORK).await?;
    let routes = [
        ("read", "idempotent", "huvo11a", "4000ms"),
        ("sign", "non_idempotent", "wuno96b", "6000ms"),
    ];
    world.configure(&config(5, &routes, &[("cuka620", &["key-1"])], "15000ms"));
    let copying = world.store.clone();
    tokio::spawn(async move {
        loop {
            copying.keep_copy();
            sleep(Duration::from_millis(100)).await;
        }
    });
    world.start_hosts(&["ee-north-a", "fi-south-a", "de-central-a"], 6).await?;
    let host = (world.hosts[0].ip, world.hosts[0].callers);
    sleep(Duration::from_secs(1)).await;
    // An instance of the host's own failure domain.
    let leaving = world.instances.iter().find(|i| i.service == "wuno96b" && i.zone == "ee-north-a");
    let leaving = leaving.ok_or_else(|| std::io::Error::other("no instance"))?.clone();
    let late_entry = leaving.entry();
    let left_at = Instant::now();
    let revision = leaving.leave(&world.store).unwrap_or_default();
    record.say(&format!("{}: its entry is removed at revision {revision}", leaving.id));
    sleep(QUIET_FOR).await;
    let calls = Arc::new(Mutex::new(Vec::new()));
    let calling = tokio::spawn(call_all_the_time(record.clone(), host.1, calls.clone()));
    sleep((LEFT_BEFORE - AWAY).saturating_sub(left_at.elapsed())).await;
    let known = world.store.watched_at(host.0).map_or(0, |(_, after)| after);
    let is_late_write = std::env::var("WAY").as_deref() == Ok("late");
    if has_trouble() && is_late_write {
        sleep(AWAY).await;
        let revision = world.store.put(&leaving.key(), &late_entry);
        record.say(&format!(
            "a heartbeat from before the removal is executed now, at revision {revision:?}"
        ));
    } else if has_trouble() {
        drill(&world).await;
    }
    let returned_at = Instant::now();
    // The instance writes the removal again with its next heartbeat.
    sleep(HEARTBEAT.saturating_sub(returned_at.elapsed())).await;
    leaving.leave(&world.store);
    sleep(SERVES_FOR.saturating_sub(left_at.elapsed())).await;
    leaving.end();
    sleep(Duration::from_secs(4)).await;
    calling.abort();
    let calls: Vec<Call> = calls.lock().unwrap().clone();
    let runs = world.runs.lock().unwrap().clone();
    let at_instance =
        |call: &&Call| runs.iter().any(|run| run.id == call.id && run.instance == leaving.id);
    let late: Vec<&Call> =
        calls.iter().filter(|call| call.sent_at > left_at + DRAIN).filter(at_instance).collect();
    let lost = late.iter().filter(|call| call.status != 200).count();
    let before = calls.iter().filter(|call| call.sent_at < returned_at - AWAY);
    record.say(&format!(
        "the host had read up to revision {known} before; requests sent before the drill that reached the \
         instance: {}; requests sent later than 2.5 s after the removal \
         that reached it: {}, of which {lost} got no answer of it as it ended; all requests: {}",
        before.filter(at_instance).count(),
        late.len(),
        calls.len()
    ));
    if known < revision {
        return Err(std::io::Error::other("the host had not read the removal"));
    }
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Sends requests to the host, each on a new connection, until the task is stopped.
async fn call_all_the_time(
    record: Arc<Record>,
    address: std::net::SocketAddr,
    calls: Arc<Mutex<Vec<Call>>>,
) {
    for number in 0_usize.. {
        sleep(PAUSE).await;
        let (record, calls) = (record.clone(), calls.clone());
        tokio::spawn(async move {
            let id = format!("sign-{number}");
            let bytes = request("POST", "/sign/1", &id, "key-1", 6000);
            let Ok(mut connection) = Connection::open(address).await else {
                return;
            };
            let sent_at = Instant::now();
            let limit = Duration::from_secs(6);
            let answer = send(&record, &mut connection, &id, &bytes, limit).await;
            let status = answer.map_or(0, |answer| answer.status());
            calls.lock().unwrap().push(Call { id, sent_at, status });
        });
    }
}

/// The store is away for a moment and comes back from a copy. The operator and the instances that run write
/// again what they had written, each instance that leaves with its next heartbeat.
async fn drill(world: &World) {
    world.store.set_away(true);
    sleep(AWAY).await;
    let (before, after) = world.store.restore(COPY_AGE);
    world.store.set_away(false);
    for instance in &world.instances {
        instance.write_entry(&world.store);
    }
    world.record.say(&format!(
        "drill: the store was at revision {before}, came back at {after}, and is at {} after all was written \
         again",
        world.store.revision()
    ));
}
