//! The entry host of marjorampick. See docs/design.md §4.

pub mod callers;
pub mod metrics;
pub mod shared;
