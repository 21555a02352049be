//! Choice of the host that runs a request in place of one that does not reach the instances.
//!
//! The load pattern is one host, or most hosts of a failure domain or region, that lost their links to the
//! instances at the same moment. Each of them has its usual requests to pass on, and knows neither which
//! others are cut off nor what they have to carry. So each spreads its requests by what it has running at
//! each helper, prefers near ones, as bytes between failure domains and regions cost money, and for a while
//! asks no helper that could not help. A request is passed on once: a helper never passes it on again. See
//! docs/platform.md.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use super::{fleet::Locality, plan::is_home};
use crate::rendezvous;

/// Time for which a helper is not asked again about a service that it does not reach either.
const UNREACHED_TIME: Duration = Duration::from_secs(1);

/// Time for which a helper that carries all that it can is not asked again.
const BUSY_TIME: Duration = Duration::from_millis(300);

/// Time for which a helper whose configuration is older is not asked again.
const BEHIND_TIME: Duration = Duration::from_millis(300);

/// Time for which a helper is not asked again that did not answer, or refused the connection.
const FAILED_TIME: Duration = Duration::from_secs(2);

/// Cost of a request at a helper in another failure domain of the own region, relative to one in the own
/// failure domain.
const OTHER_DOMAIN_COST: f64 = 1.2;

/// Cost of a request at a helper in another region, relative to one in the own failure domain.
const OTHER_REGION_COST: f64 = 3.0;

/// Helpers of one failure domain in a row that do not reach a service, from which on probably none of the
/// domain does: links fail together.
const UNREACHED_IN_A_ROW: u32 = 4;

/// Time for which the helpers of such a failure domain are not asked.
const DOUBT_TIME: Duration = Duration::from_millis(500);

/// Host that may help.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name of the host.
    pub name: &'a Arc<str>,
    /// Region of the host.
    pub region: &'a Arc<str>,
    /// Failure domain of the host.
    pub domain: &'a Arc<str>,
    /// Whether the host has said that it does not reach the service.
    pub is_lost: bool,
}

/// Properties of a request that decide which host gets it.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Id of the request, which decides between helpers with the same cost.
    pub id: &'a str,
    /// Service that runs the request.
    pub service: &'a Arc<str>,
    /// Regions that the route allows; all if empty. They bind the helper, too, as it gets the body.
    pub route_regions: &'a [Arc<str>],
    /// Regions that the workspace allows; all if empty.
    pub workspace_regions: &'a [Arc<str>],
    /// Names of helpers that were asked already.
    pub excluded: &'a [Arc<str>],
}

impl Criteria<'_> {
    /// Whether a helper in this region may get the request.
    pub fn allow(&self, region: &Arc<str>) -> bool {
        is_home(self.route_regions, Some(region)) && is_home(self.workspace_regions, Some(region))
    }
}

/// How a request that was passed on ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The helper ran it, or refused it as it would refuse its own.
    Answered,
    /// The helper does not reach the service either.
    Unreached,
    /// The helper carries all that it can.
    Busy,
    /// The helper has an older configuration in force than the request was judged by.
    Behind,
    /// The helper could not be reached, or did not answer.
    Failed,
    /// The caller left, or nothing was sent as the request's homes had moved.
    Cancelled,
}

/// What this host knows of one helper.
#[derive(Clone, Debug, Default)]
struct Helper {
    /// Requests of this host that it runs now.
    running: u32,
    /// Time until which it is not asked.
    avoided_until: Duration,
    /// Time until which it is not asked about a service, by the service's name.
    unreached_until: HashMap<Arc<str>, Duration>,
}

impl Helper {
    fn is_avoided(&self, now: Duration, service: &str) -> bool {
        let unreached_until = self.unreached_until.get(service).copied().unwrap_or_default();
        now < self.avoided_until.max(unreached_until)
    }
}

/// Answers of the helpers of one failure domain about one service.
#[derive(Clone, Copy, Debug, Default)]
struct Doubt {
    /// Helpers in a row that do not reach it.
    unreached: u32,
    avoided_until: Duration,
}

/// Helpers of this host, by their names.
#[derive(Clone, Debug, Default)]
pub struct Book {
    helpers: BTreeMap<Arc<str>, Helper>,
    /// By the names of the service and the failure domain.
    doubts: HashMap<(Arc<str>, Arc<str>), Doubt>,
}

impl Book {
    /// Chooses the host that gets a request; `None` if no other host may help now.
    pub fn choose<'a>(
        &self,
        now: Duration,
        locality: &Locality,
        candidates: impl Iterator<Item = Candidate<'a>>,
        criteria: &Criteria<'_>,
    ) -> Option<Arc<str>> {
        let key = rendezvous::Key::new([criteria.id]);
        let eligible = candidates.filter(|candidate| {
            let helper = self.helpers.get(candidate.name);
            !candidate.is_lost
                && *candidate.name != locality.host
                && criteria.allow(candidate.region)
                && !criteria.excluded.contains(candidate.name)
                && !helper.is_some_and(|helper| helper.is_avoided(now, criteria.service))
                && !self.is_doubtful(now, criteria.service, candidate.domain)
        });
        let ranked = eligible.map(|candidate| {
            let cost = self.cost(locality, &candidate);
            (cost, std::cmp::Reverse(key.weight(candidate.name)), candidate.name)
        });
        let best = ranked.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        best.map(|(_, _, name)| name.clone())
    }

    /// Records that a request is passed on.
    pub fn start(&mut self, helper: &Arc<str>) {
        self.helpers.entry(helper.clone()).or_default().running += 1;
    }

    /// Records the end of a request that was passed on to a helper in a failure domain.
    pub fn end(
        &mut self,
        now: Duration,
        name: &Arc<str>,
        domain: &Arc<str>,
        service: &Arc<str>,
        outcome: Outcome,
    ) {
        let helper = self.helpers.entry(name.clone()).or_default();
        helper.running = helper.running.saturating_sub(1);
        let doubt = self.doubts.entry((service.clone(), domain.clone())).or_default();
        match outcome {
            Outcome::Answered => *doubt = Doubt::default(),
            Outcome::Cancelled => {}
            Outcome::Unreached => {
                doubt.unreached += 1;
                if doubt.unreached >= UNREACHED_IN_A_ROW {
                    doubt.avoided_until = now + DOUBT_TIME;
                }
                helper.unreached_until.insert(service.clone(), now + UNREACHED_TIME);
            }
            Outcome::Busy => helper.avoided_until = now + BUSY_TIME,
            Outcome::Behind => helper.avoided_until = now + BEHIND_TIME,
            Outcome::Failed => helper.avoided_until = now + FAILED_TIME,
        }
    }

    /// Forgets helpers without requests that may be asked about everything.
    pub fn remove_expired(&mut self, now: Duration) {
        self.doubts.retain(|_, doubt| now < doubt.avoided_until + DOUBT_TIME);
        self.helpers.retain(|_, helper| {
            helper.unreached_until.retain(|_, until| now < *until);
            helper.running > 0 || now < helper.avoided_until || !helper.unreached_until.is_empty()
        });
    }

    fn is_doubtful(&self, now: Duration, service: &Arc<str>, domain: &Arc<str>) -> bool {
        let doubt = self.doubts.get(&(service.clone(), domain.clone()));
        doubt.is_some_and(|doubt| now < doubt.avoided_until)
    }

    /// Cost of one more request at a helper.
    fn cost(&self, locality: &Locality, candidate: &Candidate<'_>) -> f64 {
        let running = self.helpers.get(candidate.name).map_or(0, |helper| helper.running);
        let distance = if *candidate.region != locality.region {
            OTHER_REGION_COST
        } else if *candidate.domain != locality.domain {
            OTHER_DOMAIN_COST
        } else {
            1.0
        };
        distance * f64::from(running + 1)
    }
}
