//! The entry host of marjorampick. See docs/design.md §4.

pub mod shared;
