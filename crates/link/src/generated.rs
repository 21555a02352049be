//! Types generated from `proto/`, committed so that a build needs no generator.
//!
//! `cargo test -p marjorampick-link --test generated` compares them with the definitions; with
//! `MARJORAMPICK_REGENERATE=1` it writes them anew.

#![allow(missing_docs, unreachable_pub, clippy::all, clippy::use_self)]

#[rustfmt::skip]
#[path = "generated/etcdserverpb.rs"]
pub mod etcd;

#[rustfmt::skip]
#[path = "generated/marjorampick.peer.rs"]
pub mod peer;
