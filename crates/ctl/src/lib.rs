//! The operators' command-line tool of marjorampick. See docs/design.md §4 and docs/ctl.md.
//!
//! Operators control the system only by editing documents. Every command that changes something is
//! therefore an edit of a document, made from a known revision.

pub mod certificate;
pub mod client;
pub mod document;
pub mod edit;
pub mod forecast;
pub mod key;
pub mod options;
pub mod region;
pub mod run;
pub mod status;
