//! Max-min fair division of a region's slots between workspaces.
//!
//! In a max-min fair division, no workspace gets more than it wants, and a workspace that gets less
//! than it wants gets at least as much as any other (Bertsekas and Gallager, "Data Networks",
//! section 6.5.2). See docs/design.md §7.

/// Slots that one workspace uses and wants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Slots in use.
    pub used: u64,
    /// Slots that the workspace would use if there were no limit; at least `used`. Passing the
    /// maximum of the last seconds reserves slots for a workspace whose requests come in bursts.
    pub wanted: u64,
}

/// Max-min fair shares of `slots` for workspaces that want `wanted`, in the same order.
///
/// The remainder of an uneven division goes to the workspaces that want most.
pub fn shares(slots: u64, wanted: &[u64]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..wanted.len()).collect();
    order.sort_by_key(|index| wanted[*index]);
    let mut shares = vec![0; wanted.len()];
    let mut remaining = slots;
    for (position, index) in order.iter().enumerate() {
        let unserved = (wanted.len() - position) as u64;
        shares[*index] = wanted[*index].min(remaining / unserved);
        remaining -= shares[*index];
    }
    shares
}

/// Whether the workspace at `index` may occupy one more of `slots`.
///
/// A workspace within its fair share gets any free slot. A workspace above it gets only slots that
/// no other workspace is entitled to, so that it is refused first when slots run out.
pub fn admits(slots: u64, demands: &[Demand], index: usize) -> bool {
    let used: u64 = demands.iter().map(|demand| demand.used).sum();
    let wanted = demands.iter().enumerate().map(|(other, demand)| {
        let requested = u64::from(other == index);
        demand.wanted.max(demand.used + requested)
    });
    let wanted: Vec<u64> = wanted.collect();
    used < slots && demands[index].used < shares(slots, &wanted)[index]
}
