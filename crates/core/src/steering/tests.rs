//! Tests of the decisions, each replaying the load or failure that it answers.

mod cold;
mod fleet;
mod instance;
mod lenders;
mod load;
mod mix;
mod plan;
mod rate;
mod retry;
mod seats;
mod spill;
mod split;
mod support;
