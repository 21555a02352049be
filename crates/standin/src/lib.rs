//! Stand-ins for the platform of marjorampick: store, host list and backend servers.
//!
//! They speak the published interfaces and can be told to fail, so that tests and experiments run
//! without the platform. See docs/design.md §2 and §4.

pub mod backend;
pub mod hosts;
pub mod http_server;
pub mod store;
