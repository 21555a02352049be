//! Bounds on what callers make a host hold: memory of bodies, heads and connections, and open files.
//!
//! [`budget`] divides the machine's memory, [`ledger`] decides who gets a part of it, and [`pool`] hands
//! the parts out. See docs/hard-load.md, part C.

pub mod budget;
pub(crate) mod buffer;
pub(crate) mod connection;
pub mod connections;
pub(crate) mod gate;
pub mod ledger;
pub(crate) mod machine;
pub mod pace;
pub(crate) mod pool;
pub(crate) mod presence;
pub(crate) mod progress;
pub(crate) mod stream;

pub(crate) use pool::Pool;

/// Memory of one connection, in bytes: its task, and a read buffer of 8 KiB. 200 connections in the middle of
/// a short head took 15.3 KiB each.
pub(crate) const CONNECTION_BYTES: usize = 16 * 1024;

/// Memory of a response that its caller does not take, in bytes. Larger ones are streamed.
pub(crate) const UNREAD_RESPONSE_BYTES: usize = 16 * 1024;

#[cfg(test)]
mod tests;
