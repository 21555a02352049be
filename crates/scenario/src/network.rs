//! Placement of hosts in regions and failure domains, and the one-way network delays.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use marjorampick_core::member::Member;

use crate::script::Deployment;

const DOMAINS_PER_REGION: usize = 2;
const SAME_DOMAIN_DELAY: Duration = Duration::from_micros(100);
const FIRST_PEER_PORT: u16 = 7000;
const FIRST_CALLER_PORT: u16 = 8000;

impl Deployment {
    fn regions(self) -> [&'static str; 3] {
        match self {
            Self::Karnerand => ["ee-north", "fi-south", "de-central"],
            Self::Lothian => ["lothian", "tweeddale", "kingdom-fife"],
        }
    }

    fn domain_delay(self) -> Duration {
        match self {
            Self::Karnerand => Duration::from_micros(500),
            Self::Lothian => Duration::from_micros(1400),
        }
    }

    fn region_delay(self) -> Duration {
        match self {
            Self::Karnerand => Duration::from_millis(20),
            Self::Lothian => Duration::from_millis(55),
        }
    }

    /// Member entry of the host with `index`, counted from 0.
    ///
    /// Hosts are placed in the regions in turn, and within a region in its failure domains in turn.
    pub fn member(self, index: usize, incarnation: u64) -> Member {
        let region = self.regions()[index % 3];
        let domain = (index / 3) % DOMAINS_PER_REGION;
        let port_offset = u16::try_from(index).unwrap_or(u16::MAX - FIRST_CALLER_PORT);
        Member {
            host: Arc::from(format!("host-{}", index + 1)),
            incarnation,
            region: Arc::from(region),
            domain: Arc::from(format!("{region}-{domain}")),
            peer: SocketAddr::from(([127, 0, 0, 1], FIRST_PEER_PORT + port_offset)),
            callers: SocketAddr::from(([127, 0, 0, 1], FIRST_CALLER_PORT + port_offset)),
        }
    }

    /// One-way delay between two hosts, given by their indexes.
    pub fn peer_delay(self, from: usize, to: usize) -> Duration {
        if from % 3 != to % 3 {
            self.region_delay()
        } else if (from / 3) % DOMAINS_PER_REGION != (to / 3) % DOMAINS_PER_REGION {
            self.domain_delay()
        } else {
            SAME_DOMAIN_DELAY
        }
    }

    /// One-way delay between a host and the store. The store is in the first region.
    pub fn store_delay(self, host: usize) -> Duration {
        if host.is_multiple_of(3) { self.domain_delay() } else { self.region_delay() }
    }
}

/// Index of the host with the peer listener `address`.
pub fn host_index(address: SocketAddr) -> usize {
    usize::from(address.port().saturating_sub(FIRST_PEER_PORT))
}
