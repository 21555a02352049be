//! Open-loop load generator.
//!
//! Requests are sent at times that are planned in advance, whether or not earlier requests have
//! been answered. Latency is measured from the planned time, so that slow responses cannot hide the
//! delay of later requests (coordinated omission). See docs/load.md.

pub mod caller;
pub mod plan;
pub mod plot;
pub mod report;
pub mod run;
