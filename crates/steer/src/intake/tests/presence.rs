//! Callers that leave while their requests are being handled.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    rc::Rc,
    sync::{Arc, atomic::AtomicBool},
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, service::service_fn};
use tokio::{
    io::AsyncWriteExt as _,
    net::{TcpListener, TcpStream},
    sync::oneshot,
};

use super::answer::connect;
use crate::intake::{connection, gate::Gate, progress::Progress};

/// The runtime had not yet learned that a caller had closed its connection, and the request, which had waited,
/// was sent on (GONE).
#[tokio::test]
async fn a_caller_that_has_left_is_seen_before_the_runtime_knows() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (caller, accepted) = connect(&listener).await;
    let caller = RefCell::new(Some(caller));
    let gate = Gate::new("callers", (8, 4 * super::MIB));
    let admitted = gate.admit(&accepted).unwrap();
    let (go_on, waiting) = oneshot::channel::<()>();
    let (waiting, seen) = (Rc::new(Cell::new(Some(waiting))), Rc::new(RefCell::new(Vec::new())));
    let seen_by_service = seen.clone();
    let service = |_, progress: Rc<Progress>| {
        service_fn(move |_: Request<Incoming>| {
            let (presence, waiting) = (progress.presence(), waiting.take().unwrap());
            let seen = seen_by_service.clone();
            async move {
                seen.borrow_mut().push(presence.has_left());
                waiting.await.ok();
                seen.borrow_mut().push(presence.has_left());
                Ok::<_, Infallible>(Response::new(Full::<Bytes>::default()))
            }
        })
    };
    let framing = Arc::new(AtomicBool::new(false));
    let never = std::future::pending();
    let serving = connection::serve(admitted, accepted, 8192, framing, service, never);
    let calling = async {
        let mut stream: TcpStream = caller.take().unwrap();
        stream.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
        while seen.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        // What the request waits for comes just before the caller leaves, and both before the runtime looks.
        go_on.send(()).unwrap();
        drop(stream);
    };
    tokio::join!(biased; calling, serving);
    assert_eq!(*seen.borrow(), [false, true]);
}
