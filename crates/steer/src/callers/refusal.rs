//! Responses of the host itself to requests that no instance answered.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;

use super::stream::CALLER_LEFT;
use crate::constants::BEHIND_RETRY_AFTER;

/// Why the host refuses a request. The statuses 429 and 503 guarantee that the request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// The request is invalid or its framing is ambiguous.
    BadRequest,
    /// The body exceeds the size limit.
    TooLong,
    /// The request has no API key, or an unknown one.
    UnknownKey,
    /// No route matches the host and path.
    NoRoute,
    /// The workspace has exceeded its rate limit.
    OverRate,
    /// The host has no configuration yet.
    Starting,
    /// The host stops, and might not live to see the end of the request.
    Stopping,
    /// No registered instance may run the request.
    NoInstance,
    /// No instance has capacity for the request.
    Full,
    /// This host does not reach many of the instances, and the others have no capacity.
    Unreached,
    /// The host to which the request was passed on refused it.
    HelperRefused,
    /// The memory for request bodies is in use.
    NoMemory,
    /// This host runs as many requests of other hosts as it may.
    Busy,
    /// Other hosts have a later configuration, without which this host cannot judge the request.
    Behind,
    /// The request came to the listener for other hosts, but not from one.
    Stranger,
    /// The request can run only in other regions, and the share of requests that run there may rise
    /// only slowly.
    Shift,
    /// The request crashes the instances that run it, or may do so.
    Quarantined,
    /// This version of the program cannot use the route or workspace of the request.
    Unsupported,
    /// All attempts ended without running the request, and no retry is allowed.
    Shed,
    /// The deadline passed, or was too close, before the request was sent.
    LateUnsent,
    /// The caller closed its connection before the request was sent.
    CallerLeft,
    /// The request may have run, but there was no valid answer.
    Lost,
    /// The request may have run, and the deadline passed without an answer.
    Late,
}

impl Reason {
    /// Name in the log and the metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::TooLong => "too_long",
            Self::UnknownKey => "unknown_key",
            Self::NoRoute => "no_route",
            Self::OverRate => "over_rate",
            Self::Starting => "starting",
            Self::Stopping => "stopping",
            Self::NoInstance => "no_instance",
            Self::Full => "full",
            Self::Unreached => "unreached",
            Self::HelperRefused => "helper_refused",
            Self::NoMemory => "no_memory",
            Self::Busy => "busy",
            Self::Behind => "behind",
            Self::Stranger => "stranger",
            Self::Shift => "shift",
            Self::Quarantined => "quarantined",
            Self::Unsupported => "unsupported",
            Self::Shed => "shed",
            Self::LateUnsent => "late_unsent",
            Self::CallerLeft => CALLER_LEFT,
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
            | Self::Stopping
            | Self::NoInstance
            | Self::Full
            | Self::Unreached
            | Self::HelperRefused
            | Self::NoMemory
            | Self::Busy
            | Self::Behind
            | Self::Stranger
            | Self::Shift
            | Self::Quarantined
            | Self::Unsupported
            | Self::Shed
            | Self::LateUnsent
            | Self::CallerLeft => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Refusal of a request by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) reason: Reason,
    /// Suggested delay before the caller retries.
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    pub(crate) fn new(reason: Reason) -> Self {
        Self { reason, retry_after: None }
    }

    pub(crate) fn with_retry_after(reason: Reason, retry_after: Duration) -> Self {
        Self { reason, retry_after: Some(retry_after) }
    }

    /// Refusal by a host that misses a later configuration.
    pub(crate) fn behind() -> Self {
        Self::with_retry_after(Reason::Behind, BEHIND_RETRY_AFTER)
    }

    /// Whether the response closes the connection. Callers retry a refused request on a new
    /// connection, and the old one would hold memory and a file descriptor until its idle timeout.
    fn closes_connection(self) -> bool {
        let status = self.reason.status();
        let is_retried =
            matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        is_retried || matches!(self.reason, Reason::BadRequest | Reason::TooLong)
    }

    pub(crate) fn into_response(self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        *response.status_mut() = self.reason.status();
        response.extensions_mut().insert(self.reason);
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
