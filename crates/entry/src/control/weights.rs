//! Actual region weights of all services, which move at the rate that the documents allow.
//!
//! See docs/design.md §9. A starting host adopts the actual weights of a peer, so that a traffic
//! shift in progress continues at its rate. The ramps start once a peer's weights have arrived or
//! the wait for them has timed out.

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

/// Maximum time that a starting host waits for a peer's weights after it has its first documents.
const PEER_WEIGHTS_TIMEOUT: Duration = Duration::from_secs(1);

/// Ramps of the region weights, by service.
#[derive(Default)]
pub(super) struct Weights {
    ramps: BTreeMap<Arc<str>, VersionedRamp>,
    /// Weights of a peer for services that have no ramp yet, by service.
    peer_weights: HashMap<Arc<str>, Vec<(Arc<str>, f64)>>,
    /// Time at which the ramps start; `None` until a document or a peer's weights have arrived or
    /// the host is current without any document.
    start_at: Option<Duration>,
}

/// A ramp and the revision of the document from which its target was set.
struct VersionedRamp {
    revision: u64,
    ramp: Ramp,
}

impl Weights {
    /// Moves the weights towards those of the documents and returns whether any have changed.
    ///
    /// A current host without documents has no peer's weights to wait for, so the weights of its
    /// first document apply at once.
    pub(super) fn advance(
        &mut self,
        now: Duration,
        is_current: bool,
        documents: &BTreeMap<Arc<str>, VersionedDocument>,
    ) -> bool {
        if documents.is_empty() {
            if is_current {
                self.start_at.get_or_insert(now);
            }
            return false;
        }
        if now < *self.start_at.get_or_insert(now + PEER_WEIGHTS_TIMEOUT) {
            return false;
        }
        let count_before = self.ramps.len();
        self.ramps.retain(|service, _| documents.contains_key(service));
        let mut has_changed = self.ramps.len() != count_before;
        for (service, versioned) in documents {
            has_changed |= self.apply_document(service, versioned);
        }
        for versioned in self.ramps.values_mut() {
            has_changed |= versioned.ramp.advance(now);
        }
        has_changed
    }

    /// Stores a peer's weights, from which services without a ramp start.
    pub(super) fn adopt_from_peer(&mut self, now: Duration, weights: &[ServiceWeights]) {
        for service in weights {
            let regions = service.regions.clone();
            self.peer_weights.entry(service.service.clone()).or_insert(regions);
        }
        if self.ramps.is_empty() {
            self.start_at = Some(now);
        }
    }

    /// Applies reports on regions: the ramp moves all traffic away from a lost region, and part of
    /// it away from a region with a high load.
    pub(super) fn apply_reports(&mut self, now: Duration, reports: &[RegionReport]) {
        for report in reports {
            let Some(versioned) = self.ramps.get_mut(&report.service) else {
                continue;
            };
            versioned.ramp.set_lost(now, &report.region, report.is_lost);
            if let Some(load) = report.load {
                versioned.ramp.report_load(now, &report.region, load);
            }
        }
    }

    /// Whether `service` has actual weights.
    pub(super) fn has_service(&self, service: &Arc<str>) -> bool {
        self.ramps.contains_key(service)
    }

    /// Actual weights of one service; empty if it has none yet.
    pub(super) fn of_service(&self, service: &Arc<str>) -> ServiceWeights {
        let versioned = self.ramps.get(service);
        ServiceWeights {
            service: service.clone(),
            regions: versioned.map(|versioned| versioned.ramp.weights()).unwrap_or_default(),
        }
    }

    /// Actual weights of all services.
    pub(super) fn of_all_services(&self) -> Vec<ServiceWeights> {
        self.ramps.keys().map(|service| self.of_service(service)).collect()
    }

    /// Sets the target of a service's ramp from its document, or creates the ramp. Returns whether
    /// it was created.
    fn apply_document(&mut self, service: &Arc<str>, versioned: &VersionedDocument) -> bool {
        let document = &versioned.document;
        let percent = document.shift_percent_per_second;
        if let Some(known) = self.ramps.get_mut(service) {
            if known.revision != versioned.revision {
                known.revision = versioned.revision;
                known.ramp.set_target(percent, &target_weights(document));
            }
            return false;
        }
        let mut ramp = Ramp::new(percent, &target_weights(document));
        if let Some(weights) = self.peer_weights.remove(service) {
            ramp.adopt(&weights);
        }
        let versioned = VersionedRamp { revision: versioned.revision, ramp };
        self.ramps.insert(service.clone(), versioned);
        true
    }
}

/// Region weights of the document, with 0 for drained regions.
fn target_weights(document: &Document) -> Vec<(Arc<str>, f64)> {
    let weight = |region: &Region| match region.drain {
        true => 0.0,
        false => region.weight,
    };
    let regions = document.regions.iter();
    regions.map(|region| (region.name.clone(), weight(region))).collect()
}
