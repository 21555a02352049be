//! Callers ask a host for large answers just after its SIGTERM.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    sync::Arc,
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    caller::{self, End, Link, read_over},
    instance::{Fate, Instance, Settings},
    record::Record,
    world::{World, address},
};

const KEY: &str = "key-of-acme";

/// Callers, each over a link of 4 Mbit/s.
const READERS: usize = 12;
const LARGE_BYTES: usize = 6_000_000;
const LINK: Link = Link { piece_bytes: 25_000, interval: Duration::from_millis(50) };

/// Windows on the users' machines are small.
const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;

/// `stop.grace` of the host.
const GRACE_SECONDS: f64 = 6.0;

const TIME_LIMIT: Duration = Duration::from_secs(20);

/// Time after the SIGTERM at which the requests are sent.
const SENT_AFTER: Duration = Duration::from_millis(700);

fn config() -> Value {
    json!({
        "version": "r1",
        "routes": {
            "video": {
                "host": "shop.example", "prefix": "/video/", "route_type": "download",
                "target_latency": "15000ms", "priority": 1, "service": "archive", "max_attempts": 2,
                "public": false,
            },
        },
        "services": {
            "archive": { "health_path": "/health", "max_conns": 330, "warmup": "3s", "cold_per_s": 7.5 },
        },
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 67_108_864, "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
        "tenants": { "acme": { "api_keys": [KEY] } },
    })
}

/// Connects from a loopback address of its own.
async fn connect(number: usize, host: SocketAddr) -> std::io::Result<TcpStream> {
    let own = Ipv4Addr::new(127, 202, 0, number as u8 + 1);
    caller::connect(own, host, Some(RECEIVE_BUFFER_BYTES)).await
}

/// Plays the case. Returns whether the rule held.
pub async fn run(record: &Arc<Record>, folder: &Path, is_trouble: bool) -> Result<bool, String> {
    let mut world = World::start(folder).await;
    world.store.put("op/config", &config());
    let start = |number: u8| {
        let settings = Settings {
            id: format!("i-{number}"),
            service: "archive".to_owned(),
            zone: "north-a".to_owned(),
            slots: 6,
            queue: 18,
            work: Duration::from_millis(100),
            warmup: Duration::from_secs(3),
            cold_crash: None,
        };
        let instance = Instance::new(settings, address(100 + number, 8600), record, &world.store);
        instance.start(false);
        instance
    };
    let instances: Vec<Arc<Instance>> = (0..6).map(start).collect();
    world.add_host(1, 260);
    if !world.wait_until_ready().await {
        return Err("the host is not ready".to_owned());
    }
    let host = world.hosts[0].callers;
    let mut readers = Vec::new();
    for number in 0..READERS {
        let mut stream = connect(number, host).await.map_err(|error| error.to_string())?;
        let id = format!("small-{number}");
        read_over(record, &mut stream, ("/video/1", &id, KEY), TIME_LIMIT, LINK).await;
        readers.push(stream);
    }
    let stopped_at = record.now();
    if is_trouble {
        world.hosts[0].terminate();
        record.say("the host gets a SIGTERM");
    }
    sleep(SENT_AFTER).await;
    let mut reading = JoinSet::new();
    for (number, mut stream) in readers.into_iter().enumerate() {
        let record = record.clone();
        reading.spawn(async move {
            let (path, id) = (format!("/video/large-{LARGE_BYTES}"), format!("large-{number}"));
            let end = read_over(&record, &mut stream, (&path, &id, KEY), TIME_LIMIT, LINK).await;
            (id, end)
        });
    }
    let ends = timeout(TIME_LIMIT + Duration::from_secs(5), reading.join_all()).await;
    let ends = ends.map_err(|_| "the callers are not done in time".to_owned())?;
    let has_run = |id: &str| {
        let mut arrivals = instances.iter().flat_map(|instance| instance.arrivals());
        arrivals.any(|arrival| arrival.id == id && arrival.fate == Fate::Ran)
    };
    // The rule excuses a request at which its instance still is in the last sixth of the grace period.
    let last_sixth_at = stopped_at + GRACE_SECONDS * 5.0 / 6.0;
    let is_done = |id: &str| {
        let mut times = instances.iter().filter_map(|instance| instance.answered_at(id));
        times.any(|at| at < last_sixth_at)
    };
    let cut: Vec<&String> =
        ends.iter().filter(|(_, end)| matches!(end, End::Cut)).map(|(id, _)| id).collect();
    let counted = cut.iter().filter(|id| has_run(id) && is_done(id)).count();
    let whole = ends.iter().filter(|(_, end)| matches!(end, End::Whole(200))).count();
    let refused = ends.iter().filter(|(_, end)| matches!(end, End::Whole(503))).count();
    let ran = ends.iter().filter(|(id, _)| has_run(id)).count();
    record.say(&format!(
        "LOST: of {READERS} requests, {ran} ran at an instance, {whole} were answered whole, {refused} were \
         refused and {} ended without a whole answer, {counted} of them passed on to an instance that had \
         sent all of it before the last sixth of the grace period; none may",
        cut.len()
    ));
    Ok(counted == 0)
}
