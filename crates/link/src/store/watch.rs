//! Watches all records for changes.

use std::time::Duration;

use marjorampick_core::catalog::Update;
use tokio::sync::mpsc;
use tokio_stream::{StreamExt, wrappers::ReceiverStream};
use tonic::Streaming;

use super::{CALL_TIMEOUT, Fault, MESSAGE_LIMIT_BYTES, Store, prefix_end};
use crate::generated::etcd::{
    WatchCreateRequest, WatchRequest, WatchResponse, event::EventType, watch_client::WatchClient,
    watch_request::RequestUnion,
};

/// Delay between the end of a watch and the next one, so that a failing store is not overloaded.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

impl Store {
    /// Sends all records and then every change to `updates`, until its receiver is dropped.
    ///
    /// The watch starts at the revision after that of the records read, so no change is missed.
    /// After a watch has ended, all records are read again and a new watch is started.
    pub async fn watch(&self, updates: mpsc::Sender<Update>) {
        while !updates.is_closed() {
            let result = tokio::select! {
                result = self.read_and_watch(&updates) => result,
                () = updates.closed() => return,
            };
            match result {
                Ok(()) => log::info!("store: the watch ended; starting a new one"),
                Err(fault) => log::warn!("store: the watch failed: {fault}"),
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    async fn read_and_watch(&self, updates: &mpsc::Sender<Update>) -> Result<(), Fault> {
        let first = self.read_records().await?;
        let mut through = first.through;
        if updates.send(first).await.is_err() {
            return Ok(());
        }
        // The request stream must stay open, as the watch ends with it.
        let (_requests, mut responses) = self.open_watch(through).await?;
        while let Some(response) = responses.next().await {
            let response = response.map_err(|status| self.handle_error(&status))?;
            if response.canceled {
                return Err(Fault::Failed(response.cancel_reason));
            }
            if response.events.is_empty() {
                continue;
            }
            let update = self.watch_update(through, response)?;
            through = through.max(update.through);
            if updates.send(update).await.is_err() {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Opens a watch on the changes after revision `through`. It lasts while the returned sender of
    /// requests exists.
    async fn open_watch(
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
        let mut client =
            WatchClient::new(self.channel()).max_decoding_message_size(MESSAGE_LIMIT_BYTES);
        let opened = tokio::time::timeout(CALL_TIMEOUT, client.watch(ReceiverStream::new(stream)));
        let Ok(opened) = opened.await else {
            self.count_timeout();
            return Err(Fault::TimedOut);
        };
        let responses = opened.map_err(|status| self.handle_error(&status))?;
        Ok((requests, responses.into_inner()))
    }

    fn watch_update(&self, since: u64, response: WatchResponse) -> Result<Update, Fault> {
        let is_put = |kind: i32| kind == EventType::Put as i32;
        let puts = response.events.into_iter().filter(|event| is_put(event.r#type));
        self.update_from(since, puts.filter_map(|event| event.kv).collect())
    }
}
