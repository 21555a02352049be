//! Receives the bodies of requests, or discards them.

use std::{cell::Cell, net::IpAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use tokio::time::{sleep, timeout};

use super::{
    refusal::{Reason, Refusal},
    routing::Call,
};
use crate::{
    clock,
    constants::{BUSY_RETRY_AFTER, MAX_REQUEST_BODY_BYTES},
    intake::{buffer::Buffer, ledger::Owner, pool::Reservation},
    state::{CarriedRequest, State},
};

/// Most bytes of a refused request that are read while few others are discarded. It fits the largest body,
/// so that a caller that reads its response only after it has sent the request gets it.
const MAX_DISCARDED_BYTES: usize = MAX_REQUEST_BODY_BYTES;

/// Longest time for which the body of a refused request is read while few others are.
const DISCARD_TIME: Duration = Duration::from_secs(3);

/// Most bytes of a refused request that are read while many others are discarded.
const MAX_DISCARDED_BYTES_IN_CROWD: usize = 256 * 1024;

/// Longest time for which the body of a refused request is read while many others are.
const DISCARD_TIME_IN_CROWD: Duration = Duration::from_millis(500);

/// Bodies that are discarded at the same time, from which on there are many.
const CROWD: usize = 8;

/// Average size of the pieces of a body below which each further one takes a turn, in bytes. Chunks of a few
/// bytes cost more processor time than they bring data.
const TINY_PIECE_BYTES: usize = 64;

/// Pieces of a body that take no turn, whatever their size.
const FREE_PIECES: usize = 64;

/// Body of an accepted request, with the memory that it uses.
pub(super) struct Received {
    pub(super) body: Bytes,
    _reservation: Option<Reservation>,
}

/// Takes room for a request of another host, with as much of the body as its length says.
pub(super) fn take_room<'a>(
    state: &'a State,
    call: &Call,
    body: &Incoming,
) -> Result<Option<CarriedRequest<'a>>, Refusal> {
    if !call.is_carried() {
        return Ok(None);
    }
    let body_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let room = state.carried.reserve(body_bytes);
    room.map(Some).ok_or_else(busy)
}

/// Whether the announced length of a body exceeds the limit, so that it need not be read.
pub(super) fn is_too_long(call: &Call, body: &Incoming) -> bool {
    body.size_hint().lower() > max_body_bytes(call) as u64
}

/// Reads the complete body, up to the size limit and the deadline. Each piece has its memory before it is
/// kept.
pub(super) async fn read_body(
    state: &State,
    call: &Call,
    address: Option<IpAddr>,
    body: &mut Incoming,
) -> Result<Received, Refusal> {
    if body.is_end_stream() {
        return Ok(Received { body: Bytes::new(), _reservation: None });
    }
    let remaining = call.deadline.saturating_sub(clock::now());
    let owner = Owner::new(address, call.workspace_name.clone());
    let reservation = state.body_memory.reserve(owner);
    match timeout(remaining, collect(state, call, reservation, body)).await {
        Ok(received) => received,
        Err(_) => Err(Refusal::new(Reason::LateUnsent)),
    }
}

async fn collect(
    state: &State,
    call: &Call,
    mut reservation: Reservation,
    body: &mut Incoming,
) -> Result<Received, Refusal> {
    let max_bytes = max_body_bytes(call);
    let announced_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    // A body that would not fit now is refused before it is read. It is not reserved as a whole, as callers
    // that send nothing could then hold all of the memory.
    if !reservation.has_room(announced_bytes) {
        return Err(out_of_memory());
    }
    if state.budget.limits_address_space() {
        reservation.grow_to(announced_bytes).map_err(|_| out_of_memory())?;
    }
    let mut buffer = Buffer::new(announced_bytes.min(max_bytes)).map_err(|_| out_of_memory())?;
    let (mut length, mut pieces) = (0, 0);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::new(Reason::BadRequest))?;
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        length += piece.len();
        pieces += 1;
        if pieces > FREE_PIECES && length < pieces * TINY_PIECE_BYTES {
            wait_for_turn(state).await;
        }
        if length > max_bytes {
            return Err(Refusal::new(Reason::TooLong));
        }
        reservation.grow_to(buffer.bytes_with(piece.len())).map_err(|_| out_of_memory())?;
        buffer.append(&piece).map_err(|_| out_of_memory())?;
    }
    Ok(Received { body: buffer.into_bytes(), _reservation: Some(reservation) })
}

/// Reads and drops the rest of a refused request's body while the response is sent. Closing a connection
/// with unread bytes resets it, and the caller could lose the response.
///
/// Bounded in time and bytes; then the connection closes, as the HTTP library does that once a body is
/// dropped before its end.
pub(super) fn discard_body(state: &Rc<State>, body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    let discarding = Discarding::start(state.clone());
    let is_crowd = state.discarded_bodies.get() > CROWD;
    let (max_bytes, time) = match is_crowd {
        false => (MAX_DISCARDED_BYTES, DISCARD_TIME),
        true => (MAX_DISCARDED_BYTES_IN_CROWD, DISCARD_TIME_IN_CROWD),
    };
    tokio::task::spawn_local(async move {
        let skipping = skip(&discarding.0, body, max_bytes);
        if timeout(time, skipping).await.is_err() {
            log::debug!("callers: cannot read the rest of a refused request's body");
        }
    });
}

async fn skip(state: &State, mut body: Incoming, max_bytes: usize) {
    let mut length = 0;
    while let Some(Ok(frame)) = body.frame().await {
        wait_for_turn(state).await;
        length += frame.data_ref().map_or(0, Bytes::len);
        if length > max_bytes {
            return;
        }
    }
}

async fn wait_for_turn(state: &State) {
    let wait = state.piece_pace.borrow_mut().take(clock::now());
    if !wait.is_zero() {
        sleep(wait).await;
    }
}

/// Counts a body as being discarded until it is dropped.
struct Discarding(Rc<State>);

impl Discarding {
    fn start(state: Rc<State>) -> Self {
        state.discarded_bodies.set(state.discarded_bodies.get() + 1);
        Self(state)
    }
}

impl Drop for Discarding {
    fn drop(&mut self) {
        let count: &Cell<usize> = &self.0.discarded_bodies;
        count.set(count.get().saturating_sub(1));
    }
}

fn max_body_bytes(call: &Call) -> usize {
    MAX_REQUEST_BODY_BYTES.min(call.plan.limits.max_body_bytes)
}

fn busy() -> Refusal {
    Refusal::with_retry_after(Reason::Busy, BUSY_RETRY_AFTER)
}

fn out_of_memory() -> Refusal {
    Refusal::with_retry_after(Reason::NoMemory, BUSY_RETRY_AFTER)
}
