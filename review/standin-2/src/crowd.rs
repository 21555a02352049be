//! Callers read large answers while a crowd keeps connections open whose requests stop half-way.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    caller::{self, End, Link, read_over},
    instance::{Fate, Instance, Settings},
    record::Record,
    world::{World, address},
};

const KEY: &str = "key-of-acme";

/// Memory and descriptors of the smallest machine on the users' pages.
const MEMORY_MB: u32 = 112;

/// Callers of the crowd, and how long it is there.
const CROWD: usize = 700;
const CROWD_TIME: Duration = Duration::from_secs(25);

/// Time between two of them.
const CROWD_INTERVAL: Duration = Duration::from_millis(3);

/// Callers that read large answers, each over a link of 8 Mbit/s.
const READERS: usize = 12;
const LARGE_BYTES: usize = 6_000_000;
const LINK: Link = Link { piece_bytes: 50_000, interval: Duration::from_millis(50) };

const TIME_LIMIT: Duration = Duration::from_secs(20);

/// Requests from kept connections that may end without an answer.
const ALLOWED: usize = 3;

fn config() -> Value {
    json!({
        "version": "r1",
        "routes": {
            "video": {
                "host": "shop.example", "prefix": "/video/", "route_type": "download",
                "target_latency": "8000ms", "priority": 1, "service": "archive", "max_attempts": 2,
                "public": false,
            },
        },
        "services": {
            "archive": { "health_path": "/health", "max_conns": 330, "warmup": "3s", "cold_per_s": 7.5 },
        },
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 1_048_576, "header_timeout": "5000ms",
            "idle_timeout": "15000ms",
        },
        "tenants": { "acme": { "api_keys": [KEY] } },
    })
}

/// Connects from a loopback address of its own.
async fn connect(number: usize, host: SocketAddr) -> std::io::Result<TcpStream> {
    let own = Ipv4Addr::new(127, 200, (number / 250) as u8, (number % 250) as u8 + 1);
    caller::connect(own, host, None).await
}

/// Opens a connection, sends half of a request's head and waits until the host closes it, again and again.
async fn misbehave(number: usize, host: SocketAddr, open: Arc<AtomicUsize>) {
    loop {
        if let Ok(mut stream) = connect(number, host).await {
            open.fetch_add(1, Ordering::SeqCst);
            stream.write_all(b"GET /video/1 HTTP/1.1\r\nHost: shop").await.ok();
            let mut byte = [0];
            stream.read(&mut byte).await.ok();
            open.fetch_sub(1, Ordering::SeqCst);
        }
        sleep(Duration::from_millis(100)).await;
    }
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
    world.add_host(1, MEMORY_MB);
    if !world.wait_until_ready().await {
        return Err("the host is not ready".to_owned());
    }
    let host = world.hosts[0].callers;
    let open = Arc::new(AtomicUsize::new(0));
    let mut readers = Vec::new();
    for number in 0..READERS {
        let mut stream = connect(2000 + number, host).await.map_err(|error| error.to_string())?;
        let first = {
            let id = format!("small-{number}");
            read_over(record, &mut stream, ("/video/1", &id, KEY), TIME_LIMIT, LINK).await
        };
        record.write(&format!("caller {number} is connected: {first:?}"));
        readers.push(stream);
    }
    let mut crowd = JoinSet::new();
    if is_trouble {
        for number in 0..CROWD {
            crowd.spawn(misbehave(number, host, open.clone()));
            sleep(CROWD_INTERVAL).await;
        }
        let crowd_open = open.load(Ordering::SeqCst);
        record.say(&format!("the crowd has {crowd_open} connections"));
    }
    let until = Instant::now() + CROWD_TIME;
    let mut reading = JoinSet::new();
    for (number, mut stream) in readers.into_iter().enumerate() {
        let record = record.clone();
        reading.spawn(async move {
            let path = format!("/video/large-{LARGE_BYTES}");
            let id = format!("large-{number}");
            let end = read_over(&record, &mut stream, (&path, &id, KEY), TIME_LIMIT, LINK).await;
            (id, end)
        });
    }
    let ends = tokio::time::timeout_at(until, reading.join_all()).await;
    let ends = ends.map_err(|_| "the callers are not done in time".to_owned())?;
    let is_host_well = !world.hosts[0].has_ended() && world.hosts[0].is_ready().await;
    drop(crowd);
    let has_run = |id: &str| {
        let mut arrivals = instances.iter().flat_map(|instance| instance.arrivals());
        arrivals.any(|arrival| arrival.id == id && arrival.fate == Fate::Ran)
    };
    let ran = ends.iter().filter(|(id, _)| has_run(id)).count();
    let whole = ends.iter().filter(|(_, end)| matches!(end, End::Whole(200))).count();
    // What was not passed on, or has used its time, does not count.
    let cut = ends.iter().filter(|(id, end)| matches!(end, End::Cut) && has_run(id)).count();
    record.say(&format!(
        "LOST: of {READERS} requests from kept connections, {ran} ran at an instance, {whole} were answered \
         whole and {cut} of those that ran ended without a whole answer; {ALLOWED} may; the host is ready: \
         {is_host_well}"
    ));
    Ok(cut <= ALLOWED)
}
