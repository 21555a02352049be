//! Outcome of a request that got no response from a backend server.

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The request has not run: nothing was sent to a backend server, or the backend server refused
    /// the request.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Value of the outcome header and of the metrics label.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}
