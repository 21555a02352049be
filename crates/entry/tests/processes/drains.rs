//! Guards against a planned stop, of an entry host or of a backend server, that cuts off requests.

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
    support::{Platform, eventually},
    traffic::{self, Ask, Connection, KEY},
};

const BOUND: Duration = Duration::from_secs(4);

/// How long callers may keep a look-up, as the settings say.
const LOOKUP_LIFETIME: Duration = Duration::from_secs(1);

/// Pieces of the upload; one leaves at each interval, so that the upload takes 4 s.
const UPLOAD_PIECES: usize = 40;
const UPLOAD_PIECE: &[u8] = &[b'u'; 1000];
const UPLOAD_INTERVAL: Duration = Duration::from_millis(100);

/// Larger than what the sockets on the way hold.
const ANSWER_BYTES: usize = 48 * 1024 * 1024;

/// Bytes of the answer that the caller reads before it waits, so that reading takes about 4 s.
const ANSWER_STEP_BYTES: usize = 1024 * 1024;
const ANSWER_PAUSE: Duration = Duration::from_millis(80);

const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

type Body = BoxBody<Bytes, Infallible>;

#[test]
fn a_stopped_entry_host_cuts_off_no_request() {
    let platform = Platform::start(6, 3);
    let backends = traffic::backends(&platform, 2, Duration::ZERO);
    let mut hosts = platform.hosts();
    traffic::serve(&platform, &hosts, &[KEY]);
    let address = hosts[2].callers();
    let upload = platform.runtime.spawn(upload(address));
    let answer = platform.runtime.spawn(slow_answer(address));
    eventually(BOUND, "upload and answer have started", || {
        let seen = |path: &str| {
            let mut records = backends.iter().map(|backend| backend.record().seen);
            records.any(|seen| seen.iter().any(|seen| seen.target.starts_with(path)))
        };
        seen("/upload") && seen("/status/large")
    });

    let stop = Arc::new(AtomicBool::new(false));
    let look_ups: Arc<[SocketAddr]> = platform.look_ups().into();
    let callers: Vec<_> = (0..4)
        .map(|number| {
            let caller = call_with_kept_look_ups(number, look_ups.clone(), stop.clone());
            platform.runtime.spawn(caller)
        })
        .collect();
    std::thread::sleep(2 * REQUEST_INTERVAL);
    hosts[2].signal("-TERM");
    let status = hosts[2].ended(Duration::from_secs(15));
    assert!(status.success(), "{status}");
    stop.store(true, Ordering::Release);
    assert!(hosts[2].logged().contains("main: drained in "), "drain time");
    let uploaded = platform.runtime.block_on(upload).expect("a caller");
    assert_eq!(uploaded.expect("an answer"), StatusCode::OK);
    let length = platform.runtime.block_on(answer).expect("a caller");
    assert_eq!(length.expect("a complete answer"), ANSWER_BYTES);
    let mut to_stopped = 0;
    for caller in callers {
        let counts = platform.runtime.block_on(caller).expect("a caller");
        to_stopped += counts.iter().filter(|host| **host == address).count();
    }
    println!("{to_stopped} served by the stopped host");
    assert!(to_stopped > 0, "no caller used the stopped host");
}

/// Sends one request after another, each to the next host of a look-up that is asked for again when
/// its lifetime has passed. Answers the hosts that served.
async fn call_with_kept_look_ups(
    number: usize,
    look_ups: Arc<[SocketAddr]>,
    stop: Arc<AtomicBool>,
) -> Vec<SocketAddr> {
    let mut served = Vec::new();
    let mut count = 0;
    let mut asked = Instant::now();
    let mut hosts = traffic::look_up(&look_ups).await;
    while !stop.load(Ordering::Acquire) {
        if asked.elapsed() >= LOOKUP_LIFETIME {
            asked = Instant::now();
            hosts = traffic::look_up(&look_ups).await;
        }
        let host = hosts[(number + count) % hosts.len()];
        let ask = Ask::signing(&format!("kept-{number}-{count}"));
        count += 1;
        // Nothing was sent when no connection was made; the next host is used.
        if let Ok(mut connection) = Connection::open(host).await {
            let sent = asked.elapsed();
            let answer = connection.ask(&ask).await;
            let answer = answer.unwrap_or_else(|error| {
                panic!("{host}: cut off {sent:?} after the look-up: {error}")
            });
            // Claims are refused for a moment while the members change.
            let is_served = answer.status() == StatusCode::OK;
            assert!(is_served || traffic::outcome(&answer) == "not-run", "{answer:?}");
            served.extend(is_served.then_some(host));
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    served
}

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

/// Reads a large answer slowly; answers its length.
async fn slow_answer(address: SocketAddr) -> Result<usize, hyper::Error> {
    let mut sender = open(address).await.expect("a connection");
    let target = format!("/status/large?size={ANSWER_BYTES}");
    let empty = Full::default().boxed();
    let response = sender.send_request(request("GET", &target, empty)).await?;
    let mut body: Incoming = response.into_body();
    let mut length = 0;
    let mut paused = 0;
    while let Some(frame) = body.frame().await {
        length += frame?.data_ref().map_or(0, Bytes::len);
        if length >= paused + ANSWER_STEP_BYTES {
            paused = length;
            tokio::time::sleep(ANSWER_PAUSE).await;
        }
    }
    Ok(length)
}

/// Long enough that requests run when the backend server starts to drain.
const SERVICE_TIME: Duration = Duration::from_millis(300);

#[test]
fn a_draining_backend_server_gets_no_new_work_and_cuts_off_none() {
    let platform = Platform::start(7, 2);
    let backends = traffic::backends(&platform, 2, SERVICE_TIME);
    let hosts = platform.hosts();
    traffic::serve(&platform, &hosts, &[KEY]);
    let stop = Arc::new(AtomicBool::new(false));
    let look_ups: Arc<[SocketAddr]> = platform.look_ups().into();
    let callers: Vec<_> = (0..8)
        .map(|number| {
            let caller = call_with_kept_look_ups(number, look_ups.clone(), stop.clone());
            platform.runtime.spawn(caller)
        })
        .collect();
    eventually(BOUND, "the backend server runs requests", || backends[0].running() > 1);
    backends[0].announce_drain();
    std::thread::sleep(BOUND);
    let seen = backends[0].record().seen.len();
    std::thread::sleep(Duration::from_secs(1));
    backends[0].drain();
    std::thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Release);
    for caller in callers {
        let served = platform.runtime.block_on(caller);
        assert!(!served.expect("no request was cut off").is_empty());
    }
    assert_eq!(backends[0].record().seen.len(), seen, "new work after 4 s");
    assert_eq!(backends[0].record().cancelled, 0, "cancelled requests");
}
