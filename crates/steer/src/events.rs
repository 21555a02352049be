//! Structured log lines on standard output.
//!
//! Each line is a JSON object. Writing an event never blocks: lines go through a bounded queue to
//! a writer thread. Lines that do not fit are dropped, and the next written line contains their
//! number. Successful requests have a lower limit than refusals and failures. See
//! docs/OPERATIONS.md for the fields.

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

use crate::{
    clock,
    constants::{LOG_CLOSE_TIMEOUT, LOG_QUEUE_LINES},
};

/// Priority of an event, which decides whether it is written when there are too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rank {
    /// Start and stop of the process, and changes of the store, the configuration or the known
    /// instances and hosts. Dropped only when the queue is full.
    Notice,
    /// Refused requests and failures, up to the limit of lines per second.
    Failure,
    /// Successful requests, up to half of the limit of lines per second.
    Success,
}

/// Event that is written to the log.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The process started.
    Start {
        /// Version of the program.
        version: &'a str,
        /// Region of the host.
        region: &'a str,
        /// Failure domain of the host.
        domain: &'a str,
    },
    /// The process was asked to stop and started to drain.
    Stopping {
        /// Number of requests in flight.
        in_flight: u32,
    },
    /// The process finished its drain.
    Stopped {
        /// Number of requests in flight.
        in_flight: u32,
        /// Milliseconds since the process was asked to stop.
        after_ms: u128,
    },
    /// A background task ended, which ends the process in order; or one that served a connection or a
    /// request, which does not.
    TaskEnded {
        /// Name of the task.
        task: &'a str,
        /// Why it ended.
        reason: &'a str,
    },
    /// The settings file was validated again.
    Reload {
        /// Whether the file is valid.
        valid: bool,
        /// Faults of the file; empty if it is valid.
        reason: &'a str,
    },
    /// The store responded for the first time, or again after a failure.
    StoreRegained {
        /// Milliseconds since the last response, or since the start.
        away_ms: u128,
        /// Revision up to which changes have been applied.
        revision: u64,
        /// Other hosts that were registered before.
        hosts: usize,
        /// Those of them whose registration did not end meanwhile. With one of them, the store was there.
        hosts_kept: usize,
    },
    /// A read or watch failed while the store counted as reachable.
    StoreLost {
        /// Error of the call.
        reason: &'a str,
        /// Revision up to which changes have been applied.
        revision: u64,
    },
    /// The store has been restored to an earlier copy, and everything is read anew.
    StoreRestored {
        /// Era in which the host last read.
        era_before: u64,
        /// Era of the store by now.
        era: u64,
        /// Revision up to which changes of the earlier era have been applied.
        revision_before: u64,
    },
    /// Everything has been read anew after a restore of the store.
    StoreReread {
        /// Era of the store.
        era: u64,
        /// Revision up to which its items were read.
        revision: u64,
        /// Entries in force that the store lacks.
        missing: usize,
    },
    /// Any other failed call to the store.
    StoreFault {
        /// Kind of the call.
        call: &'a str,
        /// Error of the call.
        reason: &'a str,
    },
    /// A configuration took effect at this host.
    Plan {
        /// Version of the configuration.
        version: u64,
        /// Number of routes.
        routes: usize,
        /// Number of workspaces.
        workspaces: usize,
        /// Number of entries that this version of the program cannot use.
        omitted: usize,
        /// Revision of the change in the store.
        revision: u64,
    },
    /// An entry of the configuration is not used, because this version of the program cannot read it.
    Omitted {
        /// Version of the configuration.
        version: u64,
        /// Kind of the entry: `route`, `service` or `workspace`.
        kind: &'a str,
        /// Name of the entry.
        name: &'a str,
        /// Why it is not used.
        reason: &'a str,
    },
    /// An item in the store was ignored because it is invalid.
    Ignored {
        /// Key of the item.
        key: &'a str,
        /// Reason why the item is invalid.
        reason: &'a str,
        /// Revision of the change in the store.
        revision: u64,
    },
    /// An instance was registered, or its registration changed.
    Instance {
        /// Id of the instance.
        id: &'a str,
        /// Service of the instance.
        service: &'a str,
        /// Failure domain of the instance.
        domain: &'a str,
        /// Whether the instance is shutting down.
        draining: bool,
        /// Remaining warm-up time in milliseconds.
        cold_ms: u128,
        /// Revision of the change in the store.
        revision: u64,
    },
    /// The registration of an instance that has left stands in the store again. It does not count yet.
    InstanceReturned {
        /// Id of the instance.
        id: &'a str,
        /// Revision of the change in the store.
        revision: u64,
    },
    /// The registration of an instance was removed, or did not return after an outage.
    InstanceGone {
        /// Id of the instance.
        id: &'a str,
        /// Reason of the removal.
        reason: &'a str,
    },
    /// A limit of an instance applies from now on, has changed or has ended.
    InstanceLimit {
        /// Id of the instance.
        id: &'a str,
        /// Requests per second that the instance takes from all hosts together; absent without a limit.
        #[serde(skip_serializing_if = "Option::is_none")]
        rate: Option<f64>,
        /// This host's part of the limit, in requests per second; 0 if other hosts share it.
        host_rate: f64,
        /// Id of the request whose answer says so.
        #[serde(skip_serializing_if = "Option::is_none")]
        request: Option<&'a str>,
        /// Name of the host that announced it.
        #[serde(skip_serializing_if = "Option::is_none")]
        told_by: Option<&'a str>,
        /// Revision of the change in the store that says so.
        #[serde(skip_serializing_if = "Option::is_none")]
        revision: Option<u64>,
    },
    /// This host reaches no instance of a service any more, or one again.
    Reach {
        /// Name of the service.
        service: &'a str,
        /// Whether it reaches an instance.
        reached: bool,
        /// Id of the instance to which a connection failed or was opened.
        instance: &'a str,
        /// Why the connection failed; empty if it was opened.
        reason: &'a str,
        /// Milliseconds for which it reached none; 0 if it reaches none from now on.
        lost_ms: u128,
    },
    /// An instance crashed while it ran a request of this host.
    InstanceCrashed {
        /// Id of the instance.
        id: &'a str,
        /// Id of the request.
        request: &'a str,
        /// What identifies the request at all hosts and attempts.
        fingerprint: &'a str,
        /// Milliseconds from sending the request to the crash.
        ran_ms: u128,
    },
    /// A datagram at the address for messages of other hosts was dropped.
    MessageDropped {
        /// Address of the sender.
        sender: &'a str,
        /// `stranger` (no registered host has that address), `malformed`, `unasked` (an answer to no
        /// question of this host) or `implausible` (an answer that is checked with the store).
        reason: &'a str,
    },
    /// What this host knows of a request that crashes instances has changed.
    Quarantine {
        /// What identifies the request at all hosts and attempts.
        fingerprint: &'a str,
        /// `trial` (it runs once, to find out whether it is to blame), `condemned`, `answered` (an instance
        /// ran it to its end), `ended` (after its time) or `removed` (its record was removed).
        change: &'a str,
        /// Name of the host that told it, or wrote the record.
        #[serde(skip_serializing_if = "Option::is_none")]
        told_by: Option<&'a str>,
    },
    /// An instance said in an answer that it leaves, or another host has heard so, so that it gets no
    /// more requests.
    InstanceLeaving {
        /// Id of the instance.
        id: &'a str,
        /// Id of the request whose answer says so.
        #[serde(skip_serializing_if = "Option::is_none")]
        request: Option<&'a str>,
        /// Name of the host that says so.
        #[serde(skip_serializing_if = "Option::is_none")]
        told_by: Option<&'a str>,
    },
    /// An instance rejected a request and asked for a pause.
    InstancePaused {
        /// Id of the instance.
        id: &'a str,
        /// Id of the request whose answer says so.
        request: &'a str,
        /// Milliseconds from now in which it gets no requests.
        pause_ms: u128,
    },
    /// A header of an instance's answer was ignored because its value is invalid.
    InvalidStatement {
        /// Id of the instance.
        id: &'a str,
        /// Id of the request whose answer has the header.
        request: &'a str,
        /// Name of the header.
        header: &'a str,
        /// Value of the header.
        value: &'a str,
    },
    /// The evacuation of a failure domain started or ended.
    Evacuation {
        /// Name of the failure domain.
        domain: &'a str,
        /// Whether the evacuation is in effect.
        active: bool,
        /// Revision of the change in the store.
        revision: u64,
    },
    /// The hosts that share the budgets changed.
    Hosts {
        /// Number of registered hosts, which look-ups return.
        registered: usize,
        /// Number of hosts that share the budgets.
        seats: usize,
        /// This host's share of each budget, as a fraction.
        part: f64,
    },
    /// Connections were refused, or closed before their end, to protect the host.
    ConnectionsClosed {
        /// Kind of the listener.
        listener: &'a str,
        /// Why they were closed.
        cause: &'a str,
        /// Number of such connections since the previous event of this listener and cause.
        count: u64,
    },
    /// An attempt to run a request at an instance gave no answer for the caller.
    Attempt {
        /// Id of the request.
        id: &'a str,
        /// Id of the instance.
        instance: &'a str,
        /// Error of the attempt.
        reason: &'a str,
        /// Whether the instance may have run the request.
        may_have_run: bool,
        /// Milliseconds since the request arrived.
        elapsed_ms: u128,
        /// Expected response time plus the other costs of the chosen instance, in seconds.
        cost: f64,
    },
    /// A request that may run only in some regions is being sent.
    Placement {
        /// Id of the request.
        id: &'a str,
        /// Route of the request.
        route: &'a str,
        /// Workspace of the caller's API key.
        workspace: &'a str,
        /// Id of the instance to which it is sent; empty if it is passed on to another host.
        #[serde(skip_serializing_if = "str::is_empty")]
        instance: &'a str,
        /// Name of the host to which it is passed on; empty if it is sent to an instance.
        #[serde(skip_serializing_if = "str::is_empty")]
        helper: &'a str,
        /// Name of the host from which the request came; empty if it came from a caller.
        #[serde(skip_serializing_if = "str::is_empty")]
        carried_for: &'a str,
        /// Region of the instance or host; empty if it is not known.
        region: &'a str,
        /// Regions that the route allows; all if empty.
        route_homes: &'a [Arc<str>],
        /// Regions that the workspace allows; all if empty.
        workspace_homes: &'a [Arc<str>],
        /// Version of the configuration whose regions these are.
        plan: u64,
        /// Version of the configuration in force when the request arrived.
        plan_at_arrival: u64,
        /// Milliseconds since the request arrived.
        elapsed_ms: u128,
        /// Milliseconds since the last response of the store.
        store_age_ms: u128,
    },
    /// The remaining work of requests predicts the answers of a service worse than the mean, and is
    /// no longer used, or it is used again.
    CostPrediction {
        /// Service of the instances.
        service: &'a str,
        /// Whether the remaining work is used from now on.
        is_used: bool,
    },
    /// A request finished.
    Request {
        /// Id of the request.
        id: &'a str,
        /// Route of the request.
        route: &'a str,
        /// Workspace of the caller's API key.
        workspace: &'a str,
        /// Service to which the request was sent.
        service: &'a str,
        /// Id of the instance that answered or got the last attempt; empty if there is none.
        instance: &'a str,
        /// Whether the instance is in another region.
        remote: bool,
        /// Whether the instance was expected to have the object in its cache.
        known: bool,
        /// Expected response time plus the other costs of the chosen instance, in milliseconds.
        expected_ms: u128,
        /// Name of the host that ran the request in place of this one; empty if there is none.
        #[serde(skip_serializing_if = "str::is_empty")]
        helper: &'a str,
        /// Name of the host from which the request came; empty if it came from a caller.
        #[serde(skip_serializing_if = "str::is_empty")]
        carried_for: &'a str,
        /// HTTP status of the response.
        status: u16,
        /// `answered`, or why the host refused the request.
        reason: &'a str,
        /// Number of attempts that reached an instance.
        attempts: u32,
        /// Milliseconds since the request arrived.
        elapsed_ms: u128,
        /// Milliseconds from the request's arrival to its deadline.
        limit_ms: u128,
        /// Version of the configuration that was applied.
        plan: u64,
        /// Milliseconds since the last response of the store.
        store_age_ms: u128,
        /// What identifies the request at all hosts and attempts, if it failed and was compared with those
        /// that crash instances.
        #[serde(skip_serializing_if = "Option::is_none")]
        fingerprint: Option<String>,
    },
}

/// Log line of an event.
#[derive(Serialize)]
struct Line<'a> {
    time_ms: u128,
    host: &'a str,
    /// Number of lines dropped since the previous written line.
    #[serde(skip_serializing_if = "is_zero")]
    dropped: u64,
    #[serde(flatten)]
    event: Event<'a>,
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

/// Log of events. When it is dropped, the writer thread ends after it has written the queued lines.
pub struct Log {
    host: Arc<str>,
    queue: RefCell<Option<SyncSender<Vec<u8>>>>,
    /// Closed by the writer thread when it ends.
    writer_ended: Receiver<()>,
    dropped: Cell<u64>,
    max_lines_per_second: u32,
    /// Start of the current one-second window.
    window_start: Cell<Duration>,
    /// Lines in the current window, including dropped ones but without notices.
    lines_in_window: Cell<u32>,
}

impl Log {
    /// Creates a log and starts its writer thread. `max_lines_per_second` limits the lines about
    /// requests and failures.
    pub fn start(host: Arc<str>, max_lines_per_second: u32) -> std::io::Result<Self> {
        let (queue, queued_lines) = sync_channel(LOG_QUEUE_LINES);
        let (ending, writer_ended) = sync_channel(0);
        std::thread::Builder::new().name("log".to_owned()).spawn(move || {
            write_lines(&queued_lines);
            drop(ending);
        })?;
        Ok(Self {
            host,
            queue: RefCell::new(Some(queue)),
            writer_ended,
            dropped: Cell::new(0),
            max_lines_per_second,
            window_start: Cell::new(Duration::ZERO),
            lines_in_window: Cell::new(0),
        })
    }

    /// Writes an event, or drops it if the rate limit is exceeded or the queue is full.
    pub fn write(&self, rank: Rank, event: Event<'_>) {
        if !self.admit(rank) {
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
        let queue = self.queue.borrow();
        let sent = queue.as_ref().map(|queue| queue.try_send(bytes));
        if matches!(sent, Some(Err(TrySendError::Full(_)))) {
            self.dropped.set(self.dropped.get() + dropped + 1);
        }
    }

    /// Closes the queue and waits until the queued lines are written, up to `LOG_CLOSE_TIMEOUT` in case
    /// nobody reads them.
    pub fn close(&self) {
        self.queue.borrow_mut().take();
        // Both outcomes end the log: the thread has ended, or it is stuck.
        let _ = self.writer_ended.recv_timeout(LOG_CLOSE_TIMEOUT);
    }

    /// Counts a line, and returns whether the rate limit allows it.
    fn admit(&self, rank: Rank) -> bool {
        let now = clock::now();
        if now.saturating_sub(self.window_start.get()) >= Duration::from_secs(1) {
            self.window_start.set(now);
            self.lines_in_window.set(0);
        }
        let limit = match rank {
            Rank::Notice => return true,
            Rank::Failure => self.max_lines_per_second,
            Rank::Success => self.max_lines_per_second / 2,
        };
        let count = self.lines_in_window.get();
        self.lines_in_window.set(count + 1);
        count < limit
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout().lock();
    while let Ok(line) = lines.recv() {
        // Once standard output is closed, there is no place to report the error.
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
