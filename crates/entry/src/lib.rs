//! Entry host of marjorampick, which forwards requests of callers to backend servers.
//!
//! See docs/design.md §4.

pub mod admin;
pub mod callers;
pub mod control;
pub mod lookup;
pub mod metrics;
pub mod peers;
pub mod platform;
pub mod probes;
pub mod run;
pub mod settings;
pub mod shared;
mod start;
pub mod store;
pub mod thread;
mod tls;
