//! Answers that say what is wrong, as `application/problem+json`.

use gotham::{
    helpers::http::{Body, response::create_response},
    state::State,
};
use http::{HeaderValue, Response, StatusCode, header};
use marjorampick_core::finding::Findings;
use serde::Serialize;

/// Content type of a problem.
const CONTENT_TYPE: &str = "application/problem+json";

/// Header that says whether the request may have taken effect.
const OUTCOME: &str = "Marjorampick-Outcome";

/// What is wrong with a request.
#[derive(Debug, Serialize)]
pub struct Problem {
    #[serde(skip)]
    status: StatusCode,
    #[serde(skip)]
    outcome: &'static str,
    #[serde(rename = "status")]
    number: u16,
    detail: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<u64>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    findings: Vec<Line>,
}

/// One finding of an invalid document.
#[derive(Debug, Serialize)]
struct Line {
    line: usize,
    key: String,
    text: String,
}

impl Problem {
    /// A problem of a request that had no effect.
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

    /// Marks a request that may have taken effect.
    pub fn with_unknown_outcome(self) -> Self {
        Self { outcome: "unknown", ..self }
    }

    /// Adds the revision of the document as it stands.
    pub fn with_revision(self, revision: u64) -> Self {
        Self { revision: Some(revision), ..self }
    }

    /// Adds findings.
    pub fn with_findings(self, findings: &Findings) -> Self {
        let line = |finding: &marjorampick_core::finding::Finding| Line {
            line: finding.line,
            key: finding.key.clone(),
            text: finding.text.clone(),
        };
        Self { findings: findings.iter().map(line).collect(), ..self }
    }

    /// The answer to the request of `state`.
    pub fn into_response(self, state: &State) -> Response<Body> {
        let body = serde_json::to_vec(&self).unwrap_or_default();
        let mut response = create_response(state, self.status, mime::APPLICATION_JSON, body);
        let headers = response.headers_mut();
        let content_type = HeaderValue::from_static(CONTENT_TYPE);
        headers.insert(header::CONTENT_TYPE, content_type);
        headers.insert(OUTCOME, HeaderValue::from_static(self.outcome));
        response
    }
}
