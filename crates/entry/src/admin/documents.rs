//! Handlers of `GET /documents` and of `GET`, `PUT` and `DELETE /documents/<service>`.

use std::{pin::Pin, sync::Arc};

use gotham::{
    handler::HandlerResult,
    helpers::http::{Body, response::create_response},
    state::{FromState, State},
};
use http::{HeaderMap, HeaderValue, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Limited};
use marjorampick_core::{
    catalog::Record,
    document::Digest,
    host::event::{Edit, EditOutcome},
};
use serde_json::json;
use tokio::sync::oneshot;

use super::{context, problem::Problem};
use crate::shared::{Request, Shared};

/// Maximum size of a document. The store accepts values of up to 1 MB.
const DOCUMENT_LIMIT_BYTES: usize = 1_000_000;

/// Path of the documents, followed by the name of the service. Without the leading slash it is the
/// prefix of the record keys.
const DOCUMENTS_PATH: &str = "/documents/";

/// Error response, boxed to keep results small.
type Refusal = Box<Problem>;

/// Returns the services and revisions of all documents.
pub(super) fn list(state: State) -> (State, Response<Body>) {
    let response = match authorize(&state) {
        Ok(()) => {
            let status = context(&state).shared.status.load();
            let entry = |record: &Record| {
                let service = record.key.strip_prefix(&DOCUMENTS_PATH[1..]);
                json!({ "service": service, "revision": record.revision })
            };
            let entries: Vec<_> = status.documents.iter().map(entry).collect();
            let body = json!({ "documents": entries }).to_string();
            create_response(&state, StatusCode::OK, mime::APPLICATION_JSON, body)
        }
        Err(problem) => problem.into_response(&state),
    };
    (state, response)
}

/// Returns the text of a document, with its revision as the entity tag.
pub(super) fn get(state: State) -> (State, Response<Body>) {
    let response = match find_document(&state) {
        Ok(record) => {
            let text = record.value.to_string();
            let mut response =
                create_response(&state, StatusCode::OK, mime::TEXT_PLAIN_UTF_8, text);
            let tag = HeaderValue::from_str(&format!("\"{}\"", record.revision));
            if let Ok(tag) = tag {
                response.headers_mut().insert(header::ETAG, tag);
            }
            response
        }
        Err(problem) => problem.into_response(&state),
    };
    (state, response)
}

/// Creates or replaces a document.
pub(super) fn put(state: State) -> Pin<Box<dyn Future<Output = HandlerResult> + Send>> {
    Box::pin(async move { handle_edit(state, false).await })
}

/// Removes a document.
pub(super) fn delete(state: State) -> Pin<Box<dyn Future<Output = HandlerResult> + Send>> {
    Box::pin(async move { handle_edit(state, true).await })
}

/// Handles `PUT`, and `DELETE` if `is_removal`.
async fn handle_edit(mut state: State, is_removal: bool) -> HandlerResult {
    let body = Body::take_from(&mut state);
    let shared = context(&state).shared.clone();
    let target = authorize(&state).and_then(|()| edit_target(&state));
    let response = match target {
        Ok((service, base_revision)) => {
            let result = submit_edit(&shared, service, base_revision, body, is_removal).await;
            match result {
                Ok(outcome) => outcome_response(&state, outcome),
                Err(problem) => problem.into_response(&state),
            }
        }
        Err(problem) => problem.into_response(&state),
    };
    Ok((state, response))
}

/// Sends the edit to the control thread and waits for its outcome.
async fn submit_edit(
    shared: &Shared,
    service: Arc<str>,
    base_revision: u64,
    body: Body,
    is_removal: bool,
) -> Result<EditOutcome, Refusal> {
    let text = match is_removal {
        true => Arc::from(""),
        false => read_document(body).await?,
    };
    let (answer, outcome) = oneshot::channel();
    let edit = Edit { service, base_revision, text, id: rand::random() };
    let request = Request::Edit { edit, answer };
    let overloaded = || refuse(StatusCode::SERVICE_UNAVAILABLE, "the host is overloaded");
    shared.control.try_send(request).map_err(|_| overloaded())?;
    // The control thread drops the channel without an answer only while the process ends. The edit
    // may have been written by then.
    Ok(outcome.await.unwrap_or(EditOutcome::Unknown))
}

/// Reads the document from the body of the request.
async fn read_document(body: Body) -> Result<Arc<str>, Refusal> {
    let collected = Limited::new(body, DOCUMENT_LIMIT_BYTES).collect().await;
    let too_large =
        |_| refuse(StatusCode::PAYLOAD_TOO_LARGE, "the document is cut off or too large");
    let bytes = collected.map_err(too_large)?.to_bytes();
    let text = std::str::from_utf8(&bytes);
    let text =
        text.map_err(|_| refuse(StatusCode::BAD_REQUEST, "the document is no UTF-8 text"))?;
    if text.trim().is_empty() {
        return Err(refuse(
            StatusCode::BAD_REQUEST,
            "the document is empty; use DELETE to remove it",
        ));
    }
    Ok(Arc::from(text))
}

fn outcome_response(state: &State, outcome: EditOutcome) -> Response<Body> {
    let success = |status, revision, outcome: &str| {
        let body = json!({ "revision": revision, "outcome": outcome }).to_string();
        create_response(state, status, mime::APPLICATION_JSON, body)
    };
    let problem = match outcome {
        EditOutcome::Accepted { revision } => return success(StatusCode::OK, revision, "accepted"),
        EditOutcome::NotInForce { revision } => {
            return success(StatusCode::ACCEPTED, revision, "written, not in force");
        }
        EditOutcome::Conflict { revision } => {
            let detail = "the document was changed in the meantime";
            Problem::new(StatusCode::PRECONDITION_FAILED, detail).with_revision(revision)
        }
        EditOutcome::Invalid(findings) => {
            let detail = "the document has faults";
            Problem::new(StatusCode::UNPROCESSABLE_ENTITY, detail).with_findings(&findings)
        }
        EditOutcome::Unavailable => Problem::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "the host is not current or the store is away",
        ),
        EditOutcome::Unknown => Problem::new(
            StatusCode::GATEWAY_TIMEOUT,
            "the store did not answer; the change may or may not take effect",
        )
        .with_unknown_outcome(),
    };
    problem.into_response(state)
}

/// Finds the document that the path names.
fn find_document(state: &State) -> Result<Record, Refusal> {
    authorize(state)?;
    let service = service_name(state);
    let status = context(state).shared.status.load();
    let is_requested =
        |record: &&Record| record.key.strip_prefix(&DOCUMENTS_PATH[1..]) == Some(service.as_ref());
    let found = status.documents.iter().find(is_requested);
    found.cloned().ok_or_else(|| refuse(StatusCode::NOT_FOUND, "no such document"))
}

/// Returns the service from the path and the base revision from `If-Match`, which is 0 for a new
/// document.
fn edit_target(state: &State) -> Result<(Arc<str>, u64), Refusal> {
    let value = HeaderMap::borrow_from(state).get(header::IF_MATCH);
    let required = || {
        let detail = "expected If-Match with the document's revision, \"0\" for a new one";
        refuse(StatusCode::PRECONDITION_REQUIRED, detail)
    };
    let text = value.and_then(|value| value.to_str().ok()).ok_or_else(required)?;
    let base_revision = text.trim().trim_matches('"').parse();
    Ok((service_name(state), base_revision.map_err(|_| required())?))
}

/// Returns the service from the path of the request.
fn service_name(state: &State) -> Arc<str> {
    let path = Uri::borrow_from(state).path();
    Arc::from(path.strip_prefix(DOCUMENTS_PATH).unwrap_or(path))
}

/// Validates the bearer token. The host knows only the digest of the operators' token.
fn authorize(state: &State) -> Result<(), Refusal> {
    let value = HeaderMap::borrow_from(state).get(header::AUTHORIZATION);
    let token = value.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    match token {
        Some(token) if Digest::of_key(token) == context(state).token_digest => Ok(()),
        Some(_) => Err(refuse(StatusCode::FORBIDDEN, "the token is wrong")),
        None => Err(refuse(StatusCode::UNAUTHORIZED, "expected a bearer token")),
    }
}

fn refuse(status: StatusCode, detail: &str) -> Refusal {
    Box::new(Problem::new(status, detail))
}
