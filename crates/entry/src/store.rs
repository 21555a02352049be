//! The thread `store`, which runs the control thread's calls of the store and watches the records.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use marjorampick_core::host::event::{Event, Ticket, Write};
use marjorampick_link::store::{Fault, Store};
use tokio::sync::mpsc;

use crate::shared::Shared;

/// Maximum number of concurrent reads of `head`. Further ones are skipped, so that they do not pile
/// up at a slow store.
const MAX_CONCURRENT_HEAD_READS: usize = 2;

/// Maximum number of updates from the watch that wait to be passed to the control thread.
const UPDATE_QUEUE_LENGTH: usize = 64;

/// A call of the store, requested by the control thread.
pub enum Call {
    /// See [`marjorampick_core::host::event::Action::ReadHead`].
    ReadHead,
    /// See [`marjorampick_core::host::event::Action::ReadRecords`].
    ReadRecords,
    /// See [`marjorampick_core::host::event::Action::Write`].
    Write {
        /// Ticket for [`Event::WriteEnded`].
        ticket: Ticket,
        /// The write.
        write: Write,
    },
}

struct Worker {
    shared: Arc<Shared>,
    store: Store,
    events: mpsc::Sender<Event>,
    /// Number of calls of [`Self::read_head`] in progress.
    head_reads: AtomicUsize,
    is_reading_records: AtomicBool,
    /// Whether the read of the records in progress is to be repeated.
    must_repeat_read: AtomicBool,
    /// Whether the last read failed.
    is_unavailable: AtomicBool,
}

/// Runs until the control thread drops its end of `calls`. Results of the calls and updates from
/// the watch go to `events`.
pub async fn run(
    shared: Arc<Shared>,
    store: Store,
    mut calls: mpsc::Receiver<Call>,
    events: mpsc::Sender<Event>,
) {
    let worker = Arc::new(Worker {
        shared,
        store,
        events,
        head_reads: AtomicUsize::new(0),
        is_reading_records: AtomicBool::new(false),
        must_repeat_read: AtomicBool::new(false),
        is_unavailable: AtomicBool::new(false),
    });
    let watch_task = tokio::spawn(watch_records(worker.clone()));
    while let Some(call) = calls.recv().await {
        let worker = worker.clone();
        match call {
            Call::ReadHead => drop(tokio::spawn(async move { worker.read_head().await })),
            Call::ReadRecords => drop(tokio::spawn(async move { worker.read_records().await })),
            Call::Write { ticket, write } => {
                drop(tokio::spawn(async move { worker.write(ticket, write).await }));
            }
        }
    }
    watch_task.abort();
}

/// Watches the records and passes their updates to the control thread.
async fn watch_records(worker: Arc<Worker>) {
    let (updates, mut update_queue) = mpsc::channel(UPDATE_QUEUE_LENGTH);
    let store = worker.store.clone();
    let forward_updates = async {
        while let Some(update) = update_queue.recv().await {
            if worker.events.send(Event::RecordsUpdated(update)).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(store.watch(updates), forward_updates);
}

impl Worker {
    /// Reads `head`, unless too many reads are in progress.
    async fn read_head(&self) {
        if self.head_reads.fetch_add(1, Ordering::Relaxed) < MAX_CONCURRENT_HEAD_READS {
            let sent_at = self.shared.now();
            let result = self.store.read_head().await;
            self.log_availability(result.as_ref().err());
            if let Ok(revision) = result {
                self.send_event(Event::HeadRead { sent: sent_at, revision }).await;
            }
        }
        self.head_reads.fetch_sub(1, Ordering::Relaxed);
    }

    /// Reads all records. A call while a read is in progress makes that one repeat its read, as its
    /// result may be older than this call.
    async fn read_records(&self) {
        if self.is_reading_records.swap(true, Ordering::Relaxed) {
            self.must_repeat_read.store(true, Ordering::Relaxed);
            return;
        }
        loop {
            let result = self.store.read_records().await;
            self.log_availability(result.as_ref().err());
            if let Ok(update) = result {
                self.send_event(Event::RecordsUpdated(update)).await;
            }
            if !self.must_repeat_read.swap(false, Ordering::Relaxed) {
                break;
            }
        }
        self.is_reading_records.store(false, Ordering::Relaxed);
    }

    async fn write(&self, ticket: Ticket, write: Write) {
        let started_at = self.shared.now();
        let outcome = self.store.write(&write).await;
        let elapsed: Duration = self.shared.now().saturating_sub(started_at);
        log::info!("store: write of {}: {outcome:?} after {} ms", write.key, elapsed.as_millis());
        self.send_event(Event::WriteEnded { ticket, outcome }).await;
    }

    async fn send_event(&self, event: Event) {
        // The receiver is closed only while the process ends.
        let _ = self.events.send(event).await;
    }

    /// Logs when the store becomes unavailable or available again, rather than for each read.
    fn log_availability(&self, fault: Option<&Fault>) {
        let was_unavailable = self.is_unavailable.swap(fault.is_some(), Ordering::Relaxed);
        match fault {
            Some(fault) if !was_unavailable => log::warn!("store: {fault}"),
            None if was_unavailable => log::info!("store: available again"),
            _ => {}
        }
    }
}
