//! A fleet of real processes with stand-ins for its platform.

use std::{
    cell::RefCell,
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, ExitStatus},
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response, Uri};
use marjorampick_core::document::Digest;
use marjorampick_ctl::{
    certificate,
    client::{Client, Failure},
    options::CertificateHost,
};
use marjorampick_link::{hosts::List, http_client};
use marjorampick_standin::{hosts::Hosts, store::Store};
use serde_json::Value;
use tokio::{net::TcpListener, runtime::Runtime};

use crate::forwarder;

const TOKEN: &str = "operator";
const CALLERS_PORT: u16 = 7001;
const LOOKUP_PORT: u16 = 7002;
const ADMIN_PORT: u16 = 7003;
const PEERS_PORT: u16 = 7004;
const STORE_PORT: u16 = 7005;

/// Port of a host's own socket behind a forwarder.
const BOUND_PEERS_PORT: u16 = 7006;

/// Number of the store's address among those of a test; hosts have smaller ones.
const STORE_NUMBER: u8 = 14;

/// Interval between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Document of the service `signing`.
pub(crate) fn document(weight: u32) -> String {
    format!(
        "service = \"signing\"\n\
         [[route]]\npath = \"/sign\"\nclass = \"signing\"\n\
         [[region]]\nname = \"north\"\nweight = {weight}\nslots_per_backend = 7\n"
    )
}

/// Stand-ins and settings of a fleet.
pub(crate) struct Platform {
    store: Arc<Store>,
    store_address: SocketAddr,
    /// Ends with all connections of the store when the store goes away.
    store_runtime: RefCell<Option<Runtime>>,
    pub(crate) runtime: Runtime,
    /// The platform's list of hosts, empty at first.
    pub(crate) listed: Arc<Hosts>,
    folder: tempfile::TempDir,
    /// Addresses of the hosts.
    addresses: Vec<Ipv4Addr>,
    /// For each host, what stands between it and store and peers; empty without.
    forwarders: Vec<Forwarders>,
}

/// Forwarders in front of one host.
struct Forwarders {
    store: forwarder::Tcp,
    peers: forwarder::Udp,
}

impl Platform {
    /// Starts the stand-ins for a fleet of `size` hosts. `test` is a number of its own for each test.
    ///
    /// The addresses are taken from the loopback network by the number of this process, so that
    /// several test runs at the same time do not meet.
    pub(crate) fn start(test: u8, size: u8) -> Self {
        Self::build(test, size, false)
    }

    /// Like [`Self::start`], with hosts that [`Self::cut_off`] can separate from store and peers.
    pub(crate) fn start_forwarded(test: u8, size: u8) -> Self {
        Self::build(test, size, true)
    }

    fn build(test: u8, size: u8, is_forwarded: bool) -> Self {
        let runtime = runtime();
        let process = std::process::id();
        let second = 16 + u8::try_from((process >> 8) % 239).expect("a byte");
        let third = u8::try_from(process % 256).expect("a byte");
        let address = |host| Ipv4Addr::new(127, second, third, 16 * test + host + 1);
        let mut platform = Self {
            store: Store::new(),
            store_address: SocketAddr::from((address(STORE_NUMBER), STORE_PORT)),
            store_runtime: RefCell::default(),
            runtime,
            listed: Hosts::new(List::default(), Duration::ZERO),
            folder: tempfile::tempdir().expect("a temporary folder"),
            addresses: (0..size).map(address).collect(),
            forwarders: Vec::new(),
        };
        if is_forwarded {
            platform.start_forwarders();
        }
        platform.write_settings();
        platform.start_store();
        platform
    }

    /// Lets the store answer, with what it held before.
    pub(crate) fn start_store(&self) {
        let runtime = runtime();
        let listener = runtime.block_on(listener(&self.store_address.to_string()));
        runtime.spawn(self.store.clone().serve(listener));
        self.store_runtime.replace(Some(runtime));
    }

    /// Closes the store's listener and connections.
    pub(crate) fn stop_store(&self) {
        if let Some(runtime) = self.store_runtime.take() {
            runtime.shutdown_timeout(Duration::from_secs(1));
        }
    }

    fn start_forwarders(&mut self) {
        let addresses = self.addresses.iter();
        let forwarders = addresses.map(|address| {
            let at = |port| SocketAddr::from((*address, port));
            let (runtime, store) = (&self.runtime, self.store_address);
            Forwarders {
                store: forwarder::Tcp::start(runtime, at(STORE_PORT), store).0,
                peers: forwarder::Udp::start(runtime, at(PEERS_PORT), at(BOUND_PEERS_PORT)),
            }
        });
        self.forwarders = forwarders.collect();
    }

    /// Drops what a host exchanges with store and peers, or forwards it again.
    pub(crate) fn cut_off(&self, index: usize, is_cut_off: bool) {
        let address = is_cut_off.then(|| self.addresses[index].into());
        let forwarders = self.forwarders.iter();
        forwarders.for_each(|forwarders| forwarders.peers.cut_off(address));
        self.forwarders[index].store.silence(is_cut_off);
    }

    fn write_settings(&self) {
        let hosts = self.runtime.block_on(listener("127.0.0.1:0"));
        let hosts_address = hosts.local_addr().expect("an address");
        let store_address = self.store_address;
        self.runtime.spawn(self.listed.clone().serve(hosts));
        let names: Vec<CertificateHost> = (0..self.addresses.len())
            .map(|index| CertificateHost { name: name(index), address: None })
            .collect();
        certificate::run(&self.folder.path().join("tls"), &names).expect("certificates");
        let digest = Digest::of_key(TOKEN.as_bytes()).to_text();
        for (index, address) in self.addresses.iter().enumerate() {
            let name = name(index);
            let seed = self.addresses[0];
            let (store, bind) = match self.forwarders.is_empty() {
                true => (store_address, String::new()),
                false => (
                    SocketAddr::from((*address, STORE_PORT)),
                    format!("bind = \"{address}:{BOUND_PEERS_PORT}\"\n"),
                ),
            };
            let text = format!(
                "[host]\nname = \"{name}\"\nregion = \"north\"\ndomain = \"north-{index}\"\n\
                 [callers]\nlisten = \"{address}:{CALLERS_PORT}\"\nthreads = 1\n\
                 [lookup]\nlisten = \"{address}:{LOOKUP_PORT}\"\nttl_seconds = 1\n\
                 [admin]\nlisten = \"{address}:{ADMIN_PORT}\"\ntoken_digest = \"{digest}\"\n\
                 [peers]\nlisten = \"{address}:{PEERS_PORT}\"\nseeds = [\"{seed}:{PEERS_PORT}\"]\n\
                 {bind}authority = \"tls/authority.pem\"\ncertificate = \"tls/{name}.pem\"\n\
                 key = \"tls/{name}.key\"\n\
                 [store]\nendpoints = [\"http://{store}\"]\n\
                 [platform]\nhosts = \"http://{hosts_address}/hosts\"\ninterval_ms = 200\n\
                 [log]\nfilter = \"info,marjorampick_link::peer=debug\"\n"
            );
            fs::write(self.settings(index), text).expect("written settings");
        }
    }

    fn settings(&self, index: usize) -> PathBuf {
        self.folder.path().join(format!("{}.toml", name(index)))
    }

    /// Starts the process of one host.
    pub(crate) fn host(&self, index: usize) -> Host<'_> {
        let log = self.folder.path().join(format!("{}.log", name(index)));
        let output = File::options().append(true).create(true).open(&log);
        let child = Command::new(env!("CARGO_BIN_EXE_marjorampick-entry"))
            .arg(self.settings(index))
            .env_remove("MARJORAMPICK_LOG")
            .stderr(output.expect("a log file"))
            .spawn()
            .expect("a process");
        Host { platform: self, child, address: self.addresses[index], log }
    }

    /// Starts all hosts and waits until all are current members of one table.
    pub(crate) fn hosts(&self) -> Vec<Host<'_>> {
        let size = self.addresses.len();
        let hosts: Vec<Host<'_>> = (0..size).map(|index| self.host(index)).collect();
        eventually(Duration::from_secs(8), "every host is a current member", || {
            hosts.iter().all(|host| {
                let status = host.status();
                let members = status["members"].as_array().map_or(0, Vec::len);
                members == size && status["current"] == true && status["member"] == true
            })
        });
        hosts
    }

    /// Addresses of the look-up listeners of all hosts.
    pub(crate) fn look_ups(&self) -> Vec<SocketAddr> {
        let addresses = self.addresses.iter();
        addresses.map(|address| SocketAddr::from((*address, LOOKUP_PORT))).collect()
    }

    fn get(&self, address: SocketAddr, path: &str) -> Option<Response<Bytes>> {
        let mut request = Request::new(Bytes::new());
        *request.uri_mut() = format!("http://{address}{path}").parse().expect("an address");
        let response = http_client::send(request, Duration::from_secs(1));
        self.runtime.block_on(response).ok()
    }
}

/// A process of an entry host, ended with the value.
pub(crate) struct Host<'a> {
    platform: &'a Platform,
    child: Child,
    address: Ipv4Addr,
    log: PathBuf,
}

impl Host<'_> {
    /// What the host says about itself; null while it does not answer.
    pub(crate) fn status(&self) -> Value {
        let address = SocketAddr::from((self.address, ADMIN_PORT));
        let response = self.platform.get(address, "/status");
        response.map_or(Value::Null, |response| {
            serde_json::from_slice(response.body()).unwrap_or_default()
        })
    }

    /// Address of the caller listener.
    pub(crate) fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.address, CALLERS_PORT))
    }

    /// What the host has logged, in all processes of its name.
    pub(crate) fn logged(&self) -> String {
        fs::read_to_string(&self.log).expect("a log")
    }

    pub(crate) fn is_current(&self) -> bool {
        self.status()["current"] == true
    }

    pub(crate) fn revision(&self) -> u64 {
        self.status()["revision"].as_u64().unwrap_or(0)
    }

    /// Names of the entry hosts that a look-up answers; `None` without an answer.
    pub(crate) fn look_up(&self) -> Option<Vec<String>> {
        let address = SocketAddr::from((self.address, LOOKUP_PORT));
        let response = self.platform.get(address, "/lookup?service=signing")?;
        if response.status() != http::StatusCode::OK {
            return None;
        }
        let answer: Value = serde_json::from_slice(response.body()).expect("JSON");
        let hosts = answer["hosts"].as_array().expect("hosts").iter();
        let mut names: Vec<String> =
            hosts.map(|host| host["host"].as_str().expect("a name").to_owned()).collect();
        names.sort();
        Some(names)
    }

    /// Edits the document of `signing` on this host.
    pub(crate) fn edit(&self, base: u64, text: &str) -> Result<u64, Failure> {
        let address: Uri =
            format!("http://{}:{ADMIN_PORT}", self.address).parse().expect("an address");
        let client = Client::new(vec![address], TOKEN.to_owned());
        let edit = client.edit("signing", base, text);
        self.platform.runtime.block_on(edit)
    }

    /// Sends a signal to this process only.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status();
        assert!(sent.expect("kill").success(), "{name} to process {id}");
    }

    /// Ends the process as a crash would.
    pub(crate) fn crash(&mut self) {
        self.child.kill().expect("a running process");
        self.child.wait().expect("an ended process");
    }

    /// Waits until the process has ended by itself.
    pub(crate) fn ended(&mut self, limit: Duration) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a process") {
                return status;
            }
            assert!(started.elapsed() < limit, "the process is still running");
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for Host<'_> {
    fn drop(&mut self) {
        // Fails only when the process has ended before.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            let log = fs::read_to_string(&self.log).unwrap_or_default();
            eprintln!("--- {}\n{log}", self.log.display());
        }
    }
}

/// Waits until `condition` holds and answers how long that took.
pub(crate) fn eventually(
    limit: Duration,
    what: &str,
    mut condition: impl FnMut() -> bool,
) -> Duration {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < limit, "not within {limit:?}: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
    started.elapsed()
}

/// Name of the host with this number.
pub(crate) fn name(index: usize) -> String {
    format!("host-{index}")
}

fn runtime() -> Runtime {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime")
}

async fn listener(address: &str) -> TcpListener {
    TcpListener::bind(address).await.expect("a listener")
}
