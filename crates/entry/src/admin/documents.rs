//! `GET /documents` and `GET`, `PUT` and `DELETE /documents/<service>`.

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

/// Largest document, in bytes: the store takes values up to 1 MB.
const DOCUMENT_LIMIT: usize = 1_000_000;

/// Path of the documents.
const PATH: &str = "/documents/";

type Refusal = Box<Problem>;

/// Answers the services and revisions of all documents.
pub(super) fn list(state: State) -> (State, Response<Body>) {
    let response = match authorize(&state) {
        Ok(()) => {
            let status = context(&state).shared.status.load();
            let line = |record: &Record| {
                let service = record.key.strip_prefix(&PATH[1..]);
                json!({ "service": service, "revision": record.revision })
            };
            let lines: Vec<_> = status.documents.iter().map(line).collect();
            let body = json!({ "documents": lines }).to_string();
            create_response(&state, StatusCode::OK, mime::APPLICATION_JSON, body)
        }
        Err(problem) => problem.into_response(&state),
    };
    (state, response)
}

/// Answers the text of a document, with its revision as the entity tag.
pub(super) fn get(state: State) -> (State, Response<Body>) {
    let response = match find(&state) {
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

/// Replaces a document.
pub(super) fn put(state: State) -> Pin<Box<dyn Future<Output = HandlerResult> + Send>> {
    Box::pin(async move { change(state, false).await })
}

/// Removes a document.
pub(super) fn remove(state: State) -> Pin<Box<dyn Future<Output = HandlerResult> + Send>> {
    Box::pin(async move { change(state, true).await })
}

async fn change(mut state: State, remove: bool) -> HandlerResult {
    let body = Body::take_from(&mut state);
    let shared = context(&state).shared.clone();
    let prepared = authorize(&state).and_then(|()| base(&state));
    let response = match prepared {
        Ok((service, base)) => {
            let edited = edit(&shared, service, base, body, remove).await;
            match edited {
                Ok(edited) => answer(&state, edited),
                Err(problem) => problem.into_response(&state),
            }
        }
        Err(problem) => problem.into_response(&state),
    };
    Ok((state, response))
}

async fn edit(
    shared: &Shared,
    service: Arc<str>,
    base: u64,
    body: Body,
    remove: bool,
) -> Result<EditOutcome, Refusal> {
    let text = match remove {
        true => Arc::from(""),
        false => read(body).await?,
    };
    let (answer, edited) = oneshot::channel();
    let edit = Edit { service, base_revision: base, text, id: rand::random() };
    let request = Request::Edit { edit, answer };
    let busy = || refuse(StatusCode::SERVICE_UNAVAILABLE, "the host is overloaded");
    shared.control.try_send(request).map_err(|_| busy())?;
    // The control thread drops the answer only while the process ends, perhaps after the write.
    Ok(edited.await.unwrap_or(EditOutcome::Unknown))
}

async fn read(body: Body) -> Result<Arc<str>, Refusal> {
    let collected = Limited::new(body, DOCUMENT_LIMIT).collect().await;
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

fn answer(state: &State, edited: EditOutcome) -> Response<Body> {
    let done = |status, revision, outcome: &str| {
        let body = json!({ "revision": revision, "outcome": outcome }).to_string();
        create_response(state, status, mime::APPLICATION_JSON, body)
    };
    let problem = match edited {
        EditOutcome::Accepted { revision } => return done(StatusCode::OK, revision, "accepted"),
        EditOutcome::NotInForce { revision } => {
            return done(StatusCode::ACCEPTED, revision, "written, not in force");
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

fn find(state: &State) -> Result<Record, Refusal> {
    authorize(state)?;
    let service = service(state);
    let status = context(state).shared.status.load();
    let is_wanted =
        |record: &&Record| record.key.strip_prefix(&PATH[1..]) == Some(service.as_ref());
    let found = status.documents.iter().find(is_wanted);
    found.cloned().ok_or_else(|| refuse(StatusCode::NOT_FOUND, "no such document"))
}

/// Service and revision that the change is made from; 0 for a new document.
fn base(state: &State) -> Result<(Arc<str>, u64), Refusal> {
    let value = HeaderMap::borrow_from(state).get(header::IF_MATCH);
    let required = || {
        let detail = "expected If-Match with the document's revision, \"0\" for a new one";
        refuse(StatusCode::PRECONDITION_REQUIRED, detail)
    };
    let text = value.and_then(|value| value.to_str().ok()).ok_or_else(required)?;
    let base = text.trim().trim_matches('"').parse();
    Ok((service(state), base.map_err(|_| required())?))
}

fn service(state: &State) -> Arc<str> {
    let path = Uri::borrow_from(state).path();
    Arc::from(path.strip_prefix(PATH).unwrap_or(path))
}

/// Checks the operators' token. Only its digest is known to the host.
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
