//! What one connection is doing, recorded by its stream and read by the sweep.

use std::{
    cell::{Cell, RefCell},
    net::IpAddr,
    time::Duration,
};

use marjorampick_link::wire::framing::Position;
use tokio::sync::Notify;

use super::{
    connections::{Cause, Phase, View},
    presence::Presence,
};
use crate::clock;

/// Progress of one connection.
#[derive(Debug)]
pub(crate) struct Progress {
    id: u64,
    address: IpAddr,
    presence: RefCell<Presence>,
    position: Cell<Position>,
    /// Requests whose responses are not at their end. The HTTP library may read the next request just before it
    /// drops the body of a response that it has sent.
    requests: Cell<u32>,
    /// Requests that have been handed to the service.
    started: Cell<u64>,
    /// Requests that have arrived to their last byte, handed to the service or not.
    arrived: Cell<u64>,
    is_blocked: Cell<bool>,
    has_served: Cell<bool>,
    /// Whether bytes were read since the last request started.
    has_read: Cell<bool>,
    phase: Cell<Phase>,
    since: Cell<Duration>,
    bytes: Cell<u64>,
    moved_at: Cell<Duration>,
    cause: Cell<Option<Cause>>,
    closed: Notify,
}

impl Progress {
    pub(super) fn new(id: u64, address: IpAddr) -> Self {
        let now = clock::now();
        Self {
            id,
            address,
            presence: RefCell::default(),
            position: Cell::new(Position::Start),
            requests: Cell::new(0),
            started: Cell::new(0),
            arrived: Cell::new(0),
            is_blocked: Cell::new(false),
            has_served: Cell::new(false),
            has_read: Cell::new(false),
            phase: Cell::new(Phase::Idle),
            since: Cell::new(now),
            bytes: Cell::new(0),
            moved_at: Cell::new(now),
            cause: Cell::new(None),
            closed: Notify::new(),
        }
    }

    /// Network address by which the connection is counted.
    pub(crate) fn address(&self) -> IpAddr {
        self.address
    }

    pub(super) fn set_presence(&self, presence: Presence) {
        self.presence.replace(presence);
    }

    /// Tells whether the caller is still there.
    pub(crate) fn presence(&self) -> Presence {
        self.presence.borrow().clone()
    }

    /// Records that bytes of requests were read, and how many requests have wholly arrived with them.
    pub(super) fn record_read(&self, length: usize, position: Position, arrived: u64) {
        self.position.set(position);
        self.arrived.set(arrived);
        self.has_read.set(true);
        self.record_bytes(length);
    }

    /// Records that the caller took bytes of a response.
    pub(super) fn record_written(&self, length: usize) {
        if self.is_blocked.get() {
            self.record_bytes(length);
        }
    }

    /// Records whether the caller takes the response slower than it could be sent.
    pub(super) fn set_blocked(&self, is_blocked: bool) {
        if self.is_blocked.replace(is_blocked) != is_blocked {
            self.update_phase(clock::now());
        }
    }

    /// Records that a request is being handled. Returns whether it was read together with an earlier one.
    pub(crate) fn start_request(&self) -> bool {
        let is_pipelined = !self.has_read.replace(false);
        self.requests.set(self.requests.get().saturating_add(1));
        self.started.set(self.started.get().saturating_add(1));
        self.update_phase(clock::now());
        is_pipelined
    }

    /// Records that the last byte of a response was taken, or that there will be none.
    pub(super) fn end_request(&self) {
        self.requests.set(self.requests.get().saturating_sub(1));
        self.has_served.set(true);
        self.update_phase(clock::now());
    }

    /// Closes the connection. The first cause counts.
    pub(super) fn close(&self, cause: Cause) {
        if self.cause.get().is_none() {
            self.cause.set(Some(cause));
            self.closed.notify_one();
        }
    }

    /// Whether the connection is being closed.
    pub(super) fn is_closing(&self) -> bool {
        self.cause.get().is_some()
    }

    /// Why the connection is being closed.
    pub(super) fn cause(&self) -> Option<Cause> {
        self.cause.get()
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn closed(&self) {
        self.closed.notified().await;
    }

    pub(super) fn view(&self) -> View {
        View {
            id: self.id,
            address: self.address,
            phase: self.phase.get(),
            since: self.since.get(),
            bytes: self.bytes.get(),
            moved_at: self.moved_at.get(),
            has_served: self.has_served.get(),
        }
    }

    fn record_bytes(&self, length: usize) {
        let now = clock::now();
        self.update_phase(now);
        self.bytes.set(self.bytes.get().saturating_add(length as u64));
        self.moved_at.set(now);
    }

    fn update_phase(&self, now: Duration) {
        let is_serving = self.requests.get() > 0;
        // The body of the next request may arrive while the last one is being handled.
        let is_arriving = self.started.get() > self.arrived.get();
        let phase = match (self.is_blocked.get(), is_serving, self.position.get()) {
            (true, _, _) => Phase::Writing,
            (false, true, Position::Body) if is_arriving => Phase::Body,
            (false, true, _) => Phase::Running,
            (false, false, Position::Body) => Phase::Rest,
            (false, false, Position::Head) => Phase::Head,
            (false, false, Position::Start) => Phase::Idle,
        };
        if self.phase.replace(phase) != phase {
            self.since.set(now);
            self.moved_at.set(now);
            self.bytes.set(0);
        }
    }
}
