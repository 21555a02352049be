//! Decisions of an entry host whose shared state lives in the platform's store.
//!
//! Where a request may run, which backend server gets it, when it is refused, and what each host may
//! spend of a budget that all hosts share. Nothing here does I/O: time is an argument, and every
//! decision is a function of what the host was told and what it has seen. See docs/platform.md.

pub mod cold;
pub mod fleet;
pub mod instance;
pub mod lenders;
pub mod load;
pub mod plan;
pub mod rate;
pub mod retry;
pub mod seats;
pub mod shift;
pub mod spill;
pub mod split;

#[cfg(test)]
mod tests;
