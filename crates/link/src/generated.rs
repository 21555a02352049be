//! Types generated from `proto/`, committed so that a build needs no code generator.
//!
//! `cargo test -p marjorampick-link --test generated` checks that they match the definitions; with
//! `MARJORAMPICK_REGENERATE=1` it regenerates them.

#![allow(missing_docs, unreachable_pub, clippy::all, clippy::use_self)]

#[rustfmt::skip]
#[path = "generated/etcdserverpb.rs"]
pub mod etcd;

#[rustfmt::skip]
#[path = "generated/marjorampick.peer.rs"]
pub mod peer;
