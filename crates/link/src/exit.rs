//! Exit codes that all programs share, so that scripts can tell failures apart.

use std::process::ExitCode;

/// Result of a program; its value is the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The program did what was asked.
    Success = 0,
    /// A failure without a code of its own, including invalid arguments, for which the argument
    /// parser exits with 1.
    Failure = 1,
    /// The settings or a certificate are invalid.
    Settings = 2,
    /// Someone else changed the document in the meantime; nothing was written.
    Conflict = 3,
    /// The document is invalid; nothing was written.
    Invalid = 4,
    /// The change was written, but at most half of the members hold it so far.
    NotInForce = 5,
    /// No host could execute the command; nothing was written.
    Unavailable = 6,
    /// It is not known whether the change was written.
    Unknown = 7,
    /// The document, workspace or key does not exist.
    NotFound = 8,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
