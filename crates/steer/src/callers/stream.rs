//! Passes a large answer on to the caller while it is being received.

use std::time::Duration;

use tokio::time::timeout;

use super::body::Writer;
use crate::{
    backend::connection::{Connection, Fault, Large, Part},
    clock,
};

/// Reason of a request whose response broke off after its head had been sent.
pub(super) const BROKEN_OFF: &str = "broken_off";

/// Reason of a request whose caller left before the request was sent, or before the end of a streamed response.
pub(super) const CALLER_LEFT: &str = "caller_left";

/// How the exchange behind a streamed response ended.
#[derive(Debug)]
pub(super) enum End {
    /// The last byte has come.
    Complete {
        /// Whether the connection can be reused.
        is_reusable: bool,
    },
    /// The answer broke off.
    Failed(Fault),
    /// The deadline passed.
    TimedOut,
    /// The caller left, or read nothing for too long.
    CallerLeft,
}

impl End {
    /// Reason in the log.
    pub(super) fn reason(&self) -> &'static str {
        match self {
            Self::Complete { .. } => "answered",
            Self::Failed(_) | Self::TimedOut => BROKEN_OFF,
            Self::CallerLeft => CALLER_LEFT,
        }
    }
}

/// Exchange behind a streamed response.
#[derive(Debug)]
pub(super) struct Streamed {
    pub(super) end: End,
    /// Time in which nothing was read, as the caller had not read what came before.
    pub(super) held: Duration,
}

/// Receives the body of an answer and sends it to the caller.
///
/// The deadline applies to the time in which the host waits for the other side. The time in which it
/// waits for the caller extends it: the write timeout of the caller's connection limits that.
pub(super) async fn run(
    connection: &mut Connection,
    large: &mut Large,
    writer: Writer,
    deadline: Duration,
) -> Streamed {
    let mut held = Duration::ZERO;
    let end = loop {
        let waits_from = clock::now();
        let room = tokio::select! {
            biased;
            () = writer.closed() => break End::CallerLeft,
            room = writer.room() => room,
        };
        held += clock::now().saturating_sub(waits_from);
        let room = match room {
            Ok(room) => room,
            Err(exhausted) => break End::Failed(exhausted.into()),
        };
        let left = (deadline + held).saturating_sub(clock::now());
        let part = tokio::select! {
            biased;
            () = writer.closed() => break End::CallerLeft,
            part = timeout(left, connection.next_part(large)) => part,
        };
        match part {
            Ok(Ok(Part::Piece(piece))) => writer.send(room, piece),
            Ok(Ok(Part::Last(piece, is_reusable))) => {
                writer.send(room, piece);
                writer.finish();
                break End::Complete { is_reusable };
            }
            Ok(Err(fault)) => break End::Failed(fault),
            Err(_) => break End::TimedOut,
        }
    };
    Streamed { end, held }
}
