//! Reads the resources that the process may use from its settings and its own limits.

use rustix::process::{Resource, getrlimit};

use super::budget::Machine;
use crate::settings::Limits;

/// Smallest memory that is believed, in bytes. A limit below it leaves no room for a host at all.
const MIN_MEMORY_BYTES: usize = 16_000_000;

/// Memory limit of the process's control group, version 2.
const CGROUP_FILE: &str = "/sys/fs/cgroup/memory.max";

/// Memory of the machine.
const MEMORY_FILE: &str = "/proc/meminfo";

/// Returns the resources of the machine. Settings take precedence over limits of the process.
pub(crate) fn read(limits: Limits) -> Machine {
    let address_space = limit(Resource::As);
    let measured = || [address_space, cgroup_bytes(), machine_bytes()].into_iter().flatten().min();
    let memory_bytes = limits.memory_bytes.or_else(measured).unwrap_or(MIN_MEMORY_BYTES);
    let descriptors = limits.descriptors.unwrap_or(usize::MAX);
    let own_descriptors = limit(Resource::Nofile).unwrap_or(usize::MAX);
    Machine {
        memory_bytes: memory_bytes.max(MIN_MEMORY_BYTES),
        descriptors: descriptors.min(own_descriptors),
        limits_address_space: address_space.is_some(),
    }
}

/// Current limit of the process; `None` if there is none.
fn limit(resource: Resource) -> Option<usize> {
    usize::try_from(getrlimit(resource).current?).ok()
}

/// `None` if the file cannot be read or says `max`.
fn cgroup_bytes() -> Option<usize> {
    std::fs::read_to_string(CGROUP_FILE).ok()?.trim().parse().ok()
}

fn machine_bytes() -> Option<usize> {
    let text = std::fs::read_to_string(MEMORY_FILE).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib: usize = line.trim().trim_end_matches("kB").trim().parse().ok()?;
    kib.checked_mul(1024)
}
