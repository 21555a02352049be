//! Answers that the host gives itself.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;

/// Why the host answers itself. The statuses 429 and 503 promise that the request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// The request cannot be read, or its length can be read in two ways.
    BadRequest,
    /// The body is longer than allowed.
    TooLong,
    /// No key, or one that nobody holds.
    UnknownKey,
    /// No route has this host and path.
    NoRoute,
    /// The workspace is over its limit.
    OverRate,
    /// The host knows no configuration yet.
    Starting,
    /// No instance may run the request.
    NoInstance,
    /// All instances have as much as they can do in time.
    Full,
    /// The request can only run in other regions, and too much would move there at once.
    Shift,
    /// The instances that were tried refused the request.
    Shed,
    /// The time ran out before the request was sent.
    LateUnsent,
    /// The request was sent, and no usable answer came.
    Lost,
    /// The request was sent, and the time ran out.
    Late,
}

impl Reason {
    /// Name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::TooLong => "too_long",
            Self::UnknownKey => "unknown_key",
            Self::NoRoute => "no_route",
            Self::OverRate => "over_rate",
            Self::Starting => "starting",
            Self::NoInstance => "no_instance",
            Self::Full => "full",
            Self::Shift => "shift",
            Self::Shed => "shed",
            Self::LateUnsent => "late_unsent",
            Self::Lost => "lost",
            Self::Late => "late",
        }
    }

    /// Whether the request has certainly not run.
    pub(crate) fn is_not_run(self) -> bool {
        !matches!(self, Self::Lost | Self::Late)
    }

    fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::OverRate => StatusCode::TOO_MANY_REQUESTS,
            Self::Starting
            | Self::NoInstance
            | Self::Full
            | Self::Shift
            | Self::Shed
            | Self::LateUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// An answer of the host's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) reason: Reason,
    /// When the caller may come back.
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    pub(crate) fn new(reason: Reason) -> Self {
        Self { reason, retry_after: None }
    }

    pub(crate) fn after(reason: Reason, retry_after: Duration) -> Self {
        Self { reason, retry_after: Some(retry_after) }
    }

    /// Callers come back on a new connection after a refusal, so that the old one would only take up
    /// memory and a descriptor until it has been idle for long enough.
    fn closes_connection(self) -> bool {
        let status = self.reason.status();
        let comes_back =
            matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        comes_back || matches!(self.reason, Reason::BadRequest | Reason::TooLong)
    }

    pub(crate) fn into_response(self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        *response.status_mut() = self.reason.status();
        if let Some(wait) = self.retry_after {
            let text = format!("{:.3}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(text) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        if self.closes_connection() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
