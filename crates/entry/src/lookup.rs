//! The thread `lookup`: answers which entry hosts a caller may use. See docs/design.md §12.
//!
//! It reads the published snapshot only, so that it answers whatever the state of store and members.

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
    /// Seconds for which the answer may be kept.
    ttl_seconds: u64,
    /// Entry hosts in the order of preference.
    hosts: Vec<Choice>,
}

#[derive(Debug, PartialEq, Serialize)]
struct Choice {
    host: Arc<str>,
    address: std::net::SocketAddr,
    region: Arc<str>,
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
/// Fails when a block is invalid or given twice, which the check of the settings excludes.
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

/// Regions of the blocks of client addresses.
struct Regions {
    blocks: lookup::Blocks,
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

    /// Region of the smallest block that holds `address`.
    fn of(&self, address: IpAddr) -> Option<&Arc<str>> {
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
    let Some(service) = service_of(state.borrow::<Uri>()) else {
        return problem(state, StatusCode::BAD_REQUEST, "expected ?service=<name>");
    };
    let Some((service, _)) = snapshot.services.get_key_value(service) else {
        return problem(state, StatusCode::NOT_FOUND, "no such service");
    };
    let caller = client_addr(state).map(|address| address.ip());
    let region = caller.and_then(|caller| inner.regions.of(caller));
    let region = region.unwrap_or(&inner.shared.region);
    let answer = Answer {
        service: service.clone(),
        ttl_seconds: inner.ttl_seconds,
        hosts: choices(&snapshot.entry_hosts, region, caller),
    };
    match serde_json::to_vec(&answer) {
        Ok(body) => create_response(state, StatusCode::OK, mime::APPLICATION_JSON, body),
        Err(_) => problem(state, StatusCode::INTERNAL_SERVER_ERROR, "no answer"),
    }
}

/// Hosts of the caller's region first. Within a region the order depends on the caller, so that
/// callers that use the first address spread over the hosts, and stays as hosts come and go.
fn choices(hosts: &[EntryHost], region: &str, caller: Option<IpAddr>) -> Vec<Choice> {
    let key = caller.map_or_else(String::new, |caller| caller.to_string());
    let names = hosts.iter().map(|entry| entry.host.as_ref());
    let ranked = rendezvous::rank(&key, names).into_iter();
    let mut ranked: Vec<&EntryHost> = ranked.map(|index| &hosts[index]).collect();
    ranked.sort_by_key(|entry| entry.region.as_ref() != region);
    let near = ranked.iter().filter(|entry| entry.region.as_ref() == region).count();
    // Far hosts are for callers that reach no near one.
    let weight = |index: usize| match near {
        0 => 1.0 / ranked.len() as f64,
        near if index < near => 1.0 / near as f64,
        _ => 0.0,
    };
    let choice = |(index, entry): (usize, &&EntryHost)| Choice {
        host: entry.host.clone(),
        address: entry.caller_address,
        region: entry.region.clone(),
        weight: weight(index),
    };
    ranked.iter().enumerate().map(choice).collect()
}

fn service_of(uri: &Uri) -> Option<&str> {
    let pairs = uri.query()?.split('&');
    let mut named = pairs.filter_map(|pair| pair.strip_prefix("service="));
    named.next().filter(|name| !name.is_empty())
}

fn problem(state: &State, status: StatusCode, detail: &str) -> Response<Body> {
    crate::admin::problem::Problem::new(status, detail).into_response(state)
}
