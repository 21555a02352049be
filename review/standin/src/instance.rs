//! Instances of services: they run requests as their page says and keep a list of the runs.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};
use tokio::{
    io::AsyncWriteExt as _,
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

use crate::{
    http::{Connection, Message, answer},
    record::Record,
    store::Store,
};

/// Interval at which an instance writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);

/// How an instance works on a request.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Time before the first byte of the answer.
    pub time: Duration,
    /// Pieces in which the body of the answer is sent.
    pub pieces: usize,
    /// Bytes of each piece.
    pub piece_bytes: usize,
    /// Pause before each piece but the first one.
    pub pause: Duration,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub service: String,
    pub instance: String,
    /// Tenant that the host named.
    pub tenant: String,
    /// Whether the whole answer was sent.
    pub has_ended: bool,
    /// Whether the connection ended before.
    pub is_cut: bool,
}

/// Runs at all instances.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// An instance.
pub struct Instance {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub work: Mutex<Work>,
    address: SocketAddr,
    born: u64,
    beats: AtomicU64,
    /// Whether it has left the store, so that it writes no entry.
    has_left: AtomicBool,
    /// Becomes true when the instance ends, with all its connections.
    has_ended: watch::Sender<bool>,
    runs: Runs,
    record: Arc<Record>,
}

impl Instance {
    /// Starts an instance that listens on a loopback address and writes its entry.
    pub async fn start(
        id: &str,
        (service, zone, slots): (&str, &str, u32),
        work: Work,
        (store, runs, record): (&Arc<Store>, &Runs, &Arc<Record>),
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let instance = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            work: Mutex::new(work),
            address: listener.local_addr()?,
            born: born as u64,
            beats: AtomicU64::new(0),
            has_left: AtomicBool::new(false),
            has_ended: watch::Sender::new(false),
            runs: runs.clone(),
            record: record.clone(),
        });
        tokio::spawn(instance.clone().accept(listener));
        let (beating, store) = (instance.clone(), store.clone());
        // The heartbeats of the instances are spread over the interval.
        let hash = id.bytes().fold(7_u64, |hash, byte| hash.wrapping_mul(31) + u64::from(byte));
        let offset = Duration::from_millis(hash.wrapping_mul(2_654_435_761) % 1500);
        beating.write_entry(&store);
        tokio::spawn(async move {
            sleep(offset).await;
            loop {
                beating.write_entry(&store);
                sleep(HEARTBEAT).await;
            }
        });
        Ok(instance)
    }

    /// Writes the entry. Returns whether the store took it.
    pub fn write_entry(&self, store: &Store) -> bool {
        let has_left = self.has_left.load(Ordering::Acquire);
        !has_left && store.put(&self.key(), &self.entry()).is_some()
    }

    /// The entry of the next heartbeat.
    pub fn entry(&self) -> Value {
        json!({
            "address": self.address,
            "born": self.born,
            "info": { "service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots },
            "status": {
                "state": "ready",
                "seq_no": self.beats.fetch_add(1, Ordering::Relaxed),
                "cold_left": "0ms",
            },
        })
    }

    /// Key of the entry.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Removes the entry. The instance goes on serving.
    pub fn leave(&self, store: &Store) -> Option<u64> {
        self.has_left.store(true, Ordering::Release);
        store.remove(&self.key())
    }

    /// Ends the instance with all its connections.
    pub fn end(&self) {
        self.has_ended.send_replace(true);
        self.record.line(&format!("instance: {} ends", self.id));
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut ended = self.has_ended.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = ended.wait_for(|ended| *ended) => return,
            };
            if let Ok((stream, _)) = accepted {
                let (instance, mut ended) = (self.clone(), self.has_ended.subscribe());
                tokio::spawn(async move {
                    tokio::select! {
                        () = instance.serve(stream) => {}
                        _ = ended.wait_for(|ended| *ended) => {}
                    }
                });
            }
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read_request().await {
            if !self.respond(&mut connection, &request).await {
                return;
            }
        }
    }

    /// Answers a request. Returns whether the connection is still open.
    async fn respond(&self, connection: &mut Connection, request: &Message) -> bool {
        let id = request.header("request-id").to_owned();
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.id {
            let bytes = answer("421 Misdirected Request", &[("Request-Id", &id)], b"");
            return connection.stream.write_all(&bytes).await.is_ok();
        }
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                id: id.clone(),
                service: self.service.clone(),
                instance: self.id.clone(),
                tenant: request.header("tenant").to_owned(),
                has_ended: false,
                is_cut: false,
            });
            runs.len() - 1
        };
        self.record.line(&format!(
            "run: {id} at {} of {} for tenant {:?}",
            self.id,
            self.service,
            request.header("tenant")
        ));
        let work = *self.work.lock().unwrap();
        let has_sent = self.work_on(connection, &id, work).await;
        let mut runs = self.runs.lock().unwrap();
        let run = &mut runs[index];
        (run.has_ended, run.is_cut) = (has_sent, !has_sent);
        if !has_sent {
            self.record.line(&format!("run: {id} at {}: the connection ended midway", self.id));
        }
        has_sent
    }

    async fn work_on(&self, connection: &mut Connection, id: &str, work: Work) -> bool {
        // The connection brings no byte while the request runs, so that a readable one has ended.
        let mut probe = [0; 1];
        tokio::select! {
            () = sleep(work.time) => {}
            _ = connection.stream.peek(&mut probe) => return false,
        }
        let load = format!("1,0,{}", self.slots);
        let length = (work.pieces * work.piece_bytes).to_string();
        let mut head = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nRequest-Id: {id}\r\n\
             Response-Stamp: {}.{id}\r\nServer-Load: {load}\r\n",
            self.id
        );
        if self.has_left.load(Ordering::Acquire) {
            head.push_str("Server-Leaving: 1\r\n");
        }
        head.push_str("\r\n");
        if connection.stream.write_all(head.as_bytes()).await.is_err() {
            return false;
        }
        let piece = vec![b'x'; work.piece_bytes];
        for number in 0..work.pieces {
            if number > 0 {
                tokio::select! {
                    () = sleep(work.pause) => {}
                    _ = connection.stream.peek(&mut probe) => return false,
                }
            }
            if connection.stream.write_all(&piece).await.is_err() {
                return false;
            }
        }
        true
    }
}
