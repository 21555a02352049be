//! Draining of an entry host or a backend server cuts off no request.

use std::time::Duration;

use marjorampick_entry::callers::{self, Settings, tokens::Tokens};
use tokio::net::TcpStream;

use crate::common::{ANCHOR_KEY, Caller, Host, WAIT_TIMEOUT, document, request, wait_until};

/// Guards against a drain that cuts off a long upload, refuses callers that still use a cached
/// look-up, or never ends.
#[tokio::test]
async fn a_long_upload_survives_the_drain() {
    let settings = Settings { lookup_lifetime: Duration::from_millis(150), ..Settings::default() };
    let host = Host::start_with(1, settings, Tokens::unlimited()).await;
    let mut idle = host.connect().await;
    let status_request = request("GET", "/status", "", "");
    assert_eq!(idle.send(&status_request).await.header("connection"), None);
    let mut upload = host.connect().await;
    upload.write(request("POST", "/sign", "content-length: 10\r\n", "hello")).await;
    wait_until("the upload starts", || host.backends[0].record().seen.len() == 2).await;

    host.shared.start_draining();
    let mut late = host.connect().await;
    let response = late.send(&status_request).await;
    assert_eq!((response.status, response.header("connection")), (200, Some("close")));
    assert!(late.is_closed().await);

    assert!(idle.is_closed().await, "idle connections are closed with the listener");
    while TcpStream::connect(host.address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(!host.serving.is_finished(), "the upload is still open");
    upload.write("world").await;
    let response = upload.read_response().await;
    assert_eq!(response.body, "backend-0 /sign 10 -\n");
    assert!(response.complete);
    tokio::time::timeout(WAIT_TIMEOUT, host.serving).await.unwrap().unwrap().unwrap();
}

/// Guards against cutting off connections that were accepted just before the listener closes.
#[tokio::test]
async fn callers_that_connect_at_the_last_moment_are_answered() {
    let settings = Settings { lookup_lifetime: Duration::from_millis(100), ..Settings::default() };
    let host = Host::start_with(1, settings, Tokens::unlimited()).await;
    host.shared.start_draining();
    let mut accepted = Vec::new();
    while let Ok(stream) = TcpStream::connect(host.address).await {
        accepted.push(Caller::from(stream));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut newest = accepted.pop().unwrap();
    let response = newest.send(&request("GET", "/status", "", "")).await;
    assert_eq!(response.status, 200, "{response:?}");
}

/// Guards against cutting off a request because another caller thread, which opened its backend
/// connection, has drained and ended.
#[tokio::test]
async fn caller_threads_do_not_share_backend_connections() {
    let host = Host::start(1).await;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let callers = host.callers.clone();
    let other_thread = std::thread::spawn(move || {
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
    let response = { first }.send(&request("GET", "/status", "", "")).await;
    assert_eq!(response.status, 200);
    let mut running = host.connect().await;
    let slow = request("POST", "/slow", "x-standin-fault: late=200\r\n", "");
    running.write(slow).await;
    wait_until("the request runs", || host.backends[0].running() == 1).await;
    drop(stop);
    other_thread.join().unwrap();
    assert_eq!(running.read_response().await.status, 200);
}

/// Guards against a thread that still holds an older snapshot marking newer instances as leaving.
#[tokio::test]
async fn an_older_snapshot_does_not_remove_instances() {
    let mut host = Host::start(2).await;
    let all = host.listed.clone();
    host.listed.truncate(1);
    host.publish(document(ANCHOR_KEY), "ee-north");
    let older = host.shared.snapshot.load_full();
    host.listed = all;
    host.publish(document(ANCHOR_KEY), "ee-north");
    assert_eq!(host.instances().len(), 2);
    let fleet = host.callers.fleet();
    fleet.instances(host.shared.now(), &older, "signing");
    let instances = host.instances();
    assert!(instances.iter().all(|instance| !instance.status().is_leaving()));
}

/// Guards against new work on the open connections of a backend server that announces its drain by
/// closing each connection after the response.
#[tokio::test]
async fn connections_to_a_draining_backend_server_are_not_reused() {
    let host = Host::start(1).await;
    host.backends[0].announce_drain();
    let mut caller = host.connect().await;
    for _ in 0..2 {
        let response = caller.send(&request("GET", "/status", "", "")).await;
        assert_eq!((response.status, response.header("connection")), (200, None));
    }
    let seen = host.backends[0].record().seen;
    assert_ne!(seen[0].connection, seen[1].connection);
}
