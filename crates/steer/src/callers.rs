//! Requests of callers.

pub mod accept;
mod arrival;
mod attempt;
mod forward;
mod handle;
mod refusal;
