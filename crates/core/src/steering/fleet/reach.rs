//! Which instances and services this host reaches, from the connections that it opens.

use std::{sync::Arc, time::Duration};

use super::{Fleet, upstream::Upstream};
use crate::steering::instance::Instance;

/// Time after a connection to an instance was opened in which another one may be opened although the
/// service counts as lost: the instance may be one of a few that run.
const TRUSTED_TIME: Duration = Duration::from_secs(2);

/// Fraction of the instances that a request may use from which on it counts as unreached if none of them
/// takes it: another host may reach more.
const UNREACHED_RATIO: f64 = 0.5;

/// Instance to which a connection may be opened.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Service of the instance.
    pub service: Arc<str>,
    /// Id of the instance.
    pub id: Arc<str>,
    /// Incarnation of the instance.
    pub incarnation: u64,
    /// Address of the instance.
    pub address: std::net::SocketAddr,
}

/// Change of what this host reaches of a service.
#[derive(Clone, Debug, PartialEq)]
pub enum ReachChange {
    /// Connections to a few instances failed in a row.
    Lost,
    /// A connection was opened again after this time.
    Regained(Duration),
}

impl Fleet {
    /// Records whether a connection to an instance could be opened.
    pub fn record_connection(
        &mut self,
        now: Duration,
        id: &Arc<str>,
        is_open: bool,
    ) -> Option<ReachChange> {
        let service = self.service_by_id.get(id)?.clone();
        let evacuated = &self.evacuated_domains;
        let upstream = self.upstreams.get_mut(&service)?;
        let takes_requests = |instance: &&Instance| {
            !instance.endpoint.is_draining && !evacuated.contains(&instance.endpoint.domain)
        };
        let count = upstream.instances.iter().filter(takes_requests).count();
        let instance = upstream.instances.iter_mut().find(|i| i.endpoint.id == *id)?;
        instance.record_connection(now, is_open);
        if !is_open {
            let is_lost = upstream.reach.record_failure(now, id, count);
            return is_lost.then_some(ReachChange::Lost);
        }
        let lost_for = upstream.reach.record_opened(now)?;
        upstream.instances.iter_mut().for_each(|instance| instance.allow_probe(now));
        Some(ReachChange::Regained(lost_for))
    }

    /// Whether this host probably reaches no instance of a service.
    pub fn is_lost(&self, service: &str) -> bool {
        self.upstreams.get(service).is_some_and(|upstream| upstream.reach.is_lost())
    }

    /// Whether a connection to the instance may be opened for a request. In a service that is lost, the
    /// request would only wait until that fails.
    pub fn may_connect(&self, now: Duration, service: &str, id: &str) -> bool {
        let Some(upstream) = self.upstreams.get(service).filter(|u| u.reach.is_lost()) else {
            return true;
        };
        let is_trusted = |instance: &Instance| instance.was_opened_since(now, TRUSTED_TIME);
        upstream.instances.iter().any(|i| i.endpoint.id.as_ref() == id && is_trusted(i))
    }

    /// Names of the services of which this host probably reaches no instance.
    pub fn lost_services(&self) -> Vec<Arc<str>> {
        let lost = self.upstreams.iter().filter(|(_, upstream)| upstream.reach.is_lost());
        lost.map(|(name, _)| name.clone()).collect()
    }

    /// Time since which this host has reached no instance of any service; `None` if it reaches one.
    pub fn all_lost_at(&self) -> Option<Duration> {
        let used = self.upstreams.values().filter(|upstream| !upstream.instances.is_empty());
        let lost_at = used.map(|upstream| upstream.reach.lost_at());
        lost_at.reduce(|a, b| Some(a?.max(b?))).flatten()
    }

    /// Instances of a service to which connections should be opened to find out whether this host reaches
    /// it, at most `count`: those that were tried longest ago.
    pub fn reach_targets(&self, service: &str, count: usize) -> Vec<Target> {
        let Some(upstream) = self.upstreams.get(service) else {
            return Vec::new();
        };
        let mut instances: Vec<&Instance> = upstream
            .instances
            .iter()
            .filter(|instance| !self.evacuated_domains.contains(&instance.endpoint.domain))
            .filter(|instance| !instance.endpoint.is_draining)
            .collect();
        instances.sort_by_key(|instance| instance.connection_tried_at());
        instances.into_iter().take(count).map(target).collect()
    }

    /// Instances other than the one with this id that show, when a connection to one of them opens, that the
    /// network is not at fault: at most `count`, of all services, first those reached before and tried
    /// longest ago.
    pub fn witnesses(&self, id: &str, count: usize) -> Vec<Target> {
        let instances = self.upstreams.values().flat_map(|upstream| &upstream.instances);
        let mut others: Vec<&Instance> =
            instances.filter(|instance| instance.endpoint.id.as_ref() != id).collect();
        others.sort_by_key(|instance| (instance.is_unreached(), instance.connection_tried_at()));
        others.into_iter().take(count).map(target).collect()
    }

    /// Names of all services with instances.
    pub fn services(&self) -> Vec<Arc<str>> {
        let used = self.upstreams.iter().filter(|(_, upstream)| !upstream.instances.is_empty());
        used.map(|(name, _)| name.clone()).collect()
    }

    /// Ids and incarnations of the instances of a service.
    pub fn instances_of(&self, service: &str) -> Vec<(Arc<str>, u64)> {
        let instances = self.upstreams.get(service).map_or(&[][..], |u| &u.instances);
        instances.iter().map(|i| (i.endpoint.id.clone(), i.endpoint.incarnation)).collect()
    }

    /// Whether so many of the candidates for a request are not reached that another host may well have
    /// room for it.
    pub(super) fn are_unreached(upstream: &Upstream, candidates: &[&Instance]) -> bool {
        let unreached = candidates.iter().filter(|instance| instance.is_unreached()).count();
        upstream.reach.is_lost() || unreached as f64 >= UNREACHED_RATIO * candidates.len() as f64
    }
}

fn target(instance: &Instance) -> Target {
    let endpoint = &instance.endpoint;
    Target {
        service: endpoint.service.clone(),
        id: endpoint.id.clone(),
        incarnation: endpoint.incarnation,
        address: endpoint.address,
    }
}
