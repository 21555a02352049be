//! A tenant sends many times its usual: uploads from slow links, and then reads.
//!
//! Each upload takes a token of the tenant's limit when its head arrives, and gets it back if no instance has room for
//! it once its body has arrived. Meanwhile the bucket is filled again.

use std::{collections::HashMap, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use serde_json::{Value, json};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    caller::{self, Body, Sent},
    instance::{Fate, Instance, Settings},
    record::Record,
    world::{World, address},
};

const KEY: &str = "key-of-acme";

/// Usage cap of the tenant.
const RATE: f64 = 60.0;
const BURST: f64 = 60.0;

/// What it usually sends in a second: its cap over 1.6.
const USUAL: f64 = 37.5;

/// Bounds of the rule.
const WINDOW: f64 = 5.0;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Time limit of all requests.
const TIME_LIMIT: Duration = Duration::from_secs(5);

/// An upload of the usual size, over a link of 200 kbit/s.
const UPLOAD: Body = Body { bytes: 60_000, time: Duration::from_millis(2400) };

fn config() -> Value {
    let route = |prefix: &str, kind: &str, service: &str| {
        json!({
            "host": "shop.example", "prefix": prefix, "route_type": kind, "target_latency": "800ms",
            "priority": 1, "service": service, "max_attempts": 2, "public": false,
        })
    };
    let service =
        json!({ "health_path": "/health", "max_conns": 330, "warmup": "3s", "cold_per_s": 7.5 });
    json!({
        "version": "r1",
        "routes": {
            "upload": route("/upload/", "upload", "docvault"),
            "read": route("/read/", "idempotent", "statusdesk"),
        },
        "services": { "docvault": service, "statusdesk": service },
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 1_048_576, "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
        "tenants": { "acme": { "api_keys": [KEY], "rate_per_s": RATE, "burst": BURST } },
    })
}

/// Requests of one kind that are sent at a rate.
#[derive(Clone, Copy)]
struct Stream {
    name: &'static str,
    path: &'static str,
    body: Body,
    per_second: f64,
    count: usize,
}

/// Sends the requests to the hosts in turn.
async fn send(
    record: &Arc<Record>,
    hosts: &[SocketAddr],
    stream: Stream,
    sending: &mut JoinSet<Sent>,
) {
    let Stream { name, path, body, per_second, count } = stream;
    let started = Instant::now();
    for index in 0..count {
        sleep_until(started + Duration::from_secs_f64(index as f64 / per_second)).await;
        let host = hosts[index % hosts.len()];
        let (path, id) = (format!("{path}{index}"), format!("{name}-{index}"));
        sending.spawn(caller::send(record.clone(), host, path, id, KEY, TIME_LIMIT, body));
    }
}

/// Plays the case. Returns whether the rule held.
pub async fn run(record: &Arc<Record>, folder: &Path, is_trouble: bool) -> Result<bool, String> {
    let mut world = World::start(folder).await;
    world.store.put("op/config", &config());
    let start = |number: u8, service: &str, slots, work| {
        let settings = Settings {
            id: format!("i-{number}"),
            service: service.to_owned(),
            zone: "north-a".to_owned(),
            slots,
            queue: slots * 3,
            work: Duration::from_millis(work),
            warmup: Duration::from_secs(3),
            cold_crash: None,
        };
        let instance = Instance::new(settings, address(100 + number, 8600), record, &world.store);
        instance.start(false);
        instance
    };
    let uploads = (0..4).map(|number| start(number, "docvault", 3, 1040));
    let reads = (4..12).map(|number| start(number, "statusdesk", 9, 60));
    let instances: Vec<Arc<Instance>> = uploads.chain(reads).collect();
    world.add_host(1, 260);
    world.add_host(2, 260);
    if !world.wait_until_ready().await {
        return Err("the hosts are not ready".to_owned());
    }
    let hosts: Vec<SocketAddr> = world.hosts.iter().map(|host| host.callers).collect();
    let mut sending = JoinSet::new();
    let upload =
        Stream { name: "upload", path: "/upload/", body: UPLOAD, per_second: 2.0, count: 8 };
    let read = Stream {
        name: "read",
        path: "/read/",
        body: Body::default(),
        per_second: USUAL - 2.0,
        count: 150,
    };
    send(record, &hosts, upload, &mut sending).await;
    send(record, &hosts, read, &mut sending).await;
    sleep(Duration::from_secs(4)).await;
    // 90 uploads within 0.3 s, and reads for 5.5 s once their bodies have nearly arrived.
    let factor = if is_trouble { 8.0 } else { 1.0 };
    let per_second = USUAL * factor;
    record.say(&format!("the tenant sends {factor} times its usual"));
    let hot_at = Instant::now();
    let count = (per_second * 0.3) as usize;
    let upload = Stream { name: "hot-upload", per_second, count, ..upload };
    send(record, &hosts, upload, &mut sending).await;
    sleep_until(hot_at + Duration::from_millis(2300)).await;
    let count = (per_second * 5.5) as usize;
    let read = Stream { name: "hot-read", per_second, count, ..read };
    send(record, &hosts, read, &mut sending).await;
    let sent = sending.join_all().await;
    Ok(judge(record, &sent, &instances))
}

/// Whether the rule held in all windows.
fn judge(record: &Record, sent: &[Sent], instances: &[Arc<Instance>]) -> bool {
    let sent_at: HashMap<&str, f64> =
        sent.iter().map(|sent| (sent.id.as_str(), sent.sent_at)).collect();
    // A request counts once, by its first arrival at an instance that ran it.
    let mut ran: HashMap<String, f64> = HashMap::new();
    for arrival in instances.iter().flat_map(|instance| instance.arrivals()) {
        if arrival.fate == Fate::Ran {
            let at = ran.entry(arrival.id).or_insert(arrival.at);
            *at = at.min(arrival.at);
        }
    }
    let runs = ran.iter().filter_map(|(id, at)| Some((*sent_at.get(id.as_str())?, *at)));
    let runs: Vec<(f64, f64)> = runs.collect();
    let count = |start: f64| {
        let is_in = |run: &&(f64, f64)| run.0 >= start && run.1 <= start + WINDOW;
        runs.iter().filter(is_in).count()
    };
    let windows = runs.iter().map(|(start, _)| (count(*start), *start));
    let (most, start) = windows.max_by_key(|(count, _)| *count).unwrap_or_default();
    for name in ["upload", "read", "hot-upload", "hot-read"] {
        let of_kind: Vec<&Sent> = sent
            .iter()
            .filter(|sent| sent.id.rsplit_once('-').is_some_and(|id| id.0 == name))
            .collect();
        let answered = |status| of_kind.iter().filter(|sent| sent.status == status).count();
        let counts =
            [200, 429, 503, 504].map(|status| format!("{status}: {}", answered(Some(status))));
        record.say(&format!(
            "{name}: {} sent; {}; none: {}",
            of_kind.len(),
            counts.join(", "),
            answered(None)
        ));
    }
    let allowed = (RATE * WINDOW + BURST) * (1.0 + OVERAGE) + SLACK;
    record.say(&format!(
        "QUOTA: {most} requests of the tenant were sent and ran in the 5 s from {start:.3} s; \
         {allowed:.0} are allowed"
    ));
    most as f64 <= allowed
}
