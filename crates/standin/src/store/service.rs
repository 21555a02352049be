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

/// Answers of one watch that may wait to be sent.
const WATCH_QUEUE_LENGTH: usize = 64;

impl Store {
    fn read<T>(&self, read: impl FnOnce(&Data) -> T) -> Result<T, Status> {
        let data = self.data.lock();
        Ok(read(&*data.map_err(|_| Status::internal("poisoned"))?))
    }

    /// Runs a write with the faults of the moment: its request or its answer may be lost.
    async fn write<T>(&self, write: impl FnOnce(&mut Data) -> T) -> Result<Response<T>, Status> {
        self.admit().await?;
        if self.loses_request() {
            return Err(fault::lost().await);
        }
        let result = {
            let data = self.data.lock();
            write(&mut *data.map_err(|_| Status::internal("poisoned"))?)
        };
        if self.loses_answer() {
            return Err(fault::lost().await);
        }
        Ok(Response::new(result))
    }

    /// Reports changes to one watch until it ends or the store is down.
    async fn report(
        &self,
        create: WatchCreateRequest,
        answers: mpsc::Sender<Result<WatchResponse, Status>>,
    ) {
        let Ok((known, mut changes)) = self.read(|data| data.follow(create.start_revision)) else {
            return;
        };
        for change in known {
            if !self.send(&create, change, &answers).await {
                return;
            }
        }
        loop {
            let change = tokio::select! {
                change = changes.recv() => change,
                () = answers.closed() => return,
                () = self.down() => {
                    let _ = answers.send(Err(Status::unavailable("the store is down"))).await;
                    return;
                }
            };
            match change {
                Ok(change) => {
                    if !self.send(&create, change, &answers).await {
                        return;
                    }
                }
                Err(RecvError::Closed) => return,
                Err(RecvError::Lagged(_)) => {
                    let lagged = Status::out_of_range("the watch is too far behind");
                    let _ = answers.send(Err(lagged)).await;
                    return;
                }
            }
        }
    }

    /// Sends the part of a change that the watch asked for; answers whether the watch goes on.
    async fn send(
        &self,
        create: &WatchCreateRequest,
        change: Change,
        answers: &mpsc::Sender<Result<WatchResponse, Status>>,
    ) -> bool {
        if let Err(status) = self.admit().await {
            let _ = answers.send(Err(status)).await;
            return false;
        }
        let wanted = |key: &[u8]| {
            let after = key >= create.key.as_slice();
            let before = create.range_end == [0] || key < create.range_end.as_slice();
            (after && before) || key == create.key
        };
        let events = change.events.into_iter();
        let events = events.filter(|event| event.kv.as_ref().is_some_and(|kv| wanted(&kv.key)));
        let mut header = self.read(Data::header).ok().flatten().unwrap_or_default();
        header.revision = change.revision;
        let answer = WatchResponse {
            header: Some(header),
            events: events.collect(),
            ..WatchResponse::default()
        };
        answer.events.is_empty() || answers.send(Ok(answer)).await.is_ok()
    }
}

#[tonic::async_trait]
impl Kv for Store {
    async fn range(
        &self,
        request: Request<RangeRequest>,
    ) -> Result<Response<RangeResponse>, Status> {
        self.count("range");
        self.admit().await?;
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
        let answer = self.write(|data| data.txn(request)).await?;
        answer.into_inner().map(Response::new)
    }
}

/// Stream of answers to one client's watches.
type Answers = Pin<Box<dyn Stream<Item = Result<WatchResponse, Status>> + Send>>;

/// The watch service; its tasks outlive the calls that start them.
pub(super) struct Watches(pub(super) Arc<Store>);

#[tonic::async_trait]
impl Watch for Watches {
    type WatchStream = Answers;

    async fn watch(
        &self,
        request: Request<Streaming<WatchRequest>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        self.0.count("watch");
        self.0.admit().await?;
        let (answers, stream) = mpsc::channel(WATCH_QUEUE_LENGTH);
        tokio::spawn(serve(self.0.clone(), request.into_inner(), answers));
        Ok(Response::new(Box::pin(ReceiverStream::new(stream))))
    }
}

/// Serves one stream of requests. Each stream may hold one watch, which ends with the stream.
async fn serve(
    store: Arc<Store>,
    mut requests: Streaming<WatchRequest>,
    answers: mpsc::Sender<Result<WatchResponse, Status>>,
) {
    let Ok(Some(request)) = requests.message().await else {
        return;
    };
    let Some(RequestUnion::CreateRequest(create)) = request.request_union else {
        let refused = Status::invalid_argument("expected the creation of a watch");
        let _ = answers.send(Err(refused)).await;
        return;
    };
    let created = WatchResponse {
        header: store.read(Data::header).ok().flatten(),
        created: true,
        ..WatchResponse::default()
    };
    if answers.send(Ok(created)).await.is_err() {
        return;
    }
    tokio::select! {
        () = store.report(create, answers) => {}
        _ = requests.message() => {}
    }
}
