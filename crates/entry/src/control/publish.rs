//! Builds the snapshot and the status that the other threads read.

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

/// Replaces the published status and its metrics if the status has changed.
pub(super) fn update_status(host: &Host, shared: &Shared) {
    let published = shared.status.load();
    let is_unchanged = published.revision == host.catalog().revision()
        && published.held_revision == host.held_revision()
        && published.in_force_revision == host.in_force_revision()
        && published.is_member == host.is_member();
    if is_unchanged {
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
        held_revision: host.held_revision(),
        in_force_revision: host.in_force_revision(),
        is_member: host.is_member(),
        members: host.members().to_vec(),
        documents: documents.map(without_marker).collect(),
    }));
}

/// Returns the record of a document with the operator's text only, without the marker of the edit.
fn without_marker(record: &Record) -> Record {
    Record { value: Arc::from(edit::operator_text(&record.value)), ..record.clone() }
}

/// Entry hosts for look-up answers: the serving members, without those that the platform lists as
/// leaving or gone, and without this host once it drains.
pub(super) fn available_entry_hosts(
    host: &Host,
    listed_hosts: &[ListedHost],
    shared: &Shared,
) -> Vec<EntryHost> {
    let is_stopping = |member: &Member| {
        let is_self = member.host == shared.host;
        let matches =
            |listed: &ListedHost| listed.state != ListedState::Live && listed.name == member.host;
        let is_listed_as_stopping =
            listed_hosts.iter().any(|listed| listed.service.is_none() && matches(listed));
        is_listed_as_stopping || (is_self && shared.is_draining())
    };
    let available = host.serving_members().filter(|member| !is_stopping(member));
    let entry_host = |member: &Member| EntryHost {
        host: member.host.clone(),
        region: member.region.clone(),
        domain: member.domain.clone(),
        caller_address: member.callers,
    };
    available.map(entry_host).collect()
}

/// Builds the snapshot for the request path and for look-ups.
pub(super) fn build_snapshot(
    host: &Host,
    listed_hosts: &[ListedHost],
    weights: &Weights,
    entry_hosts: Vec<EntryHost>,
) -> Snapshot {
    let service = |(name, versioned): (&Arc<str>, &VersionedDocument)| {
        let backends = listed_hosts.iter().filter(|listed| listed.service.as_ref() == Some(name));
        let service = Service {
            document: versioned.document.clone(),
            revision: versioned.revision,
            weights: weights.of_service(name),
            backends: backends.cloned().collect(),
        };
        (name.clone(), service)
    };
    // Without actual weights a service cannot be routed yet; they follow within a second.
    let routable = host.documents().iter().filter(|(name, _)| weights.has_service(name));
    Snapshot { services: routable.map(service).collect(), entry_hosts }
}
