//! Tests of how connections to backend servers are closed.

use std::{
    io::{ErrorKind, Write as _},
    net::{Shutdown, SocketAddr},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderName, Method};
use marjorampick_steer::backend::{
    connection::{Connection, Fault, Part, Reply, Request},
    memory::Memory,
};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpSocket, TcpStream},
    time::timeout,
};

/// More than the kernel of a peer with a small buffer takes.
const BODY_BYTES: usize = 1 << 20;

/// Memory for answers, in bytes.
const ANSWER_BYTES: usize = 1 << 20;

/// Listener whose connections have small receive buffers.
fn listen() -> (TcpListener, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn request(body_bytes: usize) -> Request {
    Request {
        method: Method::POST,
        head: Bytes::from(format!("POST / HTTP/1.1\r\ncontent-length: {body_bytes}\r\n\r\n")),
        body: Bytes::from(vec![b'x'; body_bytes]),
        id: Bytes::from_static(b"1"),
        id_header: HeaderName::from_static("request-id"),
    }
}

/// Reads until the connection ends. Returns the number of bytes and the error, if any.
async fn read_all(mut stream: TcpStream) -> (usize, Option<ErrorKind>) {
    let mut bytes = Vec::new();
    let result = stream.read_to_end(&mut bytes).await;
    (bytes.len(), result.err().map(|error| error.kind()))
}

/// The kernel went on sending what it held of a request that the host had given up, which reached an instance
/// seconds later, after it had said that it leaves.
#[tokio::test]
async fn a_request_that_is_given_up_is_not_sent_later() {
    let (listener, address) = listen();
    let mut connection = Connection::open(address).await.unwrap();
    let (peer, _) = listener.accept().await.unwrap();
    let (request, memory) = (request(BODY_BYTES), Memory::new(ANSWER_BYTES));
    let mut buffer_all = |_: &_, _| false;
    let exchange = connection.exchange(&request, &memory, &mut buffer_all);
    timeout(Duration::from_millis(300), exchange).await.expect_err("no answer was sent");
    assert!(connection.may_have_sent());
    drop(connection);
    let (received, error) = read_all(peer).await;
    // What the peer's kernel had acknowledged cannot be taken back.
    assert!(received <= 64 << 10, "{received} bytes were sent in all");
    assert_eq!(error, Some(ErrorKind::ConnectionReset));
}

/// A reset may make a peer drop what it has not read yet. Connections without an open exchange must not cause it.
#[tokio::test]
async fn connections_without_an_open_exchange_are_closed_in_order() {
    let (listener, address) = listen();
    for is_used in [false, true] {
        let mut connection = Connection::open(address).await.unwrap();
        let (mut peer, _) = listener.accept().await.unwrap();
        if is_used {
            let answer = "HTTP/1.1 200 OK\r\nrequest-id: 1\r\ncontent-length: 0\r\n\r\n";
            peer.write_all(answer.as_bytes()).await.unwrap();
            let (request, memory) = (request(5), Memory::new(ANSWER_BYTES));
            let mut buffer_all = |_: &_, _| false;
            connection.exchange(&request, &memory, &mut buffer_all).await.unwrap();
        }
        drop(connection);
        let (_, error) = read_all(peer).await;
        assert_eq!(error, None, "used: {is_used}");
    }
}

/// What a connection gave of an answer without a length, or why there is none.
async fn receive_answer(connection: &mut Connection, request: &Request) -> Result<usize, Fault> {
    let memory = Memory::new(ANSWER_BYTES);
    let mut large = match connection.exchange(request, &memory, &mut |_, _| true).await? {
        Reply::Whole(answer, is_reusable) => {
            assert!(!is_reusable);
            return Ok(answer.body.len());
        }
        Reply::Large(large) => large,
    };
    let mut length = 0;
    loop {
        match connection.next_part(&mut large).await? {
            Part::Piece(piece) => length += piece.len(),
            Part::Last(piece, is_reusable) => {
                assert!(!is_reusable);
                return Ok(length + piece.len());
            }
        }
    }
}

/// The kernel reports a reset once. A write that met it took the report from the read, which then saw an orderly
/// end, so that a part of an answer without a length was taken for all of it.
#[tokio::test]
async fn a_reset_that_a_write_meets_does_not_complete_an_answer() {
    for (length, is_ended_in_order) in [(10, false), (40_000, false), (10, true), (40_000, true)] {
        let (listener, address) = listen();
        let mut connection = Connection::open(address).await.unwrap();
        let (peer, _) = listener.accept().await.unwrap();
        // The host does not look at its sockets meanwhile, as if it were busy, and then writes first.
        let mut peer = peer.into_std().unwrap();
        let head = b"HTTP/1.1 200 OK\r\nrequest-id: 1\r\n\r\n";
        peer.write_all(&[head, vec![b'x'; length].as_slice()].concat()).unwrap();
        if is_ended_in_order {
            peer.shutdown(Shutdown::Write).unwrap();
        }
        SockRef::from(&peer).set_linger(Some(Duration::ZERO)).unwrap();
        drop(peer);
        let request = request(BODY_BYTES);
        let received = receive_answer(&mut connection, &request);
        match timeout(Duration::from_secs(5), received).await.unwrap() {
            Ok(received) => assert!(is_ended_in_order && received == length, "{received} bytes"),
            Err(Fault::Transport(_)) => assert!(!is_ended_in_order, "{length} bytes"),
            Err(fault) => panic!("{length} bytes: {fault:?}"),
        }
    }
}
