//! Requests that crash the instances that run them.
//!
//! One request crashes each instance that begins to run it, and comes again at other hosts. Every host
//! repeats the requests of a crashed instance elsewhere, so that a few callers can end all instances of a
//! service within a second. A host alone sees single attempts; only all hosts together see that the same
//! request was on each of the crashed instances. See docs/platform.md.

mod fingerprint;

pub use fingerprint::Fingerprint;
