//! Probes of the backend servers: health, load and readmission.
//!
//! Health and load reports lag and mislead. They make an instance second choice and lower a region's
//! weight slowly; only a probe of an ejected instance counts as the host's own answer. Every probe uses
//! a new connection, as open ones may have gone silent. See docs/design.md §9.

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

/// Interval between two looks at the instances; an ejected one is probed with the next look.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two probes of health and load of one instance. Shorter than the bound within which
/// a leaving instance gets no new work; with 48 instances, one second cost 0.6% of a core.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);

/// Age at which a reported load is no longer passed on.
const LOAD_VALIDITY: Duration = Duration::from_secs(6);

/// Looks between two reports of the regions.
const LOOKS_PER_REPORT: u32 = 5;

/// Probes that run at the same time; instances beyond that wait for the next look.
const PROBES_AT_ONCE: usize = 64;

/// Load that an instance reports.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
struct Load {
    running: u64,
    slots: u64,
}

struct Probes {
    shared: Arc<Shared>,
    callers: Arc<Callers>,
    /// When each instance was probed last, and the load that it reported.
    known: HashMap<Arc<str>, Known>,
    running: JoinSet<(Arc<str>, Option<Load>)>,
}

struct Known {
    probed: Duration,
    load: Option<Load>,
}

impl Known {
    /// The first probe of an instance comes at a time of its own, so that probes spread.
    fn new(now: Duration) -> Self {
        let phase = PROBE_INTERVAL.mul_f64(rand::random());
        Self { probed: now.saturating_sub(phase), load: None }
    }
}

/// Probes until the process ends.
pub async fn run(shared: Arc<Shared>, callers: Arc<Callers>) {
    let mut probes = Probes { shared, callers, known: HashMap::new(), running: JoinSet::new() };
    let mut looks = tokio::time::interval(LOOK_INTERVAL);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut look = 0;
    loop {
        looks.tick().await;
        probes.collect();
        let services = probes.listed();
        probes.start(&services);
        look = (look + 1) % LOOKS_PER_REPORT;
        if look == 0 {
            probes.report(&services);
        }
    }
}

/// Instances of one service, and the regions of its document.
struct Listed {
    service: Arc<str>,
    regions: Vec<Arc<str>>,
    instances: Arc<[Arc<Instance>]>,
}

impl Probes {
    fn listed(&self) -> Vec<Listed> {
        let snapshot = self.shared.snapshot.load_full();
        let now = self.shared.now();
        let fleet = self.callers.fleet();
        let services = snapshot.services.iter().map(|(name, service)| Listed {
            service: name.clone(),
            regions: region_names(&service.document),
            instances: fleet.instances(now, &snapshot, name),
        });
        services.collect()
    }

    fn collect(&mut self) {
        while let Some(ended) = self.running.try_join_next() {
            let Ok((name, load)) = ended else {
                continue;
            };
            if let Some(known) = self.known.get_mut(&name) {
                known.load = load;
            }
        }
    }

    fn start(&mut self, services: &[Listed]) {
        let now = self.shared.now();
        let instances = services.iter().flat_map(|service| service.instances.iter());
        let listed: HashSet<&Arc<str>> = instances.clone().map(|known| &known.name).collect();
        self.known.retain(|name, _| listed.contains(name));
        for instance in instances {
            let known = self.known.entry(instance.name.clone());
            let known = known.or_insert_with(|| Known::new(now));
            let is_ejected = instance.status().is_probe_due(now);
            let is_due = is_ejected || now >= known.probed + PROBE_INTERVAL;
            if is_due && self.running.len() < PROBES_AT_ONCE {
                known.probed = now;
                let probe = probe(self.shared.clone(), instance.clone(), is_ejected);
                self.running.spawn(probe);
            }
        }
    }

    /// Reports every region of every service that has instances at all; before the first list of
    /// hosts nothing is known.
    fn report(&self, services: &[Listed]) {
        let known = services.iter().filter(|known| !known.instances.is_empty());
        let reports = known.flat_map(|known| {
            let regions = known.regions.iter();
            regions.map(|region| self.of_region(known, region))
        });
        // A full queue loses the reports; the next ones follow soon.
        let request = Request::RegionReports(reports.collect());
        let _ = self.shared.control.try_send(request);
    }

    fn of_region(&self, known: &Listed, region: &Arc<str>) -> RegionReport {
        let now = self.shared.now();
        let instances = known.instances.iter();
        let instances = instances.filter(|instance| instance.region == *region);
        let is_lost = |instance: &Arc<Instance>| {
            matches!(instance.status().availability(now), Availability::Unavailable)
        };
        let probed = instances.clone().filter_map(|known| self.known.get(&known.name));
        let recent = probed.filter(|known| now < known.probed + LOAD_VALIDITY);
        let loads: Vec<Load> = recent.filter_map(|known| known.load).collect();
        let running: u64 = loads.iter().map(|load| load.running).sum();
        let slots: u64 = loads.iter().map(|load| load.slots).sum();
        RegionReport {
            service: known.service.clone(),
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

/// Asks one instance for its health and its load.
async fn probe(
    shared: Arc<Shared>,
    instance: Arc<Instance>,
    is_ejected: bool,
) -> (Arc<str>, Option<Load>) {
    let sent = shared.now();
    if is_ejected {
        instance.status().record_probe(sent);
    }
    let (health, load) = ask(&instance).await;
    let now = shared.now();
    if is_ejected {
        match health {
            Some(_) => instance.status().record_success(now, sent),
            None => instance.status().record_failure(now, sent),
        }
    }
    let report = health_of(health.as_deref());
    // The report was true at some time after the probe was sent.
    instance.status().record_health(now, now.saturating_sub(sent), report);
    (instance.name.clone(), load)
}

/// Body of the health report and the load; `None` for what was not answered.
async fn ask(instance: &Instance) -> (Option<Bytes>, Option<Load>) {
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

fn health_of(body: Option<&[u8]>) -> Health {
    match body.map(<[u8]>::trim_ascii) {
        Some(b"ready") => Health::Serving,
        Some(b"draining") => Health::Draining,
        _ => Health::Failing,
    }
}

fn uri(instance: &Instance, path: &str) -> Option<Uri> {
    format!("http://{}{path}", instance.address).parse().ok()
}

/// Body of a successful answer.
async fn get(connection: &mut Connection, uri: Uri) -> Option<Bytes> {
    let mut request = HttpRequest::new(Bytes::new());
    *request.uri_mut() = uri;
    let response = connection.send(request, PROBE_TIMEOUT).await.ok()?;
    let is_success = response.status() == StatusCode::OK;
    is_success.then(|| response.into_body())
}
