//! Entry hosts as processes on loopback, with stand-ins for the platform's store, host list and
//! backend servers.

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
