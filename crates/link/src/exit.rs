//! Exit codes of all programs, so that scripts can tell failures apart.

use std::process::ExitCode;

/// How a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Everything was done.
    Success = 0,
    /// A failure without a code of its own. The argument parser uses it for wrong arguments too.
    Failure = 1,
    /// The settings or a certificate have faults.
    Settings = 2,
    /// A document was changed by someone else in the meantime; nothing was written.
    Conflict = 3,
    /// A document has faults; nothing was written.
    Invalid = 4,
    /// The change is written, but not yet held by more than half of the members.
    NotInForce = 5,
    /// No host could take the command; nothing was written.
    Unavailable = 6,
    /// Whether the change was written cannot be told.
    Unknown = 7,
    /// The document, workspace or key does not exist.
    NotFound = 8,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
