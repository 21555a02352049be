//! Decision logic of marjorampick, without I/O: no sockets, clocks, threads or async.
//!
//! The current time, a [`std::time::Duration`] since the start of the host, and random numbers are
//! always arguments. Inputs are typed events and outputs are typed actions, so that the entry host
//! and the scenario runner drive the same code. See `docs/design.md`.

pub mod backend;
pub mod budget;
pub mod catalog;
pub mod claim;
pub mod constants;
pub mod credential;
pub mod document;
pub mod finding;
pub mod host;
pub mod lookup;
pub mod member;
pub mod message;
pub mod ramp;
pub mod reader;
pub mod rendezvous;
pub mod route;
pub mod steering;

#[cfg(test)]
mod testing;
