//! Real processes of entry hosts with stand-ins for the platform, all on loopback.

mod fleet;
mod forwarder;
mod once;
mod outage;
mod paused;
mod support;
mod traffic;
