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

/// Everything that the server sends for one request.
async fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    // A fault may reset the connection.
    stream.read_to_end(&mut answer).await.ok();
    String::from_utf8(answer).unwrap()
}

/// Guards against experiments whose backend server has no cold start or sheds without saying so.
#[tokio::test]
async fn a_cold_server_is_slow_and_a_full_one_sheds() {
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
    let shed = get(address, "/b").await;
    assert!(shed.starts_with("HTTP/1.1 503") && shed.contains("marjorampick-outcome: not-run"));
    assert!(running.await.unwrap().starts_with("HTTP/1.1 200"));
    assert!(started.elapsed() >= Duration::from_millis(95), "not cold");
    let record = backend.record();
    assert_eq!((record.runs_of("/a"), record.runs_of("/b"), record.shed), (1, 0, 1));
}

/// Guards against reports that are always right: the platform's lag and mislead.
#[tokio::test]
async fn reports_lag_and_lie() {
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

/// Guards against faults and records that other processes can't reach.
#[tokio::test]
async fn faults_and_records_are_reached_over_http() {
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
