//! Real processes of entry hosts with stand-ins for the platform, all on loopback.

mod fleet;
mod paused;
mod support;
