//! The platform's metadata store as its page describes it, with the drill of the users' fourth letter.

use std::{
    collections::BTreeMap,
    net::IpAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use tokio::{
    io::AsyncWriteExt as _,
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    http::{Connection, Message, answer},
    record::Record,
};

/// Most items in one answer to a range call.
const PAGE_ITEMS: usize = 500;

/// Interval at which ended leases are looked for.
const LEASE_CHECK: Duration = Duration::from_millis(50);

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct Change {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

/// Contents of the store.
#[derive(Clone, Debug, Default)]
pub struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

impl Data {
    fn put(&mut self, revision: u64, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Change { key: key.to_owned(), revision, item: Some(item) });
    }

    fn remove(&mut self, revision: u64, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push(Change { key: key.to_owned(), revision, item: None });
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let bound = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        let revision = self.revision;
        keys.iter().for_each(|key| self.remove(revision, key));
        true
    }
}

#[derive(Debug, Default)]
struct Inner {
    data: Data,
    era: u64,
    is_away: bool,
    /// Contents at earlier moments, from which a drill may restore them.
    copies: Vec<(Instant, Data)>,
    /// When each caller last made a watch call, by its address.
    watched_at: BTreeMap<IpAddr, (Instant, u64)>,
}

/// The store.
pub struct Store {
    inner: Mutex<Inner>,
    revision: watch::Sender<u64>,
    record: Arc<Record>,
}

impl Store {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        let data = Data { revision: 1, next_lease: 1, ..Data::default() };
        let inner = Inner { data, era: 1, ..Inner::default() };
        Arc::new(Self { inner: Mutex::new(inner), revision: watch::Sender::new(1), record })
    }

    fn with<T>(&self, change: impl FnOnce(&mut Inner) -> T) -> T {
        let mut inner = self.inner.lock().unwrap();
        let result = change(&mut inner);
        let revision = inner.data.revision;
        drop(inner);
        self.revision.send_if_modified(|known| std::mem::replace(known, revision) != revision);
        result
    }

    /// Writes a key as the operator and the instances do. Returns the revision, or `None` while the store is away.
    pub fn put(&self, key: &str, value: &Value) -> Option<u64> {
        self.with(|inner| {
            if inner.is_away {
                return None;
            }
            inner.data.revision += 1;
            let revision = inner.data.revision;
            inner.data.put(revision, key, value.to_string().into_bytes(), 0);
            Some(revision)
        })
    }

    /// Removes a key as the operator and the instances do.
    pub fn remove(&self, key: &str) -> Option<u64> {
        self.with(|inner| {
            if inner.is_away {
                return None;
            }
            inner.data.revision += 1;
            let revision = inner.data.revision;
            inner.data.remove(revision, key);
            Some(revision)
        })
    }

    pub fn revision(&self) -> u64 {
        self.with(|inner| inner.data.revision)
    }

    pub fn is_away(&self) -> bool {
        self.with(|inner| inner.is_away)
    }

    pub fn set_away(&self, is_away: bool) {
        self.with(|inner| inner.is_away = is_away);
        self.record.line(&format!("store: {}", if is_away { "away" } else { "back" }));
    }

    /// Keeps a copy of the contents, as a drill may restore one.
    pub fn keep_copy(&self) {
        self.with(|inner| {
            let now = Instant::now();
            inner.copies.retain(|(at, _)| now - *at < Duration::from_secs(6));
            let data = inner.data.clone();
            inner.copies.push((now, data));
        });
    }

    /// Restores the newest copy that is at least `age` old. Returns the revisions before and after.
    pub fn restore(&self, age: Duration) -> (u64, u64) {
        self.with(|inner| {
            let before = inner.data.revision;
            let now = Instant::now();
            let copy = inner.copies.iter().rev().find(|(at, _)| now - *at >= age);
            if let Some((_, data)) = copy {
                inner.data = data.clone();
                inner.era += 1;
            }
            (before, inner.data.revision)
        })
    }

    /// When the host with this address last made a watch call, and the revision that it named.
    pub fn watched_at(&self, ip: IpAddr) -> Option<(Instant, u64)> {
        self.with(|inner| inner.watched_at.get(&ip).copied())
    }

    /// Serves the store to the host with the address `ip` until the future is dropped.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, ip: IpAddr) {
        let expiring = self.clone();
        tokio::spawn(async move {
            loop {
                sleep(LEASE_CHECK).await;
                expiring.with(|inner| {
                    let now = Instant::now();
                    let leases = inner.data.leases.iter().filter(|(_, lease)| lease.ends_at <= now);
                    // Leases pause while the store is away.
                    let ended: Vec<u64> = leases.map(|(id, _)| *id).collect();
                    if !inner.is_away {
                        ended.into_iter().for_each(|id| _ = inner.data.end_lease(id));
                    }
                });
            }
        });
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            tokio::spawn(self.clone().serve_connection(stream, ip));
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, host: IpAddr) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read_request().await {
            let (status, body) = self.call(&request, host).await;
            let era = self.with(|inner| inner.era).to_string();
            let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            let bytes = answer(&status, &headers, body.to_string().as_bytes());
            if connection.stream.write_all(&bytes).await.is_err() {
                return;
            }
        }
    }

    async fn call(&self, request: &Message, host: IpAddr) -> (String, Value) {
        let mut words = request.line.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        if self.is_away() {
            return failure("503 Service Unavailable");
        }
        match (method, path) {
            ("GET", "/api/kv-range") => self.range(query),
            ("GET", "/api/kv-watch") => self.watch(query, host).await,
            ("POST", "/api/kv-txn") => self.transact(&request.body),
            ("POST", "/api/kv-lease") => self.grant(&request.body),
            ("POST", _) if path.starts_with("/api/kv-keep/") => self.renew(path),
            ("DELETE", _) if path.starts_with("/api/kv-lease-end/") => self.end(path),
            _ => failure("404 Not Found"),
        }
    }

    fn range(&self, query: &str) -> (String, Value) {
        let prefix = parameter(query, "prefix").unwrap_or_default();
        let after = parameter(query, "after");
        self.with(|inner| {
            let data = &inner.data;
            let found: Vec<_> = data
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix))
                .filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after))
                .take(PAGE_ITEMS + 1)
                .collect();
            let items: Vec<Value> =
                found.iter().take(PAGE_ITEMS).map(|(key, item)| item_json(key, item)).collect();
            let has_more = found.len() > PAGE_ITEMS;
            success(json!({ "items": items, "has_more": has_more, "as_of": data.revision }))
        })
    }

    async fn watch(&self, query: &str, host: IpAddr) -> (String, Value) {
        let prefix = parameter(query, "prefix").unwrap_or_default();
        let number = |name| parameter(query, name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or_default();
        let wait = Duration::from_millis(number("wait_ms").unwrap_or_default());
        self.with(|inner| inner.watched_at.insert(host, (Instant::now(), after)));
        if after > self.revision() {
            self.record.line(&format!("store: watch of {} after {after}: 410", host));
            return failure("410 Gone");
        }
        let mut revisions = self.revision.subscribe();
        let read = || {
            self.with(|inner| {
                let later = inner.data.history.iter().filter(|change| change.revision > after);
                let events: Vec<Value> = later
                    .filter(|change| change.key.starts_with(&prefix))
                    .map(|change| match &change.item {
                        Some(item) => item_json(&change.key, item),
                        None => {
                            json!({ "key": change.key, "revision": change.revision, "removed": true })
                        }
                    })
                    .collect();
                (events, inner.data.revision.max(after))
            })
        };
        let waiting = async {
            loop {
                revisions.borrow_and_update();
                let (events, as_of) = read();
                if !events.is_empty() || revisions.changed().await.is_err() {
                    return (events, as_of);
                }
            }
        };
        let (events, as_of) = match timeout(wait, waiting).await {
            Ok(found) => found,
            Err(_) => read(),
        };
        success(json!({ "events": events, "as_of": as_of }))
    }

    fn transact(&self, body: &[u8]) -> (String, Value) {
        let Ok(call) = serde_json::from_slice::<Value>(body) else {
            return failure("400 Bad Request");
        };
        let rows = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        self.with(|inner| {
            let data = &mut inner.data;
            let holds = |row: &Value| {
                let revision = data.items.get(&text(&row["key"])).map_or(0, |item| item.revision);
                row["revision"].as_u64() == Some(revision)
            };
            if !rows("expected").iter().all(holds) {
                return failure("412 Precondition Failed");
            }
            let lease = |row: &Value| row["lease"].as_u64().unwrap_or(0);
            let puts = rows("puts");
            if !puts.iter().all(|row| lease(row) == 0 || data.leases.contains_key(&lease(row))) {
                return failure("404 Not Found");
            }
            data.revision += 1;
            let revision = data.revision;
            for row in &puts {
                let value = STANDARD.decode(text(&row["value"])).unwrap_or_default();
                data.put(revision, &text(&row["key"]), value, lease(row));
            }
            for key in rows("drop") {
                data.remove(revision, &text(&key));
            }
            success(json!({ "revision": revision }))
        })
    }

    fn grant(&self, body: &[u8]) -> (String, Value) {
        let call: Value = serde_json::from_slice(body).unwrap_or_default();
        let text = call["ttl_time"].as_str().unwrap_or_default().to_owned();
        let Some(milliseconds) = text.strip_suffix("ms").and_then(|text| text.parse().ok()) else {
            return failure("400 Bad Request");
        };
        let ttl = Duration::from_millis(milliseconds);
        self.with(|inner| {
            let id = inner.data.next_lease;
            inner.data.next_lease += 1;
            inner.data.leases.insert(id, Lease { ttl, ends_at: Instant::now() + ttl });
            success(json!({ "lease": id, "ttl_time": text }))
        })
    }

    fn renew(&self, path: &str) -> (String, Value) {
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        self.with(|inner| match inner.data.leases.get_mut(&id) {
            Some(lease) => {
                lease.ends_at = Instant::now() + lease.ttl;
                success(json!({ "ttl_time": format!("{}ms", lease.ttl.as_millis()) }))
            }
            None => failure("404 Not Found"),
        })
    }

    fn end(&self, path: &str) -> (String, Value) {
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        self.with(|inner| match inner.data.end_lease(id) {
            true => success(json!({})),
            false => failure("404 Not Found"),
        })
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": STANDARD.encode(&item.value),
        "revision": item.revision,
        "create_revision": item.created,
        "lease": item.lease,
    })
}

fn success(body: Value) -> (String, Value) {
    ("200 OK".to_owned(), body)
}

fn failure(status: &str) -> (String, Value) {
    (status.to_owned(), json!({}))
}

/// Value of a query parameter with its escapes decoded.
fn parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    let (mut bytes, mut rest) = (Vec::new(), value.as_bytes());
    while let Some((&byte, tail)) = rest.split_first() {
        let escaped = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match escaped.and_then(|hex| u8::from_str_radix(hex, 16).ok()).filter(|_| byte == b'%') {
            Some(decoded) => {
                bytes.push(decoded);
                rest = &tail[2..];
            }
            None => {
                bytes.push(byte);
                rest = tail;
            }
        }
    }
    String::from_utf8(bytes).ok()
}
