//! The thread `store`: runs the control thread's store calls and watches the records.

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

/// Reads of `head` that may wait for their answers; a slow store is not asked more often.
const HEAD_READS: usize = 2;

/// Updates of the watch that may wait for the control thread.
const UPDATE_QUEUE_LENGTH: usize = 64;

/// A store call of the control thread.
pub enum Call {
    /// See [`marjorampick_core::host::event::Action::ReadHead`].
    ReadHead,
    /// See [`marjorampick_core::host::event::Action::ReadRecords`].
    ReadRecords,
    /// See [`marjorampick_core::host::event::Action::Write`].
    Write {
        /// Ticket of the write.
        ticket: Ticket,
        /// The write.
        write: Write,
    },
}

struct Worker {
    shared: Arc<Shared>,
    store: Store,
    events: mpsc::Sender<Event>,
    head_reads: AtomicUsize,
    reading: AtomicBool,
    read_again: AtomicBool,
    away: AtomicBool,
}

/// Runs until the control thread drops its end of `calls`.
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
        reading: AtomicBool::new(false),
        read_again: AtomicBool::new(false),
        away: AtomicBool::new(false),
    });
    let watch = tokio::spawn(watch(worker.clone()));
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
    watch.abort();
}

async fn watch(worker: Arc<Worker>) {
    let (sender, mut updates) = mpsc::channel(UPDATE_QUEUE_LENGTH);
    let store = worker.store.clone();
    let follow = async {
        while let Some(update) = updates.recv().await {
            if worker.events.send(Event::RecordsUpdated(update)).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(store.watch(sender), follow);
}

impl Worker {
    async fn read_head(&self) {
        if self.head_reads.fetch_add(1, Ordering::Relaxed) < HEAD_READS {
            let sent = self.shared.now();
            let result = self.store.read_head().await;
            self.note(result.as_ref().err());
            if let Ok(revision) = result {
                self.report(Event::HeadRead { sent, revision }).await;
            }
        }
        self.head_reads.fetch_sub(1, Ordering::Relaxed);
    }

    /// Reads the records. A call during another one repeats that one, as it may be too early.
    async fn read_records(&self) {
        if self.reading.swap(true, Ordering::Relaxed) {
            self.read_again.store(true, Ordering::Relaxed);
            return;
        }
        loop {
            let result = self.store.read_records().await;
            self.note(result.as_ref().err());
            if let Ok(update) = result {
                self.report(Event::RecordsUpdated(update)).await;
            }
            if !self.read_again.swap(false, Ordering::Relaxed) {
                break;
            }
        }
        self.reading.store(false, Ordering::Relaxed);
    }

    async fn write(&self, ticket: Ticket, write: Write) {
        let started = self.shared.now();
        let result = self.store.write(&write).await;
        let elapsed: Duration = self.shared.now().saturating_sub(started);
        log::info!("store: write of {}: {result:?} after {} ms", write.key, elapsed.as_millis());
        self.report(Event::WriteEnded { ticket, outcome: result }).await;
    }

    async fn report(&self, event: Event) {
        // The control thread is gone only while the process ends.
        let _ = self.events.send(event).await;
    }

    /// Logs only when the store goes away or comes back.
    fn note(&self, fault: Option<&Fault>) {
        let was_away = self.away.swap(fault.is_some(), Ordering::Relaxed);
        match fault {
            Some(fault) if !was_away => log::warn!("store: {fault}"),
            None if was_away => log::info!("store: answers again"),
            _ => {}
        }
    }
}
