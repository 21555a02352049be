//! A host is restarted while the evacuation of a zone ends, whose instances are cold then.

use std::{
    collections::HashMap,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

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

/// Bounds of the rule, with the rate that the configuration gives.
const COLD_PER_SECOND: f64 = 7.5;
const COLD_OVERAGE: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
/// Requests in a second with which a cold instance crashes: four times what it tolerates.
const COLD_CRASH: usize = 30;
const WARMUP: Duration = Duration::from_secs(3);

/// Requests per second at all hosts together.
const PER_SECOND: f64 = 240.0;
const TRAFFIC_TIME: f64 = 24.0;
const TIME_LIMIT: Duration = Duration::from_secs(4);

/// When the zone is evacuated, and for how long.
const EVACUATED_AFTER: Duration = Duration::from_secs(6);
const EVACUATED_FOR: Duration = Duration::from_secs(8);

/// Time before the end of the evacuation at which the host gets its SIGTERM.
const STOP_BEFORE: Duration = Duration::from_millis(2700);

/// Delay after which the platform starts a process that has ended.
const START_DELAY: Duration = Duration::from_millis(200);

const EVACUATION: &str = "op/evacuate/north-b";

fn config() -> Value {
    json!({
        "version": "r1",
        "routes": {
            "sign": {
                "host": "shop.example", "prefix": "/sign/", "route_type": "non_idempotent",
                "timeout": "2500ms", "target_latency": "600ms", "priority": 1, "service": "signhall",
                "max_attempts": 2, "public": true,
            },
        },
        "services": {
            "signhall": {
                "health_path": "/health", "max_conns": 330, "warmup": "3s",
                "cold_per_s": COLD_PER_SECOND,
            },
        },
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 67_108_864, "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
    })
}

/// Plays the case. Returns whether the rule held.
pub async fn run(record: &Arc<Record>, folder: &Path, is_trouble: bool) -> Result<bool, String> {
    let mut world = World::start(folder).await;
    world.store.put("op/config", &config());
    let mut instances = Vec::new();
    for number in 0..4 {
        let settings = Settings {
            id: format!("i-{number}"),
            service: "signhall".to_owned(),
            zone: ["north-a", "north-b"][usize::from(number) % 2].to_owned(),
            slots: 9,
            queue: 27,
            work: Duration::from_millis(60),
            warmup: WARMUP,
            cold_crash: Some(COLD_CRASH),
        };
        let instance = Instance::new(settings, address(100 + number, 8600), record, &world.store);
        instance.start(false);
        instances.push(instance);
        // They write their entries at different moments.
        sleep(Duration::from_millis(375)).await;
    }
    world.add_host(1, 260);
    world.add_host(2, 260);
    if !world.wait_until_ready().await {
        return Err("the hosts are not ready".to_owned());
    }
    let hosts: Vec<SocketAddr> = world.hosts.iter().map(|host| host.callers).collect();
    let started = Instant::now();
    // Callers go to the other host while this one is away.
    let is_away = Arc::new(AtomicBool::new(false));
    let (cold, events, away) = (instances.clone(), record.clone(), is_away.clone());
    let working = tokio::spawn(async move {
        sleep_until(started + EVACUATED_AFTER).await;
        world.store.put(EVACUATION, &json!({}));
        events.say("the zone north-b is evacuated");
        sleep_until(started + EVACUATED_AFTER + EVACUATED_FOR - STOP_BEFORE).await;
        if is_trouble {
            world.hosts[1].terminate();
            away.store(true, Ordering::SeqCst);
            events.say("a host gets a SIGTERM");
        }
        sleep_until(started + EVACUATED_AFTER + EVACUATED_FOR).await;
        world.store.remove(EVACUATION);
        let of_zone = cold.iter().filter(|instance| instance.settings.zone == "north-b");
        of_zone.for_each(|instance| instance.chill());
        events.say("the evacuation has ended, and the instances of north-b are cold");
        if is_trouble {
            while !world.hosts[1].has_ended() {
                sleep(Duration::from_millis(5)).await;
            }
            events.say("the process has ended");
            sleep(START_DELAY).await;
            world.hosts[1].restart();
            while !world.hosts[1].is_ready().await {
                sleep(Duration::from_millis(10)).await;
            }
            away.store(false, Ordering::SeqCst);
            events.say("the process has started again and is ready");
        }
        world
    });
    let mut sending = JoinSet::new();
    for index in 0..(PER_SECOND * TRAFFIC_TIME) as usize {
        sleep_until(started + Duration::from_secs_f64(index as f64 / PER_SECOND)).await;
        let host = if is_away.load(Ordering::SeqCst) { hosts[0] } else { hosts[index % 2] };
        let (path, id) = (format!("/sign/{index}"), format!("sign-{index}"));
        let body = Body::default();
        sending.spawn(caller::send(record.clone(), host, path, id, KEY, TIME_LIMIT, body));
    }
    let sent = sending.join_all().await;
    let world = working.await.map_err(|error| error.to_string())?;
    drop(world);
    Ok(judge(record, &sent, &instances))
}

/// Whether the rule held in all seconds.
fn judge(record: &Record, sent: &[Sent], instances: &[Arc<Instance>]) -> bool {
    let sent_at: HashMap<&str, f64> =
        sent.iter().map(|sent| (sent.id.as_str(), sent.sent_at)).collect();
    let allowed = COLD_PER_SECOND * COLD_OVERAGE + COLD_SLACK;
    let mut most = (0, 0.0, "");
    for instance in instances {
        let arrivals = instance.arrivals();
        let cold = arrivals.iter().filter(|arrival| arrival.is_cold && arrival.fate == Fate::Ran);
        let cold = cold.filter_map(|one| Some((*sent_at.get(one.id.as_str())?, one.at)));
        let cold: Vec<(f64, f64)> = cold.collect();
        for (start, _) in &cold {
            let is_in = |one: &&(f64, f64)| one.0 >= *start && one.1 <= start + 1.0;
            let count = cold.iter().filter(is_in).count();
            if count > most.0 {
                most = (count, *start, &instance.settings.id);
            }
        }
    }
    let answered = |status| sent.iter().filter(|sent| sent.status == Some(status)).count();
    let counts = [200, 502, 503, 504].map(|status| format!("{status}: {}", answered(status)));
    record.say(&format!(
        "{} requests that must not run twice; {} (a 502 says that one may have run, and its work is lost)",
        sent.len(),
        counts.join(", ")
    ));
    let (count, start, id) = most;
    record.say(&format!(
        "FAILBACK: {count} requests were sent to and arrived at {id} while it was cold, in the second \
         from {start:.3} s; {allowed} are allowed"
    ));
    count as f64 <= allowed
}
