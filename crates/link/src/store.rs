//! Client of the key-value store over the public etcd v3 API.
//!
//! Every call has a timeout. HTTP/2 keep-alive detects a dead connection. A store may still answer
//! keep-alive pings but no calls, so repeated timeouts of calls replace the connection as well. See
//! docs/design.md §5 and §13.

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

/// Timeout of one call. A response to a read of `head` that takes longer would hardly keep a host
/// current.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval of HTTP/2 keep-alive pings, and the timeout of their responses.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of times that a write is sent.
const WRITE_ATTEMPTS: u32 = 2;

/// Delay before a write is retried.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Number of consecutive timeouts after which the connection is replaced.
const TIMEOUTS_BEFORE_RECONNECT: u32 = 2;

/// Largest message to or from the store.
const MESSAGE_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Key that every write also puts, so that its revision is that of the last write. Its value is the
/// id of that write.
const HEAD_KEY: &str = "head";

/// Why a call has no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection could not be opened, so the call was not sent.
    NotSent,
    /// The store returned an error, or the connection failed. The text is the gRPC status.
    Failed(String),
    /// No response arrived within [`CALL_TIMEOUT`].
    TimedOut,
    /// A record is not valid UTF-8, a part of the response is missing, or a revision is out of
    /// range.
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

/// Client of the store. Clones share one connection.
#[derive(Clone)]
pub struct Store {
    connection: Arc<Connection>,
}

struct Connection {
    endpoints: Vec<http::Uri>,
    prefix: String,
    channel: Mutex<Channel>,
    consecutive_timeouts: AtomicU32,
    reconnect_count: AtomicU32,
}

/// Stored state of [`HEAD_KEY`].
struct Head {
    revision: u64,
    last_write_id: Option<u64>,
}

impl Store {
    /// Creates a client of the store at `endpoints`, whose keys start with `prefix`.
    ///
    /// The connection is opened by the first call, which must be made within a Tokio runtime.
    pub fn new(endpoints: Vec<http::Uri>, prefix: &str) -> Self {
        let channel = Mutex::new(channel(&endpoints, 0));
        let connection = Connection {
            endpoints,
            prefix: prefix.to_owned(),
            channel,
            consecutive_timeouts: AtomicU32::new(0),
            reconnect_count: AtomicU32::new(0),
        };
        Self { connection: Arc::new(connection) }
    }

    /// Reads the revision of `head`, which is 0 if it doesn't exist yet.
    pub async fn read_head(&self) -> Result<u64, Fault> {
        Ok(self.head().await?.revision)
    }

    /// Reads all records, as an update from revision 0.
    pub async fn read_records(&self) -> Result<Update, Fault> {
        let range = RangeRequest {
            key: self.key("").into_bytes(),
            range_end: prefix_end(&self.key("")),
            ..RangeRequest::default()
        };
        let response = self.call(|mut client| async move { client.range(range).await });
        self.update_from(0, response.await?.kvs)
    }

    /// Writes a record if `head` still has the revision that the write expects.
    ///
    /// A write without a result is retried. This is safe because the write is conditional, so it
    /// cannot take effect twice, and the response to the retry shows whether the first attempt took
    /// effect. If no attempt could be sent, the outcome is a conflict, as nothing was changed.
    pub async fn write(&self, write: &Write) -> WriteOutcome {
        let mut may_be_sent = false;
        for attempt in 0..WRITE_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(WRITE_RETRY_INTERVAL).await;
            }
            match self.try_write(write).await {
                Ok(Some(revision)) => return WriteOutcome::Done { revision },
                Ok(None) if may_be_sent => return self.outcome_after_retry(write).await,
                Ok(None) => return WriteOutcome::Conflict,
                Err(fault) => {
                    may_be_sent |= fault != Fault::NotSent;
                    log::warn!("store: writing {} failed: {fault}", write.key);
                }
            }
        }
        match may_be_sent {
            true => WriteOutcome::Unknown,
            false => WriteOutcome::Conflict,
        }
    }

    /// Reads back the outcome of a write that got no response and whose retry reported a conflict.
    async fn outcome_after_retry(&self, write: &Write) -> WriteOutcome {
        let (head, record) = tokio::join!(self.head(), self.record(&write.key));
        let (Ok(head), Ok(record)) = (head, record) else {
            return WriteOutcome::Unknown;
        };
        if head.last_write_id == Some(write.id) {
            return WriteOutcome::Done { revision: head.revision };
        }
        match record {
            // The record hasn't changed since the revision that the write expects, so the write had
            // no effect. As `head` has changed, a delayed copy of the write cannot take effect
            // either.
            Some(record) if record.revision <= write.expected_head => WriteOutcome::Conflict,
            None => WriteOutcome::Conflict,
            // No two writes have the same value: a document contains a marker of its edit, and a
            // member table contains incarnations. Only the empty value of a removal can repeat.
            Some(record) if record.value == write.value && !write.value.is_empty() => {
                WriteOutcome::Done { revision: record.revision }
            }
            Some(_) => WriteOutcome::Unknown,
        }
    }

    async fn head(&self) -> Result<Head, Fault> {
        let kv = self.get(HEAD_KEY).await?;
        Ok(Head {
            revision: kv.as_ref().map_or(0, revision),
            last_write_id: kv.and_then(|kv| String::from_utf8(kv.value).ok()?.parse().ok()),
        })
    }

    async fn record(&self, key: &str) -> Result<Option<Record>, Fault> {
        let kv = self.get(key).await?;
        kv.map(|kv| self.parse_record(kv)).transpose()
    }

    async fn get(&self, key: &str) -> Result<Option<etcd::KeyValue>, Fault> {
        let range = RangeRequest { key: self.key(key).into_bytes(), ..RangeRequest::default() };
        let response = self.call(|mut client| async move { client.range(range).await });
        Ok(response.await?.kvs.into_iter().next())
    }

    /// Makes one attempt to write. Returns the revision of the write, or `None` on a conflict.
    async fn try_write(&self, write: &Write) -> Result<Option<u64>, Fault> {
        let request = self.write_transaction(write)?;
        let response = self.call(|mut client| async move { client.txn(request).await });
        let response = response.await?;
        if !response.succeeded {
            return Ok(None);
        }
        let header = response.header.ok_or(Fault::Malformed)?;
        let revision = u64::try_from(header.revision).map_err(|_| Fault::Malformed)?;
        Ok(Some(revision))
    }

    fn write_transaction(&self, write: &Write) -> Result<TxnRequest, Fault> {
        let revision = i64::try_from(write.expected_head).map_err(|_| Fault::Malformed)?;
        let head_unchanged = Compare {
            result: CompareResult::Equal as i32,
            target: CompareTarget::Mod as i32,
            key: self.key(HEAD_KEY).into_bytes(),
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
            compare: vec![head_unchanged],
            success: vec![put(&write.key, &write.value), put(HEAD_KEY, &write.id.to_string())],
            failure: Vec::new(),
        })
    }

    /// Makes one call with a timeout, and replaces the connection after repeated timeouts.
    async fn call<T, F>(&self, call: impl FnOnce(KvClient<Channel>) -> F) -> Result<T, Fault>
    where
        F: Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    {
        let client = KvClient::new(self.channel())
            .max_decoding_message_size(MESSAGE_LIMIT_BYTES)
            .max_encoding_message_size(MESSAGE_LIMIT_BYTES);
        let Ok(result) = tokio::time::timeout(CALL_TIMEOUT, call(client)).await else {
            self.count_timeout();
            return Err(Fault::TimedOut);
        };
        self.connection.consecutive_timeouts.store(0, Ordering::Relaxed);
        match result {
            Ok(response) => Ok(response.into_inner()),
            Err(status) => Err(self.handle_error(&status)),
        }
    }

    /// Converts an error status. If there are several endpoints and this one is unavailable, the
    /// connection is replaced by one to the next endpoint.
    fn handle_error(&self, status: &tonic::Status) -> Fault {
        if self.connection.endpoints.len() > 1 && status.code() == tonic::Code::Unavailable {
            self.reconnect();
        }
        if is_connect_error(status) {
            return Fault::NotSent;
        }
        Fault::Failed(format!("{:?}: {}", status.code(), status.message()))
    }

    fn count_timeout(&self) {
        let timeouts = self.connection.consecutive_timeouts.fetch_add(1, Ordering::Relaxed) + 1;
        if timeouts >= TIMEOUTS_BEFORE_RECONNECT {
            self.connection.consecutive_timeouts.store(0, Ordering::Relaxed);
            self.reconnect();
        }
    }

    fn reconnect(&self) {
        let count = self.connection.reconnect_count.fetch_add(1, Ordering::Relaxed) + 1;
        let replacement = channel(&self.connection.endpoints, count as usize);
        if let Ok(mut channel) = self.connection.channel.lock() {
            *channel = replacement;
        }
    }

    fn channel(&self) -> Channel {
        match self.connection.channel.lock() {
            Ok(channel) => channel.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        }
    }

    fn key(&self, key: &str) -> String {
        format!("{}{key}", self.connection.prefix)
    }

    /// Makes an update from `since` of the changed keys. It reaches the revision of `head`, if that
    /// is among them.
    fn update_from(&self, since: u64, kvs: Vec<etcd::KeyValue>) -> Result<Update, Fault> {
        let head = self.key(HEAD_KEY).into_bytes();
        let through = kvs.iter().find(|kv| kv.key == head).map(revision);
        let records = kvs.into_iter().filter(|kv| kv.key != head);
        Ok(Update {
            since,
            through: through.unwrap_or(since),
            records: records.map(|kv| self.parse_record(kv)).collect::<Result<_, _>>()?,
        })
    }

    fn parse_record(&self, kv: etcd::KeyValue) -> Result<Record, Fault> {
        let revision = revision(&kv);
        let key = String::from_utf8(kv.key).map_err(|_| Fault::Malformed)?;
        let key = key.strip_prefix(&self.connection.prefix);
        let value = String::from_utf8(kv.value).map_err(|_| Fault::Malformed)?;
        Ok(Record { key: Arc::from(key.ok_or(Fault::Malformed)?), revision, value: value.into() })
    }
}

fn revision(kv: &etcd::KeyValue) -> u64 {
    u64::try_from(kv.mod_revision).unwrap_or(0)
}

/// Whether the call failed because the connection could not be opened.
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

/// Connects lazily to one of the endpoints; successive values of `count` take them in turn.
fn channel(endpoints: &[http::Uri], count: usize) -> Channel {
    let uri = endpoints.get(count % endpoints.len().max(1)).cloned().unwrap_or_default();
    Endpoint::from(uri)
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_INTERVAL)
        .keep_alive_while_idle(true)
        .tcp_nodelay(true)
        .connect_lazy()
}

/// First key after all keys that start with `prefix`, as the API defines the end of a range. The
/// single byte 0 stands for no end.
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
