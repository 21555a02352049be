//! Keys, values and revisions of the store.

use std::collections::BTreeMap;

use marjorampick_link::generated::etcd::{
    Compare, DeleteRangeRequest, DeleteRangeResponse, Event, KeyValue, PutRequest, PutResponse,
    RangeRequest, RangeResponse, RequestOp, ResponseHeader, ResponseOp, TxnRequest, TxnResponse,
    compare::{CompareResult, CompareTarget, TargetUnion},
    event::EventType,
    request_op::Request,
    response_op::Response,
};
use tokio::sync::broadcast;
use tonic::Status;

/// Maximum number of changes that a slow watch may lag behind before it is cancelled.
const MAX_WATCH_LAG: usize = 4096;

/// Events of one revision.
#[derive(Clone, Debug)]
pub(super) struct Change {
    pub(super) revision: i64,
    pub(super) events: Vec<Event>,
}

/// Contents of the store.
pub(super) struct Data {
    revision: i64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    history: Vec<Change>,
    changes: broadcast::Sender<Change>,
}

impl Data {
    pub(super) fn new() -> Self {
        Self {
            revision: 1,
            keys: BTreeMap::new(),
            history: Vec::new(),
            changes: broadcast::Sender::new(MAX_WATCH_LAG),
        }
    }

    pub(super) fn header(&self) -> Option<ResponseHeader> {
        Some(ResponseHeader { cluster_id: 1, member_id: 1, revision: self.revision, raft_term: 1 })
    }

    /// Returns the past changes from revision `start` on, and a receiver of all later ones. A
    /// `start` of 0 stands for the next revision.
    pub(super) fn changes_from(&self, start: i64) -> (Vec<Change>, broadcast::Receiver<Change>) {
        let start = if start == 0 { self.revision + 1 } else { start };
        let past = self.history.iter().filter(|change| change.revision >= start);
        (past.cloned().collect(), self.changes.subscribe())
    }

    pub(super) fn range(&self, request: &RangeRequest) -> Result<RangeResponse, Status> {
        if request.revision > 0 && request.revision < self.revision {
            return Err(Status::unimplemented("reads of old revisions"));
        }
        let found = self.keys_in(&request.key, &request.range_end);
        let count = found.len();
        let limit = usize::try_from(request.limit).unwrap_or(0);
        let returned = if limit == 0 { count } else { limit.min(count) };
        Ok(RangeResponse {
            header: self.header(),
            kvs: found.into_iter().take(returned).cloned().collect(),
            more: returned < count,
            count: i64::try_from(count).unwrap_or(i64::MAX),
        })
    }

    pub(super) fn put(&mut self, request: PutRequest) -> PutResponse {
        let mut events = Vec::new();
        let response = self.put_at(self.revision + 1, request, &mut events);
        self.commit(events);
        PutResponse { header: self.header(), ..response }
    }

    pub(super) fn delete_range(&mut self, request: &DeleteRangeRequest) -> DeleteRangeResponse {
        let mut events = Vec::new();
        let response = self.delete_at(self.revision + 1, request, &mut events);
        self.commit(events);
        DeleteRangeResponse { header: self.header(), ..response }
    }

    pub(super) fn txn(&mut self, request: TxnRequest) -> Result<TxnResponse, Status> {
        let succeeded = request.compare.iter().all(|compare| self.is_satisfied(compare));
        let operations = match succeeded {
            true => request.success,
            false => request.failure,
        };
        let mut events = Vec::new();
        let mut responses = Vec::new();
        for operation in operations {
            responses.push(self.execute(operation, &mut events)?);
        }
        self.commit(events);
        Ok(TxnResponse { header: self.header(), succeeded, responses })
    }

    /// Executes one operation of a transaction and adds its events to `events`.
    fn execute(
        &mut self,
        operation: RequestOp,
        events: &mut Vec<Event>,
    ) -> Result<ResponseOp, Status> {
        let revision = self.revision + 1;
        let request = operation.request;
        let response = match request.ok_or_else(|| Status::invalid_argument("empty operation"))? {
            Request::RequestRange(range) => Response::ResponseRange(self.range(&range)?),
            Request::RequestPut(put) => Response::ResponsePut(self.put_at(revision, put, events)),
            Request::RequestDeleteRange(range) => {
                Response::ResponseDeleteRange(self.delete_at(revision, &range, events))
            }
        };
        Ok(ResponseOp { response: Some(response) })
    }

    fn put_at(
        &mut self,
        revision: i64,
        request: PutRequest,
        events: &mut Vec<Event>,
    ) -> PutResponse {
        let previous = self.keys.get(&request.key).cloned();
        let kv = KeyValue {
            create_revision: previous.as_ref().map_or(revision, |kv| kv.create_revision),
            mod_revision: revision,
            version: previous.as_ref().map_or(1, |kv| kv.version + 1),
            key: request.key.clone(),
            value: request.value,
            lease: request.lease,
        };
        self.keys.insert(request.key, kv.clone());
        events.push(event(EventType::Put, kv));
        PutResponse { header: None, prev_kv: previous.filter(|_| request.prev_kv) }
    }

    fn delete_at(
        &mut self,
        revision: i64,
        request: &DeleteRangeRequest,
        events: &mut Vec<Event>,
    ) -> DeleteRangeResponse {
        let found = self.keys_in(&request.key, &request.range_end);
        let keys: Vec<Vec<u8>> = found.into_iter().map(|kv| kv.key.clone()).collect();
        for key in &keys {
            self.keys.remove(key);
            let deleted =
                KeyValue { key: key.clone(), mod_revision: revision, ..KeyValue::default() };
            events.push(event(EventType::Delete, deleted));
        }
        DeleteRangeResponse { header: None, deleted: i64::try_from(keys.len()).unwrap_or(i64::MAX) }
    }

    /// Publishes the events of a write as the next revision. A write without events makes none.
    fn commit(&mut self, events: Vec<Event>) {
        if events.is_empty() {
            return;
        }
        self.revision += 1;
        let change = Change { revision: self.revision, events };
        self.history.push(change.clone());
        // The send fails when there is no watch, which is not a fault.
        let _ = self.changes.send(change);
    }

    /// Entries of a range. An empty `end` selects only `key`, and a zero byte selects all keys from
    /// `key` on.
    fn keys_in(&self, key: &[u8], end: &[u8]) -> Vec<&KeyValue> {
        let is_in_range = |kv: &&KeyValue| match end {
            [] => kv.key == key,
            [0] => kv.key.as_slice() >= key,
            end => kv.key.as_slice() >= key && kv.key.as_slice() < end,
        };
        self.keys.values().filter(is_in_range).collect()
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
        let absent = KeyValue::default();
        let current = self.keys.get(&compare.key).unwrap_or(&absent);
        let order = match (compare.target(), &compare.target_union) {
            (CompareTarget::Version, Some(TargetUnion::Version(n))) => current.version.cmp(n),
            (CompareTarget::Create, Some(TargetUnion::CreateRevision(n))) => {
                current.create_revision.cmp(n)
            }
            (CompareTarget::Mod, Some(TargetUnion::ModRevision(n))) => current.mod_revision.cmp(n),
            (CompareTarget::Value, Some(TargetUnion::Value(value))) => current.value.cmp(value),
            (CompareTarget::Lease, Some(TargetUnion::Lease(n))) => current.lease.cmp(n),
            _ => return false,
        };
        match compare.result() {
            CompareResult::Equal => order.is_eq(),
            CompareResult::Greater => order.is_gt(),
            CompareResult::Less => order.is_lt(),
            CompareResult::NotEqual => order.is_ne(),
        }
    }
}

fn event(kind: EventType, kv: KeyValue) -> Event {
    Event { r#type: kind as i32, kv: Some(kv), prev_kv: None }
}
