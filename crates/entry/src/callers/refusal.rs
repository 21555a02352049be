//! Refusals: the responses of the entry host itself. No other module builds one.

use std::io;

use gotham::helpers::http::Body;
use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full};

use super::{constants::RETRY_AFTER_SECONDS, outcome::Outcome};

/// Header of every refusal, which tells whether the request may have run.
pub(crate) const OUTCOME_HEADER: HeaderName = HeaderName::from_static("marjorampick-outcome");

/// Why the entry host refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Code {
    CredentialConflict,
    BadRequest,
    CredentialMissing,
    CredentialUnknown,
    NoRoute,
    Running,
    Unknown,
    IdempotencyMismatch,
    Rate,
    BackendFailed,
    Deadline,
    NotCurrent,
    RegionFull,
    NoBackend,
    ClaimUnavailable,
}

impl Code {
    /// Name in the response body and in the metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::CredentialConflict => "credential-conflict",
            Self::BadRequest => "bad-request",
            Self::CredentialMissing => "credential-missing",
            Self::CredentialUnknown => "credential-unknown",
            Self::NoRoute => "no-route",
            Self::Running => "running",
            Self::Unknown => "unknown",
            Self::IdempotencyMismatch => "idempotency-mismatch",
            Self::Rate => "rate",
            Self::BackendFailed => "backend-failed",
            Self::Deadline => "deadline",
            Self::NotCurrent => "not-current",
            Self::RegionFull => "region-full",
            Self::NoBackend => "no-backend",
            Self::ClaimUnavailable => "claim-unavailable",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::CredentialConflict | Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::CredentialMissing | Self::CredentialUnknown => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Running | Self::Unknown => StatusCode::CONFLICT,
            Self::IdempotencyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Rate => StatusCode::TOO_MANY_REQUESTS,
            Self::BackendFailed => StatusCode::BAD_GATEWAY,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::NotCurrent | Self::RegionFull | Self::NoBackend | Self::ClaimUnavailable => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }

    /// Whether the same request may succeed a little later, so that the response suggests a retry.
    fn is_temporary(self) -> bool {
        matches!(self.status(), StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)
            || self == Self::Running
    }
}

/// Refusal of a request by the entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) code: Code,
    pub(crate) outcome: Outcome,
    pub(crate) detail: &'static str,
    /// Delay in seconds before the caller may retry, if a backend server has stated one.
    pub(crate) retry_after: Option<u64>,
}

impl Refusal {
    /// Refusal of a request that has not run.
    pub(crate) fn not_run(code: Code, detail: &'static str) -> Self {
        Self { code, outcome: Outcome::NotRun, detail, retry_after: None }
    }

    /// Refusal of a request that violates the protocol; it has not run.
    pub(crate) fn bad_request(detail: &'static str) -> Self {
        Self::not_run(Code::BadRequest, detail)
    }

    /// Refusal of a request that may have run.
    pub(crate) fn unknown(code: Code, detail: &'static str) -> Self {
        Self { outcome: Outcome::Unknown, ..Self::not_run(code, detail) }
    }

    /// Converts the refusal to a response with a problem document (RFC 9457).
    pub(crate) fn into_response(self) -> Response<Body> {
        let status = self.code.status();
        let problem = serde_json::json!({
            "title": status.canonical_reason(),
            "status": status.as_u16(),
            "code": self.code.name(),
            "detail": self.detail,
        });
        let body = Full::from(problem.to_string()).map_err(|never| -> io::Error { match never {} });
        let mut response = Response::new(Body::new(body));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, json);
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(self.outcome.name()));
        if self.code.is_temporary() {
            let seconds = self.retry_after.unwrap_or(RETRY_AFTER_SECONDS);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
