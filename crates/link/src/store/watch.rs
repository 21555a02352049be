//! Watch on all records.

use std::time::Duration;

use marjorampick_core::catalog::Update;
use tokio::sync::mpsc;
use tokio_stream::{StreamExt, wrappers::ReceiverStream};
use tonic::Streaming;

use super::{CALL_TIMEOUT, Fault, MESSAGE_LIMIT, Store, prefix_end};
use crate::generated::etcd::{
    WatchCreateRequest, WatchRequest, WatchResponse, event::EventType, watch_client::WatchClient,
    watch_request::RequestUnion,
};

/// Wait after a watch ended and before the next one, so that a failing store is not flooded.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

impl Store {
    /// Reports all records and then every change to `updates`, until its receiver is dropped.
    ///
    /// The watch starts at the revision after the read, so that no change is missed in between. A
    /// watch that ends is replaced by a new read and a new watch.
    pub async fn watch(&self, updates: mpsc::Sender<Update>) {
        while !updates.is_closed() {
            let ended = tokio::select! {
                ended = self.follow(&updates) => ended,
                () = updates.closed() => return,
            };
            match ended {
                Ok(()) => log::info!("store: the watch ended; starting a new one"),
                Err(fault) => log::warn!("store: the watch failed: {fault}"),
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    async fn follow(&self, updates: &mpsc::Sender<Update>) -> Result<(), Fault> {
        let first = self.read_records().await?;
        let mut through = first.through;
        if updates.send(first).await.is_err() {
            return Ok(());
        }
        // Dropping the sender would end the request stream and with it the watch.
        let (_keep_open, mut changes) = self.open(through).await?;
        while let Some(change) = changes.next().await {
            let change = change.map_err(|status| self.failed(&status))?;
            if change.canceled {
                return Err(Fault::Failed(change.cancel_reason));
            }
            if change.events.is_empty() {
                continue;
            }
            let update = self.changed(through, change)?;
            through = through.max(update.through);
            if updates.send(update).await.is_err() {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn open(
        &self,
        through: u64,
    ) -> Result<(mpsc::Sender<WatchRequest>, Streaming<WatchResponse>), Fault> {
        let prefix = self.key("");
        let create = WatchCreateRequest {
            range_end: prefix_end(&prefix),
            key: prefix.into_bytes(),
            start_revision: i64::try_from(through + 1).map_err(|_| Fault::Malformed)?,
            progress_notify: false,
        };
        let (requests, stream) = mpsc::channel(1);
        let request = WatchRequest { request_union: Some(RequestUnion::CreateRequest(create)) };
        requests.try_send(request).map_err(|_| Fault::Malformed)?;
        let mut client = WatchClient::new(self.channel()).max_decoding_message_size(MESSAGE_LIMIT);
        let opened = tokio::time::timeout(CALL_TIMEOUT, client.watch(ReceiverStream::new(stream)));
        let Ok(opened) = opened.await else {
            self.note_timeout();
            return Err(Fault::TimedOut);
        };
        let changes = opened.map_err(|status| self.failed(&status))?;
        Ok((requests, changes.into_inner()))
    }

    fn changed(&self, since: u64, change: WatchResponse) -> Result<Update, Fault> {
        let is_put = |kind: i32| kind == EventType::Put as i32;
        let puts = change.events.into_iter().filter(|event| is_put(event.r#type));
        self.update(since, puts.filter_map(|event| event.kv).collect())
    }
}
