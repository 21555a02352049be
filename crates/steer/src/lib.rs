//! Entry host of marjorampick for platforms whose key-value store holds all shared state.
//!
//! Each host runs one process, which serves requests on a single thread and persists nothing
//! locally. The decisions are made by [`marjorampick_core::steering`]. The functions of a
//! [`codec::Codec`] translate from and to the wire formats of a particular platform. See
//! docs/platform.md.

pub mod backend;
pub mod callers;
pub mod clock;
pub mod codec;
mod constants;
mod departures;
pub mod directory;
pub mod events;
pub mod feed;
pub mod intake;
pub mod lending;
pub mod limits;
pub mod listeners;
mod metrics;
pub mod peers;
pub mod quarantine;
pub mod reach;
pub mod registration;
pub mod run;
pub mod settings;
pub mod state;
pub mod store;
pub mod tasks;
