//! Client of the entry hosts' admin listeners.

use std::{fmt, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, Uri, header};
use marjorampick_link::{exit::Exit, http_client};
use serde::Deserialize;

/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of an edit, longer than a host waits for the store and the members.
const EDIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Response header that states whether a refused request may have taken effect.
const OUTCOME_HEADER: &str = "marjorampick-outcome";

/// Why a command failed.
#[derive(Debug)]
pub struct Failure {
    /// Exit code of the program.
    pub exit: Exit,
    /// Message for the operator.
    pub text: String,
}

impl Failure {
    /// Creates a failure with an exit code and a message.
    pub fn new(exit: Exit, text: impl Into<String>) -> Self {
        Self { exit, text: text.into() }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.text)
    }
}

impl std::error::Error for Failure {}

/// Newest version of a document, as a host holds it.
#[derive(Clone, Debug)]
pub struct Version {
    /// Revision of the document.
    pub revision: u64,
    /// Text of the document.
    pub text: String,
}

/// A document in the list of all documents.
#[derive(Clone, Debug, Deserialize)]
pub struct Summary {
    /// Service of the document.
    pub service: String,
    /// Revision of the document.
    pub revision: u64,
}

#[derive(Deserialize)]
struct Documents {
    documents: Vec<Summary>,
}

#[derive(Deserialize)]
struct Written {
    revision: u64,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Problem {
    detail: String,
    revision: Option<u64>,
    findings: Vec<Finding>,
}

#[derive(Deserialize)]
struct Finding {
    line: usize,
    key: String,
    text: String,
}

/// Client of the entry hosts' admin listeners. Hosts are tried in order.
pub struct Client {
    hosts: Vec<Uri>,
    token: String,
}

impl Client {
    /// Creates a client of the admin listeners at the addresses `hosts`.
    pub fn new(hosts: Vec<Uri>, token: String) -> Self {
        Self { hosts, token }
    }

    /// Addresses of the hosts' admin listeners.
    pub fn hosts(&self) -> &[Uri] {
        &self.hosts
    }

    /// Reads the newest document of `service`.
    pub async fn document(&self, service: &str) -> Result<Version, Failure> {
        let response = self.read(&format!("/documents/{service}")).await?;
        let revision = response.headers().get(header::ETAG);
        let revision = revision.and_then(|tag| tag.to_str().ok()?.trim_matches('"').parse().ok());
        let text = String::from_utf8(response.into_body().to_vec());
        match (revision, text) {
            (Some(revision), Ok(text)) => Ok(Version { revision, text }),
            _ => Err(Failure::new(Exit::Failure, "the host's answer is malformed")),
        }
    }

    /// Reads services and revisions of all documents.
    pub async fn documents(&self) -> Result<Vec<Summary>, Failure> {
        let response = self.read("/documents").await?;
        let list: Documents = parse(response.body())?;
        Ok(list.documents)
    }

    /// Reads the status that the host at `address` reports.
    pub async fn status(&self, address: &Uri) -> Result<serde_json::Value, Failure> {
        let request = self.request(address, Method::GET, "/status", None, Bytes::new())?;
        let response = http_client::send(request, READ_TIMEOUT).await;
        let response = response.map_err(|fault| unavailable(&fault))?;
        parse(response.body())
    }

    /// Replaces the document of `service`, or removes it when `text` is empty, and returns the new
    /// revision. `base` is the revision that the edit was made from.
    ///
    /// An edit that one host has certainly not written is retried once, on the next host.
    pub async fn edit(&self, service: &str, base: u64, text: &str) -> Result<u64, Failure> {
        let method = match text.is_empty() {
            true => Method::DELETE,
            false => Method::PUT,
        };
        let path = format!("/documents/{service}");
        let mut last_failure = Failure::new(Exit::Unavailable, "no host is given");
        for address in self.hosts.iter().take(2) {
            let body = Bytes::copy_from_slice(text.as_bytes());
            let request = self.request(address, method.clone(), &path, Some(base), body)?;
            let result = http_client::send(request, EDIT_TIMEOUT).await;
            match result {
                Ok(response) if has_not_run(&response) => {
                    last_failure = response_failure(&response);
                }
                Ok(response) => return written_revision(&response),
                Err(fault) if fault.is_not_sent() => last_failure = unavailable(&fault),
                Err(fault) => {
                    let text = format!("the change may or may not take effect: {fault}");
                    return Err(Failure::new(Exit::Unknown, text));
                }
            }
        }
        Err(last_failure)
    }

    async fn read(&self, path: &str) -> Result<Response<Bytes>, Failure> {
        let mut last_failure = Failure::new(Exit::Unavailable, "no host is given: use --host");
        for address in &self.hosts {
            let request = self.request(address, Method::GET, path, None, Bytes::new())?;
            match http_client::send(request, READ_TIMEOUT).await {
                Ok(response) if response.status() == StatusCode::OK => return Ok(response),
                Ok(response) if response.status().is_server_error() => {
                    last_failure = response_failure(&response);
                }
                Ok(response) => return Err(response_failure(&response)),
                Err(fault) => last_failure = unavailable(&fault),
            }
        }
        Err(last_failure)
    }

    fn request(
        &self,
        address: &Uri,
        method: Method,
        path: &str,
        base: Option<u64>,
        body: Bytes,
    ) -> Result<Request<Bytes>, Failure> {
        let uri = format!("{}{path}", address.to_string().trim_end_matches('/'));
        let token = format!("Bearer {}", self.token);
        let mut request =
            Request::builder().method(method).uri(uri).header(header::AUTHORIZATION, token);
        if let Some(base) = base {
            request = request.header(header::IF_MATCH, format!("\"{base}\""));
        }
        let request = request.body(body);
        request.map_err(|error| Failure::new(Exit::Failure, error.to_string()))
    }
}

fn has_not_run(response: &Response<Bytes>) -> bool {
    let outcome = response.headers().get(OUTCOME_HEADER);
    let not_run = outcome.is_some_and(|outcome| outcome == "not-run");
    response.status() == StatusCode::SERVICE_UNAVAILABLE && not_run
}

fn written_revision(response: &Response<Bytes>) -> Result<u64, Failure> {
    match response.status() {
        StatusCode::OK => Ok(parse::<Written>(response.body())?.revision),
        StatusCode::ACCEPTED => {
            let revision = parse::<Written>(response.body())?.revision;
            let text = format!("written as revision {revision}, but not in force yet");
            Err(Failure::new(Exit::NotInForce, text))
        }
        _ => Err(response_failure(response)),
    }
}

fn response_failure(response: &Response<Bytes>) -> Failure {
    let exit = match response.status() {
        StatusCode::NOT_FOUND => Exit::NotFound,
        StatusCode::PRECONDITION_FAILED => Exit::Conflict,
        StatusCode::UNPROCESSABLE_ENTITY => Exit::Invalid,
        StatusCode::SERVICE_UNAVAILABLE => Exit::Unavailable,
        StatusCode::GATEWAY_TIMEOUT => Exit::Unknown,
        _ => Exit::Failure,
    };
    let problem: Problem = serde_json::from_slice(response.body()).unwrap_or_default();
    let mut text = match problem.detail.as_str() {
        "" => format!("the host answered {}", response.status()),
        detail => detail.to_owned(),
    };
    if let Some(revision) = problem.revision {
        text.push_str(&format!("; its revision is {revision}"));
    }
    for Finding { line, key, text: fault } in problem.findings {
        text.push_str(&format!("\nline {line}: {key}: {fault}"));
    }
    Failure::new(exit, text)
}

fn unavailable(fault: &http_client::Fault) -> Failure {
    Failure::new(Exit::Unavailable, fault.to_string())
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Failure> {
    let malformed = |error| format!("the host's answer is malformed: {error}");
    serde_json::from_slice(body).map_err(|error| Failure::new(Exit::Failure, malformed(error)))
}
