//! Connections whose answers are still being sent.

use std::{
    cell::Cell,
    convert::Infallible,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    sync::{Arc, atomic::AtomicBool},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use hyper::{
    body::{Body, Frame, Incoming},
    service::service_fn,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
    time::sleep,
};

use crate::intake::{
    connection,
    connections::{Cause, Times},
    gate::Gate,
};

/// Longer than the time without progress after which a connection may be closed in favour of another one.
const PAUSE: Duration = Duration::from_millis(700);

/// A body whose end is that of a channel.
struct Pieces(UnboundedReceiver<Bytes>);

impl Body for Pieces {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(context).map(|piece| piece.map(|bytes| Ok(Frame::data(bytes))))
    }
}

pub(super) async fn connect(listener: &TcpListener) -> (TcpStream, TcpStream) {
    let address = listener.local_addr().unwrap();
    let (caller, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (caller.unwrap(), accepted.unwrap().0)
}

/// A connection counted as idle while its answer was being sent, and so was closed for another one, and once
/// it was older than idle ones may be. Guards as well against one that stays busy after its answer.
#[tokio::test]
async fn a_connection_is_busy_until_the_end_of_its_answer() {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let gate = Gate::new("callers", (1, 4 * super::MIB));
    let (mut caller, accepted) = connect(&listener).await;
    let (_other, other) = connect(&listener).await;
    let admitted = gate.admit(&accepted).unwrap();
    let (pieces, body) = unbounded_channel();
    let body = Cell::new(Some(Pieces(body)));
    let service = |_, _| {
        service_fn(move |_: Request<Incoming>| {
            let response = Response::new(body.take().unwrap());
            async { Ok::<_, Infallible>(response) }
        })
    };
    let framing = Arc::new(AtomicBool::new(false));
    let never = std::future::pending();
    let serving = connection::serve(admitted, accepted, 8192, framing, service, never);
    let gate: &Rc<Gate> = &gate;
    let calling = async move {
        caller.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
        for _ in 0..2 {
            pieces.send(Bytes::from_static(b"piece")).unwrap();
            sleep(PAUSE).await;
            assert!(gate.admit(&other).is_none());
            gate.sweep(Times { head: PAUSE, idle: PAUSE / 2 });
            assert_eq!(gate.take_closed(), [(Cause::AddressShare, 1)]);
        }
        drop(pieces);
        let mut answer = Vec::new();
        while !answer.ends_with(b"\r\n0\r\n\r\n") {
            assert!(caller.read_buf(&mut answer).await.unwrap() > 0, "{answer:?}");
        }
        sleep(PAUSE).await;
        assert!(gate.admit(&other).is_some());
    };
    tokio::join!(serving, calling);
    assert_eq!(gate.take_closed(), [(Cause::Shortage, 1)]);
}
