//! Division of the machine's memory and file descriptors.

/// Memory of the process without callers, in bytes. A host that knows 113 hosts and 200 instances has
/// used up to 40 MB.
const OWN_BYTES: usize = 40_000_000;

/// Most of the memory that the process uses without callers, on machines with less than twice
/// [`OWN_BYTES`].
const MAX_OWN_FRACTION: f64 = 0.5;

/// Part of the remaining memory that is not handed out. It covers the spare room of the allocator and
/// rounding.
const SPARE_FRACTION: f64 = 0.1;

/// Part of the distributed memory for request bodies. Half of it fits one body of 16 MiB on a machine of
/// 112 MB.
const BODY_FRACTION: f64 = 0.5;

/// Part of the distributed memory for connections and request heads. On a machine of 112 MB it fits some
/// 700 connections of callers.
const CONNECTION_FRACTION: f64 = 0.25;

/// Largest memory for request bodies, in bytes. Machines with more memory than the deployments have would
/// hold more bodies than their instances can take.
const MAX_BODY_BYTES: usize = 512 * 1024 * 1024;

/// Largest memory for connections and request heads, in bytes.
const MAX_CONNECTION_BYTES: usize = 256 * 1024 * 1024;

/// Largest memory for responses, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;

/// File descriptors for files, the standard streams, listeners and the event queue.
const FILE_DESCRIPTORS: usize = 200;

/// Part of the other file descriptors for connections to instances, hosts and the store.
const OUTBOUND_FRACTION: f64 = 0.3;

/// Part of the connections and their memory for callers.
const CALLER_FRACTION: f64 = 0.8;

/// Part of the connections and their memory for other hosts. The rest is for look-ups, readiness and metrics.
const HOST_FRACTION: f64 = 0.15;

/// Most connections for look-ups, readiness and metrics. A response with all metrics has some 100 KB.
const MAX_SERVICE_CONNECTIONS: usize = 64;

/// Fewest connections of callers, on machines with very few file descriptors.
const MIN_CONNECTIONS: usize = 16;

/// Resources of the machine that the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory in bytes.
    pub memory_bytes: usize,
    /// Open files, connections among them.
    pub descriptors: usize,
    /// Whether the memory limit counts address space that is reserved but not used.
    pub limits_address_space: bool,
}

/// Resources that callers may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    body_bytes: usize,
    connection_bytes: usize,
    response_bytes: usize,
    connections: usize,
    limits_address_space: bool,
}

impl Budget {
    /// Divides the resources of a machine.
    pub fn new(machine: Machine) -> Self {
        let Machine { memory_bytes, descriptors, limits_address_space } = machine;
        let own_bytes = OWN_BYTES.min(fraction_of(memory_bytes, MAX_OWN_FRACTION));
        let shared_bytes = fraction_of(memory_bytes - own_bytes, 1.0 - SPARE_FRACTION);
        let body_bytes = fraction_of(shared_bytes, BODY_FRACTION);
        let connection_bytes = fraction_of(shared_bytes, CONNECTION_FRACTION);
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        Self {
            body_bytes: body_bytes.min(MAX_BODY_BYTES),
            connection_bytes: connection_bytes.min(MAX_CONNECTION_BYTES),
            response_bytes: (shared_bytes - body_bytes - connection_bytes).min(MAX_RESPONSE_BYTES),
            connections: fraction_of(sockets, 1.0 - OUTBOUND_FRACTION).max(MIN_CONNECTIONS),
            limits_address_space,
        }
    }

    /// Memory for request bodies, in bytes.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Memory for connections and request heads, in bytes.
    pub fn connection_bytes(&self) -> usize {
        self.connection_bytes
    }

    /// Memory for responses that are being received or sent, in bytes.
    pub fn response_bytes(&self) -> usize {
        self.response_bytes
    }

    /// Most open connections at all listeners together.
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Connections of callers, and their memory in bytes.
    pub fn caller_share(&self) -> (usize, usize) {
        self.share(CALLER_FRACTION)
    }

    /// Connections of other hosts, and their memory in bytes.
    pub fn host_share(&self) -> (usize, usize) {
        self.share(HOST_FRACTION)
    }

    /// Connections for look-ups, readiness and metrics, and their memory in bytes.
    pub fn service_share(&self) -> (usize, usize) {
        let (connections, bytes) = self.share(1.0 - CALLER_FRACTION - HOST_FRACTION);
        (connections.clamp(MIN_CONNECTIONS, MAX_SERVICE_CONNECTIONS), bytes)
    }

    fn share(&self, fraction: f64) -> (usize, usize) {
        (fraction_of(self.connections, fraction), fraction_of(self.connection_bytes, fraction))
    }

    /// Whether a mapping counts with its whole size, also where it is not used.
    pub fn limits_address_space(&self) -> bool {
        self.limits_address_space
    }
}

fn fraction_of(amount: usize, fraction: f64) -> usize {
    (amount as f64 * fraction) as usize
}
