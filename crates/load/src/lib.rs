//! Open-loop load and experiments.
//!
//! Arrivals do not wait for answers, so that slow answers are not hidden: latency counts from the
//! moment at which a request was due. See docs/load.md.

pub mod caller;
pub mod plan;
pub mod plot;
pub mod report;
pub mod run;
