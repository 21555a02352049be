//! Handles the requests of a backend server.

use std::{
    future::pending,
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

use super::{
    Backend, OUTCOME_HEADER,
    fault::{FAULT_HEADER, Fault},
    lock,
    record::Report,
    response::{self, Body, End},
    socket::Socket,
};

/// Response without a request, sent by the faults that add bytes.
const EXTRA_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra";

/// Start of a response's head, sent before the connection is closed.
const PARTIAL_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-le";

/// Response whose body ends with the connection.
const UNFRAMED_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nunframed";

/// Number of bytes of the body that are sent before [`Fault::SilentInBody`] takes effect.
const BYTES_BEFORE_SILENCE: usize = 3;

/// Handles the requests of one connection.
#[derive(Clone)]
pub(super) struct Service {
    backend: Arc<Backend>,
    socket: Socket,
    connection: u64,
}

/// Counts a request as cancelled when it is dropped before its response.
struct CancelGuard {
    backend: Arc<Backend>,
    has_response: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.has_response {
            lock(&self.backend.record).cancelled += 1;
        }
    }
}

impl Service {
    pub(super) fn new(backend: Arc<Backend>, socket: Socket, connection: u64) -> Self {
        Self { backend, socket, connection }
    }

    /// Handles one request: a path of the stand-in itself, or a run.
    pub(super) async fn call(self, request: Request<Incoming>) -> io::Result<Response<Body>> {
        let path = request.uri().path();
        match path {
            "/health" => Ok(self.health()),
            "/load" => Ok(self.load()),
            _ => match path.strip_prefix("/_admin/").map(str::to_owned) {
                Some(command) => Ok(self.admin(&command, request.uri().query())),
                None => self.run(request).await,
            },
        }
    }

    /// State to report: the one of `report_lag` ago.
    fn report(&self) -> Report {
        let report =
            Report { running: self.backend.running(), draining: self.backend.is_draining() };
        let lag = self.backend.settings.report_lag;
        lock(&self.backend.history).add_and_report(Instant::now(), report, lag)
    }

    fn health(&self) -> Response<Body> {
        let state = match (&self.backend.settings.reported_health, self.report().draining) {
            (Some(state), _) => state.as_ref(),
            (None, true) => "draining",
            (None, false) => "ready",
        };
        response::text(StatusCode::OK, format!("{state}\n"))
    }

    fn load(&self) -> Response<Body> {
        let settings = &self.backend.settings;
        let running = settings.reported_load.unwrap_or(self.report().running);
        let load = serde_json::json!({ "running": running, "slots": settings.slots });
        response::text(StatusCode::OK, load.to_string())
    }

    fn admin(&self, command: &str, query: Option<&str>) -> Response<Body> {
        match command {
            "runs" => match serde_json::to_string(&self.backend.record()) {
                Ok(record) => response::text(StatusCode::OK, record),
                Err(error) => response::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
            },
            "drain" => {
                self.backend.drain();
                response::text(StatusCode::OK, "draining\n")
            }
            "fault" => self.plan_fault(query.unwrap_or_default()),
            _ => response::text(StatusCode::NOT_FOUND, "no such command\n"),
        }
    }

    /// Plans the fault of a query such as `cut=10` or `cut=10&requests=3`.
    fn plan_fault(&self, query: &str) -> Response<Body> {
        let (fault, requests) = query.split_once("&requests=").unwrap_or((query, "1"));
        match (fault.parse(), requests.parse()) {
            (Ok(fault), Ok(requests)) => {
                self.backend.plan(fault, requests);
                response::text(StatusCode::OK, "planned\n")
            }
            _ => response::text(StatusCode::BAD_REQUEST, "expected <fault>&requests=<number>\n"),
        }
    }

    async fn run(self, request: Request<Incoming>) -> io::Result<Response<Body>> {
        lock(&self.backend.record).add_head(self.connection, &request);
        let fault = self.next_fault(request.headers());
        let mut guard = CancelGuard { backend: self.backend.clone(), has_response: false };
        match fault {
            Some(Fault::CloseAtHead) => return self.close(),
            Some(Fault::SilentAtHead) => pending().await,
            _ => {}
        }
        let Ok(_slot) = self.backend.slots.clone().try_acquire_owned() else {
            guard.has_response = true;
            return Ok(self.refuse());
        };
        let (head, body) = request.into_parts();
        let received_bytes = body_length(body).await?;
        if fault == Some(Fault::CloseAfterBody) {
            return self.close();
        }
        lock(&self.backend.record).count_run(run_key(&head));
        let duration = self.backend.service_time() + added_delay(fault);
        // The timer rounds even the shortest sleep up to a millisecond.
        if !duration.is_zero() {
            tokio::time::sleep(duration).await;
        }
        let response = self.respond(&head, received_bytes, fault).await;
        guard.has_response = true;
        response
    }

    /// Fault of a request: the one that its header names, or else the planned one.
    fn next_fault(&self, headers: &HeaderMap) -> Option<Fault> {
        let from_header = headers.get(FAULT_HEADER).and_then(|value| value.to_str().ok());
        if let Some(text) = from_header {
            return text.parse().ok();
        }
        let mut plan = lock(&self.backend.fault_plan);
        let plan = plan.as_mut().filter(|plan| plan.requests > 0)?;
        plan.requests -= 1;
        Some(plan.fault)
    }

    /// Closes the connection. The error ends the HTTP library's work on it.
    fn close(&self) -> io::Result<Response<Body>> {
        self.socket.close();
        Err(io::Error::other("closed by a fault"))
    }

    fn refuse(&self) -> Response<Body> {
        lock(&self.backend.record).shed += 1;
        let mut response = response::text(StatusCode::SERVICE_UNAVAILABLE, "all slots are taken\n");
        let headers = response.headers_mut();
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static("not-run"));
        response
    }

    async fn respond(
        &self,
        head: &http::request::Parts,
        received_bytes: usize,
        fault: Option<Fault>,
    ) -> io::Result<Response<Body>> {
        match fault {
            Some(Fault::CloseAfterRun) => return self.close(),
            Some(Fault::CloseInAnswer) => {
                self.socket.write_now(PARTIAL_HEAD);
                return self.close();
            }
            Some(Fault::Unframed) => {
                self.socket.write_now(UNFRAMED_RESPONSE);
                return self.close();
            }
            Some(Fault::SilentAfterRun) => pending().await,
            Some(Fault::ExtraAtOnce) => {
                self.socket.write_after_next(Bytes::from_static(EXTRA_RESPONSE));
            }
            Some(Fault::ExtraLater(delay)) => self.write_extra_later(delay),
            _ => {}
        }
        let mut response = Response::new(self.body(head, received_bytes, fault));
        if self.backend.is_draining() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        Ok(response)
    }

    fn body(
        &self,
        head: &http::request::Parts,
        received_bytes: usize,
        fault: Option<Fault>,
    ) -> Body {
        let name = &self.backend.settings.name;
        let id = head.headers.get("x-request-id").and_then(|id| id.to_str().ok());
        let text = format!("{name} {} {received_bytes} {}\n", head.uri.path(), id.unwrap_or("-"));
        let query = head.uri.query().unwrap_or_default();
        let body = match number_parameter(query, "size") {
            Some(size) => Body::filled(text, size),
            None => Body::text(text),
        };
        let body = match number_parameter(query, "chunked") {
            Some(_) => body.chunked(),
            None => body,
        };
        match fault {
            Some(Fault::Cut(sent)) => body.cut_after(sent, End::Close),
            Some(Fault::SilentInBody) => body.cut_after(BYTES_BEFORE_SILENCE, End::Silence),
            _ => body,
        }
    }

    fn write_extra_later(&self, delay: Duration) {
        let socket = self.socket.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            socket.write_now(EXTRA_RESPONSE);
        });
    }
}

/// Time by which a fault prolongs the run.
fn added_delay(fault: Option<Fault>) -> Duration {
    match fault {
        Some(Fault::Late(delay)) => delay,
        _ => Duration::ZERO,
    }
}

/// Number in the query parameter `name`.
fn number_parameter(query: &str, name: &str) -> Option<usize> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Key under which a run is counted.
fn run_key(head: &http::request::Parts) -> String {
    ["idempotency-key", "x-request-id"]
        .iter()
        .find_map(|name| head.headers.get(*name))
        .and_then(|value| value.to_str().ok())
        .unwrap_or_else(|| head.uri.path())
        .to_owned()
}

/// Reads a body to its end and returns its length in bytes.
async fn body_length(mut body: Incoming) -> io::Result<usize> {
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(io::Error::other)?;
        length += frame.data_ref().map_or(0, Bytes::len);
    }
    Ok(length)
}
