//! Real processes of entry hosts with stand-ins for the platform, all on loopback.

mod drains;
mod fleet;
mod forwarder;
mod once;
mod outage;
mod paused;
mod silence;
mod support;
mod traffic;
mod withdrawn;
