//! Max-min fair division of a region's slots between workspaces.
//!
//! Bertsekas and Gallager, "Data Networks", section 6.5.2: nobody gets more than it wants, and
//! whoever gets less than it wants gets at least as much as anybody else. See docs/design.md §7.

/// What one workspace has and wants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Slots in use.
    pub used: u64,
    /// Slots that it would use now if there were no limit; at least `used`. The largest number of
    /// recent seconds keeps a part free for a workspace whose requests come in bursts.
    pub wanted: u64,
}

/// Fair shares of `slots` for workspaces that want `wanted`, in the same order.
///
/// Slots that cannot be divided equally go to the workspaces that want most.
pub fn shares(slots: u64, wanted: &[u64]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..wanted.len()).collect();
    order.sort_by_key(|index| wanted[*index]);
    let mut shares = vec![0; wanted.len()];
    let mut rest = slots;
    for (place, index) in order.iter().enumerate() {
        let others = (wanted.len() - place) as u64;
        shares[*index] = wanted[*index].min(rest / others);
        rest -= shares[*index];
    }
    shares
}

/// Whether the workspace at `index` may occupy one more of `slots`.
///
/// A workspace within its fair part gets any free slot. One over it gets only slots that no other
/// workspace has a claim to, so that it is refused first when slots run out.
pub fn admits(slots: u64, demands: &[Demand], index: usize) -> bool {
    let used: u64 = demands.iter().map(|demand| demand.used).sum();
    let wanted = demands.iter().enumerate().map(|(other, demand)| {
        let next = u64::from(other == index);
        demand.wanted.max(demand.used + next)
    });
    let wanted: Vec<u64> = wanted.collect();
    used < slots && demands[index].used < shares(slots, &wanted)[index]
}
