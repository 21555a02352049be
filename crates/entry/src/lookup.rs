//! Look-up listener on the thread `lookup`: tells callers which entry hosts they may use. See
//! docs/design.md §12.
//!
//! It reads only the published snapshot, so that it also answers while the store is unavailable or
//! the host is not a member.

#[cfg(test)]
mod tests;

use std::{net::IpAddr, panic::AssertUnwindSafe, sync::Arc};

use gotham::{
    helpers::http::{Body, response::create_response},
    middleware::state::StateMiddleware,
    pipeline::{single_middleware, single_pipeline},
    prelude::*,
    router::{Router, build_router},
    state::{State, StateData, client_addr},
};
use http::{Response, StatusCode, Uri};
use marjorampick_core::{lookup, rendezvous};
use serde::Serialize;

use crate::{
    settings::lookup::{Block, Lookup},
    shared::{EntryHost, Shared},
};

/// Answer to a look-up.
#[derive(Debug, PartialEq, Serialize)]
struct Answer {
    service: Arc<str>,
    /// Time for which callers may cache the answer, in seconds.
    ttl_seconds: u64,
    /// Entry hosts in order of preference.
    hosts: Vec<RankedHost>,
}

/// Entry host of an [`Answer`].
#[derive(Debug, PartialEq, Serialize)]
struct RankedHost {
    host: Arc<str>,
    address: std::net::SocketAddr,
    region: Arc<str>,
    /// Share of new connections that a caller should open to the host.
    weight: f64,
}

#[derive(Clone)]
struct Context(Arc<AssertUnwindSafe<Inner>>);

impl StateData for Context {}

struct Inner {
    shared: Arc<Shared>,
    regions: Regions,
    ttl_seconds: u64,
}

/// Routes of the look-up listener.
///
/// # Errors
///
/// A block is invalid or given twice. Settings that were validated have no such block.
pub fn router(shared: Arc<Shared>, settings: &Lookup) -> Result<Router, lookup::Fault> {
    let inner = Inner {
        shared,
        regions: Regions::new(&settings.blocks)?,
        ttl_seconds: settings.lifetime.as_secs(),
    };
    let context = Context(Arc::new(AssertUnwindSafe(inner)));
    let (chain, pipelines) = single_pipeline(single_middleware(StateMiddleware::new(context)));
    Ok(build_router(chain, pipelines, |route| {
        route.get("/lookup").to(answer);
    }))
}

/// Maps blocks of client addresses to the regions that they are close to.
struct Regions {
    blocks: lookup::Blocks,
    /// Names of the regions. The index of a name is the index of its group in `blocks`.
    names: Vec<Arc<str>>,
}

impl Regions {
    fn new(blocks: &[Block]) -> Result<Self, lookup::Fault> {
        let mut names: Vec<Arc<str>> = blocks.iter().map(|block| block.region.clone()).collect();
        names.sort();
        names.dedup();
        let blocks = blocks.iter().filter_map(|block| {
            let index = names.iter().position(|name| *name == block.region)?;
            Some(lookup::Block { prefix: block.prefix, group: lookup::Group::new(index)? })
        });
        let blocks = lookup::Blocks::new(blocks)?;
        Ok(Self { blocks, names })
    }

    /// Region of the smallest block that contains `address`.
    fn region_of(&self, address: IpAddr) -> Option<&Arc<str>> {
        self.names.get(self.blocks.group(address)?.index())
    }
}

fn answer(state: State) -> (State, Response<Body>) {
    let response = respond(&state);
    (state, response)
}

fn respond(state: &State) -> Response<Body> {
    let Context(inner) = state.borrow::<Context>();
    let snapshot = inner.shared.snapshot.load();
    let Some(service) = requested_service(state.borrow::<Uri>()) else {
        return problem(state, StatusCode::BAD_REQUEST, "expected ?service=<name>");
    };
    let Some((service, _)) = snapshot.services.get_key_value(service) else {
        return problem(state, StatusCode::NOT_FOUND, "no such service");
    };
    let caller = client_addr(state).map(|address| address.ip());
    let region = caller.and_then(|caller| inner.regions.region_of(caller));
    let region = region.unwrap_or(&inner.shared.region);
    let answer = Answer {
        service: service.clone(),
        ttl_seconds: inner.ttl_seconds,
        hosts: rank(&snapshot.entry_hosts, region, caller),
    };
    match serde_json::to_vec(&answer) {
        Ok(body) => create_response(state, StatusCode::OK, mime::APPLICATION_JSON, body),
        Err(_) => problem(state, StatusCode::INTERNAL_SERVER_ERROR, "no answer"),
    }
}

/// Ranks the hosts for a caller; those in its region come first.
///
/// The order within a region depends on the caller, so that callers that use only the first address
/// are spread over the hosts. It is stable when other hosts come or go.
fn rank(hosts: &[EntryHost], region: &str, caller: Option<IpAddr>) -> Vec<RankedHost> {
    let key = caller.map_or_else(String::new, |caller| caller.to_string());
    let names = hosts.iter().map(|entry| entry.host.as_ref());
    let ranked = rendezvous::rank(&key, names).into_iter();
    let mut ranked: Vec<&EntryHost> = ranked.map(|index| &hosts[index]).collect();
    ranked.sort_by_key(|entry| entry.region.as_ref() != region);
    let local_count = ranked.iter().filter(|entry| entry.region.as_ref() == region).count();
    // Hosts of other regions are a fallback for callers that reach none of their own region.
    let weight = |index: usize| match local_count {
        0 => 1.0 / ranked.len() as f64,
        count if index < count => 1.0 / count as f64,
        _ => 0.0,
    };
    let ranked_host = |(index, entry): (usize, &&EntryHost)| RankedHost {
        host: entry.host.clone(),
        address: entry.caller_address,
        region: entry.region.clone(),
        weight: weight(index),
    };
    ranked.iter().enumerate().map(ranked_host).collect()
}

/// Value of the query parameter `service`, if it is not empty.
fn requested_service(uri: &Uri) -> Option<&str> {
    let pairs = uri.query()?.split('&');
    let mut services = pairs.filter_map(|pair| pair.strip_prefix("service="));
    services.next().filter(|name| !name.is_empty())
}

fn problem(state: &State, status: StatusCode, detail: &str) -> Response<Body> {
    crate::admin::problem::Problem::new(status, detail).into_response(state)
}
