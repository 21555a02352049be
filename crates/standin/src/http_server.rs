//! HTTP/1.1 server for the control ports of the stand-ins.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// Status and JSON text of a response.
pub type Answer = (StatusCode, String);

/// Answers requests with `handle`, which gets method, path and body, until the future is dropped.
pub async fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(&Method, &str, &Bytes) -> Answer + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        while connections.try_join_next().is_some() {}
        let handle = handle.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| respond(handle.clone(), request));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("control port: connection failed: {error}");
            }
        });
    }
}

async fn respond<F>(
    handle: Arc<F>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    F: Fn(&Method, &str, &Bytes) -> Answer,
{
    let (parts, body) = request.into_parts();
    let (status, text) = match body.collect().await {
        Ok(body) => handle(&parts.method, parts.uri.path(), &body.to_bytes()),
        Err(_) => problem(StatusCode::BAD_REQUEST, "the body is cut off"),
    };
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    Ok(response)
}

/// Creates an error answer, whose JSON text has the fields `status` and `detail`.
pub fn problem(status: StatusCode, detail: &str) -> Answer {
    let body = serde_json::json!({ "status": status.as_u16(), "detail": detail });
    (status, body.to_string())
}
