//! The gRPC services of the store.

use std::{pin::Pin, sync::Arc};

use marjorampick_link::generated::etcd::{
    DeleteRangeRequest, DeleteRangeResponse, PutRequest, PutResponse, RangeRequest, RangeResponse,
    TxnRequest, TxnResponse, WatchCreateRequest, WatchRequest, WatchResponse, kv_server::Kv,
    watch_request::RequestUnion, watch_server::Watch,
};
use tokio::sync::{broadcast::error::RecvError, mpsc};
use tokio_stream::{Stream, wrappers::ReceiverStream};
use tonic::{Request, Response, Status, Streaming};

use super::{
    Store,
    data::{Change, Data},
    fault,
};

/// Maximum number of responses of one watch that wait to be sent.
const WATCH_QUEUE_LENGTH: usize = 64;

impl Store {
    fn read<T>(&self, read: impl FnOnce(&Data) -> T) -> Result<T, Status> {
        let data = self.data.lock();
        Ok(read(&*data.map_err(|_| Status::internal("poisoned"))?))
    }

    /// Runs a write. The current faults apply: its request or its response may be lost.
    async fn write<T>(&self, write: impl FnOnce(&mut Data) -> T) -> Result<Response<T>, Status> {
        self.apply_faults().await?;
        if self.take_lost_request() {
            return Err(fault::wait_and_fail().await);
        }
        let result = {
            let data = self.data.lock();
            write(&mut *data.map_err(|_| Status::internal("poisoned"))?)
        };
        if self.take_lost_response() {
            return Err(fault::wait_and_fail().await);
        }
        Ok(Response::new(result))
    }

    /// Sends changes to one watch until it ends or the store is down.
    async fn serve_watch(
        &self,
        create: WatchCreateRequest,
        responses: mpsc::Sender<Result<WatchResponse, Status>>,
    ) {
        let Ok((past, mut changes)) = self.read(|data| data.changes_from(create.start_revision))
        else {
            return;
        };
        for change in past {
            if !self.send_change(&create, change, &responses).await {
                return;
            }
        }
        loop {
            let change = tokio::select! {
                change = changes.recv() => change,
                () = responses.closed() => return,
                () = self.wait_until_down() => {
                    let _ = responses.send(Err(Status::unavailable("the store is down"))).await;
                    return;
                }
            };
            match change {
                Ok(change) => {
                    if !self.send_change(&create, change, &responses).await {
                        return;
                    }
                }
                Err(RecvError::Closed) => return,
                Err(RecvError::Lagged(_)) => {
                    let lagged = Status::out_of_range("the watch is too far behind");
                    let _ = responses.send(Err(lagged)).await;
                    return;
                }
            }
        }
    }

    /// Sends the events of a change that the watch covers. Returns whether the watch continues.
    async fn send_change(
        &self,
        create: &WatchCreateRequest,
        change: Change,
        responses: &mpsc::Sender<Result<WatchResponse, Status>>,
    ) -> bool {
        if let Err(status) = self.apply_faults().await {
            let _ = responses.send(Err(status)).await;
            return false;
        }
        let is_watched = |key: &[u8]| {
            let after = key >= create.key.as_slice();
            let before = create.range_end == [0] || key < create.range_end.as_slice();
            (after && before) || key == create.key
        };
        let events = change.events.into_iter();
        let events = events.filter(|event| event.kv.as_ref().is_some_and(|kv| is_watched(&kv.key)));
        let mut header = self.read(Data::header).ok().flatten().unwrap_or_default();
        header.revision = change.revision;
        let response = WatchResponse {
            header: Some(header),
            events: events.collect(),
            ..WatchResponse::default()
        };
        response.events.is_empty() || responses.send(Ok(response)).await.is_ok()
    }
}

#[tonic::async_trait]
impl Kv for Store {
    async fn range(
        &self,
        request: Request<RangeRequest>,
    ) -> Result<Response<RangeResponse>, Status> {
        self.count("range");
        self.apply_faults().await?;
        let request = request.into_inner();
        self.read(|data| data.range(&request))?.map(Response::new)
    }

    async fn put(&self, request: Request<PutRequest>) -> Result<Response<PutResponse>, Status> {
        self.count("put");
        let request = request.into_inner();
        self.write(|data| data.put(request)).await
    }

    async fn delete_range(
        &self,
        request: Request<DeleteRangeRequest>,
    ) -> Result<Response<DeleteRangeResponse>, Status> {
        self.count("delete_range");
        let request = request.into_inner();
        self.write(|data| data.delete_range(&request)).await
    }

    async fn txn(&self, request: Request<TxnRequest>) -> Result<Response<TxnResponse>, Status> {
        self.count("txn");
        let request = request.into_inner();
        let response = self.write(|data| data.txn(request)).await?;
        response.into_inner().map(Response::new)
    }
}

/// Stream of responses to one client's watch.
type Responses = Pin<Box<dyn Stream<Item = Result<WatchResponse, Status>> + Send>>;

/// The watch service. It shares the store with its tasks, which outlive the calls that start them.
pub(super) struct Watcher(pub(super) Arc<Store>);

#[tonic::async_trait]
impl Watch for Watcher {
    type WatchStream = Responses;

    async fn watch(
        &self,
        request: Request<Streaming<WatchRequest>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        self.0.count("watch");
        self.0.apply_faults().await?;
        let (responses, stream) = mpsc::channel(WATCH_QUEUE_LENGTH);
        tokio::spawn(serve_stream(self.0.clone(), request.into_inner(), responses));
        Ok(Response::new(Box::pin(ReceiverStream::new(stream))))
    }
}

/// Serves one stream of requests. A stream has one watch, which ends with the stream or when
/// another request arrives.
async fn serve_stream(
    store: Arc<Store>,
    mut requests: Streaming<WatchRequest>,
    responses: mpsc::Sender<Result<WatchResponse, Status>>,
) {
    let Ok(Some(request)) = requests.message().await else {
        return;
    };
    let Some(RequestUnion::CreateRequest(create)) = request.request_union else {
        let refused = Status::invalid_argument("expected the creation of a watch");
        let _ = responses.send(Err(refused)).await;
        return;
    };
    let created = WatchResponse {
        header: store.read(Data::header).ok().flatten(),
        created: true,
        ..WatchResponse::default()
    };
    if responses.send(Ok(created)).await.is_err() {
        return;
    }
    tokio::select! {
        () = store.serve_watch(create, responses) => {}
        _ = requests.message() => {}
    }
}
