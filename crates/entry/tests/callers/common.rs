//! An entry host's request path with real sockets, and callers that speak raw bytes.

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

/// Key of the workspace `anchor`.
pub(crate) const ANCHOR_KEY: &str = "anchor-key";
/// Key of the workspace `second`.
pub(crate) const SECOND_KEY: &str = "second-key";

/// Longest wait for anything in these tests; reached only by a failing test.
pub(crate) const LIMIT: Duration = Duration::from_secs(5);

/// A document with one route of each kind.
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

/// A request path with its backend servers.
pub(crate) struct Site {
    pub(crate) shared: Arc<Shared>,
    pub(crate) callers: Arc<Callers>,
    pub(crate) address: SocketAddr,
    pub(crate) backends: Vec<Arc<Backend>>,
    pub(crate) listed: Vec<ListedHost>,
    pub(crate) serving: JoinHandle<std::io::Result<()>>,
    pub(crate) control: mpsc::Receiver<Request>,
}

impl Site {
    /// A site with `count` backend servers and unlimited budgets.
    pub(crate) async fn start(count: usize) -> Self {
        Self::with(count, Settings::default(), Tokens::unlimited()).await
    }

    pub(crate) async fn with(count: usize, settings: Settings, tokens: Tokens) -> Self {
        let mut backends = Vec::new();
        let mut listed = Vec::new();
        for index in 0..count {
            let (backend, line) = start_backend(&format!("backend-{index}")).await;
            backends.push(backend);
            listed.push(line);
        }
        let (shared, control) = Shared::new("entry-1".into(), "ee-north".into());
        shared.set_current_until(Duration::from_secs(3600));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let callers = Callers::new(shared.clone(), settings, tokens);
        let serving = tokio::spawn(callers::serve(listener, None, callers.clone()));
        let site = Self { shared, callers, address, backends, listed, serving, control };
        site.publish(document(ANCHOR_KEY), "ee-north");
        site
    }

    /// Replaces the snapshot; all traffic goes to `region`.
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

    /// Connects a caller.
    pub(crate) async fn caller(&self) -> Caller {
        Caller::connect(self.address).await
    }

    /// Sends one request on a connection of its own and reads the answer.
    pub(crate) async fn ask(&self, request: &str) -> Answer {
        self.caller().await.ask(request).await
    }

    /// What the control thread is asked next.
    pub(crate) async fn asked(&mut self) -> Request {
        let asked = tokio::time::timeout(LIMIT, self.control.recv()).await;
        asked.expect("nothing was asked").expect("the queue is open")
    }

    /// The backend servers as the request path sees them.
    pub(crate) fn instances(&self) -> Arc<[Arc<Instance>]> {
        let snapshot = self.shared.snapshot.load_full();
        let fleet = self.callers.fleet();
        fleet.instances(self.shared.now(), &snapshot, "signing")
    }

    /// Number of runs of a key at all backend servers.
    pub(crate) fn runs(&self, key: &str) -> u64 {
        let runs = |backend: &Arc<Backend>| backend.record().runs_of(key);
        self.backends.iter().map(runs).sum()
    }
}

async fn start_backend(name: &str) -> (Arc<Backend>, ListedHost) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let line = ListedHost {
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
    (backend, line)
}

/// A request with the key of `anchor`; `headers` are whole lines.
pub(crate) fn request(method: &str, target: &str, headers: &str, body: &str) -> String {
    let host = "host: signing\r\n";
    let key = format!("x-api-key: {ANCHOR_KEY}\r\n");
    format!("{method} {target} HTTP/1.1\r\n{host}{key}{headers}\r\n{body}")
}

/// Waits until `done` holds.
pub(crate) async fn until(what: &str, done: impl Fn() -> bool) {
    let waiting = async {
        while !done() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let reached = tokio::time::timeout(LIMIT, waiting).await;
    reached.unwrap_or_else(|_| panic!("never happened: {what}"));
}

/// One connection of a caller.
pub(crate) struct Caller {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// An answer as it was received.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether the answer's end was received.
    pub(crate) complete: bool,
}

impl Answer {
    /// Value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// What a refusal says about the run.
    pub(crate) fn outcome(&self) -> Option<&str> {
        self.header("marjorampick-outcome")
    }

    /// Whether a refusal has this status and code.
    #[track_caller]
    pub(crate) fn assert_refused(&self, status: u16, code: &str, outcome: &str) {
        assert_eq!(self.status, status, "{self:?}");
        assert!(self.body.contains(&format!("\"{code}\"")), "{self:?}");
        assert_eq!(self.outcome(), Some(outcome), "{self:?}");
        let kind = self.header("content-type");
        assert_eq!(kind, Some("application/problem+json"), "{self:?}");
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

    pub(crate) async fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).await.unwrap();
    }

    pub(crate) async fn ask(&mut self, request: &str) -> Answer {
        self.send(request).await;
        self.answer().await
    }

    /// Reads the head of an answer that has no body.
    pub(crate) async fn head(&mut self) -> String {
        let end = self.find(0, b"\r\n\r\n").await.expect("the head ends") + 4;
        let head = self.text(end);
        self.buffer.drain(..end);
        head
    }

    /// Reads one answer; incomplete if the connection ends within it.
    pub(crate) async fn answer(&mut self) -> Answer {
        let Some(end) = self.find(0, b"\r\n\r\n").await else {
            return Answer {
                status: 0,
                head: self.text(self.buffer.len()),
                body: String::new(),
                complete: false,
            };
        };
        let head = self.text(end + 4);
        self.buffer.drain(..end + 4);
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let mut answer = Answer { status, head, body: String::new(), complete: true };
        match answer.header("content-length") {
            Some(length) => {
                let length: usize = length.parse().unwrap();
                self.take(length, &mut answer).await;
            }
            None if answer.header("transfer-encoding").is_some() => {
                while self.chunk(&mut answer).await {}
            }
            None => {}
        }
        answer
    }

    /// Whether the other side closes the connection without sending anything more.
    pub(crate) async fn is_closed(&mut self) -> bool {
        self.buffer.is_empty() && !self.read().await
    }

    async fn chunk(&mut self, answer: &mut Answer) -> bool {
        let Some(end) = self.find(0, b"\r\n").await else {
            answer.complete = false;
            return false;
        };
        let size = usize::from_str_radix(&self.text(end), 16).unwrap();
        self.buffer.drain(..end + 2);
        self.take(size, answer).await;
        let mut line_end =
            Answer { status: 0, head: String::new(), body: String::new(), complete: true };
        self.take(2, &mut line_end).await;
        answer.complete &= line_end.complete;
        size > 0 && answer.complete
    }

    async fn take(&mut self, length: usize, answer: &mut Answer) {
        while self.buffer.len() < length {
            if !self.read().await {
                answer.complete = false;
                break;
            }
        }
        let taken = length.min(self.buffer.len());
        answer.body.push_str(&self.text(taken));
        self.buffer.drain(..taken);
    }

    async fn find(&mut self, from: usize, pattern: &[u8]) -> Option<usize> {
        loop {
            let found =
                self.buffer[from..].windows(pattern.len()).position(|window| window == pattern);
            if let Some(found) = found {
                return Some(from + found);
            }
            if !self.read().await {
                return None;
            }
        }
    }

    /// Reads some bytes; false when the connection has ended.
    async fn read(&mut self) -> bool {
        let reading = self.stream.read_buf(&mut self.buffer);
        let read = tokio::time::timeout(LIMIT, reading).await;
        matches!(read.expect("the answer stopped"), Ok(length) if length > 0)
    }

    fn text(&self, length: usize) -> String {
        String::from_utf8_lossy(&self.buffer[..length]).into_owned()
    }
}
