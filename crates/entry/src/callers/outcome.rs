//! What is known about a request that has no answer of a backend server.

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// No byte was sent to a backend server, or the backend server refused before running.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Value of the header.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}
