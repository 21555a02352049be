//! Faults that a request header or the admin path switches on.

use std::{str::FromStr, time::Duration};

/// Request header that names a fault, for instance `cut=10`.
pub const FAULT_HEADER: &str = "x-standin-fault";

/// A fault of one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// `late=<ms>`: the answer comes this much later.
    Late(Duration),
    /// `cut=<bytes>`: the connection closes after this much of the body.
    Cut(usize),
    /// `close=head`: the connection closes when the request's head was read, without a run.
    CloseAtHead,
    /// `close=body`: the connection closes when the request's body was read, without a run.
    CloseAfterBody,
    /// `close=run`: the connection closes after the run, without an answer.
    CloseAfterRun,
    /// `close=answer`: the connection closes within the head of the answer, after the run.
    CloseInAnswer,
    /// `silent=head`: nothing is read or sent any more, without a run.
    SilentAtHead,
    /// `silent=run`: nothing is read or sent any more, after the run.
    SilentAfterRun,
    /// `silent=body`: the answer stops within its body, and the connection stays open.
    SilentInBody,
    /// `extra=now`: bytes of another answer follow in the same segment.
    ExtraAtOnce,
    /// `extra=<ms>`: bytes of another answer follow this much later.
    ExtraLater(Duration),
    /// `unframed`: the end of the body is marked only by the end of the connection.
    Unframed,
}

/// A fault for a number of requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Planned {
    pub(super) fault: Fault,
    pub(super) requests: u64,
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (name, value) = text.split_once('=').unwrap_or((text, ""));
        let number = || value.parse::<u64>().map_err(|_| format!("{text}: expected a number"));
        let fault = match (name, value) {
            ("late", _) => Self::Late(Duration::from_millis(number()?)),
            ("cut", _) => Self::Cut(number()? as usize),
            ("close", "head") => Self::CloseAtHead,
            ("close", "body") => Self::CloseAfterBody,
            ("close", "run") => Self::CloseAfterRun,
            ("close", "answer") => Self::CloseInAnswer,
            ("silent", "head") => Self::SilentAtHead,
            ("silent", "run") => Self::SilentAfterRun,
            ("silent", "body") => Self::SilentInBody,
            ("extra", "now") => Self::ExtraAtOnce,
            ("extra", _) => Self::ExtraLater(Duration::from_millis(number()?)),
            ("unframed", "") => Self::Unframed,
            _ => return Err(format!("{text}: no such fault")),
        };
        Ok(fault)
    }
}
