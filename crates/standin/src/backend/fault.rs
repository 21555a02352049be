//! Faults of single requests, which a request header or the admin path selects.

use std::{str::FromStr, time::Duration};

/// Request header that selects a fault for the request, for instance `cut=10`.
pub const FAULT_HEADER: &str = "x-standin-fault";

/// A fault in handling one request. The text forms are given with the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// `late=<ms>`: the run takes this many milliseconds longer.
    Late(Duration),
    /// `cut=<bytes>`: the connection is closed after this many bytes of the response's body.
    Cut(usize),
    /// `close=head`: the connection is closed after the request's head was read, without a run.
    CloseAtHead,
    /// `close=body`: the connection is closed after the request's body was read, without a run.
    CloseAfterBody,
    /// `close=run`: the connection is closed after the run, without a response.
    CloseAfterRun,
    /// `close=answer`: the connection is closed after the run and a part of the response's head.
    CloseInAnswer,
    /// `silent=head`: after the request's head was read, nothing more is read or sent, and the
    /// request does not run.
    SilentAtHead,
    /// `silent=run`: after the run, nothing more is read or sent.
    SilentAfterRun,
    /// `silent=body`: the response stops within its body, and the connection stays open.
    SilentInBody,
    /// `extra=now`: bytes of a second response directly follow the response, in the same segment.
    ExtraAtOnce,
    /// `extra=<ms>`: bytes of a second response are sent this many milliseconds after the run.
    ExtraLater(Duration),
    /// `unframed`: only the close of the connection marks the end of the response's body.
    Unframed,
}

/// A fault that applies to the next `requests` requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Plan {
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
