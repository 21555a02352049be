//! Builds what the other threads read.

use std::sync::Arc;

use marjorampick_core::{
    catalog::Record,
    host::{
        Host, VersionedDocument,
        edit::{self, DOCUMENT_KEY_PREFIX},
        event::{ListedHost, ListedState},
    },
    member::Member,
};

use super::weights::Weights;
use crate::shared::{EntryHost, Service, Shared, Snapshot, Status};

/// Replaces the status if it has changed.
pub(super) fn status(host: &Host, shared: &Shared) {
    let known = shared.status.load();
    let is_same = known.revision == host.catalog().revision()
        && known.held == host.held_revision()
        && known.in_force == host.in_force_revision()
        && known.is_member == host.is_member();
    if is_same {
        return;
    }
    let documents = host.catalog().records().filter(|record| {
        let is_removed = record.value.is_empty();
        record.key.starts_with(DOCUMENT_KEY_PREFIX) && !is_removed
    });
    metrics::gauge!("marjorampick_revision").set(host.catalog().revision() as f64);
    metrics::gauge!("marjorampick_revision_in_force").set(host.in_force_revision() as f64);
    metrics::gauge!("marjorampick_members").set(host.members().len() as f64);
    shared.status.store(Arc::new(Status {
        revision: host.catalog().revision(),
        held: host.held_revision(),
        in_force: host.in_force_revision(),
        is_member: host.is_member(),
        members: host.members().to_vec(),
        documents: documents.map(as_written).collect(),
    }));
}

/// A document's record with the text that the operator wrote, without the writer's mark.
fn as_written(record: &Record) -> Record {
    Record { value: Arc::from(edit::operator_text(&record.value)), ..record.clone() }
}

/// Entry hosts for look-up answers: serving members that the platform does not list as stopping.
///
/// The host itself is left out from the moment at which it drains.
pub(super) fn entry_hosts(host: &Host, listed: &[ListedHost], shared: &Shared) -> Vec<EntryHost> {
    let stopping = |member: &Member| {
        let is_self = member.host == shared.host;
        let stops = |line: &ListedHost| line.state != ListedState::Live && line.name == member.host;
        let is_listed = listed.iter().any(|line| line.service.is_none() && stops(line));
        is_listed || (is_self && shared.is_draining())
    };
    let serving = host.serving_members().filter(|member| !stopping(member));
    let entry_host = |member: &Member| EntryHost {
        host: member.host.clone(),
        region: member.region.clone(),
        domain: member.domain.clone(),
        callers: member.callers,
    };
    serving.map(entry_host).collect()
}

/// The snapshot for the request path and for look-ups.
pub(super) fn snapshot(
    host: &Host,
    listed: &[ListedHost],
    weights: &Weights,
    entry_hosts: Vec<EntryHost>,
) -> Snapshot {
    let service = |(name, known): (&Arc<str>, &VersionedDocument)| {
        let backends = listed.iter().filter(|line| line.service.as_ref() == Some(name));
        let service = Service {
            document: known.document.clone(),
            revision: known.revision,
            weights: weights.of(name),
            backends: backends.cloned().collect(),
        };
        (name.clone(), service)
    };
    // A service without weights would be routed by guess; its weights follow within a second.
    let known = host.documents().iter().filter(|(name, _)| weights.has(name));
    Snapshot { services: known.map(service).collect(), entry_hosts }
}
