//! Answers of backend servers that are no valid HTTP, or that are cut while the request is being sent.

use std::{sync::Arc, time::Duration};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

use crate::common::{ANCHOR_KEY, Caller, Host, document, request};

/// A host, and the listener of its only backend server.
async fn start() -> (Host, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut host = Host::start(1).await;
    host.listed[0].address = listener.local_addr().unwrap();
    host.publish(document(ANCHOR_KEY), "ee-north");
    (host, listener)
}

/// A host whose only backend server answers each connection with these bytes, and then closes it.
async fn start_with(answer: &str) -> Host {
    let (host, listener) = start().await;
    let answer: Arc<str> = answer.into();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream, answer.clone()));
        }
    });
    host
}

async fn respond(mut stream: TcpStream, answer: Arc<str>) {
    // The head of a request comes in one piece.
    if stream.read(&mut [0; 4096]).await.is_ok_and(|length| length > 0) {
        stream.write_all(answer.as_bytes()).await.ok();
    }
}

/// Checks that none of these answers to requests with this method reaches its caller as a complete one.
async fn expect_failures(method: &str, answers: impl IntoIterator<Item = String>) {
    let mut passed = Vec::new();
    for answer in answers {
        let host = start_with(&answer).await;
        let mut stream = TcpStream::connect(host.address).await.unwrap();
        stream.write_all(request(method, "/status", "", "").as_bytes()).await.unwrap();
        let (status, is_complete) = match method {
            "HEAD" => read_head(stream).await,
            _ => read_response(stream).await,
        };
        if is_complete && status != 502 {
            passed.push(format!("{answer:?} as {status}"));
        }
    }
    assert!(passed.is_empty(), "{} were passed on:\n{}", passed.len(), passed.join("\n"));
}

/// Status of a response, and whether all of it came.
async fn read_response(stream: TcpStream) -> (u16, bool) {
    let response = Caller::from(stream).read_response().await;
    (response.status, response.complete)
}

/// The same for a response without a body.
async fn read_head(mut stream: TcpStream) -> (u16, bool) {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
            return (0, false);
        }
    }
    let head = String::from_utf8_lossy(&bytes);
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    (status.unwrap_or(0), true)
}

/// A length that is none was passed on to the caller where no body follows.
#[tokio::test]
async fn a_spoilt_length_is_no_length() {
    let sized = [
        "+3",
        "-3",
        "3x",
        "x3",
        "0x3",
        "3.0",
        "3 3",
        "3,4",
        "3;",
        "\"3\"",
        "",
        "3\r\nContent-Length: 4",
    ];
    let sized = sized.map(|value| format!("HTTP/1.1 200 OK\r\nContent-Length: {value}\r\n\r\n"));
    expect_failures("HEAD", sized.clone()).await;
    expect_failures("GET", sized.map(|head| head + "abc")).await;
    let codings = [
        "",
        "chunke",
        "xchunked",
        "chunked;",
        "\"chunked\"",
        "chunked, chunked",
        "gzip",
        "identity",
    ];
    let chunked =
        codings.map(|value| format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: {value}\r\n\r\n"));
    expect_failures("HEAD", chunked.clone()).await;
    expect_failures("GET", chunked.map(|head| head + "3\r\nabc\r\n0\r\n\r\n")).await;
}

/// A body that a 204 announced was cut off, and the caller got an empty answer as the complete one.
#[tokio::test]
async fn an_answer_that_can_have_no_body_announces_none() {
    let fields = ["Content-Length: 3", "Transfer-Encoding: chunked"];
    let answers = fields.map(|field| format!("HTTP/1.1 204 No Content\r\n{field}\r\n\r\n3\r\nabc"));
    expect_failures("GET", answers).await;
}

/// Guards against bodies that end at a spoilt line of a chunk, and against those whose trailer is none.
#[tokio::test]
async fn a_spoilt_line_ends_no_chunked_body() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
    let lines = ["", " ", ";x", " 3", "+3", "-3", "0x3", "3x", "3 3", "g", "3\0", "3;x\ny"];
    let lines = lines.map(|line| format!("{head}{line}\r\ndef\r\n0\r\n\r\n"));
    let trailers = ["no field", "X Y: z", "X\u{1}: y", ": y"];
    let trailers = trailers.map(|line| format!("{head}0\r\n{line}\r\n\r\n"));
    expect_failures("GET", lines.into_iter().chain(trailers)).await;
}

/// A line feed alone ended the head in its middle, and its rest was the start of the body.
#[tokio::test]
async fn a_line_feed_alone_ends_no_line_of_a_head() {
    let lines = ["\nX: y", "X: y\n", "X: y\n\nZ: a", "X: y\nZ: a"];
    let answers =
        lines.map(|line| format!("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n{line}\r\n\r\nabc"));
    let start = ["HTTP/1.1 200 OK\nContent-Length: 3\r\n\r\nabc".to_owned()];
    expect_failures("GET", answers.into_iter().chain(start)).await;
}

/// Guards against heads with a status that is none, or with a line that is no field.
#[tokio::test]
async fn a_spoilt_head_is_no_answer() {
    let statuses = ["000", "001", "099", "101", "600", "999", "20", "2000", "2x0", ""];
    let statuses =
        statuses.map(|status| format!("HTTP/1.1 {status} OK\r\nContent-Length: 3\r\n\r\nabc"));
    let lines = [
        "this is no field",
        ": value",
        " folded",
        "X Y: z",
        "X : y",
        "X\u{1}: y",
        "X\0Y: z",
        "X\u{7f}: y",
    ];
    let lines = lines.into_iter().flat_map(|line| {
        let first = format!("HTTP/1.1 200 OK\r\n{line}\r\nContent-Length: 3\r\n\r\nabc");
        [first, format!("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n{line}\r\n\r\nabc")]
    });
    expect_failures("GET", statuses.into_iter().chain(lines)).await;
}

/// Guards against an answer that is cut by a reset during the upload and looks complete.
#[tokio::test]
async fn an_answer_that_is_reset_during_an_upload_is_not_complete() {
    const UPLOAD_BYTES: usize = 8 << 20;
    for framing in ["", "Content-Length: 20000\r\n", "Transfer-Encoding: chunked\r\n"] {
        for (length, read_bytes) in
            [(0, 1000), (100, 1000), (10_000, 1000), (0, 1 << 20), (100, 1 << 20)]
        {
            let (host, listener) = start().await;
            let part = match framing.contains("chunked") {
                true => format!("{length:x}\r\n{}", "x".repeat(length)),
                false => "x".repeat(length),
            };
            let answer = format!("HTTP/1.1 200 OK\r\n{framing}\r\n{part}");
            tokio::spawn(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                stream.read_exact(&mut vec![0; read_bytes]).await.unwrap();
                stream.write_all(answer.as_bytes()).await.unwrap();
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            });
            let length_line = format!("content-length: {UPLOAD_BYTES}\r\n");
            let part = request("POST", "/sign", &length_line, &"x".repeat(UPLOAD_BYTES / 2));
            let mut stream = TcpStream::connect(host.address).await.unwrap();
            // The host may close the connection before it has read all.
            stream.write_all(part.as_bytes()).await.ok();
            let (status, is_complete) = read_response(stream).await;
            assert!(status != 200 || !is_complete, "{framing:?}, {length} bytes");
        }
    }
}
