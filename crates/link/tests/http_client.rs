//! Limits of a request on time and size, against a server on loopback that sends its response in pieces.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use marjorampick_link::http_client::{self, Fault, Limits};
use socket2::SockRef;
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

/// Body of the response of a server that sends these bytes and closes the connection.
async fn receive(response: &str) -> Result<Bytes, Fault> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let uri = format!("http://{}/", listener.local_addr().unwrap());
    let response = response.to_owned();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 4096]).await.unwrap() > 0);
        stream.write_all(response.as_bytes()).await.unwrap();
    });
    let request = Request::get(uri).body(Bytes::new()).unwrap();
    http_client::send(request, PAUSE * 10).await.map(http::Response::into_body)
}

/// A response with an unknown transfer coding was taken for one that ends with the connection, so that its
/// chunks counted as its body.
#[tokio::test]
async fn a_response_with_a_spoilt_length_is_none() {
    let codings = ["", "chunke", "xchunked", "chunked;", "\"chunked\"", "gzip", "identity"];
    let codings = codings.map(|value| {
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: {value}\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
    });
    let lengths = ["+3", "-3", "3x", "0x3", "3 3", "3,4", "", "3\r\nContent-Length: 4"];
    let lengths =
        lengths.map(|value| format!("HTTP/1.1 200 OK\r\nContent-Length: {value}\r\n\r\nabc"));
    let received = accepted(codings.into_iter().chain(lengths)).await;
    assert!(received.is_empty(), "{}", received.join("\n"));
}

/// Guards against responses with a status that is none, a line that is no field, or a spoilt line of a chunk.
#[tokio::test]
async fn a_response_with_a_spoilt_line_is_none() {
    let statuses = ["000", "099", "20", "2000", "2x0", ""];
    let statuses =
        statuses.map(|status| format!("HTTP/1.1 {status} OK\r\nContent-Length: 3\r\n\r\nabc"));
    let fields =
        ["this is no field", ": value", " folded", "X Y: z", "X : y", "X\u{1}: y", "X\0: y"];
    let fields =
        fields.map(|line| format!("HTTP/1.1 200 OK\r\n{line}\r\nContent-Length: 3\r\n\r\nabc"));
    let line_feeds = ["\nX: y", "X: y\n", "X: y\n\nZ: a", "X: y\nZ: a"];
    let line_feeds =
        line_feeds.map(|line| format!("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n{line}\r\n\r\nabc"));
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunks = ["", " ", ";x", " 3", "+3", "-3", "0x3", "3x", "3 3", "g", "3\0", "3;x\ny"];
    let chunks = chunks.map(|line| format!("{chunked}3\r\nabc\r\n{line}\r\ndef\r\n0\r\n\r\n"));
    let trailers = ["no field", "X Y: z", "X\u{1}: y", ": y"];
    let trailers = trailers.map(|line| format!("{chunked}3\r\nabc\r\n0\r\n{line}\r\n\r\n"));
    let all = statuses.into_iter().chain(fields).chain(line_feeds).chain(chunks).chain(trailers);
    let received = accepted(all).await;
    assert!(received.is_empty(), "{}", received.join("\n"));
}

/// Those of these responses that were taken for valid ones.
async fn accepted(responses: impl IntoIterator<Item = String>) -> Vec<String> {
    let mut received = Vec::new();
    for response in responses {
        if let Ok(body) = receive(&response).await {
            received.push(format!("{response:?} with the body {body:?}"));
        }
    }
    received
}

/// Guards against a part of a response that counts as all of it, as a write met the reset that cut it.
#[tokio::test]
async fn a_response_that_is_reset_during_the_request_is_none() {
    const REQUEST_BYTES: usize = 6 << 20;
    for read_bytes in (0..8).map(|number| 1000 + number * REQUEST_BYTES / 16) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let uri = format!("http://{}/", listener.local_addr().unwrap());
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.read_exact(&mut vec![0; read_bytes]).await.unwrap();
            stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nabc").await.unwrap();
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        });
        let request = Request::post(uri).body(Bytes::from(vec![0; REQUEST_BYTES])).unwrap();
        let received = http_client::send(request, PAUSE * 10).await;
        assert!(received.is_err(), "after {read_bytes} bytes: {received:?}");
    }
}
