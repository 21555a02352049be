//! An instance with slots and a queue, which may turn cold.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use marjorampick_platform_standin::store::Store;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::Semaphore,
    task::JoinSet,
    time::{sleep, timeout_at},
};

use crate::record::Record;

/// Interval at which an instance writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Time after which an instance tries again to write its entry.
const RETRY: Duration = Duration::from_millis(100);

/// What an instance is.
#[derive(Clone)]
pub struct Settings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    /// Requests that wait for a slot at most.
    pub queue: u32,
    /// Time of a request while the instance is as usual.
    pub work: Duration,
    /// Time for which it is cold after a start during traffic.
    pub warmup: Duration,
    /// Requests in a second with which it crashes while it is cold; `None` if it bears any rate.
    pub cold_crash: Option<usize>,
}

/// What became of a request that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It waits for a slot.
    Waiting,
    /// The instance began to work on it.
    Ran,
    /// It was rejected, and has not run.
    Rejected,
}

/// A request that arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: f64,
    pub fate: Fate,
    /// Whether the instance was cold then.
    pub is_cold: bool,
}

/// The instance.
pub struct Instance {
    pub settings: Settings,
    pub address: SocketAddr,
    record: Arc<Record>,
    store: Arc<Store>,
    slots: Semaphore,
    running: AtomicU32,
    waiting: AtomicU32,
    born: AtomicU64,
    sequence: AtomicU64,
    cold_until: Mutex<Option<Instant>>,
    arrivals: Mutex<Vec<Arrival>>,
    /// When the last byte of an answer was handed to the connection, by the id of the request.
    answered: Mutex<HashMap<String, f64>>,
    tasks: Mutex<Option<JoinSet<()>>>,
}

impl Instance {
    /// Creates an instance, which does not run yet.
    pub fn new(
        settings: Settings,
        address: SocketAddr,
        record: &Arc<Record>,
        store: &Arc<Store>,
    ) -> Arc<Self> {
        Arc::new(Self {
            slots: Semaphore::new(settings.slots as usize),
            settings,
            address,
            record: record.clone(),
            store: store.clone(),
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            born: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            cold_until: Mutex::default(),
            arrivals: Mutex::default(),
            answered: Mutex::default(),
            tasks: Mutex::default(),
        })
    }

    /// Starts a lifetime. `is_cold` says whether it is cold for its warm-up.
    pub fn start(self: &Arc<Self>, is_cold: bool) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        self.born.store(since_epoch.as_millis() as u64, Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        *self.cold_until.lock().unwrap() = is_cold.then(|| Instant::now() + self.settings.warmup);
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        socket.bind(self.address).unwrap();
        let listener = socket.listen(1024).unwrap();
        let mut tasks = JoinSet::new();
        tasks.spawn(self.clone().accept(listener));
        tasks.spawn(self.clone().report());
        *self.tasks.lock().unwrap() = Some(tasks);
        self.record.write(&format!("instance {} starts", self.settings.id));
    }

    /// Makes the instance cold for its warm-up. Its next entry says so.
    pub fn chill(&self) {
        *self.cold_until.lock().unwrap() = Some(Instant::now() + self.settings.warmup);
        self.record.write(&format!("instance {} is cold", self.settings.id));
    }

    /// When the whole answer to a request had been sent; `None` if it has not.
    pub fn answered_at(&self, id: &str) -> Option<f64> {
        self.answered.lock().unwrap().get(id).copied()
    }

    /// Requests that arrived.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    /// Milliseconds for which the instance stays cold.
    fn cold_ms(&self) -> u128 {
        let until = *self.cold_until.lock().unwrap();
        until.map_or(0, |until| until.saturating_duration_since(Instant::now()).as_millis())
    }

    async fn report(self: Arc<Self>) {
        loop {
            // The store takes no writes while it is down.
            while self.store.has_faults() {
                sleep(RETRY).await;
            }
            self.write_entry("ready");
            sleep(HEARTBEAT).await;
        }
    }

    /// Writes the entry of the instance.
    pub fn write_entry(&self, state: &str) {
        let Settings { id, service, zone, slots, .. } = &self.settings;
        let entry = json!({
            "address": self.address,
            "born": self.born.load(Ordering::SeqCst),
            "info": { "service": service, "version": "v1", "zone": zone, "slots": slots },
            "status": {
                "state": state,
                "seq_no": self.sequence.fetch_add(1, Ordering::SeqCst),
                "cold_left": format!("{}ms", self.cold_ms()),
            },
        });
        self.store.put(&format!("servers/{id}"), &entry);
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        // Dropping the set ends the connections with the instance.
        let mut connections = JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            while connections.try_join_next().is_some() {}
            connections.spawn(self.clone().serve(stream));
        }
    }

    /// Serves the requests of a connection one by one.
    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer).await {
            let Some(response) = self.handle(&stream, &request).await else { return };
            let id = request.header("request-id").cloned().unwrap_or_default();
            if stream.write_all(response.as_bytes()).await.is_err() {
                self.record.write(&format!("the answer to {id} broke off at {}", self.settings.id));
                return;
            }
            let at = self.record.write(&format!("sent the answer to {id} at {}", self.settings.id));
            self.answered.lock().unwrap().insert(id, at);
        }
    }

    /// Handles a request; `None` if its sender has closed the connection.
    async fn handle(&self, stream: &TcpStream, request: &Request) -> Option<String> {
        let id = request.header("request-id");
        if request.path == "/health" {
            let head =
                format!("Instance-Id: {}\r\nCold-Ms: {}\r\n", self.settings.id, self.cold_ms());
            return Some(self.response(200, &head, ""));
        }
        if request.header("expect-instance").is_some_and(|expected| *expected != self.settings.id) {
            let head = id.map(|id| format!("Request-Id: {id}\r\n")).unwrap_or_default();
            return Some(self.response(421, &head, ""));
        }
        let Some(id) = id else {
            return Some(self.response(400, "Not-Executed: 1\r\n", ""));
        };
        let deadline_ms = request.header("deadline-ms").and_then(|text| text.parse().ok());
        let deadline =
            tokio::time::Instant::now() + Duration::from_millis(deadline_ms.unwrap_or(30_000));
        let index = self.arrive(id);
        let rejected = format!("Request-Id: {id}\r\nNot-Executed: 1\r\n");
        if self.slots.available_permits() == 0
            && self.waiting.load(Ordering::SeqCst) >= self.settings.queue
        {
            self.decide(index, Fate::Rejected);
            return Some(self.response(503, &rejected, ""));
        }
        let waiting = Count::one(&self.waiting);
        let slot = tokio::select! {
            slot = timeout_at(deadline, self.slots.acquire()) => slot,
            () = closed(stream) => {
                self.decide(index, Fate::Rejected);
                return None;
            }
        };
        drop(waiting);
        let Ok(Ok(_slot)) = slot else {
            self.decide(index, Fate::Rejected);
            return Some(self.response(503, &rejected, ""));
        };
        let running = Count::one(&self.running);
        self.decide(index, Fate::Ran);
        self.crash_if_overrun();
        let work = self.settings.work;
        let is_done = tokio::select! {
            done = timeout_at(deadline, sleep(work)) => done.is_ok(),
            () = closed(stream) => return None,
        };
        drop(running);
        let stamped =
            format!("Request-Id: {id}\r\nResponse-Stamp: {}.{index}\r\n", self.settings.id);
        let text = format!("{id} at {}", self.settings.id);
        let body = match large_bytes(&request.path) {
            Some(bytes) => format!("{text}\n{}", "x".repeat(bytes)),
            None => text,
        };
        Some(match is_done {
            true => self.response(200, &stamped, &body),
            false => self.response(504, &stamped, ""),
        })
    }

    /// Ends the instance with all connections, for good, if it is cold and gets too many requests.
    fn crash_if_overrun(&self) {
        let Some(limit) = self.settings.cold_crash else { return };
        let now = self.record.now();
        let arrivals = self.arrivals.lock().unwrap();
        let recent = arrivals.iter().rev().take_while(|arrival| arrival.at > now - 1.0);
        if recent.filter(|arrival| arrival.is_cold).count() >= limit {
            self.record.say(&format!("instance {} crashes", self.settings.id));
            drop(self.tasks.lock().unwrap().take());
        }
    }

    fn arrive(&self, id: &str) -> usize {
        let is_cold = self.cold_ms() > 0;
        let at = self.record.write(&format!("arrives {id} at {}", self.settings.id));
        let mut arrivals = self.arrivals.lock().unwrap();
        arrivals.push(Arrival { id: id.to_owned(), at, fate: Fate::Waiting, is_cold });
        arrivals.len() - 1
    }

    fn decide(&self, index: usize, fate: Fate) {
        let arrival = &mut self.arrivals.lock().unwrap()[index];
        arrival.fate = fate;
        let word = if fate == Fate::Ran { "runs" } else { "not run" };
        self.record.write(&format!("{word} {} at {}", arrival.id, self.settings.id));
    }

    fn response(&self, status: u16, head: &str, body: &str) -> String {
        let running = self.running.load(Ordering::SeqCst);
        let waiting = self.waiting.load(Ordering::SeqCst);
        let slots = self.settings.slots;
        format!(
            "HTTP/1.1 {status} X\r\n{head}Server-Load: {running},{waiting},{slots}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}

/// Size of the answer to a request for `/.../large-BYTES`.
fn large_bytes(path: &str) -> Option<usize> {
    path.rsplit_once("/large-")?.1.parse().ok()
}

/// Counts one more until it is dropped.
struct Count<'a>(&'a AtomicU32);

impl<'a> Count<'a> {
    fn one(counter: &'a AtomicU32) -> Self {
        counter.fetch_add(1, Ordering::SeqCst);
        Self(counter)
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Waits until the other end has closed the connection.
async fn closed(stream: &TcpStream) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        // Bytes that come before the answer are the next request.
        Ok(_) => std::future::pending().await,
    }
}

/// A request that was read.
struct Request {
    path: String,
    headers: Vec<(String, String)>,
}

impl Request {
    fn header(&self, name: &str) -> Option<&String> {
        let mut headers = self.headers.iter();
        headers.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }
}

/// Reads a request with its body; `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    loop {
        let end = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        if let Some(end) = end {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let path = lines.next()?.split(' ').nth(1)?.to_owned();
            let pairs = lines.filter_map(|line| line.split_once(':'));
            let headers = pairs.map(|(key, value)| (key.to_owned(), value.trim().to_owned()));
            let request = Request { path, headers: headers.collect() };
            let length = request.header("content-length").and_then(|text| text.parse().ok());
            let total = end + 4 + length.unwrap_or(0_usize);
            while buffer.len() < total {
                if stream.read_buf(buffer).await.ok()? == 0 {
                    return None;
                }
            }
            buffer.drain(..total);
            return Some(request);
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}
