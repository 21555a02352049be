//! Actual region weights of all services, moved at the pace that their documents allow.
//!
//! See docs/design.md §9. A starting host takes over the actual weights of a peer, so that a shift in
//! progress goes on at its pace; the ramps start when these have arrived or have not come in time.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use marjorampick_core::{
    document::{Document, Region},
    host::VersionedDocument,
    message::ServiceWeights,
    ramp::Ramp,
};

use crate::shared::RegionReport;

/// How long a starting host waits for a peer's weights after it knows its first documents.
const ADOPTION_WAIT: Duration = Duration::from_secs(1);

/// Ramps by service.
#[derive(Default)]
pub(super) struct Weights {
    ramps: BTreeMap<Arc<str>, Paced>,
    adopted: HashMap<Arc<str>, Vec<(Arc<str>, f64)>>,
    /// When the ramps start; `None` while no document is known.
    start: Option<Duration>,
}

struct Paced {
    revision: u64,
    ramp: Ramp,
}

impl Weights {
    /// Moves the weights towards the documents' and answers whether any changed.
    ///
    /// A current host without documents has no weights to take over: the first document's weights
    /// count at once.
    pub(super) fn advance(
        &mut self,
        now: Duration,
        is_current: bool,
        documents: &BTreeMap<Arc<str>, VersionedDocument>,
    ) -> bool {
        if documents.is_empty() {
            if is_current {
                self.start.get_or_insert(now);
            }
            return false;
        }
        if now < *self.start.get_or_insert(now + ADOPTION_WAIT) {
            return false;
        }
        let known = self.ramps.len();
        self.ramps.retain(|service, _| documents.contains_key(service));
        let mut changed = self.ramps.len() != known;
        for (service, known) in documents {
            changed |= self.follow(service, known);
        }
        for paced in self.ramps.values_mut() {
            changed |= paced.ramp.advance(now);
        }
        changed
    }

    /// Takes over a peer's weights, which count for services that have not started moving.
    pub(super) fn adopt(&mut self, now: Duration, weights: &[ServiceWeights]) {
        for service in weights {
            let regions = service.regions.clone();
            self.adopted.entry(service.service.clone()).or_insert(regions);
        }
        if self.ramps.is_empty() {
            self.start = Some(now);
        }
    }

    /// Takes what is known about regions: a lost one loses its traffic, a loaded one some of it.
    pub(super) fn report(&mut self, now: Duration, reports: &[RegionReport]) {
        for report in reports {
            let Some(paced) = self.ramps.get_mut(&report.service) else {
                continue;
            };
            paced.ramp.set_lost(now, &report.region, report.is_lost);
            if let Some(load) = report.load {
                paced.ramp.report_load(now, &report.region, load);
            }
        }
    }

    /// Whether the weights of `service` are known yet.
    pub(super) fn has(&self, service: &Arc<str>) -> bool {
        self.ramps.contains_key(service)
    }

    /// Weights of one service.
    pub(super) fn of(&self, service: &Arc<str>) -> ServiceWeights {
        let paced = self.ramps.get(service);
        ServiceWeights {
            service: service.clone(),
            regions: paced.map(|paced| paced.ramp.weights()).unwrap_or_default(),
        }
    }

    /// Weights of all services.
    pub(super) fn all(&self) -> Vec<ServiceWeights> {
        self.ramps.keys().map(|service| self.of(service)).collect()
    }

    /// Sets the target of a service's ramp; answers whether the service is new.
    fn follow(&mut self, service: &Arc<str>, known: &VersionedDocument) -> bool {
        let document = &known.document;
        let percent = document.shift_percent_per_second;
        if let Some(paced) = self.ramps.get_mut(service) {
            if paced.revision != known.revision {
                paced.revision = known.revision;
                paced.ramp.set_target(percent, &target(document));
            }
            return false;
        }
        let mut ramp = Ramp::new(percent, &target(document));
        if let Some(weights) = self.adopted.remove(service) {
            ramp.adopt(&weights);
        }
        let paced = Paced { revision: known.revision, ramp };
        self.ramps.insert(service.clone(), paced);
        true
    }
}

/// The document's weights; drained regions get none.
fn target(document: &Document) -> Vec<(Arc<str>, f64)> {
    let weight = |region: &Region| match region.drain {
        true => 0.0,
        false => region.weight,
    };
    let regions = document.regions.iter();
    regions.map(|region| (region.name.clone(), weight(region))).collect()
}
