//! A planned stop cuts off no request.

use std::time::Duration;

use marjorampick_entry::callers::{Settings, tokens::Tokens};
use tokio::net::TcpStream;

use crate::common::{Caller, LIMIT, Site, request, until};

/// Guards against a drain that cuts off a long upload, refuses callers with cached look-ups, or
/// never ends.
#[tokio::test]
async fn a_long_upload_survives_the_drain() {
    let settings = Settings {
        lookup_lifetime: Duration::from_millis(150),
        ..Settings::default()
    };
    let site = Site::with(1, settings, Tokens::unlimited()).await;
    let mut idle = site.caller().await;
    let look_up = request("GET", "/status", "", "");
    assert_eq!(idle.ask(&look_up).await.header("connection"), None);
    let mut upload = site.caller().await;
    upload
        .send(request("POST", "/sign", "content-length: 10\r\n", "hello"))
        .await;
    until("the upload starts", || {
        site.backends[0].record().seen.len() == 2
    })
    .await;

    site.shared.start_draining();
    let mut late = site.caller().await;
    let answer = late.ask(&look_up).await;
    assert_eq!(
        (answer.status, answer.header("connection")),
        (200, Some("close"))
    );
    assert!(late.is_closed().await);

    assert!(
        idle.is_closed().await,
        "idle connections are closed with the listener"
    );
    while TcpStream::connect(site.address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(!site.serving.is_finished(), "the upload is still open");
    upload.send("world").await;
    let answer = upload.answer().await;
    assert_eq!(answer.body, "backend-0 /sign 10 -\n");
    assert!(answer.complete);
    tokio::time::timeout(LIMIT, site.serving)
        .await
        .unwrap()
        .unwrap()
        .unwrap();
}

/// Guards against the last callers before the listener closes being cut off.
#[tokio::test]
async fn callers_that_connect_at_the_last_moment_are_answered() {
    let settings = Settings {
        lookup_lifetime: Duration::from_millis(100),
        ..Settings::default()
    };
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
