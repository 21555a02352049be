//! The I/O boundary of marjorampick. See docs/design.md §4.

pub mod generated;
