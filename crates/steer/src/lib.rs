//! Entry host of marjorampick for platforms whose store holds all shared state.
//!
//! One process for each host, one thread for all of its work, and nothing that lasts beyond it. The
//! decisions are those of [`marjorampick_core::steering`]; what a particular platform says on the
//! wire is translated by the functions of a [`codec::Codec`]. See docs/platform.md.

pub mod backend;
pub mod callers;
pub mod clock;
pub mod codec;
mod constants;
pub mod events;
pub mod feed;
pub mod lending;
pub mod listeners;
mod metrics;
pub mod presence;
pub mod run;
pub mod settings;
pub mod state;
pub mod store;
