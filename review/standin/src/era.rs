//! Case: the store comes back from a copy and gives its revisions out again, and a host misses a configuration.

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

/// Age of the copy that the drill restores.
const COPY_AGE: Duration = Duration::from_secs(2);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(200);

/// Time after the acknowledgement from which requests are judged: `config_apply` (2.5 s) stretched by
/// `max_stretch` (5 s), and longer than `stable` (3 s) after the drill.
const JUDGED_AFTER: Duration = Duration::from_secs(8);

/// Time after the acknowledgement until which requests are sent.
const SENT_UNTIL: Duration = Duration::from_secs(30);

const WORK: Work =
    Work { time: Duration::from_millis(40), pieces: 1, piece_bytes: 200, pause: Duration::ZERO };

pub async fn run(folder: &Folder, record: Arc<Record>) -> std::io::Result<Verdict> {
    let services = [("huvo11a", 9), ("wuno96b", 7), ("kafi81c", 3), ("lovo22d", 3)];
    let mut world = World::start(folder.0.clone(), record.clone(), &services, 12, WORK).await?;
    let earlier = [
        ("read", "idempotent", "huvo11a", "4000ms"),
        ("sign", "non_idempotent", "wuno96b", "6000ms"),
    ];
    let later = [
        ("read", "idempotent", "lovo22d", "4000ms"),
        ("sign", "non_idempotent", "wuno96b", "6000ms"),
    ];
    let first = config(
        5,
        &earlier,
        &[("cuka620", &["key-1", "key-2"]), ("hopi311", &["key-3"])],
        "15000ms",
    );
    world.configure(&first);
    let copying = world.store.clone();
    tokio::spawn(async move {
        loop {
            copying.keep_copy();
            sleep(Duration::from_millis(100)).await;
        }
    });
    world.start_hosts(&["ee-north-a", "fi-south-a", "de-central-a"], 6).await?;
    let host = (world.hosts[0].ip, world.hosts[0].callers);
    sleep(Duration::from_secs(2)).await;
    wait_for_watch(&world, host.0).await;
    if has_trouble() {
        drill(&world, &first).await;
    }
    sleep(Duration::from_millis(50)).await;
    let second =
        config(6, &later, &[("cuka620", &["key-1"]), ("hopi311", &["key-2", "key-3"])], "15000ms");
    let acknowledged_at = Instant::now();
    let revision = world.configure(&second);
    let (mut old_service, mut old_tenant, mut judged) = (0, 0, 0);
    let mut number = 0;
    while acknowledged_at.elapsed() < SENT_UNTIL {
        sleep(Duration::from_millis(250)).await;
        let is_judged = acknowledged_at.elapsed() >= JUDGED_AFTER;
        number += 1;
        let ids = [format!("read-{number}"), format!("sign-{number}")];
        let requests = [
            request("GET", "/read/1", &ids[0], "key-1", 4000),
            request("POST", "/sign/1", &ids[1], "key-2", 6000),
        ];
        for (id, bytes) in ids.iter().zip(&requests) {
            let mut connection = Connection::open(host.1).await?;
            send(&record, &mut connection, id, bytes, Duration::from_secs(6)).await.ok();
        }
        if !is_judged {
            continue;
        }
        let runs = world.runs.lock().unwrap().clone();
        let run_of = |id: &str| runs.iter().find(|run| run.id == id);
        judged += 1;
        old_service += usize::from(run_of(&ids[0]).is_some_and(|run| run.service == "huvo11a"));
        old_tenant += usize::from(run_of(&ids[1]).is_some_and(|run| run.tenant == "cuka620"));
    }
    record.say(&format!(
        "version r6 was acknowledged at revision {revision:?}; of {judged} requests each, sent {} to {} s \
         after it, {old_service} were run by the service of r5, {old_tenant} for the tenant that held the key in \
         r5",
        JUDGED_AFTER.as_secs(),
        SENT_UNTIL.as_secs()
    ));
    Ok(if old_service + old_tenant > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Waits until a host has just read the changes of the store.
async fn wait_for_watch(world: &World, ip: std::net::IpAddr) {
    let begin = Instant::now();
    loop {
        let watched = world.store.watched_at(ip).filter(|(at, _)| *at > begin);
        if watched.is_some_and(|(at, _)| at.elapsed() > Duration::from_millis(20)) {
            return;
        }
        sleep(Duration::from_millis(2)).await;
    }
}

/// The store is away for a moment and comes back from a copy. The operator and the instances write again what
/// they had written.
async fn drill(world: &World, current: &serde_json::Value) {
    world.store.set_away(true);
    sleep(AWAY).await;
    let (before, after) = world.store.restore(COPY_AGE);
    world.store.set_away(false);
    world.configure(current);
    for instance in &world.instances {
        instance.write_entry(&world.store);
    }
    world.record.say(&format!(
        "drill: the store was at revision {before}, came back at {after}, and is at {} after all was written \
         again",
        world.store.revision()
    ));
}
