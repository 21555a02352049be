//! Admits connections to the listeners, and closes those that are overdue.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::IpAddr,
    rc::Rc,
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use marjorampick_link::wire::stream::Stream;
use tokio::{net::TcpStream, time::sleep};

use super::{
    CONNECTION_BYTES,
    connections::{Cause, Phase, Table, Times, Verdict, View, overdue},
    ledger::{Owner, network},
    pace::Pace,
    pool::{Pool, Reservation},
    presence::Shared,
    progress::Progress,
    stream::Metered,
};
use crate::{clock, constants::WRITE_TIMEOUT, metrics};

/// Memory that one parsed header field uses beside its text, in bytes.
const FIELD_BYTES: usize = 128;

/// Copies of a request head that a request may hold: the parsed one, the encoded one and the log line.
const HEAD_COPIES: usize = 3;

/// Pause after a search that found no connection to close. During a crowd's attempts to connect, a search
/// for each of them would take the processor time of the ordinary callers.
const SCAN_PAUSE: Duration = Duration::from_millis(50);

/// Pipelined requests per second at one kind of listener. A crowd of callers that send thousands of them
/// without reading a response would take all of the processor time.
const PIPELINED_PER_SECOND: u32 = 500;

/// Pipelined requests that are handled at once.
const PIPELINED_BURST: u32 = 50;

/// Connections of one kind of listener.
pub(crate) struct Gate {
    name: &'static str,
    table: RefCell<Table>,
    memory: Pool,
    open: RefCell<HashMap<u64, Rc<Progress>>>,
    next_id: Cell<u64>,
    /// Time before which no connection is looked for that could be closed.
    scan_after: Cell<Duration>,
    pipelined: RefCell<Pace>,
    /// Connections that were closed or refused since the last report.
    closed: RefCell<HashMap<Cause, u64>>,
}

impl Gate {
    /// A gate for this many connections and this much memory.
    pub(crate) fn new(name: &'static str, (connections, bytes): (usize, usize)) -> Rc<Self> {
        Rc::new(Self {
            name,
            table: RefCell::new(Table::new(connections)),
            memory: Pool::new(bytes),
            open: RefCell::default(),
            next_id: Cell::new(0),
            scan_after: Cell::new(Duration::ZERO),
            pipelined: RefCell::new(Pace::new(PIPELINED_PER_SECOND, PIPELINED_BURST)),
            closed: RefCell::default(),
        })
    }

    /// Name of the listeners in the log and the metrics.
    pub(crate) fn name(&self) -> &'static str {
        self.name
    }

    /// Admits a connection, possibly in place of others; `None` if it is to be closed.
    pub(crate) fn admit(self: &Rc<Self>, stream: &TcpStream) -> Option<Admitted> {
        let address = network(stream.peer_addr().ok()?.ip());
        let verdict = self.table.borrow().admit(address);
        let has_room = match verdict {
            Verdict::Accept => true,
            Verdict::Replace => self.close_some(|_| true),
            Verdict::ReplaceOwn => self.close_some(|view| view.address == address),
        };
        if !has_room {
            let is_share = verdict == Verdict::ReplaceOwn;
            self.count(if is_share { Cause::AddressShare } else { Cause::TooMany });
            return None;
        }
        let mut reservation = self.memory.reserve(Owner::new(Some(address), None));
        if reservation.grow_to(CONNECTION_BYTES).is_err() {
            self.close_some(|_| true);
            self.count(Cause::NoMemory);
            return None;
        }
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        let progress = Rc::new(Progress::new(id, address));
        self.table.borrow_mut().open(address);
        self.open.borrow_mut().insert(id, progress.clone());
        Some(Admitted { gate: self.clone(), progress, id, reservation: Some(reservation) })
    }

    /// Reserves memory for a request with these header fields, while it is being handled.
    pub(crate) fn reserve_request(
        &self,
        address: IpAddr,
        request: &http::request::Parts,
    ) -> Option<Reservation> {
        let fields = request.headers.iter();
        let text: usize = fields.map(|(name, value)| name.as_str().len() + value.len()).sum();
        let target = request.uri.path_and_query().map_or(0, |target| target.as_str().len());
        let bytes = (text + target) * HEAD_COPIES + request.headers.len() * FIELD_BYTES;
        let mut reservation = self.memory.reserve(Owner::new(Some(address), None));
        if reservation.grow_to(bytes).is_err() {
            self.close_some(|_| true);
            self.count(Cause::NoMemory);
            return None;
        }
        Some(reservation)
    }

    /// Waits until the next pipelined request may be handled.
    pub(crate) async fn pace_pipelined(&self) {
        let wait = self.pipelined.borrow_mut().take(clock::now());
        if !wait.is_zero() {
            sleep(wait).await;
        }
    }

    /// Closes the connections that are overdue.
    pub(crate) fn sweep(&self, times: Times) {
        let now = clock::now();
        for progress in self.open.borrow().values() {
            if let Some(cause) = overdue(&progress.view(), now, times) {
                progress.close(cause);
            }
        }
    }

    /// Closes connections whose bodies have stalled, as the memory for bodies is short.
    pub(crate) fn close_stalled_bodies(&self) {
        self.close_some(|view| matches!(view.phase, Phase::Body | Phase::Rest));
    }

    /// Takes the numbers of connections that were closed or refused since the last call.
    pub(crate) fn take_closed(&self) -> Vec<(Cause, u64)> {
        let mut closed: Vec<_> = self.closed.borrow_mut().drain().collect();
        closed.sort_unstable();
        closed
    }

    /// Counts a connection that was closed or refused.
    pub(crate) fn count(&self, cause: Cause) {
        metrics::record_closed_connection(self.name, cause.name());
        *self.closed.borrow_mut().entry(cause).or_default() += 1;
    }

    /// Closes connections with little progress. Returns whether there were any.
    fn close_some(&self, is_eligible: impl Fn(&View) -> bool) -> bool {
        let now = clock::now();
        if now < self.scan_after.get() {
            return false;
        }
        let open = self.open.borrow();
        let views = open.values().filter(|progress| !progress.is_closing());
        let views = views.map(|progress| progress.view());
        let victims = self.table.borrow().victims(views, now, is_eligible);
        if victims.is_empty() {
            self.scan_after.set(now + SCAN_PAUSE);
        }
        let closed = victims.iter().filter_map(|id| open.get(id));
        closed.for_each(|progress| progress.close(Cause::Shortage));
        !victims.is_empty()
    }
}

/// Connection that is counted until it is dropped.
pub(crate) struct Admitted {
    gate: Rc<Gate>,
    progress: Rc<Progress>,
    id: u64,
    reservation: Option<Reservation>,
}

impl Admitted {
    /// What the connection is doing.
    pub(crate) fn progress(&self) -> &Rc<Progress> {
        &self.progress
    }

    /// The gate that admitted the connection.
    pub(crate) fn gate(&self) -> &Rc<Gate> {
        &self.gate
    }

    /// Wraps the stream of the connection.
    pub(crate) fn wrap(
        &mut self,
        stream: TcpStream,
        max_line_bytes: usize,
        has_ambiguous_framing: Arc<AtomicBool>,
    ) -> Option<Metered> {
        let stream = Shared::new(stream);
        self.progress.set_presence(stream.presence());
        let stream = Stream::new(stream, max_line_bytes, WRITE_TIMEOUT, has_ambiguous_framing);
        Some(Metered::new(stream, self.progress.clone(), self.reservation.take()?))
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.gate.table.borrow_mut().close(self.progress.address());
        self.gate.open.borrow_mut().remove(&self.id);
        if let Some(cause) = self.progress.cause() {
            self.gate.count(cause);
        }
    }
}
