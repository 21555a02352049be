//! The request path of an entry host on a loopback socket, in process, and callers that write raw
//! HTTP/1.1 bytes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use marjorampick_core::{
    document::{Digest, Document},
    host::event::{ListedHost, ListedState},
    message::ServiceWeights,
};
use marjorampick_entry::{
    callers::{self, Callers, Settings, fleet::Instance, tokens::Tokens},
    shared::{Request, Service, Shared, Snapshot},
};
use marjorampick_standin::backend::{self, Backend};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::JoinHandle,
};

/// API key of the workspace `anchor`.
pub(crate) const ANCHOR_KEY: &str = "anchor-key";
/// API key of the workspace `second`.
pub(crate) const SECOND_KEY: &str = "second-key";

/// Timeout of every wait in these tests; only a failing test reaches it.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Document of the service `signing` with an idempotent, a non-idempotent, a long and an open
/// route.
///
/// `anchor_key` is the API key of the workspace `anchor`.
pub(crate) fn document(anchor_key: &str) -> Document {
    let text = format!(
        r#"
service = "signing"
[[route]]
path = "/status"
class = "status"
idempotent = true
deadline_ms = 1000
[[route]]
path = "/sign"
class = "signing"
idempotent = false
deadline_ms = 1000
[[route]]
path = "/slow"
class = "upload"
idempotent = false
deadline_ms = 60000
[[route]]
path = "/open"
class = "open"
idempotent = true
open = true
deadline_ms = 1000
[[region]]
name = "ee-north"
weight = 100
slots_per_backend = 1000
[[region]]
name = "fi-south"
weight = 0
drain = true
slots_per_backend = 1000
[[workspace]]
name = "anchor"
rate_per_second = 1000.0
burst = 1000
keys = ["{}"]
[[workspace]]
name = "second"
rate_per_second = 1000.0
burst = 1000
keys = ["{}"]
"#,
        Digest::of_key(anchor_key.as_bytes()).to_text(),
        Digest::of_key(SECOND_KEY.as_bytes()).to_text(),
    );
    Document::parse(&text).expect("the test document is valid")
}

/// An entry host's request path that listens on loopback, and the backend servers behind it.
pub(crate) struct Host {
    pub(crate) shared: Arc<Shared>,
    pub(crate) callers: Arc<Callers>,
    pub(crate) address: SocketAddr,
    pub(crate) backends: Vec<Arc<Backend>>,
    /// Entries of the host list for the backend servers, as [`Self::publish`] uses them.
    pub(crate) listed: Vec<ListedHost>,
    /// The caller listener; ends when the host has drained.
    pub(crate) serving: JoinHandle<std::io::Result<()>>,
    /// Receives the requests to the control thread; the tests respond in its place.
    pub(crate) control: mpsc::Receiver<Request>,
}

impl Host {
    /// Starts a host with `count` backend servers and unlimited budgets.
    pub(crate) async fn start(count: usize) -> Self {
        Self::start_with(count, Settings::default(), Tokens::unlimited()).await
    }

    /// Starts a host with `count` backend servers, settings of its caller listener and budgets.
    pub(crate) async fn start_with(count: usize, settings: Settings, tokens: Tokens) -> Self {
        let mut backends = Vec::new();
        let mut listed = Vec::new();
        for index in 0..count {
            let (backend, entry) = start_backend(&format!("backend-{index}")).await;
            backends.push(backend);
            listed.push(entry);
        }
        let (shared, control) = Shared::new("entry-1".into(), "ee-north".into());
        shared.set_current_until(Duration::from_secs(3600));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let callers = Callers::new(shared.clone(), settings, tokens);
        let serving = tokio::spawn(callers::serve(listener, None, callers.clone()));
        let host = Self { shared, callers, address, backends, listed, serving, control };
        host.publish(document(ANCHOR_KEY), "ee-north");
        host
    }

    /// Publishes a snapshot with `document`; all traffic goes to `region`.
    pub(crate) fn publish(&self, document: Document, region: &str) {
        let service = Service {
            document: Arc::new(document),
            revision: 1,
            weights: ServiceWeights {
                service: "signing".into(),
                regions: vec![(region.into(), 1.0)],
            },
            backends: self.listed.clone(),
        };
        let mut snapshot = Snapshot::default();
        snapshot.services.insert("signing".into(), service);
        self.shared.snapshot.store(Arc::new(snapshot));
    }

    /// Opens a connection to the caller listener.
    pub(crate) async fn connect(&self) -> Caller {
        Caller::connect(self.address).await
    }

    /// Sends one request over a new connection and reads the response.
    pub(crate) async fn send(&self, request: &str) -> Response {
        self.connect().await.send(request).await
    }

    /// Receives the next request to the control thread.
    pub(crate) async fn next_control_request(&mut self) -> Request {
        let received = tokio::time::timeout(WAIT_TIMEOUT, self.control.recv()).await;
        received.expect("no request to the control thread").expect("an open queue")
    }

    /// State that the request path keeps of each backend server.
    pub(crate) fn instances(&self) -> Arc<[Arc<Instance>]> {
        let snapshot = self.shared.snapshot.load_full();
        let fleet = self.callers.fleet();
        fleet.instances(self.shared.now(), &snapshot, "signing")
    }

    /// How often the backend servers ran the request with this key, all together.
    pub(crate) fn runs_of(&self, key: &str) -> u64 {
        let runs = |backend: &Arc<Backend>| backend.record().runs_of(key);
        self.backends.iter().map(runs).sum()
    }
}

/// Starts a backend server on loopback; returns it and its entry in the host list.
async fn start_backend(name: &str) -> (Arc<Backend>, ListedHost) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let listed = ListedHost {
        name: name.into(),
        service: Some("signing".into()),
        region: "ee-north".into(),
        domain: "ee-north-a".into(),
        address: listener.local_addr().unwrap(),
        state: ListedState::Live,
    };
    let backend =
        Backend::new(backend::Settings { name: name.into(), ..backend::Settings::default() });
    tokio::spawn(backend.clone().serve(listener));
    (backend, listed)
}

/// Text of a request with the API key of `anchor`; `headers` are lines that end with CRLF.
pub(crate) fn request(method: &str, target: &str, headers: &str, body: &str) -> String {
    let host = "host: signing\r\n";
    let key = format!("x-api-key: {ANCHOR_KEY}\r\n");
    format!("{method} {target} HTTP/1.1\r\n{host}{key}{headers}\r\n{body}")
}

/// Polls `condition` until it holds; panics with `description` after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let polling = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let reached = tokio::time::timeout(WAIT_TIMEOUT, polling).await;
    reached.unwrap_or_else(|_| panic!("not within {WAIT_TIMEOUT:?}: {description}"));
}

/// A caller's connection, which may stay open for several requests.
pub(crate) struct Caller {
    stream: TcpStream,
    /// Received bytes that no response has used yet.
    buffer: Vec<u8>,
}

/// A response as received, or its received part.
#[derive(Debug)]
pub(crate) struct Response {
    /// Status code; 0 if the connection ended within the head.
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether the whole body was received.
    pub(crate) complete: bool,
}

impl Response {
    /// Value of the first header with this name.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// What a refusal says about the run of the request: `not-run` or `unknown`.
    pub(crate) fn outcome(&self) -> Option<&str> {
        self.header("marjorampick-outcome")
    }

    /// Checks that this is a refusal with the given status, code and outcome.
    #[track_caller]
    pub(crate) fn assert_refused(&self, status: u16, code: &str, outcome: &str) {
        assert_eq!(self.status, status, "{self:?}");
        assert!(self.body.contains(&format!("\"{code}\"")), "{self:?}");
        assert_eq!(self.outcome(), Some(outcome), "{self:?}");
        let content_type = self.header("content-type");
        assert_eq!(content_type, Some("application/problem+json"), "{self:?}");
    }
}

impl From<TcpStream> for Caller {
    fn from(stream: TcpStream) -> Self {
        stream.set_nodelay(true).unwrap();
        Self { stream, buffer: Vec::new() }
    }
}

impl Caller {
    pub(crate) async fn connect(address: SocketAddr) -> Self {
        Self::from(TcpStream::connect(address).await.unwrap())
    }

    /// Writes bytes without waiting for a response.
    pub(crate) async fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).await.unwrap();
    }

    /// Writes a request and reads its response.
    pub(crate) async fn send(&mut self, request: &str) -> Response {
        self.write(request).await;
        self.read_response().await
    }

    /// Reads the head of a response that has no body.
    pub(crate) async fn read_head(&mut self) -> String {
        let end = self.read_until(0, b"\r\n\r\n").await.expect("a complete head") + 4;
        let head = self.text(end);
        self.buffer.drain(..end);
        head
    }

    /// Reads one response; it is incomplete if the connection ends within it.
    pub(crate) async fn read_response(&mut self) -> Response {
        let Some(end) = self.read_until(0, b"\r\n\r\n").await else {
            return Response {
                status: 0,
                head: self.text(self.buffer.len()),
                body: String::new(),
                complete: false,
            };
        };
        let head = self.text(end + 4);
        self.buffer.drain(..end + 4);
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let mut response = Response { status, head, body: String::new(), complete: true };
        match response.header("content-length") {
            Some(length) => {
                let length: usize = length.parse().unwrap();
                self.read_body(length, &mut response).await;
            }
            None if response.header("transfer-encoding").is_some() => {
                while self.read_chunk(&mut response).await {}
            }
            None => {}
        }
        response
    }

    /// Whether the peer closes the connection without sending anything more.
    pub(crate) async fn is_closed(&mut self) -> bool {
        self.buffer.is_empty() && !self.fill_buffer().await
    }

    /// Reads one chunk of a chunked body; false after the last one or the end of the connection.
    async fn read_chunk(&mut self, response: &mut Response) -> bool {
        let Some(end) = self.read_until(0, b"\r\n").await else {
            response.complete = false;
            return false;
        };
        let size = usize::from_str_radix(&self.text(end), 16).unwrap();
        self.buffer.drain(..end + 2);
        self.read_body(size, response).await;
        let mut line_end =
            Response { status: 0, head: String::new(), body: String::new(), complete: true };
        self.read_body(2, &mut line_end).await;
        response.complete &= line_end.complete;
        size > 0 && response.complete
    }

    /// Reads `length` bytes into the body, or fewer if the connection ends.
    async fn read_body(&mut self, length: usize, response: &mut Response) {
        while self.buffer.len() < length {
            if !self.fill_buffer().await {
                response.complete = false;
                break;
            }
        }
        let taken = length.min(self.buffer.len());
        response.body.push_str(&self.text(taken));
        self.buffer.drain(..taken);
    }

    /// Reads until the pattern is in the buffer; returns its position, or `None` if the connection
    /// ends.
    async fn read_until(&mut self, from: usize, pattern: &[u8]) -> Option<usize> {
        loop {
            let found =
                self.buffer[from..].windows(pattern.len()).position(|window| window == pattern);
            if let Some(found) = found {
                return Some(from + found);
            }
            if !self.fill_buffer().await {
                return None;
            }
        }
    }

    /// Reads bytes into the buffer; false when the connection has ended.
    async fn fill_buffer(&mut self) -> bool {
        let reading = self.stream.read_buf(&mut self.buffer);
        let read = tokio::time::timeout(WAIT_TIMEOUT, reading).await;
        matches!(read.expect("more bytes or the end of the connection"), Ok(length) if length > 0)
    }

    /// The first `length` bytes of the buffer as text.
    fn text(&self, length: usize) -> String {
        String::from_utf8_lossy(&self.buffer[..length]).into_owned()
    }
}
