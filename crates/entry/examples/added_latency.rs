//! Latency that the entry host adds to an idempotent request, compared with sending it directly to
//! the backend server.
//!
//! `cargo run --release -p marjorampick-entry --example added_latency` prints the medians and 99th
//! percentiles of one caller that sends one request after another over loopback. Entry host and
//! backend server run on one thread each, as one caller thread of the entry host does.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    time::{Duration, Instant},
};

use marjorampick_core::{
    document::{Digest, Document},
    host::event::{ListedHost, ListedState},
    message::ServiceWeights,
};
use marjorampick_entry::{
    callers::{self, Callers, Settings, tokens::Tokens},
    shared::{Service, Shared, Snapshot},
};
use marjorampick_standin::backend::{self, Backend};
use tokio::{net::TcpListener, runtime::Builder};

/// Requests of one measurement.
const REQUESTS: usize = 10_000;
/// Measurements of each path.
const ROUNDS: usize = 3;
const API_KEY: &str = "key";

fn main() -> std::io::Result<()> {
    let backend = start_on_thread(start_backend)?;
    let entry = start_on_thread(move || start_entry(backend))?;
    for _ in 0..ROUNDS {
        let direct = measure(backend)?;
        let through = measure(entry)?;
        println!(
            "direct p50 {:?} p99 {:?}; through p50 {:?} p99 {:?}; added p50 {:?}",
            direct.0,
            direct.1,
            through.0,
            through.1,
            through.0.saturating_sub(direct.0)
        );
    }
    Ok(())
}

/// Starts a server on its own thread, which runs until the process ends, and returns its address.
fn start_on_thread<F: Future<Output = std::io::Result<SocketAddr>>>(
    start: impl FnOnce() -> F + Send + 'static,
) -> std::io::Result<SocketAddr> {
    let (sender, receiver) = std::sync::mpsc::channel();
    let runtime = Builder::new_current_thread().enable_all().build()?;
    std::thread::spawn(move || {
        runtime.block_on(async {
            sender.send(start().await).ok();
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().map_err(std::io::Error::other)?
}

async fn start_backend() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let backend = Backend::new(backend::Settings::default());
    tokio::spawn(backend.serve(listener));
    Ok(address)
}

async fn start_entry(backend: SocketAddr) -> std::io::Result<SocketAddr> {
    let (shared, control) = Shared::new("entry-1".into(), "ee-north".into());
    // No request of this example needs the control thread.
    drop(control);
    shared.set_current_until(Duration::from_secs(3600));
    shared.snapshot.store(Arc::new(snapshot(backend)));
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let callers = Callers::new(shared, Settings::default(), Tokens::unlimited());
    tokio::spawn(callers::serve(listener, None, callers));
    Ok(address)
}

/// Snapshot with the service `status`, an idempotent route and one backend server.
fn snapshot(backend: SocketAddr) -> Snapshot {
    let digest = Digest::of_key(API_KEY.as_bytes()).to_text();
    let text = format!(
        "service = \"status\"\n\
         [[route]]\npath = \"/\"\nclass = \"status\"\nidempotent = true\n\
         [[region]]\nname = \"ee-north\"\nweight = 1\nslots_per_backend = 9\n\
         [[workspace]]\nname = \"anchor\"\nrate_per_second = 1e6\nburst = 1000000\n\
         keys = [\"{digest}\"]\n"
    );
    let document = Document::parse(&text).expect("the document is valid");
    let service = Service {
        document: Arc::new(document),
        revision: 1,
        weights: ServiceWeights {
            service: "status".into(),
            regions: vec![("ee-north".into(), 1.0)],
        },
        backends: vec![ListedHost {
            name: "backend-1".into(),
            service: Some("status".into()),
            region: "ee-north".into(),
            domain: "ee-north-a".into(),
            address: backend,
            state: ListedState::Live,
        }],
    };
    let mut snapshot = Snapshot::default();
    snapshot.services.insert("status".into(), service);
    snapshot
}

/// Median and 99th percentile latency of one caller's requests.
fn measure(address: SocketAddr) -> std::io::Result<(Duration, Duration)> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let request = format!("GET /look-up HTTP/1.1\r\nhost: status\r\nx-api-key: {API_KEY}\r\n\r\n");
    let mut buffer = [0; 4096];
    let mut latencies = Vec::with_capacity(REQUESTS);
    for _ in 0..REQUESTS {
        let started = Instant::now();
        stream.write_all(request.as_bytes())?;
        let length = stream.read(&mut buffer)?;
        latencies.push(started.elapsed());
        let is_success = buffer[..length].starts_with(b"HTTP/1.1 200");
        assert!(is_success && buffer[..length].ends_with(b"\n"));
    }
    latencies.sort_unstable();
    Ok((latencies[REQUESTS / 2], latencies[REQUESTS * 99 / 100]))
}
