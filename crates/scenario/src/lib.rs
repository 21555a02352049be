//! Scenarios: scripted failures against the decisions of marjorampick.
//!
//! A scenario file describes hosts, load, events and expectations; docs/scenarios.md gives the
//! language. The runner drives [`marjorampick_core::host::Host`] in virtual time with small fakes in
//! place of the network, the store and the callers.

pub mod judge;
pub mod network;
pub mod parse;
pub mod policies;
pub mod run;
pub mod script;
pub mod store;
pub mod world;
