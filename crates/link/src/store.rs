//! Client of the key-value store over the published etcd v3 API.
//!
//! Every call has a timeout. A connection that stays silent is noticed by HTTP/2 keep-alive and, as
//! a store may answer these and nothing else, by timeouts of the calls themselves; it is then
//! replaced. See docs/design.md §5 and §13.

mod watch;

use std::{
    fmt,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use marjorampick_core::{
    catalog::{Record, Update},
    host::event::{Write, WriteOutcome},
};
use tonic::transport::{Channel, Endpoint};

use crate::generated::etcd::{
    self, Compare, PutRequest, RangeRequest, RequestOp, TxnRequest,
    compare::{CompareResult, CompareTarget, TargetUnion},
    kv_client::KvClient,
    request_op::Request,
};

/// Longest time for one call. A later answer to a read of `head` would hardly keep a host current.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Longest time for setting up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval of HTTP/2 keep-alive, and how long its answer may take.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// How often a write is sent at most, and the wait before each repetition.
const WRITE_ATTEMPTS: u32 = 2;
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Timeouts in a row after which the connection is replaced.
const TIMEOUTS_BEFORE_RECONNECT: u32 = 2;

/// Largest message from the store, in bytes.
const MESSAGE_LIMIT: usize = 64 * 1024 * 1024;

/// Name of the key that every change of the chain touches.
const HEAD: &str = "head";

/// Why a call gave no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection could be made, so that the call was not sent.
    NotSent,
    /// The store refused the call or the connection failed; see the text.
    Failed(String),
    /// No answer came in time.
    TimedOut,
    /// A record is no UTF-8 text, or the answer lacks a part.
    Malformed,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent => write!(f, "the store cannot be reached"),
            Self::Failed(text) => write!(f, "the store failed: {text}"),
            Self::TimedOut => write!(f, "the store did not answer in time"),
            Self::Malformed => write!(f, "the store's answer is malformed"),
        }
    }
}

impl std::error::Error for Fault {}

/// Client of the store; clones share the connection.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Connection>,
}

struct Connection {
    endpoints: Vec<http::Uri>,
    prefix: String,
    channel: Mutex<Channel>,
    timeouts: AtomicU32,
    attempts: AtomicU32,
}

/// `head` as it stands in the store.
struct Head {
    revision: u64,
    writer: Option<u64>,
}

impl Store {
    /// Client of the store at `endpoints`, whose records stand below `prefix`.
    ///
    /// No connection is made before the first call, which must come from a Tokio runtime.
    pub fn new(endpoints: Vec<http::Uri>, prefix: &str) -> Self {
        let channel = Mutex::new(channel(&endpoints, 0));
        let shared = Connection {
            endpoints,
            prefix: prefix.to_owned(),
            channel,
            timeouts: AtomicU32::new(0),
            attempts: AtomicU32::new(0),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Revision of `head`; 0 when it does not exist yet.
    pub async fn read_head(&self) -> Result<u64, Fault> {
        Ok(self.head().await?.revision)
    }

    /// All records, as an update from revision 0.
    pub async fn read_records(&self) -> Result<Update, Fault> {
        let range = RangeRequest {
            key: self.key("").into_bytes(),
            range_end: prefix_end(&self.key("")),
            ..RangeRequest::default()
        };
        let answer = self.call(|mut client| async move { client.range(range).await });
        self.update(0, answer.await?.kvs)
    }

    /// Writes a record if `head` still has the revision that the write names.
    ///
    /// The write is repeated when no answer came: it is conditional, so that the repetition cannot
    /// take effect twice, and its answer tells whether the first one did. A write that could not be
    /// sent at all ends as a conflict, as nothing was changed.
    pub async fn write(&self, write: &Write) -> WriteOutcome {
        let mut is_sent = false;
        for attempt in 0..WRITE_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(WRITE_RETRY_INTERVAL).await;
            }
            match self.transact(write).await {
                Ok(Some(revision)) => return WriteOutcome::Done { revision },
                Ok(None) if is_sent => return self.read_back(write).await,
                Ok(None) => return WriteOutcome::Conflict,
                Err(fault) => {
                    is_sent |= fault != Fault::NotSent;
                    log::warn!("store: write of {}: {fault}", write.key);
                }
            }
        }
        match is_sent {
            true => WriteOutcome::Unknown,
            false => WriteOutcome::Conflict,
        }
    }

    /// Finds out what became of a write whose answer was lost and whose repetition conflicts.
    async fn read_back(&self, write: &Write) -> WriteOutcome {
        let (head, record) = tokio::join!(self.head(), self.record(&write.key));
        let (Ok(head), Ok(record)) = (head, record) else {
            return WriteOutcome::Unknown;
        };
        if head.writer == Some(write.id) {
            return WriteOutcome::Done { revision: head.revision };
        }
        match record {
            // The record did not change after the revision that the write was made from. As `head`
            // has moved on, a delayed copy of the write cannot take effect any more either.
            Some(record) if record.revision <= write.expected_head => WriteOutcome::Conflict,
            None => WriteOutcome::Conflict,
            // Values are unique: a document names its edit, a table the incarnations.
            Some(record) if record.value == write.value && !write.value.is_empty() => {
                WriteOutcome::Done { revision: record.revision }
            }
            Some(_) => WriteOutcome::Unknown,
        }
    }

    async fn head(&self) -> Result<Head, Fault> {
        let kv = self.get(HEAD).await?;
        Ok(Head {
            revision: kv.as_ref().map_or(0, revision),
            writer: kv.and_then(|kv| String::from_utf8(kv.value).ok()?.parse().ok()),
        })
    }

    async fn record(&self, key: &str) -> Result<Option<Record>, Fault> {
        let kv = self.get(key).await?;
        kv.map(|kv| self.parse(kv)).transpose()
    }

    async fn get(&self, key: &str) -> Result<Option<etcd::KeyValue>, Fault> {
        let range = RangeRequest { key: self.key(key).into_bytes(), ..RangeRequest::default() };
        let answer = self.call(|mut client| async move { client.range(range).await });
        Ok(answer.await?.kvs.into_iter().next())
    }

    /// Revision after the write, or `None` on a conflict.
    async fn transact(&self, write: &Write) -> Result<Option<u64>, Fault> {
        let request = self.transaction(write)?;
        let answer = self.call(|mut client| async move { client.txn(request).await });
        let answer = answer.await?;
        if !answer.succeeded {
            return Ok(None);
        }
        let header = answer.header.ok_or(Fault::Malformed)?;
        let revision = u64::try_from(header.revision).map_err(|_| Fault::Malformed)?;
        Ok(Some(revision))
    }

    fn transaction(&self, write: &Write) -> Result<TxnRequest, Fault> {
        let revision = i64::try_from(write.expected_head).map_err(|_| Fault::Malformed)?;
        let unchanged = Compare {
            result: CompareResult::Equal as i32,
            target: CompareTarget::Mod as i32,
            key: self.key(HEAD).into_bytes(),
            target_union: Some(TargetUnion::ModRevision(revision)),
        };
        let put = |key: &str, value: &str| RequestOp {
            request: Some(Request::RequestPut(PutRequest {
                key: self.key(key).into_bytes(),
                value: value.as_bytes().to_vec(),
                ..PutRequest::default()
            })),
        };
        Ok(TxnRequest {
            compare: vec![unchanged],
            success: vec![put(&write.key, &write.value), put(HEAD, &write.id.to_string())],
            failure: Vec::new(),
        })
    }

    /// Runs one call with a timeout and replaces the connection after repeated timeouts.
    async fn call<T, F>(&self, call: impl FnOnce(KvClient<Channel>) -> F) -> Result<T, Fault>
    where
        F: Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    {
        let client = KvClient::new(self.channel())
            .max_decoding_message_size(MESSAGE_LIMIT)
            .max_encoding_message_size(MESSAGE_LIMIT);
        let Ok(result) = tokio::time::timeout(CALL_TIMEOUT, call(client)).await else {
            self.note_timeout();
            return Err(Fault::TimedOut);
        };
        self.shared.timeouts.store(0, Ordering::Relaxed);
        match result {
            Ok(answer) => Ok(answer.into_inner()),
            Err(status) => Err(self.failed(&status)),
        }
    }

    fn failed(&self, status: &tonic::Status) -> Fault {
        if self.shared.endpoints.len() > 1 && status.code() == tonic::Code::Unavailable {
            self.reconnect();
        }
        if is_connect_error(status) {
            return Fault::NotSent;
        }
        Fault::Failed(format!("{:?}: {}", status.code(), status.message()))
    }

    fn note_timeout(&self) {
        let timeouts = self.shared.timeouts.fetch_add(1, Ordering::Relaxed) + 1;
        if timeouts >= TIMEOUTS_BEFORE_RECONNECT {
            self.shared.timeouts.store(0, Ordering::Relaxed);
            self.reconnect();
        }
    }

    fn reconnect(&self) {
        let attempt = self.shared.attempts.fetch_add(1, Ordering::Relaxed) + 1;
        let fresh = channel(&self.shared.endpoints, attempt as usize);
        if let Ok(mut channel) = self.shared.channel.lock() {
            *channel = fresh;
        }
    }

    fn channel(&self) -> Channel {
        match self.shared.channel.lock() {
            Ok(channel) => channel.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        }
    }

    fn key(&self, key: &str) -> String {
        format!("{}{key}", self.shared.prefix)
    }

    /// The update that `kvs` make together with what was known at `since`.
    fn update(&self, since: u64, kvs: Vec<etcd::KeyValue>) -> Result<Update, Fault> {
        let head = self.key(HEAD).into_bytes();
        let through = kvs.iter().find(|kv| kv.key == head).map(revision);
        let records = kvs.into_iter().filter(|kv| kv.key != head);
        Ok(Update {
            since,
            through: through.unwrap_or(since),
            records: records.map(|kv| self.parse(kv)).collect::<Result<_, _>>()?,
        })
    }

    fn parse(&self, kv: etcd::KeyValue) -> Result<Record, Fault> {
        let revision = revision(&kv);
        let key = String::from_utf8(kv.key).map_err(|_| Fault::Malformed)?;
        let key = key.strip_prefix(&self.shared.prefix);
        let value = String::from_utf8(kv.value).map_err(|_| Fault::Malformed)?;
        Ok(Record { key: Arc::from(key.ok_or(Fault::Malformed)?), revision, value: value.into() })
    }
}

fn revision(kv: &etcd::KeyValue) -> u64 {
    u64::try_from(kv.mod_revision).unwrap_or(0)
}

/// Whether the call failed while its connection was being set up.
fn is_connect_error(status: &tonic::Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        if error.is::<tonic::ConnectError>() {
            return true;
        }
        source = error.source();
    }
    false
}

fn channel(endpoints: &[http::Uri], attempt: usize) -> Channel {
    let uri = endpoints.get(attempt % endpoints.len().max(1)).cloned().unwrap_or_default();
    Endpoint::from(uri)
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_INTERVAL)
        .keep_alive_while_idle(true)
        .tcp_nodelay(true)
        .connect_lazy()
}

/// First key after all keys that start with `prefix`, as the published API defines ranges.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
