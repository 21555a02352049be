//! Actual region weights of all services.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use marjorampick_core::{document::Document, host::Known, message::ServiceWeights};

/// Actual region weights by service.
#[derive(Default)]
pub(super) struct Weights {
    services: BTreeMap<Arc<str>, Vec<(Arc<str>, f64)>>,
}

impl Weights {
    /// Moves the weights towards the documents' and answers whether any changed.
    pub(super) fn advance(
        &mut self,
        _now: Duration,
        documents: &BTreeMap<Arc<str>, Known>,
    ) -> bool {
        // TODO: pace the weights with core::ramp.
        let wanted: BTreeMap<_, _> = documents
            .iter()
            .map(|(service, known)| (service.clone(), target(&known.document)))
            .collect();
        let changed = wanted != self.services;
        self.services = wanted;
        changed
    }

    /// Takes over a peer's weights at the start.
    pub(super) fn adopt(&mut self, _weights: &[ServiceWeights]) {}

    /// Weights of one service.
    pub(super) fn of(&self, service: &Arc<str>) -> ServiceWeights {
        ServiceWeights {
            service: service.clone(),
            regions: self.services.get(service).cloned().unwrap_or_default(),
        }
    }

    /// Weights of all services.
    pub(super) fn all(&self) -> Vec<ServiceWeights> {
        self.services
            .keys()
            .map(|service| self.of(service))
            .collect()
    }
}

/// The document's weights as parts of the traffic; drained regions get none.
fn target(document: &Document) -> Vec<(Arc<str>, f64)> {
    let weight = |region: &marjorampick_core::document::Region| match region.drain {
        true => 0.0,
        false => region.weight,
    };
    let total: f64 = document.regions.iter().map(weight).sum();
    let part = |region| weight(region) / total.max(f64::MIN_POSITIVE);
    let regions = document.regions.iter();
    regions
        .map(|region| (region.name.clone(), part(region)))
        .collect()
}
