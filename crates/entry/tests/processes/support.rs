//! Starts and controls a fleet of entry host processes and the stand-ins for its platform.

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

/// Token of the admin listener.
const TOKEN: &str = "operator";
const CALLERS_PORT: u16 = 7001;
const LOOKUP_PORT: u16 = 7002;
const ADMIN_PORT: u16 = 7003;
const PEERS_PORT: u16 = 7004;
const STORE_PORT: u16 = 7005;

/// Port that a host binds for its peers when a forwarder listens on [`PEERS_PORT`].
const BOUND_PEERS_PORT: u16 = 7006;

/// Index of the store's address among the 16 of a test; hosts have smaller ones.
const STORE_ADDRESS_INDEX: u8 = 14;

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Document of the service `signing` without workspaces; versions differ in the region's weight.
pub(crate) fn document(weight: u32) -> String {
    format!(
        "service = \"signing\"\n\
         [[route]]\npath = \"/sign\"\nclass = \"signing\"\n\
         [[region]]\nname = \"north\"\nweight = {weight}\nslots_per_backend = 7\n"
    )
}

/// Stand-ins for the platform of one fleet, and the settings files of its hosts.
pub(crate) struct Platform {
    store: Arc<Store>,
    store_address: SocketAddr,
    /// Runs the store; its shutdown closes the store's listener and connections. `None` while
    /// stopped.
    store_runtime: RefCell<Option<Runtime>>,
    pub(crate) runtime: Runtime,
    /// The platform's host list, empty at first.
    pub(crate) host_list: Arc<Hosts>,
    folder: tempfile::TempDir,
    /// Addresses of the hosts.
    addresses: Vec<Ipv4Addr>,
    /// Forwarders of each host; empty if the hosts connect to store and peers directly.
    forwarders: Vec<Forwarders>,
}

/// Forwarders between one host and the store, and between its peers and the host.
struct Forwarders {
    store: forwarder::Tcp,
    peers: forwarder::Udp,
}

impl Platform {
    /// Starts the stand-ins for a fleet of `host_count` hosts.
    ///
    /// `test_index` must differ between the tests of this binary: each test uses 16 loopback
    /// addresses of its own. The other octets come from the process id, so that concurrent test
    /// runs use different addresses.
    pub(crate) fn start(test_index: u8, host_count: u8) -> Self {
        Self::build(test_index, host_count, false)
    }

    /// Like [`Self::start`], with hosts that [`Self::set_isolated`] can cut off from store and
    /// peers.
    pub(crate) fn start_forwarded(test_index: u8, host_count: u8) -> Self {
        Self::build(test_index, host_count, true)
    }

    fn build(test_index: u8, host_count: u8, is_forwarded: bool) -> Self {
        let runtime = start_runtime();
        let process_id = std::process::id();
        let second_octet = 16 + u8::try_from((process_id >> 8) % 239).expect("a byte");
        let third_octet = u8::try_from(process_id % 256).expect("a byte");
        let address =
            |index| Ipv4Addr::new(127, second_octet, third_octet, 16 * test_index + index + 1);
        let mut platform = Self {
            store: Store::new(),
            store_address: SocketAddr::from((address(STORE_ADDRESS_INDEX), STORE_PORT)),
            store_runtime: RefCell::default(),
            runtime,
            host_list: Hosts::new(List::default(), Duration::ZERO),
            folder: tempfile::tempdir().expect("a temporary folder"),
            addresses: (0..host_count).map(address).collect(),
            forwarders: Vec::new(),
        };
        if is_forwarded {
            platform.start_forwarders();
        }
        platform.write_settings();
        platform.start_store();
        platform
    }

    /// Starts the store's listener; the store keeps its content across stops.
    pub(crate) fn start_store(&self) {
        let runtime = start_runtime();
        let listener = runtime.block_on(bind(&self.store_address.to_string()));
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

    /// Drops all traffic between a host and store and peers without closing connections, or
    /// forwards it again.
    pub(crate) fn set_isolated(&self, index: usize, is_isolated: bool) {
        let address = is_isolated.then(|| self.addresses[index].into());
        let forwarders = self.forwarders.iter();
        forwarders.for_each(|forwarders| forwarders.peers.set_blocked(address));
        self.forwarders[index].store.set_silent(is_isolated);
    }

    /// Starts the host list, and writes certificates and the settings file of each host.
    fn write_settings(&self) {
        let listener = self.runtime.block_on(bind("127.0.0.1:0"));
        let host_list_address = listener.local_addr().expect("an address");
        let store_address = self.store_address;
        self.runtime.spawn(self.host_list.clone().serve(listener));
        let certificate_hosts: Vec<CertificateHost> = (0..self.addresses.len())
            .map(|index| CertificateHost { name: host_name(index), address: None })
            .collect();
        certificate::run(&self.folder.path().join("tls"), &certificate_hosts)
            .expect("certificates");
        let digest = Digest::of_key(TOKEN.as_bytes()).to_text();
        for (index, address) in self.addresses.iter().enumerate() {
            let name = host_name(index);
            let seed = self.addresses[0];
            let (store, bind_line) = match self.forwarders.is_empty() {
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
                 {bind_line}authority = \"tls/authority.pem\"\ncertificate = \"tls/{name}.pem\"\n\
                 key = \"tls/{name}.key\"\n\
                 [store]\nendpoints = [\"http://{store}\"]\n\
                 [platform]\nhosts = \"http://{host_list_address}/hosts\"\ninterval_ms = 200\n\
                 [log]\nfilter = \"info,marjorampick_link::peer=debug\"\n"
            );
            fs::write(self.settings_file(index), text).expect("a written settings file");
        }
    }

    fn settings_file(&self, index: usize) -> PathBuf {
        self.folder.path().join(format!("{}.toml", host_name(index)))
    }

    /// Starts the process of one host. Processes of the same host append to one log file.
    pub(crate) fn start_host(&self, index: usize) -> Host<'_> {
        let log = self.folder.path().join(format!("{}.log", host_name(index)));
        let output = File::options().append(true).create(true).open(&log);
        let child = Command::new(env!("CARGO_BIN_EXE_marjorampick-entry"))
            .arg(self.settings_file(index))
            .env_remove("MARJORAMPICK_LOG")
            .stderr(output.expect("a log file"))
            .spawn()
            .expect("a process");
        Host { platform: self, child, address: self.addresses[index], log }
    }

    /// Starts all hosts and waits until each is current, a member, and knows all others as members.
    pub(crate) fn start_hosts(&self) -> Vec<Host<'_>> {
        let host_count = self.addresses.len();
        let hosts: Vec<Host<'_>> = (0..host_count).map(|index| self.start_host(index)).collect();
        wait_until(Duration::from_secs(8), "every host is a current member", || {
            hosts.iter().all(|host| {
                let status = host.status();
                let members = status["members"].as_array().map_or(0, Vec::len);
                members == host_count && status["current"] == true && status["member"] == true
            })
        });
        hosts
    }

    /// Addresses of the look-up listeners of all hosts.
    pub(crate) fn look_up_addresses(&self) -> Vec<SocketAddr> {
        let addresses = self.addresses.iter();
        addresses.map(|address| SocketAddr::from((*address, LOOKUP_PORT))).collect()
    }

    /// Sends a GET request; `None` without a response within 1 s.
    fn get(&self, address: SocketAddr, path: &str) -> Option<Response<Bytes>> {
        let mut request = Request::new(Bytes::new());
        *request.uri_mut() = format!("http://{address}{path}").parse().expect("an address");
        let response = http_client::send(request, Duration::from_secs(1));
        self.runtime.block_on(response).ok()
    }
}

/// The process of an entry host; dropping the value kills it. If the test panics, the host's log is
/// printed.
pub(crate) struct Host<'a> {
    platform: &'a Platform,
    child: Child,
    address: Ipv4Addr,
    log: PathBuf,
}

impl Host<'_> {
    /// Body of the host's `/status`; null while it does not respond.
    pub(crate) fn status(&self) -> Value {
        let address = SocketAddr::from((self.address, ADMIN_PORT));
        let response = self.platform.get(address, "/status");
        response.map_or(Value::Null, |response| {
            serde_json::from_slice(response.body()).unwrap_or_default()
        })
    }

    /// Address of the caller listener.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        SocketAddr::from((self.address, CALLERS_PORT))
    }

    /// Content of the host's log file, with the lines of earlier processes of this host.
    pub(crate) fn read_log(&self) -> String {
        fs::read_to_string(&self.log).expect("a log")
    }

    pub(crate) fn is_current(&self) -> bool {
        self.status()["current"] == true
    }

    pub(crate) fn revision(&self) -> u64 {
        self.status()["revision"].as_u64().unwrap_or(0)
    }

    /// Sorted names of the entry hosts in the response to a look-up; `None` without a success.
    pub(crate) fn looked_up_names(&self) -> Option<Vec<String>> {
        let address = SocketAddr::from((self.address, LOOKUP_PORT));
        let response = self.platform.get(address, "/lookup?service=signing")?;
        if response.status() != http::StatusCode::OK {
            return None;
        }
        let body: Value = serde_json::from_slice(response.body()).expect("JSON");
        let hosts = body["hosts"].as_array().expect("hosts").iter();
        let mut names: Vec<String> =
            hosts.map(|host| host["host"].as_str().expect("a name").to_owned()).collect();
        names.sort();
        Some(names)
    }

    /// Replaces revision `base` of the document of `signing` through this host; returns the new
    /// revision.
    pub(crate) fn edit_document(&self, base: u64, text: &str) -> Result<u64, Failure> {
        let address: Uri =
            format!("http://{}:{ADMIN_PORT}", self.address).parse().expect("an address");
        let client = Client::new(vec![address], TOKEN.to_owned());
        let edit = client.edit("signing", base, text);
        self.platform.runtime.block_on(edit)
    }

    /// Sends a signal to this process only, named as `kill` expects it, for instance `-STOP`.
    pub(crate) fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.expect("kill").success(), "kill {signal} {id} failed");
    }

    /// Kills the process without a drain, as a crash would end it.
    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("a running process");
        self.child.wait().expect("an ended process");
    }

    /// Waits until the process has exited by itself.
    pub(crate) fn wait_for_exit(&mut self, limit: Duration) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a process") {
                return status;
            }
            assert!(started.elapsed() < limit, "the process still runs after {limit:?}");
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for Host<'_> {
    fn drop(&mut self) {
        // Fails only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            let log = fs::read_to_string(&self.log).unwrap_or_default();
            eprintln!("--- {}\n{log}", self.log.display());
        }
    }
}

/// Polls `condition` until it holds and returns how long that took; panics with `description` after
/// `limit`.
pub(crate) fn wait_until(
    limit: Duration,
    description: &str,
    mut condition: impl FnMut() -> bool,
) -> Duration {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < limit, "not within {limit:?}: {description}");
        std::thread::sleep(POLL_INTERVAL);
    }
    started.elapsed()
}

/// Name of the host with this index.
pub(crate) fn host_name(index: usize) -> String {
    format!("host-{index}")
}

fn start_runtime() -> Runtime {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime")
}

async fn bind(address: &str) -> TcpListener {
    TcpListener::bind(address).await.expect("a listener")
}
