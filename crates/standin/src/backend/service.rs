//! Handles one request of a backend server.

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
    answer::{self, Body, End},
    fault::{FAULT_HEADER, Fault},
    lock,
    record::Report,
    socket::Socket,
};

/// Answer of nobody, sent by the faults that add bytes.
const EXTRA_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra";

/// Start of an answer, sent before a close.
const PARTIAL_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-le";

/// Answer whose end is the end of the connection.
const UNFRAMED_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nunframed";

/// Bytes of the body that are sent before a silence.
const BYTES_BEFORE_SILENCE: usize = 3;

/// Requests of one connection.
#[derive(Clone)]
pub(super) struct Service {
    backend: Arc<Backend>,
    socket: Socket,
    connection: u64,
}

/// Counts a request as cancelled when it is dropped before its answer.
struct Running {
    backend: Arc<Backend>,
    answered: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        if !self.answered {
            lock(&self.backend.record).cancelled += 1;
        }
    }
}

impl Service {
    pub(super) fn new(backend: Arc<Backend>, socket: Socket, connection: u64) -> Self {
        Self { backend, socket, connection }
    }

    /// Answers one request.
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

    fn report(&self) -> Report {
        let report =
            Report { running: self.backend.running(), draining: self.backend.is_draining() };
        let lag = self.backend.settings.report_lag;
        lock(&self.backend.reports).lagging(Instant::now(), report, lag)
    }

    fn health(&self) -> Response<Body> {
        let state = match (&self.backend.settings.reported_health, self.report().draining) {
            (Some(state), _) => state.as_ref(),
            (None, true) => "draining",
            (None, false) => "ready",
        };
        answer::text(StatusCode::OK, format!("{state}\n"))
    }

    fn load(&self) -> Response<Body> {
        let settings = &self.backend.settings;
        let running = settings.reported_load.unwrap_or(self.report().running);
        let load = serde_json::json!({ "running": running, "slots": settings.slots });
        answer::text(StatusCode::OK, load.to_string())
    }

    fn admin(&self, command: &str, query: Option<&str>) -> Response<Body> {
        match command {
            "runs" => match serde_json::to_string(&self.backend.record()) {
                Ok(record) => answer::text(StatusCode::OK, record),
                Err(error) => answer::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
            },
            "drain" => {
                self.backend.drain();
                answer::text(StatusCode::OK, "draining\n")
            }
            "fault" => self.plan(query.unwrap_or_default()),
            _ => answer::text(StatusCode::NOT_FOUND, "no such command\n"),
        }
    }

    /// Plans a fault from a query such as `cut=10` or `cut=10&requests=3`.
    fn plan(&self, query: &str) -> Response<Body> {
        let (fault, requests) = query.split_once("&requests=").unwrap_or((query, "1"));
        match (fault.parse(), requests.parse()) {
            (Ok(fault), Ok(requests)) => {
                self.backend.plan(fault, requests);
                answer::text(StatusCode::OK, "planned\n")
            }
            _ => answer::text(StatusCode::BAD_REQUEST, "expected <fault>&requests=<number>\n"),
        }
    }

    async fn run(self, request: Request<Incoming>) -> io::Result<Response<Body>> {
        lock(&self.backend.record).note(self.connection, &request);
        let fault = self.fault(request.headers());
        let mut running = Running { backend: self.backend.clone(), answered: false };
        match fault {
            Some(Fault::CloseAtHead) => return self.close(),
            Some(Fault::SilentAtHead) => pending().await,
            _ => {}
        }
        let Ok(_slot) = self.backend.slots.clone().try_acquire_owned() else {
            running.answered = true;
            return Ok(self.shed());
        };
        let (head, body) = request.into_parts();
        let received = length(body).await?;
        if fault == Some(Fault::CloseAfterBody) {
            return self.close();
        }
        lock(&self.backend.record).run(key(&head));
        let duration = self.backend.service_time() + lateness(fault);
        // The timer would round the shortest sleep up to a millisecond.
        if !duration.is_zero() {
            tokio::time::sleep(duration).await;
        }
        let answer = self.answer(&head, received, fault).await;
        running.answered = true;
        answer
    }

    fn fault(&self, headers: &HeaderMap) -> Option<Fault> {
        let named = headers.get(FAULT_HEADER).and_then(|value| value.to_str().ok());
        if let Some(named) = named {
            return named.parse().ok();
        }
        let mut planned = lock(&self.backend.fault);
        let planned = planned.as_mut().filter(|planned| planned.requests > 0)?;
        planned.requests -= 1;
        Some(planned.fault)
    }

    fn close(&self) -> io::Result<Response<Body>> {
        self.socket.close();
        Err(io::Error::other("closed by a fault"))
    }

    fn shed(&self) -> Response<Body> {
        lock(&self.backend.record).shed += 1;
        let mut response = answer::text(StatusCode::SERVICE_UNAVAILABLE, "all slots are taken\n");
        let headers = response.headers_mut();
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static("not-run"));
        response
    }

    async fn answer(
        &self,
        head: &http::request::Parts,
        received: usize,
        fault: Option<Fault>,
    ) -> io::Result<Response<Body>> {
        match fault {
            Some(Fault::CloseAfterRun) => return self.close(),
            Some(Fault::CloseInAnswer) => {
                self.socket.write_now(PARTIAL_HEAD);
                return self.close();
            }
            Some(Fault::Unframed) => {
                self.socket.write_now(UNFRAMED_ANSWER);
                return self.close();
            }
            Some(Fault::SilentAfterRun) => pending().await,
            Some(Fault::ExtraAtOnce) => self.socket.append(Bytes::from_static(EXTRA_ANSWER)),
            Some(Fault::ExtraLater(delay)) => self.write_later(delay),
            _ => {}
        }
        let mut response = Response::new(self.body(head, received, fault));
        if self.backend.is_draining() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        Ok(response)
    }

    fn body(&self, head: &http::request::Parts, received: usize, fault: Option<Fault>) -> Body {
        let name = &self.backend.settings.name;
        let id = head.headers.get("x-request-id").and_then(|id| id.to_str().ok());
        let text = format!("{name} {} {received} {}\n", head.uri.path(), id.unwrap_or("-"));
        let query = head.uri.query().unwrap_or_default();
        let body = match parameter(query, "size") {
            Some(size) => Body::filled(text, size),
            None => Body::text(text),
        };
        let body = match parameter(query, "chunked") {
            Some(_) => body.chunked(),
            None => body,
        };
        match fault {
            Some(Fault::Cut(sent)) => body.ends_early(sent, End::Close),
            Some(Fault::SilentInBody) => body.ends_early(BYTES_BEFORE_SILENCE, End::Silence),
            _ => body,
        }
    }

    fn write_later(&self, delay: Duration) {
        let socket = self.socket.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            socket.write_now(EXTRA_ANSWER);
        });
    }
}

fn lateness(fault: Option<Fault>) -> Duration {
    match fault {
        Some(Fault::Late(delay)) => delay,
        _ => Duration::ZERO,
    }
}

/// Number in a query parameter.
fn parameter(query: &str, name: &str) -> Option<usize> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Name under which a run is counted.
fn key(head: &http::request::Parts) -> String {
    ["idempotency-key", "x-request-id"]
        .iter()
        .find_map(|name| head.headers.get(*name))
        .and_then(|value| value.to_str().ok())
        .unwrap_or_else(|| head.uri.path())
        .to_owned()
}

async fn length(mut body: Incoming) -> io::Result<usize> {
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(io::Error::other)?;
        length += frame.data_ref().map_or(0, Bytes::len);
    }
    Ok(length)
}
