//! A small deployment on loopback addresses: the platform's store and entry hosts as processes.

use std::{
    fs::File,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    time::Duration,
};

use marjorampick_platform_standin::store::Store;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// Longest wait until the hosts are ready.
const READY_TIME: Duration = Duration::from_secs(15);

/// Time after which a new host spends from the limits.
const SEAT_TIME: Duration = Duration::from_secs(5);

/// Store and hosts.
pub struct World {
    pub store: Arc<Store>,
    pub hosts: Vec<Host>,
    store_address: SocketAddr,
    folder: PathBuf,
}

/// Process of an entry host, which is killed when it is dropped.
pub struct Host {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
}

impl Drop for Host {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// A loopback address that no other process of this machine uses, as far as its number tells.
pub fn address(number: u8, port: u16) -> SocketAddr {
    let process = std::process::id().to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 20 + process[2] % 100, process[3], number), port))
}

impl World {
    /// Starts the store.
    pub async fn start(folder: &Path) -> Self {
        let store = Store::new();
        let listener =
            TcpListener::bind(address(1, 7000)).await.expect("the store's address is free");
        let store_address = listener.local_addr().unwrap();
        tokio::spawn(store.clone().serve(listener));
        Self { store, hosts: Vec::new(), store_address, folder: folder.to_owned() }
    }

    /// Starts a host, in the only region or in another one.
    pub fn add_host(&mut self, number: u8, memory_mb: u32) {
        let ip = address(10 + number, 0).ip();
        let name = format!("entry-{number}");
        let text = format!(
            "[host]\nname = \"{name}\"\nregion = \"north\"\nfailure_domain = \"north-a\"\n\
             [[failure_domain]]\nname = \"north-a\"\nregion = \"north\"\n\
             [[failure_domain]]\nname = \"north-b\"\nregion = \"north\"\n\
             [listen]\ncallers = \"{ip}:7001\"\nlookup = \"{ip}:7002\"\nreadiness = \"{ip}:7003\"\n\
             peers = \"{ip}:7004\"\nmetrics = \"{ip}:7005\"\n\
             [limits]\nmemory_mb = {memory_mb}\ndescriptors = 4100\nlink_mbps = 1000\n\
             [store]\naddress = \"{}\"\nconfiguration_time = \"2500ms\"\ndrain_time = \"2500ms\"\n\
             [stop]\ngrace = \"6s\"\n[lookup]\nlongest_lifetime = \"5s\"\n\
             [rates]\nwindow = \"5s\"\noverage = 0.1\nslack = 20\n\
             [retries]\nratio = 0.2\nwindow = \"10s\"\nallowance = 56\n",
            self.store_address
        );
        let settings = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("the folder can be written");
        let log = self.folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log);
        let [callers, readiness] = [7001, 7003].map(|port| SocketAddr::new(ip, port));
        self.hosts.push(Host { child, settings, log, callers, readiness });
    }

    /// Waits until all hosts are ready and spend from the limits. Returns whether they are.
    pub async fn wait_until_ready(&self) -> bool {
        let ready = async {
            for host in &self.hosts {
                while !host.is_ready().await {
                    sleep(Duration::from_millis(50)).await;
                }
            }
        };
        if timeout(READY_TIME, ready).await.is_err() {
            return false;
        }
        sleep(SEAT_TIME).await;
        true
    }
}

impl Host {
    /// Whether the readiness check succeeds.
    pub async fn is_ready(&self) -> bool {
        let asking = async {
            let mut stream = TcpStream::connect(self.readiness).await?;
            stream
                .write_all(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                .await?;
            let mut bytes = Vec::new();
            stream.read_to_end(&mut bytes).await?;
            std::io::Result::Ok(bytes.starts_with(b"HTTP/1.1 200"))
        };
        timeout(Duration::from_secs(1), asking).await.is_ok_and(|answer| answer.unwrap_or(false))
    }

    /// Sends the process a SIGTERM.
    pub fn terminate(&self) {
        let id = self.child.id().to_string();
        Command::new("kill").args(["-TERM", &id]).status().ok();
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) {
        self.child = spawn(&self.settings, &self.log);
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let program = std::env::var("PROGRAM").unwrap_or("target/release/marjorampick-platform".into());
    let log = File::options().create(true).append(true).open(log).expect("the log can be written");
    let errors = log.try_clone().expect("the log can be shared");
    let mut command = Command::new(program);
    let spawned = command.arg(settings).stdin(Stdio::null()).stdout(log).stderr(errors).spawn();
    spawned.expect("the program is built")
}
