//! A small deployment: the store, its operator, instances, entry hosts and callers.

use std::{
    env, fs, io,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    time::{sleep, timeout},
};

use crate::{
    host::{self, Host, ZONES},
    http::{Broken, Connection, Message},
    instance::{Instance, Runs, Work},
    record::Record,
    store::Store,
};

/// Host name of all routes.
pub const HOST: &str = "hulo84.example";

/// Longest wait for the hosts to be ready.
const START_LIMIT: Duration = Duration::from_secs(15);

/// What is started for one case.
pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub instances: Vec<Arc<Instance>>,
    pub runs: Runs,
    pub hosts: Vec<Host>,
    pub folder: PathBuf,
}

/// How a case ends.
pub enum Verdict {
    Held,
    Broken,
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}

impl World {
    /// Starts the store and the instances: `count` of each service, spread over the zones.
    pub async fn start(
        folder: PathBuf,
        record: Arc<Record>,
        services: &[(&str, u32)],
        count: usize,
        work: Work,
    ) -> io::Result<Self> {
        let store = Store::new(record.clone());
        let runs: Runs = Arc::new(Mutex::new(Vec::new()));
        let mut instances = Vec::new();
        for (service, slots) in services {
            for number in 0..count {
                let (zone, _) = ZONES[number % ZONES.len()];
                let id = format!("i-{service}-{number}");
                let context = (&store, &runs, &record);
                let placed = (*service, zone, *slots);
                instances.push(Instance::start(&id, placed, work, context).await?);
            }
        }
        let hosts = Vec::new();
        Ok(Self { record, store, instances, runs, hosts, folder })
    }

    /// Writes a configuration. Returns the revision of the acknowledgement.
    pub fn configure(&self, config: &Value) -> Option<u64> {
        let revision = self.store.put("op/config", config)?;
        self.record.line(&format!(
            "operator: config {} acknowledged at revision {revision}",
            config["version"]
        ));
        Some(revision)
    }

    /// Starts entry hosts in these zones and waits until they are ready and share the limits.
    pub async fn start_hosts(&mut self, zones: &[&str], grace_s: u32) -> io::Result<()> {
        for (number, zone) in zones.iter().enumerate() {
            let number = u8::try_from(number).unwrap_or(0);
            let ip = host::address(number);
            let listener = TcpListener::bind((ip, 0)).await?;
            let store_address = listener.local_addr()?;
            tokio::spawn(self.store.clone().serve(listener, ip));
            self.hosts.push(Host::start(&self.folder, number, zone, store_address, grace_s)?);
        }
        let started_at = Instant::now();
        for host in &self.hosts {
            while !is_ready(host.readiness).await {
                if started_at.elapsed() > START_LIMIT {
                    return Err(io::Error::other("a host did not become ready"));
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
        // A new host spends from a tenant's limit only after the others have seen it.
        sleep(Duration::from_secs(5)).await;
        Ok(())
    }
}

/// The configuration: routes with their name, type, service and timeout, and tenants with their keys.
pub fn config(
    version: u64,
    routes: &[(&str, &str, &str, &str)],
    tenants: &[(&str, &[&str])],
    idle_timeout: &str,
) -> Value {
    let mut table = serde_json::Map::new();
    let mut services = serde_json::Map::new();
    for (name, kind, service, timeout) in routes {
        let route = json!({
            "host": HOST, "prefix": format!("/{name}/"), "route_type": kind, "timeout": timeout,
            "target_latency": "800ms", "priority": 1, "service": service, "max_attempts": 2,
            "public": false, "sticky": false, "home_regions": [],
        });
        table.insert((*name).to_owned(), route);
        let service_entry = json!({
            "health_path": "/health", "max_conns": 330, "warmup": "3s", "cold_per_s": 7.5,
        });
        services.insert((*service).to_owned(), service_entry);
    }
    let tenants = tenants.iter().map(|(name, keys)| {
        let tenant = json!({
            "api_keys": keys, "priority": 1, "rate_per_s": 500, "burst": 500, "home_regions": [],
        });
        ((*name).to_owned(), tenant)
    });
    json!({
        "version": format!("r{version}"),
        "routes": table,
        "services": services,
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 67_108_864,
            "header_timeout": "3000ms", "idle_timeout": idle_timeout,
        },
        "tenants": Value::Object(tenants.collect()),
    })
}

/// Encodes a request of a caller.
pub fn request(method: &str, path: &str, id: &str, key: &str, deadline_ms: u64) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nCredential: {key}\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// Sends a request on a connection and records what became of it.
pub async fn send(
    record: &Record,
    connection: &mut Connection,
    id: &str,
    bytes: &[u8],
    limit: Duration,
) -> Result<Message, Broken> {
    let line = String::from_utf8_lossy(bytes);
    record.line(&format!("caller: {id} sends {:?}", line.lines().next().unwrap_or_default()));
    let exchanged = timeout(limit, connection.exchange(bytes)).await;
    let result = exchanged.unwrap_or_else(|_| Err(Broken::NoAnswer("time limit".to_owned())));
    match &result {
        Ok(answer) => record.line(&format!(
            "caller: {id} gets {} with {} bytes, stamp {:?}",
            answer.status(),
            answer.body.len(),
            answer.header("response-stamp")
        )),
        Err(broken) => record.line(&format!("caller: {id} gets {broken:?}")),
    }
    result
}

async fn is_ready(address: SocketAddr) -> bool {
    let asking = async {
        let mut connection = Connection::open(address).await.ok()?;
        let request = b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n";
        connection.exchange(request).await.ok().map(|answer| answer.status() == 200)
    };
    timeout(Duration::from_secs(1), asking).await.ok().flatten().unwrap_or(false)
}

/// Folder for the files of one run, which ends with it.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> io::Result<Self> {
        let path = env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if env::var_os("KEEP").is_none() {
            fs::remove_dir_all(&self.0).ok();
        }
    }
}
