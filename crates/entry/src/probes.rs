//! Probes of the backend servers for their health and load, and to readmit ejected instances.
//!
//! Health and load reports lag behind and can be wrong. So a bad health report only makes an
//! instance second choice, and load reports lower a region's weight only slowly. A probe counts
//! like a request of this host only if the instance is ejected. Each probe opens a new connection,
//! as open ones may have gone silent. See docs/design.md §9.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::{Request as HttpRequest, StatusCode, Uri};
use marjorampick_core::{
    backend::{Availability, Health, PROBE_TIMEOUT},
    document::Document,
};
use marjorampick_link::http_client::Connection;
use serde::Deserialize;
use tokio::{task::JoinSet, time::MissedTickBehavior};

use crate::{
    callers::{Callers, fleet::Instance},
    shared::{RegionReport, Request, Shared},
};

/// Interval between two rounds. Each round starts the probes that are due, also those of ejected
/// instances, which don't wait for [`PROBE_INTERVAL`].
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two probes of the same instance. It is shorter than the time within which a
/// leaving instance must get no new requests. Shorter intervals cost CPU time: with 48 instances,
/// an interval of one second took 0.6% of a core.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);

/// Maximum age of a load report that is used, from the time at which the probe was sent.
const MAX_LOAD_AGE: Duration = Duration::from_secs(6);

/// Rounds between two reports of the regions to the control thread.
const ROUNDS_PER_REPORT: u32 = 5;

/// Maximum number of concurrent probes. Further instances wait for the next round.
const MAX_CONCURRENT_PROBES: usize = 64;

/// Load report of an instance.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
struct Load {
    /// Requests that the instance is running.
    running: u64,
    /// Requests that it can run at the same time.
    slots: u64,
}

struct Probes {
    shared: Arc<Shared>,
    callers: Arc<Callers>,
    /// Last probe of each instance, by its name.
    last_probes: HashMap<Arc<str>, Probe>,
    /// Probes in progress, which return the instance's name and its load.
    running: JoinSet<(Arc<str>, Option<Load>)>,
}

/// Last probe of an instance.
struct Probe {
    sent_at: Duration,
    /// Load from the last probe that has ended; `None` if it had no valid load report.
    load: Option<Load>,
}

impl Probe {
    /// State before the first probe of an instance. The first probe is due after a random part of
    /// the interval, so that the probes of many instances are spread over time.
    fn before_first(now: Duration) -> Self {
        let phase = PROBE_INTERVAL.mul_f64(rand::random());
        Self { sent_at: now.saturating_sub(phase), load: None }
    }
}

/// Probes the backend servers until the process ends.
pub async fn run(shared: Arc<Shared>, callers: Arc<Callers>) {
    let mut probes =
        Probes { shared, callers, last_probes: HashMap::new(), running: JoinSet::new() };
    let mut ticks = tokio::time::interval(ROUND_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut round = 0;
    loop {
        ticks.tick().await;
        probes.collect_loads();
        let services = probes.services();
        probes.start_due(&services);
        round = (round + 1) % ROUNDS_PER_REPORT;
        if round == 0 {
            probes.report(&services);
        }
    }
}

/// A service with the regions of its document and its listed instances.
struct ServiceInstances {
    name: Arc<str>,
    regions: Vec<Arc<str>>,
    instances: Arc<[Arc<Instance>]>,
}

impl Probes {
    /// All services of the current snapshot.
    fn services(&self) -> Vec<ServiceInstances> {
        let snapshot = self.shared.snapshot.load_full();
        let now = self.shared.now();
        let fleet = self.callers.fleet();
        let services = snapshot.services.iter().map(|(name, service)| ServiceInstances {
            name: name.clone(),
            regions: region_names(&service.document),
            instances: fleet.instances(now, &snapshot, name),
        });
        services.collect()
    }

    /// Stores the loads from the probes that have ended.
    fn collect_loads(&mut self) {
        while let Some(result) = self.running.try_join_next() {
            let Ok((name, load)) = result else {
                continue;
            };
            if let Some(probe) = self.last_probes.get_mut(&name) {
                probe.load = load;
            }
        }
    }

    /// Starts the probes that are due, and forgets instances that are no longer listed.
    fn start_due(&mut self, services: &[ServiceInstances]) {
        let now = self.shared.now();
        let instances = services.iter().flat_map(|service| service.instances.iter());
        let listed: HashSet<&Arc<str>> = instances.clone().map(|instance| &instance.name).collect();
        self.last_probes.retain(|name, _| listed.contains(name));
        for instance in instances {
            let last_probe = self.last_probes.entry(instance.name.clone());
            let last_probe = last_probe.or_insert_with(|| Probe::before_first(now));
            let is_readmission = instance.status().is_probe_due(now);
            let is_due = is_readmission || now >= last_probe.sent_at + PROBE_INTERVAL;
            if is_due && self.running.len() < MAX_CONCURRENT_PROBES {
                last_probe.sent_at = now;
                let probe = probe(self.shared.clone(), instance.clone(), is_readmission);
                self.running.spawn(probe);
            }
        }
    }

    /// Reports the regions of all services to the control thread. Services without instances are
    /// left out, as nothing is known about them before the first list of hosts.
    fn report(&self, services: &[ServiceInstances]) {
        let services = services.iter().filter(|service| !service.instances.is_empty());
        let reports = services.flat_map(|service| {
            let regions = service.regions.iter();
            regions.map(|region| self.region_report(service, region))
        });
        // If the queue is full, the reports are dropped; the next ones follow soon.
        let request = Request::RegionReports(reports.collect());
        let _ = self.shared.control.try_send(request);
    }

    fn region_report(&self, service: &ServiceInstances, region: &Arc<str>) -> RegionReport {
        let now = self.shared.now();
        let instances = service.instances.iter();
        let instances = instances.filter(|instance| instance.region == *region);
        let is_lost = |instance: &Arc<Instance>| {
            matches!(instance.status().availability(now), Availability::Unavailable)
        };
        let probes = instances.clone().filter_map(|instance| self.last_probes.get(&instance.name));
        let recent = probes.filter(|probe| now < probe.sent_at + MAX_LOAD_AGE);
        let loads: Vec<Load> = recent.filter_map(|probe| probe.load).collect();
        let running: u64 = loads.iter().map(|load| load.running).sum();
        let slots: u64 = loads.iter().map(|load| load.slots).sum();
        RegionReport {
            service: service.name.clone(),
            region: region.clone(),
            load: (slots > 0).then(|| running as f64 / slots as f64),
            is_lost: instances.clone().all(is_lost),
        }
    }
}

fn region_names(document: &Document) -> Vec<Arc<str>> {
    let regions = document.regions.iter();
    regions.map(|region| region.name.clone()).collect()
}

/// Probes one instance, records the result in its status and returns its name and load.
///
/// With `is_readmission`, the instance is ejected and readmitted if the probe succeeds.
async fn probe(
    shared: Arc<Shared>,
    instance: Arc<Instance>,
    is_readmission: bool,
) -> (Arc<str>, Option<Load>) {
    let sent_at = shared.now();
    if is_readmission {
        instance.status().record_probe(sent_at);
    }
    let (health, load) = fetch_reports(&instance).await;
    let now = shared.now();
    if is_readmission {
        match health {
            Some(_) => instance.status().record_success(now, sent_at),
            None => instance.status().record_failure(now, sent_at),
        }
    }
    let report = parse_health(health.as_deref());
    // The report was true at some time after the probe was sent.
    instance.status().record_health(now, now.saturating_sub(sent_at), report);
    (instance.name.clone(), load)
}

/// Returns the body of the health report and the load; `None` for each that did not arrive, and for
/// an invalid load report.
async fn fetch_reports(instance: &Instance) -> (Option<Bytes>, Option<Load>) {
    let (Some(health), Some(load)) = (uri(instance, "/health"), uri(instance, "/load")) else {
        return (None, None);
    };
    let Ok(mut connection) = Connection::open(&health, PROBE_TIMEOUT).await else {
        return (None, None);
    };
    let Some(health) = get(&mut connection, health).await else {
        return (None, None);
    };
    let load = get(&mut connection, load).await;
    let load = load.and_then(|body| serde_json::from_slice(&body).ok());
    (Some(health), load)
}

fn parse_health(body: Option<&[u8]>) -> Health {
    match body.map(<[u8]>::trim_ascii) {
        Some(b"ready") => Health::Serving,
        Some(b"draining") => Health::Draining,
        _ => Health::Failing,
    }
}

fn uri(instance: &Instance, path: &str) -> Option<Uri> {
    format!("http://{}{path}", instance.address).parse().ok()
}

/// Returns the body of the response if its status is 200.
async fn get(connection: &mut Connection, uri: Uri) -> Option<Bytes> {
    let mut request = HttpRequest::new(Bytes::new());
    *request.uri_mut() = uri;
    let response = connection.send(request, PROBE_TIMEOUT).await.ok()?;
    let is_success = response.status() == StatusCode::OK;
    is_success.then(|| response.into_body())
}
