//! Arguments of the stand-ins.

use std::{net::SocketAddr, num::ParseIntError, path::PathBuf, str::FromStr, sync::Arc};

use bpaf::Bpaf;

/// Stand-ins for the platform of marjorampick.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Options {
    /// Key-value store over a subset of the published etcd v3 API
    #[bpaf(command)]
    Store {
        /// Address of the gRPC listener
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Address of the HTTP listener for faults and counts
        #[bpaf(argument("ADDRESS"))]
        control: SocketAddr,
    },
    /// The platform's list of hosts, changed by PUT /hosts
    #[bpaf(command)]
    Hosts {
        /// Address of the HTTP listener
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// JSON file with the first list
        #[bpaf(argument("FILE"))]
        file: Option<PathBuf>,
        /// Time until a change becomes visible, in milliseconds
        #[bpaf(argument("MILLISECONDS"), fallback(1000), display_fallback)]
        lag_ms: u64,
    },
    /// Backend servers: one for each line with a service in a list of hosts
    #[bpaf(command)]
    Backend(#[bpaf(external(backend))] Backend),
}

/// Backend servers of one process.
#[derive(Clone, Debug, Bpaf)]
pub struct Backend {
    /// JSON file with a list of hosts
    #[bpaf(argument("FILE"))]
    pub file: PathBuf,
    /// Only the instance with this name; may be repeated
    #[bpaf(argument("NAME"), many)]
    pub name: Vec<String>,
    /// Requests that an instance of a service runs at the same time; may be repeated, default 9
    #[bpaf(argument("SERVICE=NUMBER"), many)]
    pub slots: Vec<Slots>,
    /// How long a request runs, in milliseconds
    #[bpaf(argument("MILLISECONDS"), fallback(5), display_fallback)]
    pub service_ms: u64,
    /// How long requests run slower after the start, in milliseconds
    #[bpaf(argument("MILLISECONDS"), fallback(0), display_fallback)]
    pub cold_ms: u64,
    /// How many times longer a request runs at the start
    #[bpaf(argument("FACTOR"), fallback(1.0), display_fallback)]
    pub cold_factor: f64,
    /// Age of the figures that health and load endpoints report, in milliseconds
    #[bpaf(argument("MILLISECONDS"), fallback(0), display_fallback)]
    pub lag_ms: u64,
}

/// Slots of each instance of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slots {
    /// Service of the instances.
    pub service: Arc<str>,
    /// Requests that run at the same time.
    pub number: usize,
}

impl FromStr for Slots {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (service, number) = text.split_once('=').unwrap_or((text, ""));
        Ok(Self {
            service: service.into(),
            number: number.parse()?,
        })
    }
}
