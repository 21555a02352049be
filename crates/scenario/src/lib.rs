//! Deterministic simulation of a fleet of entry hosts under scripted failures.
//!
//! A scenario file describes hosts, load, events and expectations; docs/scenarios.md specifies the
//! language. The runner drives [`marjorampick_core::host::Host`] in virtual time, with fakes of the
//! network, the store and the callers. All random numbers come from one seed, so that a run can be
//! repeated.

pub mod admission;
pub mod network;
pub mod parse;
pub mod policies;
pub mod run;
pub mod script;
pub mod steering;
pub mod store;
pub mod world;
