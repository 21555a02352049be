//! Case: a host that stops takes a first request so late that it cannot end it, and cuts it.

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

/// Callers, each with one connection that it opened in advance.
const CALLERS: usize = 10;

/// Figures of a deployment.
struct Figures {
    /// Grace period, in seconds.
    grace_s: u32,
    /// Time limit of a request and timeout of its route, in milliseconds.
    limit_ms: u64,
    /// Work on a request, below the largest one of the deployment.
    work: Duration,
    /// Time after the SIGTERM at which the requests are sent.
    sent_at: Duration,
    /// Whether the connections have served a request before.
    is_kept: bool,
}

/// The small deployment, with connections that were opened in advance.
const SMALL: Figures = Figures {
    grace_s: 6,
    limit_ms: 6_000,
    work: Duration::from_millis(3_300),
    sent_at: Duration::from_millis(3_250),
    is_kept: false,
};

/// The large deployment, with kept connections.
const LARGE: Figures = Figures {
    grace_s: 10,
    limit_ms: 10_000,
    work: Duration::from_millis(6_500),
    sent_at: Duration::from_millis(4_000),
    is_kept: true,
};

pub async fn run(folder: &Folder, record: Arc<Record>) -> std::io::Result<Verdict> {
    let is_large = std::env::var("DEPLOYMENT").as_deref() == Ok("large");
    let figures = if is_large { LARGE } else { SMALL };
    let Figures { grace_s, limit_ms, work, sent_at, is_kept } = figures;
    let work = Work { time: work, pieces: 1, piece_bytes: 200, pause: Duration::ZERO };
    let services = [("wuno96b", 7)];
    let mut world = World::start(folder.0.clone(), record.clone(), &services, 12, work).await?;
    let timeout = format!("{limit_ms}ms");
    let routes = [("sign", "non_idempotent", "wuno96b", timeout.as_str())];
    world.configure(&config(1, &routes, &[("cuka620", &["key-1"])], "15000ms"));
    world.start_hosts(&["ee-north-a", "ee-north-b"], grace_s).await?;
    let address = world.hosts[0].callers;
    let mut connections = Vec::new();
    for number in 0..CALLERS {
        let mut connection = Connection::open(address).await?;
        let (record, limit) = (record.clone(), Duration::from_millis(limit_ms));
        connections.push(tokio::spawn(async move {
            if is_kept {
                let id = format!("earlier-{number}");
                let bytes = request("POST", "/sign/1", &id, "key-1", limit_ms);
                send(&record, &mut connection, &id, &bytes, limit).await.ok();
            }
            connection
        }));
    }
    let mut connections = join(connections).await?;
    sleep(Duration::from_millis(1_500)).await;
    let stopped_at = Instant::now();
    if has_trouble() {
        record.line("platform: SIGTERM to the host");
        world.hosts[0].signal("TERM")?;
    }
    sleep(sent_at.saturating_sub(stopped_at.elapsed())).await;
    let mut callers = Vec::new();
    for (number, mut connection) in connections.drain(..).enumerate() {
        let record = record.clone();
        callers.push(tokio::spawn(async move {
            let id = format!("sign-{number}");
            let bytes = request("POST", "/sign/1", &id, "key-1", limit_ms);
            let begin = Instant::now();
            let limit = Duration::from_millis(limit_ms);
            let answer = send(&record, &mut connection, &id, &bytes, limit).await;
            (id, answer.map(|answer| answer.status()), begin.elapsed())
        }));
    }
    let (mut served, mut lost, mut others) = (0, 0, 0);
    for caller in callers {
        let (id, answer, elapsed) = caller.await.map_err(std::io::Error::other)?;
        let has_run = world.runs.lock().unwrap().iter().any(|run| run.id == id);
        match answer {
            Ok(200) => served += 1,
            Err(_) if has_run && elapsed < Duration::from_millis(limit_ms) => lost += 1,
            _ => others += 1,
        }
    }
    if has_trouble() {
        let grace = Duration::from_secs(u64::from(grace_s));
        while !world.hosts[0].has_ended() && stopped_at.elapsed() < grace {
            sleep(Duration::from_millis(20)).await;
        }
        record.line(&format!(
            "platform: the host ended {:.2} s after",
            stopped_at.elapsed().as_secs_f64()
        ));
    }
    record.say(&format!(
        "{CALLERS} requests sent {:.2} s after the SIGTERM: {served} answered, {lost} were passed on to an \
         instance and cut, {others} ended otherwise",
        sent_at.as_secs_f64()
    ));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}

async fn join<T: 'static>(tasks: Vec<tokio::task::JoinHandle<T>>) -> std::io::Result<Vec<T>> {
    let mut results = Vec::new();
    for task in tasks {
        results.push(task.await.map_err(std::io::Error::other)?);
    }
    Ok(results)
}
