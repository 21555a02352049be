//! Guards against a planned stop of an entry host or a backend server that cuts off requests.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::stream;
use http::{Request, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt as _, Full, StreamBody, combinators::BoxBody};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::{
    support::{Platform, wait_until},
    traffic::{self, Call, Connection, KEY},
};

/// Bound within which a draining backend server gets no new work.
const DRAIN_BOUND: Duration = Duration::from_secs(4);

/// How long callers may cache a look-up; `lookup.ttl_seconds` of the settings.
const LOOKUP_LIFETIME: Duration = Duration::from_secs(1);

/// Pieces of the upload; one is sent in each interval, so that the upload takes 4 s.
const UPLOAD_PIECES: usize = 40;
const UPLOAD_PIECE: &[u8] = &[b'u'; 1000];
const UPLOAD_INTERVAL: Duration = Duration::from_millis(100);

/// Larger than the socket buffers between backend server and caller.
const RESPONSE_BYTES: usize = 48 * 1024 * 1024;

/// Bytes of the response that the caller reads between two pauses, so that reading takes about 4 s.
const RESPONSE_STEP_BYTES: usize = 1024 * 1024;
const RESPONSE_PAUSE: Duration = Duration::from_millis(80);

const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

type Body = BoxBody<Bytes, Infallible>;

#[test]
fn a_stopped_entry_host_cuts_off_no_request() {
    let platform = Platform::start(6, 3);
    let backends = traffic::start_backends(&platform, 2, Duration::ZERO);
    let mut hosts = platform.start_hosts();
    traffic::publish_document(&platform, &hosts, &[KEY]);
    let address = hosts[2].caller_address();
    let upload = platform.runtime.spawn(upload(address));
    let download = platform.runtime.spawn(read_slowly(address));
    wait_until(DRAIN_BOUND, "upload and response have started", || {
        let seen = |path: &str| {
            let mut records = backends.iter().map(|backend| backend.record().seen);
            records.any(|seen| seen.iter().any(|seen| seen.target.starts_with(path)))
        };
        seen("/upload") && seen("/status/large")
    });

    let stop = Arc::new(AtomicBool::new(false));
    let look_up_addresses: Arc<[SocketAddr]> = platform.look_up_addresses().into();
    let callers: Vec<_> = (0..4)
        .map(|number| {
            let caller = call_with_cached_look_ups(number, look_up_addresses.clone(), stop.clone());
            platform.runtime.spawn(caller)
        })
        .collect();
    std::thread::sleep(2 * REQUEST_INTERVAL);
    hosts[2].signal("-TERM");
    let status = hosts[2].wait_for_exit(Duration::from_secs(15));
    assert!(status.success(), "{status}");
    stop.store(true, Ordering::Release);
    assert!(hosts[2].read_log().contains("main: drained in "), "the log lacks the drain time");
    let uploaded = platform.runtime.block_on(upload).expect("a caller");
    assert_eq!(uploaded.expect("a response"), StatusCode::OK);
    let length = platform.runtime.block_on(download).expect("a caller");
    assert_eq!(length.expect("a complete response"), RESPONSE_BYTES);
    let mut by_stopped_host = 0;
    for caller in callers {
        let served = platform.runtime.block_on(caller).expect("a caller");
        by_stopped_host += served.iter().filter(|host| **host == address).count();
    }
    println!("{by_stopped_host} served by the stopped host");
    assert!(by_stopped_host > 0, "no caller used the stopped host");
}

/// Sends one request after another until `stop`, each to the next host of a cached look-up, which
/// is renewed when its lifetime has passed. Returns the host of each served request.
async fn call_with_cached_look_ups(
    number: usize,
    look_up_addresses: Arc<[SocketAddr]>,
    stop: Arc<AtomicBool>,
) -> Vec<SocketAddr> {
    let mut served = Vec::new();
    let mut count = 0;
    let mut resolved_at = Instant::now();
    let mut hosts = traffic::resolve_hosts(&look_up_addresses).await;
    while !stop.load(Ordering::Acquire) {
        if resolved_at.elapsed() >= LOOKUP_LIFETIME {
            resolved_at = Instant::now();
            hosts = traffic::resolve_hosts(&look_up_addresses).await;
        }
        let host = hosts[(number + count) % hosts.len()];
        let call = Call::signing(&format!("kept-{number}-{count}"));
        count += 1;
        // Without a connection nothing was sent; the next request uses the next host.
        if let Ok(mut connection) = Connection::open(host).await {
            let age = resolved_at.elapsed();
            let response = connection.send(&call).await;
            let response = response.unwrap_or_else(|error| {
                panic!("{host}: request cut off, sent {age:?} after the look-up: {error}")
            });
            // While the members change, claims are refused for a short time.
            let is_served = response.status() == StatusCode::OK;
            assert!(is_served || traffic::outcome(&response) == "not-run", "{response:?}");
            served.extend(is_served.then_some(host));
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    served
}

/// Opens an HTTP/1.1 connection whose bodies the caller streams.
async fn open(address: SocketAddr) -> io::Result<http1::SendRequest<Body>> {
    let stream = TcpStream::connect(address).await?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}

fn request(method: &str, target: &str, body: Body) -> Request<Body> {
    let request = Request::builder().method(method).uri(target);
    let request = request.header(header::HOST, "signing");
    let request = request.header("x-api-key", KEY);
    request.body(body).expect("a request")
}

/// Sends an upload in pieces and checks that the backend server received all of it.
async fn upload(address: SocketAddr) -> Result<StatusCode, hyper::Error> {
    let pieces = stream::unfold(0, |sent| async move {
        if sent == UPLOAD_PIECES {
            return None;
        }
        tokio::time::sleep(UPLOAD_INTERVAL).await;
        let frame = Frame::data(Bytes::from_static(UPLOAD_PIECE));
        Some((Ok::<_, Infallible>(frame), sent + 1))
    });
    let mut sender = open(address).await.expect("a connection");
    let body = StreamBody::new(pieces).boxed();
    let response = sender.send_request(request("POST", "/upload", body)).await?;
    let status = response.status();
    let text = response.into_body().collect().await?.to_bytes();
    let received = format!(" {} ", UPLOAD_PIECES * UPLOAD_PIECE.len());
    let text = String::from_utf8_lossy(&text);
    assert!(text.contains(&received), "{text}");
    Ok(status)
}

/// Reads a large response with pauses; returns its length.
async fn read_slowly(address: SocketAddr) -> Result<usize, hyper::Error> {
    let mut sender = open(address).await.expect("a connection");
    let target = format!("/status/large?size={RESPONSE_BYTES}");
    let empty = Full::default().boxed();
    let response = sender.send_request(request("GET", &target, empty)).await?;
    let mut body: Incoming = response.into_body();
    let mut length = 0;
    let mut length_at_pause = 0;
    while let Some(frame) = body.frame().await {
        length += frame?.data_ref().map_or(0, Bytes::len);
        if length >= length_at_pause + RESPONSE_STEP_BYTES {
            length_at_pause = length;
            tokio::time::sleep(RESPONSE_PAUSE).await;
        }
    }
    Ok(length)
}

/// Long enough that some requests run when the backend server starts to drain.
const SERVICE_TIME: Duration = Duration::from_millis(300);

#[test]
fn a_draining_backend_server_gets_no_new_work_and_cuts_off_none() {
    let platform = Platform::start(7, 2);
    let backends = traffic::start_backends(&platform, 2, SERVICE_TIME);
    let hosts = platform.start_hosts();
    traffic::publish_document(&platform, &hosts, &[KEY]);
    let stop = Arc::new(AtomicBool::new(false));
    let look_up_addresses: Arc<[SocketAddr]> = platform.look_up_addresses().into();
    let callers: Vec<_> = (0..8)
        .map(|number| {
            let caller = call_with_cached_look_ups(number, look_up_addresses.clone(), stop.clone());
            platform.runtime.spawn(caller)
        })
        .collect();
    wait_until(DRAIN_BOUND, "the backend server runs requests", || backends[0].running() > 1);
    backends[0].announce_drain();
    std::thread::sleep(DRAIN_BOUND);
    let seen_at_bound = backends[0].record().seen.len();
    std::thread::sleep(Duration::from_secs(1));
    backends[0].drain();
    std::thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Release);
    for caller in callers {
        let served = platform.runtime.block_on(caller);
        assert!(!served.expect("no request was cut off").is_empty());
    }
    assert_eq!(backends[0].record().seen.len(), seen_at_bound, "new work after {DRAIN_BOUND:?}");
    assert_eq!(backends[0].record().cancelled, 0, "cancelled requests");
}
