//! Guards against connections that hold bytes of another exchange.

use std::{
    io::{Read as _, Write as _},
    net::TcpListener,
    time::{Duration, Instant},
};

use http::Request;
use http_body_util::BodyExt as _;

use super::*;

const THREAD: ThreadIndex = ThreadIndex(0);

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Time in which bytes cross the loopback interface.
const CROSSING: Duration = Duration::from_millis(50);

/// A connection that has answered one request, and the backend server's end of it.
async fn used() -> (Connection, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut connection = Connection::open(listener.local_addr().unwrap(), THREAD).await.unwrap();
    let (mut server, _) = listener.accept().unwrap();
    let answering = std::thread::spawn(move || {
        let mut buffer = [0; 1024];
        assert!(server.read(&mut buffer).unwrap() > 0);
        server.write_all(ANSWER).unwrap();
        server
    });
    let answer = connection.sender.send_request(Request::default()).await;
    answer.unwrap().into_body().collect().await.unwrap();
    while !connection.sender.is_ready() {
        tokio::task::yield_now().await;
    }
    (connection, answering.join().unwrap())
}

/// Guards against refusing every idle connection.
#[tokio::test]
async fn a_quiet_connection_is_used_again() {
    let (connection, _server) = used().await;
    let pool = Pool::default();
    pool.put(Instant::now(), connection);
    assert!(pool.take(Instant::now(), THREAD, true).is_some());
    assert!(pool.take(Instant::now(), THREAD, true).is_none(), "given out twice");
}

/// Guards against an answer that nobody asked for, or a close, which the HTTP library's task has
/// not had the time to see when the connection is taken. The blocked runtime stands for that.
#[tokio::test]
async fn unread_bytes_and_closed_connections_are_seen_at_once() {
    let pool = Pool::default();
    let (connection, mut server) = used().await;
    pool.put(Instant::now(), connection);
    server.write_all(ANSWER).unwrap();
    std::thread::sleep(CROSSING);
    assert!(pool.take(Instant::now(), THREAD, false).is_none());

    let (connection, server) = used().await;
    pool.put(Instant::now(), connection);
    drop(server);
    std::thread::sleep(CROSSING);
    assert!(pool.take(Instant::now(), THREAD, false).is_none());
}
