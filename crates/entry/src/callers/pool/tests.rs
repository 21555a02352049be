//! Tests that a connection with unread bytes of another exchange is not reused.

use std::{
    io::{Read as _, Write as _},
    net::TcpListener,
    time::{Duration, Instant},
};

use http::Request;
use http_body_util::BodyExt as _;

use super::*;

const THREAD: ThreadIndex = ThreadIndex(0);

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Time that is enough for bytes to arrive over the loopback interface.
const LOOPBACK_DELAY: Duration = Duration::from_millis(50);

/// Returns a connection after one complete exchange, and the backend server's end of it.
async fn used_connection() -> (Connection, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut connection = Connection::open(listener.local_addr().unwrap(), THREAD).await.unwrap();
    let (mut server, _) = listener.accept().unwrap();
    let server_thread = std::thread::spawn(move || {
        let mut buffer = [0; 1024];
        assert!(server.read(&mut buffer).unwrap() > 0);
        server.write_all(RESPONSE).unwrap();
        server
    });
    let response = connection.sender.send_request(Request::default()).await;
    response.unwrap().into_body().collect().await.unwrap();
    while !connection.sender.is_ready() {
        tokio::task::yield_now().await;
    }
    (connection, server_thread.join().unwrap())
}

/// Guards against a pool that never reuses connections.
#[tokio::test]
async fn connection_without_unread_bytes_is_reused_once() {
    let (connection, _server) = used_connection().await;
    let pool = Pool::default();
    pool.put(Instant::now(), connection);
    assert!(pool.take(Instant::now(), THREAD, true).is_some());
    assert!(pool.take(Instant::now(), THREAD, true).is_none(), "given out twice");
}

/// Guards against reuse of a connection with an unsolicited response or a close that the HTTP
/// library's task has not processed yet. The test blocks the runtime, so that the task cannot run.
#[tokio::test]
async fn connection_with_unread_bytes_or_closed_is_not_reused() {
    let pool = Pool::default();
    let (connection, mut server) = used_connection().await;
    pool.put(Instant::now(), connection);
    server.write_all(RESPONSE).unwrap();
    std::thread::sleep(LOOPBACK_DELAY);
    assert!(pool.take(Instant::now(), THREAD, false).is_none());

    let (connection, server) = used_connection().await;
    pool.put(Instant::now(), connection);
    drop(server);
    std::thread::sleep(LOOPBACK_DELAY);
    assert!(pool.take(Instant::now(), THREAD, false).is_none());
}
