//! Structured log lines on standard output.
//!
//! One JSON object a line. Writing never blocks: lines go through a bounded queue to a thread that
//! writes them, and what does not fit is counted and reported with the next line that does. Successes
//! are bounded more tightly than refusals and failures. See docs/OPERATIONS.md for the fields.

use std::{
    cell::{Cell, RefCell},
    io::Write as _,
    sync::{
        Arc,
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde::Serialize;

use crate::{clock, constants::LOG_QUEUE_LINES};

/// How much a line matters when there are too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rank {
    /// Starts, stops, dependencies and beliefs: never left out while the queue has room.
    Notice,
    /// Refusals and failures.
    Failure,
    /// Requests that were answered.
    Success,
}

/// One event.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The process starts.
    Start {
        /// Version of the program.
        version: &'a str,
        /// Region of the host.
        region: &'a str,
        /// Failure domain of the host.
        domain: &'a str,
    },
    /// The process was asked to stop.
    Stopping {
        /// Requests that have not ended.
        in_flight: u32,
    },
    /// The process ends.
    Stopped {
        /// Requests that have not ended.
        in_flight: u32,
        /// Milliseconds since it was asked to stop.
        after_ms: u128,
    },
    /// The settings were read again.
    Reload {
        /// Whether they are valid.
        valid: bool,
        /// What is wrong with them.
        reason: &'a str,
    },
    /// The store answers again, or for the first time.
    StoreRegained {
        /// Milliseconds without an answer.
        away_ms: u128,
        /// Revision that is known.
        revision: u64,
    },
    /// The store does not answer.
    StoreLost {
        /// What happened.
        reason: &'a str,
        /// Revision that is known.
        revision: u64,
    },
    /// A call to the store failed while the store counts as reachable.
    StoreFault {
        /// The call.
        call: &'a str,
        /// What happened.
        reason: &'a str,
    },
    /// A configuration came into force at this host.
    Plan {
        /// Its version.
        version: u64,
        /// Number of routes.
        routes: usize,
        /// Number of workspaces.
        workspaces: usize,
        /// Revision in the store.
        revision: u64,
    },
    /// An item in the store was ignored.
    Ignored {
        /// Its key.
        key: &'a str,
        /// Why.
        reason: &'a str,
        /// Revision in the store.
        revision: u64,
    },
    /// An instance may get requests, or its state changed.
    Instance {
        /// Its id.
        id: &'a str,
        /// Its service.
        service: &'a str,
        /// Its failure domain.
        domain: &'a str,
        /// Whether it is about to leave.
        draining: bool,
        /// Milliseconds for which it is cold.
        cold_ms: u128,
        /// Revision in the store.
        revision: u64,
    },
    /// An instance is gone.
    InstanceGone {
        /// Its id.
        id: &'a str,
        /// Why.
        reason: &'a str,
    },
    /// The evacuation of a failure domain started or ended.
    Evacuation {
        /// The failure domain.
        domain: &'a str,
        /// Whether it is being evacuated.
        active: bool,
        /// Revision in the store.
        revision: u64,
    },
    /// The hosts that look-ups name, or the seats in the budgets, changed.
    Hosts {
        /// Hosts that are registered.
        registered: usize,
        /// Hosts that share the budgets.
        seats: usize,
        /// This host's part of each budget.
        part: f64,
    },
    /// A request was sent to an instance without getting a usable answer.
    Attempt {
        /// Id of the request.
        id: &'a str,
        /// The instance.
        instance: &'a str,
        /// What happened.
        reason: &'a str,
        /// Whether the request may have run there.
        may_have_run: bool,
        /// Milliseconds since the request arrived.
        elapsed_ms: u128,
        /// Estimated load of the instance when it was chosen, by cost.
        cost: f64,
    },
    /// A request has ended.
    Request {
        /// Id of the request.
        id: &'a str,
        /// Its route.
        route: &'a str,
        /// Workspace of its key.
        workspace: &'a str,
        /// Service that it was sent to.
        service: &'a str,
        /// Instance that answered.
        instance: &'a str,
        /// Whether that instance is in another region.
        remote: bool,
        /// Whether it was expected to know the object.
        known: bool,
        /// Milliseconds in which it was expected to answer, other costs included.
        expected_ms: u128,
        /// Status of the answer.
        status: u16,
        /// Why it has this status.
        reason: &'a str,
        /// Attempts that reached an instance.
        attempts: u32,
        /// Milliseconds since the request arrived.
        elapsed_ms: u128,
        /// Milliseconds that the caller granted.
        limit_ms: u128,
        /// Version of the configuration that decided.
        plan: u64,
        /// Milliseconds since the store last answered.
        store_age_ms: u128,
    },
}

#[derive(Serialize)]
struct Line<'a> {
    time_ms: u128,
    host: &'a str,
    /// Lines that were left out since the last one.
    #[serde(skip_serializing_if = "is_zero")]
    dropped: u64,
    #[serde(flatten)]
    event: Event<'a>,
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

/// Writes events; dropping it ends the thread once the queue is empty.
pub struct Log {
    host: Arc<str>,
    lines: RefCell<Option<SyncSender<Vec<u8>>>>,
    dropped: Cell<u64>,
    per_second: u32,
    window: Cell<Duration>,
    in_window: Cell<u32>,
}

impl Log {
    /// A log with its writing thread. `per_second` bounds the lines about requests.
    pub fn start(host: Arc<str>, per_second: u32) -> std::io::Result<Self> {
        let (lines, received) = sync_channel(LOG_QUEUE_LINES);
        std::thread::Builder::new().name("log".to_owned()).spawn(move || write(&received))?;
        Ok(Self {
            host,
            lines: RefCell::new(Some(lines)),
            dropped: Cell::new(0),
            per_second,
            window: Cell::new(Duration::ZERO),
            in_window: Cell::new(0),
        })
    }

    /// Writes one event, unless there are too many.
    pub fn write(&self, rank: Rank, event: Event<'_>) {
        if !self.allows(rank) {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let dropped = self.dropped.replace(0);
        let line = Line { time_ms: since_epoch.as_millis(), host: &self.host, dropped, event };
        let mut bytes = match serde_json::to_vec(&line) {
            Ok(bytes) => bytes,
            Err(error) => format!("{{\"event\":\"unencodable\",\"reason\":\"{error}\"}}").into(),
        };
        bytes.push(b'\n');
        let lines = self.lines.borrow();
        let sent = lines.as_ref().map(|lines| lines.try_send(bytes));
        if matches!(sent, Some(Err(TrySendError::Full(_)))) {
            self.dropped.set(self.dropped.get() + dropped + 1);
        }
    }

    /// Ends the writing thread once it has written what waits.
    pub fn close(&self) {
        self.lines.borrow_mut().take();
    }

    fn allows(&self, rank: Rank) -> bool {
        let now = clock::now();
        if now.saturating_sub(self.window.get()) >= Duration::from_secs(1) {
            self.window.set(now);
            self.in_window.set(0);
        }
        let limit = match rank {
            Rank::Notice => return true,
            Rank::Failure => self.per_second,
            Rank::Success => self.per_second / 2,
        };
        let count = self.in_window.get();
        self.in_window.set(count + 1);
        count < limit
    }
}

fn write(lines: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout().lock();
    while let Ok(line) = lines.recv() {
        // With standard output gone nobody can be told.
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
