//! Changes single values of a document's text, so that comments and layout stay.

use std::ops::Range;

use marjorampick_core::document::{Digest, Document};
use marjorampick_link::exit::Exit;
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::client::{Client, Failure};

/// Attempts of an edit that loses races against other operators.
const ATTEMPTS: usize = 5;

/// Reads the newest document, changes it and writes it back; a lost race starts over.
pub async fn apply(
    client: &Client,
    service: &str,
    change: impl Fn(&str) -> Result<String, Failure>,
) -> Result<u64, Failure> {
    let mut lost = Failure::new(Exit::Conflict, "");
    for _ in 0..ATTEMPTS {
        let stored = client.document(service).await?;
        let text = change(&stored.text)?;
        if text == stored.text {
            return Ok(stored.revision);
        }
        match client.edit(service, stored.revision, &text).await {
            Err(failure) if failure.exit == Exit::Conflict => lost = failure,
            result => return result,
        }
    }
    Err(lost)
}

/// The text with the region's `drain` set.
pub fn set_drain(text: &str, region: &str, drain: bool) -> Result<String, Failure> {
    let is_set = |document: &Document| document.region(region).map(|region| region.drain);
    match is_set(&parse(text)?) {
        None => return Err(not_found(format!("no region {region}"))),
        Some(known) if known == drain => return Ok(text.to_owned()),
        Some(_) => {}
    }
    let candidates = match entry(text, "region", region) {
        Some(Entry { values, .. }) if values.contains_key("drain") => {
            vec![splice(text, &values["drain"], &drain.to_string())]
        }
        Some(Entry { name, .. }) => appended(text, &name, &format!("drain = {drain}")),
        None => Vec::new(),
    };
    choose(candidates, |document| is_set(document) == Some(drain))
}

/// The text with `digest` among the keys of `workspace`.
pub fn add_key(text: &str, workspace: &str, digest: Digest) -> Result<String, Failure> {
    let quoted = format!("\"{}\"", digest.to_text());
    let Some(Entry { name, values }) = entry(text, "workspace", workspace) else {
        return Err(not_found(format!("no workspace {workspace}")));
    };
    let candidates = match values.get("keys") {
        Some(keys) => {
            let known = &text[keys.clone()];
            let inner = known.trim_start_matches('[').trim_end_matches(']');
            let open = inner.trim_end().trim_end_matches(',');
            let filled = match open.trim().is_empty() {
                true => format!("[{quoted}]"),
                false => format!("[{open}, {quoted}]"),
            };
            // A comment at the end of the array would make the new digest a part of it.
            let fresh = format!("[{quoted},{inner}]");
            vec![splice(text, keys, &filled), splice(text, keys, &fresh)]
        }
        None => appended(text, &name, &format!("keys = [{quoted}]")),
    };
    choose(candidates, |document| {
        let holder = document.workspace_by_digest(&digest);
        holder.is_some_and(|holder| holder.name.as_ref() == workspace)
    })
}

/// The text without `digest`.
pub fn remove_key(text: &str, digest: Digest) -> Result<String, Failure> {
    if parse(text)?.workspace_by_digest(&digest).is_none() {
        return Err(not_found(format!("no key {}", digest.to_text())));
    }
    let quoted = digest.to_text();
    let span = string_spans(text).into_iter().find(|span| {
        let content = text[span.clone()].trim_matches(['"', '\'']);
        content.eq_ignore_ascii_case(&quoted)
    });
    let Some(span) = span else {
        return Err(Failure::new(Exit::Failure, "the key's place is not found"));
    };
    let after = &text[span.end..];
    let rest = after.trim_start();
    let end = match rest.strip_prefix(',') {
        Some(rest) => text.len() - rest.trim_start_matches(' ').len(),
        None => span.end,
    };
    let before = text[..span.start].trim_end();
    let start = match before.strip_suffix(',') {
        Some(before) if end == span.end => before.len(),
        _ => span.start,
    };
    let candidates = vec![splice(text, &(start..end), "")];
    choose(candidates, |document| document.workspace_by_digest(&digest).is_none())
}

/// One table of an array of tables: where its name and its other values stand.
struct Entry {
    name: Range<usize>,
    values: std::collections::BTreeMap<String, Range<usize>>,
}

fn entry(text: &str, array: &str, name: &str) -> Option<Entry> {
    let table = DeTable::parse(text).ok()?;
    let DeValue::Array(entries) = table.get_ref().get(array)?.get_ref() else {
        return None;
    };
    entries.iter().find_map(|entry| {
        let DeValue::Table(table) = entry.get_ref() else {
            return None;
        };
        let known = table.get("name")?;
        let is_wanted = matches!(known.get_ref(), DeValue::String(text) if text == name);
        let place = |(key, value): (&Spanned<_>, &Spanned<DeValue<'_>>)| {
            let key: &std::borrow::Cow<'_, str> = key.get_ref();
            (key.to_string(), value.span())
        };
        is_wanted.then(|| Entry { name: known.span(), values: table.iter().map(place).collect() })
    })
}

/// Places of all strings in the arrays `workspace[].keys`.
fn string_spans(text: &str) -> Vec<Range<usize>> {
    let Ok(table) = DeTable::parse(text) else {
        return Vec::new();
    };
    let Some(DeValue::Array(workspaces)) = table.get_ref().get("workspace").map(Spanned::get_ref)
    else {
        return Vec::new();
    };
    let keys = workspaces.iter().filter_map(|workspace| {
        let DeValue::Table(workspace) = workspace.get_ref() else {
            return None;
        };
        match workspace.get("keys")?.get_ref() {
            DeValue::Array(keys) => Some(keys.iter().map(Spanned::span).collect::<Vec<_>>()),
            _ => None,
        }
    });
    keys.flatten().collect()
}

/// The text with `pair` after the value at `after`: on a line of its own or within an inline table.
fn appended(text: &str, after: &Range<usize>, pair: &str) -> Vec<String> {
    let line_end = text[after.end..].find('\n');
    let line_end = line_end.map_or(text.len(), |offset| after.end + offset);
    vec![
        splice(text, &(line_end..line_end), &format!("\n{pair}")),
        splice(text, &(after.end..after.end), &format!(", {pair}")),
    ]
}

fn splice(text: &str, at: &Range<usize>, with: &str) -> String {
    format!("{}{with}{}", &text[..at.start], &text[at.end..])
}

/// The first candidate that is a document with the wanted change.
fn choose(candidates: Vec<String>, is_done: impl Fn(&Document) -> bool) -> Result<String, Failure> {
    let mut fault = Failure::new(Exit::Failure, "the document's layout is not understood");
    for candidate in candidates {
        match parse(&candidate) {
            Ok(document) if is_done(&document) => return Ok(candidate),
            Ok(_) => {}
            Err(failure) => fault = failure,
        }
    }
    Err(fault)
}

fn parse(text: &str) -> Result<Document, Failure> {
    Document::parse(text).map_err(|findings| Failure::new(Exit::Invalid, findings.to_string()))
}

fn not_found(text: String) -> Failure {
    Failure::new(Exit::NotFound, text)
}
