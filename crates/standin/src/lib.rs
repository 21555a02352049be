//! Stand-ins for the platform of marjorampick: key-value store, list of hosts and backend servers.
//!
//! They implement the published interfaces and can inject faults, so that tests and experiments run
//! without the platform. See docs/design.md §2 and §4.

pub mod backend;
pub mod hosts;
pub mod http_server;
pub mod store;
