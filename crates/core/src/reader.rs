//! Reads TOML tables key by key and collects every finding with its line.
//!
//! `serde` stops at the first fault; operators get all of them in one run instead. Service documents
//! and the settings of the programs both use this reader.

use std::{fmt::Display, ops::RangeInclusive, sync::Arc};

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::finding::Findings;

/// A TOML table whose keys are taken one by one.
pub struct Table<'a> {
    source: &'a str,
    path: String,
    offset: Option<usize>,
    entries: Vec<Entry<'a>>,
    /// Offsets of keys already taken, for findings that follow from several keys.
    taken: Vec<(String, usize)>,
}

struct Entry<'a> {
    key: String,
    offset: usize,
    value: Spanned<DeValue<'a>>,
}

impl<'a> Table<'a> {
    /// Parses `source`; syntax errors become findings.
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

    /// Takes a string that must be present.
    pub fn string(&mut self, findings: &mut Findings, key: &str) -> Arc<str> {
        self.require(findings, key);
        self.optional_string(findings, key).unwrap_or_default()
    }

    /// Takes a string that may be absent.
    pub fn optional_string(&mut self, findings: &mut Findings, key: &str) -> Option<Arc<str>> {
        let entry = self.take(key)?;
        let DeValue::String(text) = entry.value.get_ref() else {
            self.mismatch(findings, &entry, "a string");
            return None;
        };
        Some(Arc::from(text.as_ref()))
    }

    /// Takes a string and converts it; a failed conversion is a finding.
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

    /// Takes a whole number within `range`, or `default` when it is absent.
    pub fn integer(
        &mut self,
        findings: &mut Findings,
        key: &str,
        range: RangeInclusive<u64>,
        default: Option<u64>,
    ) -> u64 {
        let fallback = default.unwrap_or(*range.start());
        if default.is_none() {
            self.require(findings, key);
        }
        let Some(entry) = self.take(key) else {
            return fallback;
        };
        let DeValue::Integer(number) = entry.value.get_ref() else {
            self.mismatch(findings, &entry, "a whole number");
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

    /// Takes a number within `range`, or `default` when it is absent.
    pub fn number(
        &mut self,
        findings: &mut Findings,
        key: &str,
        range: RangeInclusive<f64>,
        default: Option<f64>,
    ) -> f64 {
        let fallback = default.unwrap_or(*range.start());
        if default.is_none() {
            self.require(findings, key);
        }
        let Some(entry) = self.take(key) else {
            return fallback;
        };
        let parsed: Option<f64> = match entry.value.get_ref() {
            DeValue::Integer(number) => number.as_str().parse().ok(),
            DeValue::Float(number) => number.as_str().parse().ok(),
            _ => {
                self.mismatch(findings, &entry, "a number");
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

    /// Takes a boolean, or `default` when it is absent.
    pub fn boolean(&mut self, findings: &mut Findings, key: &str, default: bool) -> bool {
        let Some(entry) = self.take(key) else {
            return default;
        };
        let DeValue::Boolean(value) = entry.value.get_ref() else {
            self.mismatch(findings, &entry, "true or false");
            return default;
        };
        *value
    }

    /// Takes an array of strings; an absent key is an empty array.
    pub fn strings(&mut self, findings: &mut Findings, key: &str) -> Vec<Arc<str>> {
        let Some(entry) = self.take(key) else {
            return Vec::new();
        };
        let DeValue::Array(values) = entry.value.get_ref() else {
            self.mismatch(findings, &entry, "an array of strings");
            return Vec::new();
        };
        let mut strings = Vec::new();
        for value in values {
            match value.get_ref() {
                DeValue::String(text) => strings.push(Arc::from(text.as_ref())),
                _ => self.mismatch(findings, &entry, "an array of strings"),
            }
        }
        strings
    }

    /// Takes a table; an absent key is an empty table.
    pub fn table(&mut self, findings: &mut Findings, key: &str) -> Self {
        let path = self.path_of(key);
        let Some(entry) = self.take(key) else {
            return Self::new(self.source, path, self.offset, DeTable::new());
        };
        if !matches!(entry.value.get_ref(), DeValue::Table(_)) {
            self.mismatch(findings, &entry, "a table");
        }
        let table = match entry.value.into_inner() {
            DeValue::Table(table) => table,
            _ => DeTable::new(),
        };
        Self::new(self.source, path, Some(entry.offset), table)
    }

    /// Takes an array of tables; an absent key is an empty array.
    pub fn tables(&mut self, findings: &mut Findings, key: &str) -> Vec<Self> {
        let path = self.path_of(key);
        let Some(entry) = self.take(key) else {
            return Vec::new();
        };
        if !matches!(entry.value.get_ref(), DeValue::Array(_)) {
            self.mismatch(findings, &entry, "an array of tables");
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

    /// Reports every key that was not taken.
    pub fn finish(self, findings: &mut Findings) {
        for entry in &self.entries {
            self.report_entry(findings, entry, "is not a known key".to_owned());
        }
    }

    fn require(&self, findings: &mut Findings, key: &str) {
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
        let waiting = self.entries.iter().find(|entry| entry.key == key);
        let taken = || self.taken.iter().find(|(name, _)| name == key);
        let offset = waiting.map(|entry| entry.offset).or_else(|| taken().map(|entry| entry.1));
        offset.or(self.offset)
    }

    fn path_of(&self, key: &str) -> String {
        match (self.path.as_str(), key) {
            ("", key) => key.to_owned(),
            (path, "") => path.to_owned(),
            (path, key) => format!("{path}.{key}"),
        }
    }

    fn mismatch(&self, findings: &mut Findings, entry: &Entry<'_>, expected: &str) {
        self.report_entry(findings, entry, format!("expected {expected}"));
    }

    fn report_entry(&self, findings: &mut Findings, entry: &Entry<'_>, text: String) {
        findings.add(self.source, Some(entry.offset), &self.path_of(&entry.key), text);
    }
}
