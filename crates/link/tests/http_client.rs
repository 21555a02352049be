//! Limits of a request on time and size, against a server on loopback that sends its response in pieces.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use marjorampick_link::http_client::{self, Fault, Limits};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
    time::sleep,
};

const PIECES: usize = 8;
const PIECE_BYTES: usize = 1000;
const PAUSE: Duration = Duration::from_millis(100);

/// A response that kept coming was cut at a fixed time, so that a slow link could never carry a large one.
#[tokio::test]
async fn a_response_that_keeps_coming_is_not_cut() {
    let limits = Limits { total: PAUSE * 40, ..Limits::within(PAUSE * 4) };
    assert_eq!(get(limits).await.unwrap(), PIECES * PIECE_BYTES);
}

/// A response that stops, or does not end, must not hold its caller.
#[tokio::test]
async fn a_response_that_stops_or_takes_too_long_is_cut() {
    let silent = Limits { silence: PAUSE / 4, ..Limits::within(PAUSE * 40) };
    assert!(matches!(get(silent).await, Err(Fault::TimedOut)));
    let long = Limits { total: PAUSE * 3, ..Limits::within(PAUSE * 40) };
    assert!(matches!(get(long).await, Err(Fault::TimedOut)));
}

/// A response that is larger than its caller reads must be told from one that failed.
#[tokio::test]
async fn a_response_that_is_too_large_is_not_read() {
    let limits = Limits { body_bytes: PIECES * PIECE_BYTES - 1, ..Limits::within(PAUSE * 2) };
    assert!(matches!(get(limits).await, Err(Fault::TooLarge)));
}

/// Size of the response to a request.
async fn get(limits: Limits) -> Result<usize, Fault> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let uri = format!("http://{}/", listener.local_addr().unwrap());
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.read_u8().await.unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", PIECES * PIECE_BYTES);
        stream.write_all(head.as_bytes()).await.unwrap();
        for _ in 0..PIECES {
            sleep(PAUSE).await;
            // The client may have closed the connection.
            if stream.write_all(&[0; PIECE_BYTES]).await.is_err() {
                return;
            }
        }
        sleep(PAUSE).await;
    });
    let request = Request::get(uri).body(Bytes::new()).unwrap();
    let result = http_client::send_within(request, PAUSE * 4, limits).await;
    server.abort();
    result.map(|response| response.body().len())
}
