//! The backend server stand-in over real sockets.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use marjorampick_standin::backend::{Backend, Settings};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::Instant,
};

async fn start(settings: Settings) -> (Arc<Backend>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let backend = Backend::new(settings);
    tokio::spawn(backend.clone().serve(listener));
    (backend, address)
}

/// Sends one request and returns all bytes that the server sends until the connection ends.
async fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    // A fault may reset the connection; what was read until then is the result.
    stream.read_to_end(&mut response).await.ok();
    String::from_utf8(response).unwrap()
}

/// A cold server runs requests more slowly, and a full one refuses them with the header that states
/// that they did not run.
#[tokio::test]
async fn cold_server_is_slow_and_full_server_refuses() {
    let (backend, address) = start(Settings {
        slots: 1,
        service_time: Duration::from_millis(20),
        cold_start: Duration::from_secs(60),
        cold_factor: 5.0,
        ..Settings::default()
    })
    .await;
    let started = Instant::now();
    let running = tokio::spawn(async move { get(address, "/a").await });
    while backend.running() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let refused = get(address, "/b").await;
    assert!(
        refused.starts_with("HTTP/1.1 503") && refused.contains("marjorampick-outcome: not-run")
    );
    assert!(running.await.unwrap().starts_with("HTTP/1.1 200"));
    assert!(started.elapsed() >= Duration::from_millis(95), "not cold");
    let record = backend.record();
    assert_eq!((record.runs_of("/a"), record.runs_of("/b"), record.shed), (1, 0, 1));
}

/// Load and health reports can lag behind the actual state, as on real backend servers, and
/// settings can replace their figures.
#[tokio::test]
async fn reports_can_be_delayed_and_replaced() {
    let (backend, address) = start(Settings {
        report_lag: Duration::from_secs(60),
        reported_load: Some(7),
        ..Settings::default()
    })
    .await;
    backend.announce_drain();
    assert!(get(address, "/health").await.ends_with("ready\n"));
    assert!(get(address, "/load").await.contains("\"running\":7"));
    let (backend, address) = start(Settings::default()).await;
    backend.announce_drain();
    assert!(get(address, "/health").await.ends_with("draining\n"));
}

/// Tests in other processes set faults and read records over HTTP.
#[tokio::test]
async fn faults_are_set_and_records_read_over_http() {
    let (_backend, address) = start(Settings::default()).await;
    assert!(get(address, "/_admin/fault?cut=2&requests=1").await.ends_with("planned\n"));
    assert!(get(address, "/a").await.ends_with("\r\n\r\nba"));
    assert!(get(address, "/a").await.ends_with("backend /a 0 -\n"));
    assert!(get(address, "/_admin/runs").await.contains("\"/a\":2"));
    assert!(get(address, "/_admin/fault?nothing").await.starts_with("HTTP/1.1 400"));
    assert!(get(address, "/_admin/drain").await.ends_with("draining\n"));
    while TcpStream::connect(address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
