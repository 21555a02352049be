//! Traffic steering by an entry host that shares state with other hosts through the platform's
//! store.
//!
//! Decides where a request may run, which backend server gets it, whether it is refused, and which
//! share of a common budget each host may spend. The modules do no I/O and read no clock: each
//! decision depends only on its arguments and on what the host has recorded. See docs/platform.md.

pub mod cache;
pub mod cold;
pub mod contention;
pub mod cost;
pub mod departure;
pub mod fleet;
pub mod grace;
pub mod helper;
pub mod history;
pub mod instance;
pub mod lag;
pub mod lenders;
pub mod limit;
pub mod load;
pub mod notice;
pub mod outage;
pub mod plan;
pub mod quarantine;
pub mod rate;
pub mod reach;
pub mod read_ahead;
pub mod relay;
pub mod retry;
pub mod samples;
pub mod seats;
pub mod shift;
pub mod speed;
pub mod spill;
pub mod split;
pub mod upload;
pub mod work;

#[cfg(test)]
mod tests;
