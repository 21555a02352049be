//! Reads TOML tables key by key and reports every fault with its line.
//!
//! Unlike `serde`, which stops at the first fault, this reader reports all faults of a file in one
//! run. Service documents and the settings of the programs are read with it.

use std::{fmt::Display, ops::RangeInclusive, sync::Arc};

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::finding::Findings;

/// A TOML table whose keys are taken one by one.
///
/// A method that takes a key reports a fault as a finding and returns a fallback value, so that the
/// caller can go on to the next key.
pub struct Table<'a> {
    source: &'a str,
    /// Dotted path of the table in the file; empty for the root table.
    path: String,
    /// Byte offset of the table, or of its parent if it is absent; `None` for the root table.
    offset: Option<usize>,
    /// Keys that are not taken yet.
    entries: Vec<Entry<'a>>,
    /// Keys already taken and their offsets, for findings that are added later.
    taken: Vec<(String, usize)>,
}

struct Entry<'a> {
    key: String,
    offset: usize,
    value: Spanned<DeValue<'a>>,
}

impl<'a> Table<'a> {
    /// Parses `source` and adds its syntax errors to `findings`.
    pub fn parse(source: &'a str, findings: &mut Findings) -> Self {
        let (table, errors) = DeTable::parse_recoverable(source);
        for error in errors {
            findings.add(source, error.span().map(|span| span.start), "", error.message());
        }
        Self::new(source, String::new(), None, table.into_inner())
    }

    fn new(source: &'a str, path: String, offset: Option<usize>, table: DeTable<'a>) -> Self {
        let entries = table
            .into_iter()
            .map(|(key, value)| Entry {
                offset: key.span().start,
                key: key.into_inner().into_owned(),
                value,
            })
            .collect();
        Self { source, path, offset, entries, taken: Vec::new() }
    }

    /// Whether `key` is present and not taken yet.
    pub fn has(&self, key: &str) -> bool {
        self.entries.iter().any(|entry| entry.key == key)
    }

    /// Adds a finding about `key`, or about the table when `key` is empty.
    pub fn report(&self, findings: &mut Findings, key: &str, text: impl Into<String>) {
        findings.add(self.source, self.offset_of(key), &self.path_of(key), text);
    }

    /// Takes a string; a missing key is a finding.
    pub fn string(&mut self, findings: &mut Findings, key: &str) -> Arc<str> {
        self.report_if_missing(findings, key);
        self.optional_string(findings, key).unwrap_or_default()
    }

    /// Takes a string; `None` if the key is absent or holds no string.
    pub fn optional_string(&mut self, findings: &mut Findings, key: &str) -> Option<Arc<str>> {
        let entry = self.take(key)?;
        let DeValue::String(text) = entry.value.get_ref() else {
            self.report_mismatch(findings, &entry, "a string");
            return None;
        };
        Some(Arc::from(text.as_ref()))
    }

    /// Takes a string and parses it; an error of `parse` is a finding.
    ///
    /// Returns `None` if the key is absent or invalid.
    pub fn parsed<T, E: Display>(
        &mut self,
        findings: &mut Findings,
        key: &str,
        parse: impl Fn(&str) -> Result<T, E>,
    ) -> Option<T> {
        let offset = self.offset_of(key);
        let text = self.optional_string(findings, key)?;
        parse(&text)
            .map_err(|error| {
                findings.add(self.source, offset, &self.path_of(key), error.to_string());
            })
            .ok()
    }

    /// Takes a whole number within `range`. An absent key yields `default`; without a default it is
    /// a finding.
    pub fn integer(
        &mut self,
        findings: &mut Findings,
        key: &str,
        range: RangeInclusive<u64>,
        default: Option<u64>,
    ) -> u64 {
        let fallback = default.unwrap_or(*range.start());
        if default.is_none() {
            self.report_if_missing(findings, key);
        }
        let Some(entry) = self.take(key) else {
            return fallback;
        };
        let DeValue::Integer(number) = entry.value.get_ref() else {
            self.report_mismatch(findings, &entry, "a whole number");
            return fallback;
        };
        let parsed = u64::from_str_radix(number.as_str(), number.radix()).ok();
        let Some(value) = parsed.filter(|value| range.contains(value)) else {
            let text = format!("is {number}, expected {} to {}", range.start(), range.end());
            self.report_entry(findings, &entry, text);
            return fallback;
        };
        value
    }

    /// Takes a number within `range`. An absent key yields `default`; without a default it is a
    /// finding.
    pub fn number(
        &mut self,
        findings: &mut Findings,
        key: &str,
        range: RangeInclusive<f64>,
        default: Option<f64>,
    ) -> f64 {
        let fallback = default.unwrap_or(*range.start());
        if default.is_none() {
            self.report_if_missing(findings, key);
        }
        let Some(entry) = self.take(key) else {
            return fallback;
        };
        let parsed: Option<f64> = match entry.value.get_ref() {
            DeValue::Integer(number) => number.as_str().parse().ok(),
            DeValue::Float(number) => number.as_str().parse().ok(),
            _ => {
                self.report_mismatch(findings, &entry, "a number");
                return fallback;
            }
        };
        let Some(value) = parsed.filter(|value| range.contains(value)) else {
            let text = format!("expected {} to {}", range.start(), range.end());
            self.report_entry(findings, &entry, text);
            return fallback;
        };
        value
    }

    /// Takes a boolean; an absent key yields `default`.
    pub fn boolean(&mut self, findings: &mut Findings, key: &str, default: bool) -> bool {
        let Some(entry) = self.take(key) else {
            return default;
        };
        let DeValue::Boolean(value) = entry.value.get_ref() else {
            self.report_mismatch(findings, &entry, "true or false");
            return default;
        };
        *value
    }

    /// Takes an array of strings; an absent key yields an empty array.
    pub fn strings(&mut self, findings: &mut Findings, key: &str) -> Vec<Arc<str>> {
        let Some(entry) = self.take(key) else {
            return Vec::new();
        };
        let DeValue::Array(values) = entry.value.get_ref() else {
            self.report_mismatch(findings, &entry, "an array of strings");
            return Vec::new();
        };
        let mut strings = Vec::new();
        for value in values {
            match value.get_ref() {
                DeValue::String(text) => strings.push(Arc::from(text.as_ref())),
                _ => self.report_mismatch(findings, &entry, "an array of strings"),
            }
        }
        strings
    }

    /// Takes a table; an absent key yields an empty table.
    pub fn table(&mut self, findings: &mut Findings, key: &str) -> Self {
        let path = self.path_of(key);
        let Some(entry) = self.take(key) else {
            return Self::new(self.source, path, self.offset, DeTable::new());
        };
        if !matches!(entry.value.get_ref(), DeValue::Table(_)) {
            self.report_mismatch(findings, &entry, "a table");
        }
        let table = match entry.value.into_inner() {
            DeValue::Table(table) => table,
            _ => DeTable::new(),
        };
        Self::new(self.source, path, Some(entry.offset), table)
    }

    /// Takes an array of tables; an absent key yields an empty array.
    pub fn tables(&mut self, findings: &mut Findings, key: &str) -> Vec<Self> {
        let path = self.path_of(key);
        let Some(entry) = self.take(key) else {
            return Vec::new();
        };
        if !matches!(entry.value.get_ref(), DeValue::Array(_)) {
            self.report_mismatch(findings, &entry, "an array of tables");
            return Vec::new();
        }
        let DeValue::Array(values) = entry.value.into_inner() else {
            return Vec::new();
        };
        let mut tables = Vec::new();
        for (index, value) in values.into_iter().enumerate() {
            let offset = value.span().start;
            match value.into_inner() {
                DeValue::Table(table) => tables.push(Self::new(
                    self.source,
                    format!("{path}[{index}]"),
                    Some(offset),
                    table,
                )),
                _ => findings.add(self.source, Some(offset), &path, "expected a table"),
            }
        }
        tables
    }

    /// Reports every key that was not taken as unknown.
    pub fn finish(self, findings: &mut Findings) {
        for entry in &self.entries {
            self.report_entry(findings, entry, "is not a known key".to_owned());
        }
    }

    fn report_if_missing(&self, findings: &mut Findings, key: &str) {
        if !self.has(key) {
            self.report(findings, key, "is missing");
        }
    }

    fn take(&mut self, key: &str) -> Option<Entry<'a>> {
        let index = self.entries.iter().position(|entry| entry.key == key)?;
        let entry = self.entries.swap_remove(index);
        self.taken.push((entry.key.clone(), entry.offset));
        Some(entry)
    }

    fn offset_of(&self, key: &str) -> Option<usize> {
        let remaining = self.entries.iter().find(|entry| entry.key == key);
        let taken = || self.taken.iter().find(|(name, _)| name == key);
        let offset = remaining.map(|entry| entry.offset).or_else(|| taken().map(|entry| entry.1));
        offset.or(self.offset)
    }

    fn path_of(&self, key: &str) -> String {
        match (self.path.as_str(), key) {
            ("", key) => key.to_owned(),
            (path, "") => path.to_owned(),
            (path, key) => format!("{path}.{key}"),
        }
    }

    fn report_mismatch(&self, findings: &mut Findings, entry: &Entry<'_>, expected: &str) {
        self.report_entry(findings, entry, format!("expected {expected}"));
    }

    fn report_entry(&self, findings: &mut Findings, entry: &Entry<'_>, text: String) {
        findings.add(self.source, Some(entry.offset), &self.path_of(&entry.key), text);
    }
}
