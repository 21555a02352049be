//! Tests of the decisions, each replaying the load or failure that it answers.

mod cold;
mod fleet;
mod instance;
mod lenders;
mod load;
mod plan;
mod rate;
mod retry;
mod seats;
mod shift;
mod spill;
mod split;
mod support;
