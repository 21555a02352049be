//! The request path of an entry host, in process, between callers and backend servers on loopback.

mod broken;
mod budgets;
mod claims;
mod common;
mod connections;
mod credentials;
mod drain;
mod forwarding;
mod metrics;
mod once;
mod probes;
mod smuggling;
mod tls;
