//! Client of the platform's list of hosts.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::Request;
use marjorampick_core::host::event;
use serde::{Deserialize, Serialize};

use crate::http_client;

/// Timeout for connecting, and again for the request, when the list is read.
pub const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Body of the platform's response, in JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Entry hosts and backend servers.
    pub hosts: Vec<Host>,
}

/// Entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the entry host or backend server instance.
    pub name: Arc<str>,
    /// Service of a backend server; absent for an entry host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<Arc<str>>,
    /// Region of the host.
    pub region: Arc<str>,
    /// Failure domain of the host.
    pub domain: Arc<str>,
    /// Address of the host.
    pub address: SocketAddr,
    /// State of the host.
    pub state: State,
}

/// State of a host in the list, in lower case in JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The host is running.
    Live,
    /// The host is about to stop.
    Leaving,
    /// The host's machine no longer runs.
    Gone,
}

impl From<Host> for event::ListedHost {
    fn from(host: Host) -> Self {
        Self {
            name: host.name,
            service: host.service,
            region: host.region,
            domain: host.domain,
            address: host.address,
            state: match host.state {
                State::Live => event::ListedState::Live,
                State::Leaving => event::ListedState::Leaving,
                State::Gone => event::ListedState::Gone,
            },
        }
    }
}

/// Why the list could not be read.
#[derive(Debug)]
pub enum Fault {
    /// No response was received.
    Request(http_client::Fault),
    /// The platform responded with another status than 200.
    Status(http::StatusCode),
    /// The response body is not a list of hosts.
    Body(serde_json::Error),
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Request(fault) => write!(f, "{fault}"),
            Self::Status(status) => write!(f, "the platform responded with {status}"),
            Self::Body(error) => write!(f, "the response is not a list of hosts: {error}"),
        }
    }
}

impl std::error::Error for Fault {}

/// Fetches the list from `uri`.
pub async fn read(uri: &http::Uri) -> Result<Vec<event::ListedHost>, Fault> {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = uri.clone();
    let response = http_client::send(request, READ_TIMEOUT).await.map_err(Fault::Request)?;
    if response.status() != http::StatusCode::OK {
        return Err(Fault::Status(response.status()));
    }
    let list: List = serde_json::from_slice(response.body()).map_err(Fault::Body)?;
    Ok(list.hosts.into_iter().map(event::ListedHost::from).collect())
}
