//! Tests of the decisions, under the load or failure that each decision is made for.

mod cache;
mod cold;
mod cost;
mod departure;
mod fleet;
mod helper;
mod instance;
mod lenders;
mod limit;
mod load;
mod notice;
mod outage;
mod plan;
mod quarantine;
mod rate;
mod reach;
mod read_ahead;
mod relay;
mod retry;
mod seats;
mod shift;
mod speed;
mod spill;
mod split;
mod support;
mod work;
