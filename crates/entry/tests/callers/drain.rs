//! A planned stop cuts off no request.

use std::time::Duration;

use marjorampick_entry::callers::{self, Settings, tokens::Tokens};
use tokio::net::TcpStream;

use crate::common::{ANCHOR_KEY, Caller, LIMIT, Site, document, request, until};

/// Guards against a drain that cuts off a long upload, refuses callers with cached look-ups, or
/// never ends.
#[tokio::test]
async fn a_long_upload_survives_the_drain() {
    let settings = Settings { lookup_lifetime: Duration::from_millis(150), ..Settings::default() };
    let site = Site::with(1, settings, Tokens::unlimited()).await;
    let mut idle = site.caller().await;
    let look_up = request("GET", "/status", "", "");
    assert_eq!(idle.ask(&look_up).await.header("connection"), None);
    let mut upload = site.caller().await;
    upload.send(request("POST", "/sign", "content-length: 10\r\n", "hello")).await;
    until("the upload starts", || site.backends[0].record().seen.len() == 2).await;

    site.shared.start_draining();
    let mut late = site.caller().await;
    let answer = late.ask(&look_up).await;
    assert_eq!((answer.status, answer.header("connection")), (200, Some("close")));
    assert!(late.is_closed().await);

    assert!(idle.is_closed().await, "idle connections are closed with the listener");
    while TcpStream::connect(site.address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(!site.serving.is_finished(), "the upload is still open");
    upload.send("world").await;
    let answer = upload.answer().await;
    assert_eq!(answer.body, "backend-0 /sign 10 -\n");
    assert!(answer.complete);
    tokio::time::timeout(LIMIT, site.serving).await.unwrap().unwrap().unwrap();
}

/// Guards against the last callers before the listener closes being cut off.
#[tokio::test]
async fn callers_that_connect_at_the_last_moment_are_answered() {
    let settings = Settings { lookup_lifetime: Duration::from_millis(100), ..Settings::default() };
    let site = Site::with(1, settings, Tokens::unlimited()).await;
    site.shared.start_draining();
    let mut last = Vec::new();
    while let Ok(stream) = TcpStream::connect(site.address).await {
        last.push(Caller::from(stream));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut newest = last.pop().unwrap();
    let answer = newest.ask(&request("GET", "/status", "", "")).await;
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// Guards against a request that is cut off because the caller thread that opened its backend
/// connection has drained earlier.
#[tokio::test]
async fn caller_threads_do_not_share_backend_connections() {
    let site = Site::start(1).await;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let callers = site.callers.clone();
    let other = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.unwrap().block_on(async {
            let listener = tokio::net::TcpListener::from_std(listener).unwrap();
            tokio::select! {
                _ = callers::serve(listener, None, callers) => {}
                _ = stopped => {}
            }
        });
    });
    let first = Caller::connect(address).await;
    let answer = { first }.ask(&request("GET", "/status", "", "")).await;
    assert_eq!(answer.status, 200);
    let mut running = site.caller().await;
    let slow = request("POST", "/slow", "x-standin-fault: late=200\r\n", "");
    running.send(slow).await;
    until("the request runs", || site.backends[0].running() == 1).await;
    drop(stop);
    other.join().unwrap();
    assert_eq!(running.answer().await.status, 200);
}

/// Guards against an older snapshot in a slow thread making newer instances leave.
#[tokio::test]
async fn an_older_snapshot_does_not_remove_instances() {
    let mut site = Site::start(2).await;
    let all = site.listed.clone();
    site.listed.truncate(1);
    site.publish(document(ANCHOR_KEY), "ee-north");
    let older = site.shared.snapshot.load_full();
    site.listed = all;
    site.publish(document(ANCHOR_KEY), "ee-north");
    assert_eq!(site.instances().len(), 2);
    let fleet = site.callers.fleet();
    fleet.instances(site.shared.now(), &older, "signing");
    let instances = site.instances();
    assert!(instances.iter().all(|instance| !instance.status().is_leaving()));
}

/// Guards against new work for a backend server that says itself that it is leaving.
#[tokio::test]
async fn a_draining_backend_server_ends_its_answers_with_a_close() {
    let site = Site::start(1).await;
    site.backends[0].announce_drain();
    let mut caller = site.caller().await;
    for _ in 0..2 {
        let answer = caller.ask(&request("GET", "/status", "", "")).await;
        assert_eq!((answer.status, answer.header("connection")), (200, None));
    }
    let seen = site.backends[0].record().seen;
    assert_ne!(seen[0].connection, seen[1].connection);
}
