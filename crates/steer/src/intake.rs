//! Bounds on what callers make a host hold: memory of bodies, heads and connections, and open files.
//!
//! [`budget`] divides the machine's memory, [`ledger`] decides who gets a part of it, and [`pool`] hands
//! the parts out. See docs/hard-load.md, part C.

pub mod budget;
pub(crate) mod buffer;
pub mod ledger;
pub(crate) mod machine;
pub(crate) mod pool;

pub(crate) use pool::Pool;

#[cfg(test)]
mod tests;
