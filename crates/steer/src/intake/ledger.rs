//! Decides who gets memory from a limited amount, without handing any out.
//!
//! While there is enough, everyone gets what they ask for. When it runs short, owners that hold more than
//! an equal share are refused first, then large reservations, so that ordinary requests keep finding room.

use std::{
    collections::HashMap,
    hash::Hash,
    net::{IpAddr, Ipv6Addr},
    sync::Arc,
};

/// Largest reservation that may use the whole amount, in bytes. Most requests have no body, or one of a
/// few KiB.
pub const SMALL_BYTES: usize = 64 * 1024;

/// Part of the amount that large reservations may use.
const LARGE_FRACTION: f64 = 0.875;

/// Part of the amount that owners above their equal share may use for large reservations.
const OVER_SHARE_FRACTION: f64 = 0.75;

/// Part of the amount that owners above their equal share may use for small reservations.
const SMALL_OVER_SHARE_FRACTION: f64 = 0.8125;

/// Who holds memory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owner {
    address: Option<IpAddr>,
    workspace: Option<Arc<str>>,
}

impl Owner {
    /// An owner with an address and, if a key was checked, a workspace. All addresses of an IPv6 network
    /// (/64) count as one, as one machine has all of them.
    pub fn new(address: Option<IpAddr>, workspace: Option<Arc<str>>) -> Self {
        Self { address: address.map(network), workspace }
    }
}

/// The address by which connections are counted.
pub(crate) fn network(address: IpAddr) -> IpAddr {
    match address.to_canonical() {
        IpAddr::V6(address) => {
            let prefix = address.to_bits() & !u128::from(u64::MAX);
            IpAddr::V6(Ipv6Addr::from_bits(prefix))
        }
        address => address,
    }
}

/// The amount is used up, or the owner has to leave the rest to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Short;

/// Reserved bytes by owner.
#[derive(Debug)]
pub struct Ledger {
    limit_bytes: usize,
    used_bytes: usize,
    addresses: HashMap<IpAddr, usize>,
    workspaces: HashMap<Arc<str>, usize>,
}

impl Ledger {
    /// A ledger in which nothing is reserved.
    pub fn new(limit_bytes: usize) -> Self {
        let (addresses, workspaces) = (HashMap::new(), HashMap::new());
        Self { limit_bytes, used_bytes: 0, addresses, workspaces }
    }

    /// Bytes that are reserved.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Whether `bytes` more can be reserved for an owner, whose reservation for the same thing has
    /// `held_bytes` already.
    pub fn has_room(&self, owner: &Owner, held_bytes: usize, bytes: usize) -> bool {
        let Some(used_bytes) = self.used_bytes.checked_add(bytes) else {
            return false;
        };
        let is_small = held_bytes.saturating_add(bytes) <= SMALL_BYTES;
        let fraction = match (is_small, self.is_over_share(owner, bytes)) {
            (true, false) => 1.0,
            (true, true) => SMALL_OVER_SHARE_FRACTION,
            (false, false) => LARGE_FRACTION,
            (false, true) => OVER_SHARE_FRACTION,
        };
        used_bytes as f64 <= self.limit_bytes as f64 * fraction
    }

    /// Reserves memory if [`Self::has_room`] says so.
    pub fn reserve(&mut self, owner: &Owner, held_bytes: usize, bytes: usize) -> Result<(), Short> {
        if !self.has_room(owner, held_bytes, bytes) {
            return Err(Short);
        }
        self.used_bytes += bytes;
        if let Some(address) = owner.address {
            *self.addresses.entry(address).or_default() += bytes;
        }
        if let Some(workspace) = &owner.workspace {
            *self.workspaces.entry(workspace.clone()).or_default() += bytes;
        }
        Ok(())
    }

    /// Returns bytes of a reservation.
    pub fn release(&mut self, owner: &Owner, bytes: usize) {
        self.used_bytes = self.used_bytes.saturating_sub(bytes);
        if let Some(address) = &owner.address {
            subtract(&mut self.addresses, address, bytes);
        }
        if let Some(workspace) = &owner.workspace {
            subtract(&mut self.workspaces, workspace, bytes);
        }
    }

    /// Whether the owner would hold more than an equal share of the amount with `bytes` more.
    pub fn is_over_share(&self, owner: &Owner, bytes: usize) -> bool {
        let is_over = |held: Option<&usize>, owners: usize| {
            let others = owners - usize::from(held.is_some());
            let held_bytes = held.copied().unwrap_or_default() + bytes;
            // One more share is for an owner that has nothing yet.
            held_bytes > self.limit_bytes / (others + 2)
        };
        let by_address = owner.address.as_ref().map(|address| self.addresses.get(address));
        let by_workspace = owner.workspace.as_ref().map(|name| self.workspaces.get(name));
        by_address.is_some_and(|held| is_over(held, self.addresses.len()))
            || by_workspace.is_some_and(|held| is_over(held, self.workspaces.len()))
    }
}

fn subtract<K: Hash + Eq>(held: &mut HashMap<K, usize>, key: &K, bytes: usize) {
    if let Some(held_bytes) = held.get_mut(key) {
        *held_bytes = held_bytes.saturating_sub(bytes);
        if *held_bytes == 0 {
            held.remove(key);
        }
    }
}
