//! The request path between real sockets.

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
