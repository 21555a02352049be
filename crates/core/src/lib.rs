//! Decisions of marjorampick, free of sockets, clocks, threads and async.
//!
//! Time is a [`std::time::Duration`] since the start of the host and, like random numbers, is always
//! an argument. Inputs are typed events and answers are typed actions, so that the entry host and
//! the scenario runner drive the same code. See `docs/design.md`.

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
