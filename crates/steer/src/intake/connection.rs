//! Serves one connection under the limits, at any listener.

use std::{
    error::Error,
    pin::Pin,
    rc::Rc,
    sync::{Arc, atomic::AtomicBool},
    task::{Context, Poll},
};

use http::{Request, Response};
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    server::conn::http1,
    service::{Service, service_fn},
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::{
    connections::Cause,
    gate::{Admitted, Gate},
    progress::Progress,
};

/// Smallest buffer size that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Serves the requests of a connection one by one until it ends, is closed by the gate, or, after the
/// current request, `stopping` returns. `service` makes the service from the gate and the progress.
pub(crate) async fn serve<S, B>(
    mut admitted: Admitted,
    stream: TcpStream,
    max_header_bytes: usize,
    has_ambiguous_framing: Arc<AtomicBool>,
    service: impl FnOnce(Rc<Gate>, Rc<Progress>) -> S,
    stopping: impl Future<Output = ()>,
) where
    S: Service<Request<Incoming>, Response = Response<B>>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("callers: cannot set TCP_NODELAY: {error}");
    }
    let progress = admitted.progress().clone();
    let inner = service(admitted.gate().clone(), progress.clone());
    let (handled, gate) = (progress.clone(), admitted.gate().clone());
    // The HTTP library keeps room for a future in each connection, also while it is idle, so it is boxed.
    let service = service_fn(move |request: Request<Incoming>| {
        let is_pipelined = handled.start_request();
        let handling = Handling(handled.clone());
        let gate = gate.clone();
        let responding = inner.call(request);
        Box::pin(async move {
            if is_pipelined {
                gate.pace_pipelined().await;
            }
            let response = responding.await;
            response.map(|response| response.map(|body| Answer { body, _handling: handling }))
        })
    });
    let Some(stream) = admitted.wrap(stream, max_header_bytes, has_ambiguous_framing) else {
        return;
    };
    // The gate ends heads that take too long, without a timer for each request.
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection, stopping);
    let mut is_stopping = false;
    let result = loop {
        tokio::select! {
            biased;
            result = connection.as_mut() => break result,
            () = progress.closed() => return,
            () = &mut stopping, if !is_stopping => {
                is_stopping = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    };
    if let Err(error) = result {
        if error.is_parse_too_large() {
            admitted.gate().count(Cause::LargeHead);
        }
        log::debug!("callers: connection failed: {error}");
    }
}

/// Body of a response. The HTTP library drops it when it has taken the last byte; what it has not written by
/// then is written before anything else, and [`Progress::set_blocked`] tells whether it waits for the caller.
/// So the connection is busy until then, however long an answer that is streamed takes. See
/// docs/incidents/inc-streamed-answer-cut.md.
struct Answer<B> {
    body: B,
    _handling: Handling,
}

impl<B: Body + Unpin> Body for Answer<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Records the end of a request when it is dropped.
struct Handling(Rc<Progress>);

impl Drop for Handling {
    fn drop(&mut self) {
        self.0.end_request();
    }
}
