//! Section `[store]`: the key-value store of the fleet.

use std::sync::Arc;

use marjorampick_core::{finding::Findings, reader::Table};
use marjorampick_link::settings::uris;

/// Settings of the key-value store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Store {
    /// URIs of the store's endpoints. If one fails, the next one is tried.
    pub endpoints: Vec<http::Uri>,
    /// Prefix of all keys. Fleets that share a store need different prefixes.
    pub prefix: Arc<str>,
}

pub(super) fn parse(table: &mut Table<'_>, findings: &mut Findings) -> Store {
    let mut section = table.table(findings, "store");
    let prefix = section.parsed(findings, "prefix", |text| match text.ends_with('/') {
        true => Ok(Arc::from(text)),
        false => Err("expected a prefix that ends with /"),
    });
    let store = Store {
        endpoints: uris(&mut section, findings, "endpoints"),
        prefix: prefix.unwrap_or_else(|| Arc::from("marjorampick/")),
    };
    section.finish(findings);
    store
}
