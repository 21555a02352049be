//! The I/O boundary of marjorampick. See docs/design.md §4.
//!
//! Input from other machines is decoded here into the plain types of `marjorampick-core`, with
//! typed errors and with limits on length and time.

pub mod certificate;
pub mod convert;
pub mod exit;
pub mod generated;
pub mod hosts;
pub mod http_client;
pub mod log;
pub mod peer;
pub mod settings;
pub mod socket;
pub mod store;
pub mod wire;
