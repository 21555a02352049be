//! The host: puts catalog, members, budgets, claims and weights together.
//!
//! The control thread of an entry host and the scenario runner both drive this type: events go in,
//! actions come out. See docs/design.md §4 and §5.

pub mod event;
