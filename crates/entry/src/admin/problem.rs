//! Error responses of the admin and look-up listeners, as `application/problem+json`.

use gotham::{
    helpers::http::{Body, response::create_response},
    state::State,
};
use http::{HeaderValue, Response, StatusCode, header};
use marjorampick_core::finding::Findings;
use serde::Serialize;

/// Content type of the responses.
const CONTENT_TYPE: &str = "application/problem+json";

/// Header that says whether the request may have taken effect.
const OUTCOME_HEADER: &str = "Marjorampick-Outcome";

/// Body, status and outcome of an error response.
#[derive(Debug, Serialize)]
pub struct Problem {
    #[serde(skip)]
    status: StatusCode,
    /// Value of [`OUTCOME_HEADER`].
    #[serde(skip)]
    outcome: &'static str,
    /// `status` as a number, for the body.
    #[serde(rename = "status")]
    number: u16,
    detail: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<u64>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    findings: Vec<Finding>,
}

/// A finding in an invalid document, as written in the body.
#[derive(Debug, Serialize)]
struct Finding {
    line: usize,
    key: String,
    text: String,
}

impl Problem {
    /// Creates the error response to a request that had no effect.
    pub fn new(status: StatusCode, detail: &str) -> Self {
        Self {
            status,
            outcome: "not-run",
            number: status.as_u16(),
            detail: detail.to_owned(),
            revision: None,
            findings: Vec::new(),
        }
    }

    /// Marks the request as one that may have taken effect.
    pub fn with_unknown_outcome(self) -> Self {
        Self { outcome: "unknown", ..self }
    }

    /// Adds the current revision of the document.
    pub fn with_revision(self, revision: u64) -> Self {
        Self { revision: Some(revision), ..self }
    }

    /// Adds the findings in the document that was sent.
    pub fn with_findings(self, findings: &Findings) -> Self {
        let entry = |finding: &marjorampick_core::finding::Finding| Finding {
            line: finding.line,
            key: finding.key.clone(),
            text: finding.text.clone(),
        };
        Self { findings: findings.iter().map(entry).collect(), ..self }
    }

    /// Converts the problem into the response to the request of `state`.
    pub fn into_response(self, state: &State) -> Response<Body> {
        let body = serde_json::to_vec(&self).unwrap_or_default();
        let mut response = create_response(state, self.status, mime::APPLICATION_JSON, body);
        let headers = response.headers_mut();
        let content_type = HeaderValue::from_static(CONTENT_TYPE);
        headers.insert(header::CONTENT_TYPE, content_type);
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(self.outcome));
        response
    }
}
