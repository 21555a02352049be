//! What the client makes of responses that are no valid HTTP, against a server on loopback.

use std::{sync::Arc, time::Duration};

use marjorampick_load::{
    caller::{Caller, Outcome},
    plan::Stream,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

/// Outcome of a request to a server that answers with these bytes and closes the connection.
async fn outcome(response: &'static str) -> Outcome {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 4096]).await.unwrap() > 0);
        stream.write_all(response.as_bytes()).await.unwrap();
    });
    let caller = Caller::new(Stream {
        name: "a".into(),
        service: "signing".into(),
        key: None,
        method: http::Method::GET,
        path: "/status".into(),
        body_bytes: 0,
        idempotency_key: false,
        rate: 1.0,
        peak: None,
        timeout: Duration::from_secs(5),
        lookups: Vec::new(),
        direct: vec![address],
    });
    caller.call(1).await
}

/// A response with an unknown transfer coding was counted as served, with its chunks as its body, and so was one
/// with a status that is none.
#[tokio::test]
async fn a_broken_response_is_not_served() {
    let whole = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
    assert_eq!(outcome(whole).await, Outcome::Served);
    let responses = [
        ("HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nabc", "connection-lost"),
        ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", "answer-cut"),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            "malformed-answer",
        ),
        ("HTTP/1.1 000 OK\r\nContent-Length: 3\r\n\r\nabc", "connection-lost"),
        ("HTTP/1.1 600 OK\r\nContent-Length: 3\r\n\r\nabc", "malformed-answer"),
    ];
    for (response, code) in responses {
        assert_eq!(outcome(response).await, Outcome::Unknown(Arc::from(code)), "{response:?}");
    }
}
