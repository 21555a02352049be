//! Which hosts a look-up names to a caller.
//!
//! Hosts differ in the bandwidth of their links. Where callers fetch large answers, a host with a slow
//! link takes longer to pass one on than the backend server takes to make it, and holds it in memory
//! meanwhile. So look-ups of such names give the hosts with fast links, as long as there are several
//! of them. See docs/design/placement-of-large-responses.md.

use std::net::SocketAddr;

use marjorampick_core::rendezvous;

use crate::{codec::Query, constants::MAX_LOOKUP_ADDRESSES, state::Registration};

/// Smallest bandwidth of a fast link, relative to the fastest one among the named hosts.
const FAST_LINK_RATIO: f64 = 0.5;

/// Fewest hosts with fast links to which a look-up is narrowed down, so that callers have others left
/// when one of them fails.
const MIN_FAST_HOSTS: usize = 3;

/// Least part of the bandwidth of all hosts that the hosts with fast links have.
const MIN_BANDWIDTH_RATIO: f64 = 0.5;

/// Returns the addresses of the hosts in the caller's region, or of all hosts if there are none in
/// it. Hosts that reach no instance are left out, unless all hosts are such. If there are too many
/// for one response, rendezvous hashing chooses the same ones for all callers in a failure domain that
/// ask for the same name.
pub fn addresses(
    hosts: &[Registration],
    query: &Query,
    has_large_answers: bool,
) -> Vec<SocketAddr> {
    let is_local = |host: &Registration| host.region.as_ref() == query.region;
    let is_cut_off = |host: &Registration| host.reach.is_cut_off;
    let named_where = |is_named: &dyn Fn(&Registration) -> bool| {
        let named: Vec<&Registration> = hosts.iter().filter(|host| is_named(host)).collect();
        Some(named).filter(|named| !named.is_empty())
    };
    let mut named = named_where(&|host| is_local(host) && !is_cut_off(host))
        .or_else(|| named_where(&|host| !is_cut_off(host)))
        .or_else(|| named_where(&is_local))
        .or_else(|| named_where(&|_| true))
        .unwrap_or_default();
    if has_large_answers {
        retain_fast_links(&mut named);
    }
    let mut addresses: Vec<SocketAddr> = named.iter().map(|host| host.callers).collect();
    if addresses.len() > MAX_LOOKUP_ADDRESSES {
        let key = format!("{}/{}", query.domain, query.name);
        addresses.sort_by_key(|address| rendezvous::weight(&key, &address.to_string()));
        addresses.truncate(MAX_LOOKUP_ADDRESSES);
    }
    addresses
}

/// Keeps the hosts with fast links if there are enough of them, and they have most of the bandwidth, so
/// that they carry what all of them carried.
fn retain_fast_links(hosts: &mut Vec<&Registration>) {
    let bandwidth = |host: &&Registration| f64::from(host.link_mbps.unwrap_or_default());
    let fastest = hosts.iter().map(bandwidth).fold(0.0, f64::max);
    let is_fast = |host: &&Registration| bandwidth(host) >= fastest * FAST_LINK_RATIO;
    let (count, fast_mbps) = hosts
        .iter()
        .filter(|host| is_fast(host))
        .fold((0, 0.0), |(count, sum), host| (count + 1, sum + bandwidth(host)));
    let all_mbps: f64 = hosts.iter().map(bandwidth).sum();
    if count >= MIN_FAST_HOSTS && fast_mbps > all_mbps * MIN_BANDWIDTH_RATIO {
        hosts.retain(is_fast);
    }
}
