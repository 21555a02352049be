//! Stand-in for the key-value store: a subset of the published etcd v3 API.
//!
//! Range, Put, DeleteRange, Txn and Watch behave as published for the fields that marjorampick
//! uses. Compaction, leases and paging are not implemented. Faults are set over HTTP, on the
//! control port.

mod data;
mod fault;
mod service;

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::{Method, StatusCode};
use marjorampick_link::generated::etcd::{kv_server::KvServer, watch_server::WatchServer};
use tokio::{net::TcpListener, sync::watch};
use tokio_stream::wrappers::TcpListenerStream;

use self::data::Data;
pub use self::fault::{Counts, Faults};
use crate::http_server::{self, Answer, problem};

/// Largest message, in bytes. The published limit of a request is smaller.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// The store, shared by its gRPC service, its control port and tests.
pub struct Store {
    data: Mutex<Data>,
    faults: watch::Sender<Faults>,
    counts: Mutex<Counts>,
}

impl Store {
    /// Creates an empty store without faults.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            data: Mutex::new(Data::new()),
            faults: watch::Sender::new(Faults::default()),
            counts: Mutex::default(),
        })
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.send_replace(faults);
    }

    /// Number of calls since the start, by kind.
    pub fn counts(&self) -> Counts {
        self.counts.lock().map(|counts| counts.clone()).unwrap_or_default()
    }

    /// Serves the gRPC API until the future is dropped.
    pub async fn serve(
        self: Arc<Self>,
        listener: TcpListener,
    ) -> Result<(), tonic::transport::Error> {
        let kv = KvServer::from_arc(self.clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let watch =
            WatchServer::new(service::Watcher(self)).max_encoding_message_size(MAX_MESSAGE_BYTES);
        tonic::transport::Server::builder()
            .tcp_nodelay(true)
            .add_service(kv)
            .add_service(watch)
            .serve_with_incoming(TcpListenerStream::new(listener))
            .await
    }

    /// Serves the control port: `GET` and `PUT /faults`, `GET /counts`.
    pub async fn serve_control(self: Arc<Self>, listener: TcpListener) {
        http_server::serve(listener, move |method, path, body| {
            self.handle_control(method, path, body)
        })
        .await;
    }

    fn handle_control(&self, method: &Method, path: &str, body: &Bytes) -> Answer {
        let text = match (method, path) {
            (&Method::GET, "/counts") => serde_json::to_string(&self.counts()),
            (&Method::GET, "/faults") => serde_json::to_string(&*self.faults.borrow()),
            (&Method::PUT, "/faults") => match serde_json::from_slice::<Faults>(body) {
                Ok(faults) => {
                    log::info!("store: faults are now {faults:?}");
                    self.set_faults(faults);
                    Ok("{}".to_owned())
                }
                Err(error) => return problem(StatusCode::BAD_REQUEST, &error.to_string()),
            },
            _ => return problem(StatusCode::NOT_FOUND, "known: /faults and /counts"),
        };
        match text {
            Ok(text) => (StatusCode::OK, text),
            Err(error) => problem(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }
}
