//! Changes single values in the text of a document, so that its comments and layout are preserved.

use std::ops::Range;

use marjorampick_core::document::{Digest, Document};
use marjorampick_link::exit::Exit;
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::client::{Client, Failure};

/// Maximum number of attempts of an edit that conflicts with edits by other operators.
const MAX_ATTEMPTS: usize = 5;

/// Reads the newest document of `service`, applies `change` to its text, writes it back and returns
/// its revision. Starts again when another edit was written in the meantime.
pub async fn apply(
    client: &Client,
    service: &str,
    change: impl Fn(&str) -> Result<String, Failure>,
) -> Result<u64, Failure> {
    let mut conflict = Failure::new(Exit::Conflict, "");
    for _ in 0..MAX_ATTEMPTS {
        let version = client.document(service).await?;
        let text = change(&version.text)?;
        if text == version.text {
            return Ok(version.revision);
        }
        match client.edit(service, version.revision, &text).await {
            Err(failure) if failure.exit == Exit::Conflict => conflict = failure,
            result => return result,
        }
    }
    Err(conflict)
}

/// Returns `text` with the region's `drain` set.
pub fn set_drain(text: &str, region: &str, drain: bool) -> Result<String, Failure> {
    let current_drain = |document: &Document| document.region(region).map(|region| region.drain);
    match current_drain(&parse(text)?) {
        None => return Err(not_found(format!("no region {region}"))),
        Some(current) if current == drain => return Ok(text.to_owned()),
        Some(_) => {}
    }
    let candidates = match find_spans(text, "region", region) {
        Some(Spans { values, .. }) if values.contains_key("drain") => {
            vec![splice(text, &values["drain"], &drain.to_string())]
        }
        Some(Spans { name, .. }) => insert_after(text, &name, &format!("drain = {drain}")),
        None => Vec::new(),
    };
    first_valid(candidates, |document| current_drain(document) == Some(drain))
}

/// Returns `text` with `digest` added to the keys of `workspace`.
pub fn add_key(text: &str, workspace: &str, digest: Digest) -> Result<String, Failure> {
    let quoted = format!("\"{}\"", digest.to_text());
    let Some(Spans { name, values }) = find_spans(text, "workspace", workspace) else {
        return Err(not_found(format!("no workspace {workspace}")));
    };
    let candidates = match values.get("keys") {
        Some(keys) => {
            let array = &text[keys.clone()];
            let inner = array.trim_start_matches('[').trim_end_matches(']');
            let items = inner.trim_end().trim_end_matches(',');
            let with_last = match items.trim().is_empty() {
                true => format!("[{quoted}]"),
                false => format!("[{items}, {quoted}]"),
            };
            // If a comment ends the array, a digest added at the end would become part of it.
            let with_first = format!("[{quoted},{inner}]");
            vec![splice(text, keys, &with_last), splice(text, keys, &with_first)]
        }
        None => insert_after(text, &name, &format!("keys = [{quoted}]")),
    };
    first_valid(candidates, |document| {
        let owner = document.workspace_by_digest(&digest);
        owner.is_some_and(|owner| owner.name.as_ref() == workspace)
    })
}

/// Returns `text` with `digest` removed from the keys.
pub fn remove_key(text: &str, digest: Digest) -> Result<String, Failure> {
    if parse(text)?.workspace_by_digest(&digest).is_none() {
        return Err(not_found(format!("no key {}", digest.to_text())));
    }
    let digest_text = digest.to_text();
    let span = key_spans(text).into_iter().find(|span| {
        let content = text[span.clone()].trim_matches(['"', '\'']);
        content.eq_ignore_ascii_case(&digest_text)
    });
    let Some(span) = span else {
        return Err(Failure::new(Exit::Failure, "the key's position is not found"));
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
    first_valid(candidates, |document| document.workspace_by_digest(&digest).is_none())
}

/// Byte ranges of the values of one table in an array of tables.
struct Spans {
    name: Range<usize>,
    /// Ranges of all values, including the name, by key.
    values: std::collections::BTreeMap<String, Range<usize>>,
}

/// Finds the table called `name` in the array of tables `array`.
fn find_spans(text: &str, array: &str, name: &str) -> Option<Spans> {
    let table = DeTable::parse(text).ok()?;
    let DeValue::Array(entries) = table.get_ref().get(array)?.get_ref() else {
        return None;
    };
    entries.iter().find_map(|entry| {
        let DeValue::Table(table) = entry.get_ref() else {
            return None;
        };
        let found = table.get("name")?;
        let is_wanted = matches!(found.get_ref(), DeValue::String(text) if text == name);
        let key_and_span = |(key, value): (&Spanned<_>, &Spanned<DeValue<'_>>)| {
            let key: &std::borrow::Cow<'_, str> = key.get_ref();
            (key.to_string(), value.span())
        };
        is_wanted
            .then(|| Spans { name: found.span(), values: table.iter().map(key_and_span).collect() })
    })
}

/// Byte ranges of all strings in the arrays `workspace[].keys`.
fn key_spans(text: &str) -> Vec<Range<usize>> {
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

/// Candidates for `text` with `pair` inserted after the value at `after`: on a line of its own, or
/// within an inline table.
fn insert_after(text: &str, after: &Range<usize>, pair: &str) -> Vec<String> {
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

/// Returns the first candidate that is a valid document for which `is_changed` holds.
fn first_valid(
    candidates: Vec<String>,
    is_changed: impl Fn(&Document) -> bool,
) -> Result<String, Failure> {
    let mut last_failure = Failure::new(Exit::Failure, "the document's layout is not supported");
    for candidate in candidates {
        match parse(&candidate) {
            Ok(document) if is_changed(&document) => return Ok(candidate),
            Ok(_) => {}
            Err(failure) => last_failure = failure,
        }
    }
    Err(last_failure)
}

fn parse(text: &str) -> Result<Document, Failure> {
    Document::parse(text).map_err(|findings| Failure::new(Exit::Invalid, findings.to_string()))
}

fn not_found(text: String) -> Failure {
    Failure::new(Exit::NotFound, text)
}
