//! Section `[currency]`, which may be absent: how the host stays current.

use marjorampick_core::{finding::Findings, host::CurrencySource, reader::Table};

/// Settings of the host's currency (docs/design.md §5).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Currency {
    /// Source of the confirmations that the host is current.
    pub source: CurrencySource,
}

pub(super) fn parse(table: &mut Table<'_>, findings: &mut Findings) -> Currency {
    let mut section = table.table(findings, "currency");
    let source = section.parsed(findings, "source", |text| match text {
        "store-or-members" => Ok(CurrencySource::StoreOrMembers),
        "store" => Ok(CurrencySource::Store),
        _ => Err("expected store-or-members or store"),
    });
    section.finish(findings);
    Currency { source: source.unwrap_or_default() }
}
