//! Reading and validation of settings files, shared by the programs.
//!
//! A settings file is TOML. All faults of a file are reported in one run, each with its file, line
//! and key. Parsing is done by [`marjorampick_core::reader`].
//!
//! The functions that read one key take it from the table and add a finding if it is invalid. They
//! then return a placeholder, which [`read`] discards.

use std::{
    fmt,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use marjorampick_core::{document::Digest, finding::Findings, reader::Table};

/// Faults of one settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults {
    /// The settings file.
    pub file: PathBuf,
    /// The faults, with their lines and keys.
    pub findings: Findings,
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.display();
        for (index, finding) in self.findings.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            match (finding.line, finding.key.as_str()) {
                (0, "") => write!(f, "{file}: {}", finding.text)?,
                (0, key) => write!(f, "{file}: {key}: {}", finding.text)?,
                (line, "") => write!(f, "{file}:{line}: {}", finding.text)?,
                (line, key) => write!(f, "{file}:{line}: {key}: {}", finding.text)?,
            }
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// Reads `file` and converts its table with `parse`, which adds its findings. Any finding makes the
/// result an error.
pub fn read<T>(
    file: &Path,
    parse: impl FnOnce(&mut Table<'_>, &mut Findings) -> T,
) -> Result<T, Faults> {
    let mut findings = Findings::default();
    let faults = |findings| Faults { file: file.to_owned(), findings };
    let source = match std::fs::read_to_string(file) {
        Ok(source) => source,
        Err(error) => {
            findings.add("", None, "", format!("cannot be read: {error}"));
            return Err(faults(findings));
        }
    };
    let mut table = Table::parse(&source, &mut findings);
    let settings = parse(&mut table, &mut findings);
    table.finish(&mut findings);
    if findings.is_empty() { Ok(settings) } else { Err(faults(findings)) }
}

/// Reads a required socket address.
pub fn address(table: &mut Table<'_>, findings: &mut Findings, key: &str) -> SocketAddr {
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    required(table, findings, key, |text| {
        text.parse::<SocketAddr>()
            .map_err(|_| "expected an IP address and a port, for instance 127.0.0.1:8080")
    })
    .unwrap_or(unspecified)
}

/// Reads a required name of 1 to 63 lower-case letters, digits or dashes.
pub fn name(table: &mut Table<'_>, findings: &mut Findings, key: &str) -> Arc<str> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    let is_valid = |text: &str| (1..=63).contains(&text.len()) && text.chars().all(allowed);
    required(table, findings, key, |text| {
        is_valid(text)
            .then(|| Arc::from(text))
            .ok_or("expected 1 to 63 lower-case letters, digits or dashes")
    })
    .unwrap_or_default()
}

/// Reads a required `http` URI whose host is an IP address with a port.
pub fn uri(table: &mut Table<'_>, findings: &mut Findings, key: &str) -> http::Uri {
    required(table, findings, key, parse_uri).unwrap_or_default()
}

/// Reads a required array of such URIs, see [`uri`], with at least one element.
pub fn uris(table: &mut Table<'_>, findings: &mut Findings, key: &str) -> Vec<http::Uri> {
    required_list(table, findings, key, parse_uri)
}

/// Reads a required array of socket addresses with at least one element.
pub fn addresses(table: &mut Table<'_>, findings: &mut Findings, key: &str) -> Vec<SocketAddr> {
    required_list(table, findings, key, |text| {
        text.parse().map_err(|_| "expected IP addresses with ports, for instance 127.0.0.1:8080")
    })
}

/// Reads the required path of a file, relative to `folder`, the folder of the settings file. The
/// file must exist.
pub fn path(table: &mut Table<'_>, findings: &mut Findings, key: &str, folder: &Path) -> PathBuf {
    required(table, findings, key, |text| {
        let path = folder.join(text);
        match path.is_file() {
            true => Ok(path),
            false => Err(format!("the file {text} does not exist")),
        }
    })
    .unwrap_or_default()
}

/// Reads a required digest of a token or API key.
pub fn digest(table: &mut Table<'_>, findings: &mut Findings, key: &str) -> Digest {
    required(table, findings, key, Digest::parse).unwrap_or(Digest([0; 32]))
}

/// Reads a duration in milliseconds within `range`; an absent key means `default`.
pub fn milliseconds(
    table: &mut Table<'_>,
    findings: &mut Findings,
    key: &str,
    range: std::ops::RangeInclusive<u64>,
    default: u64,
) -> Duration {
    Duration::from_millis(table.integer(findings, key, range, Some(default)))
}

fn required<T, E: fmt::Display>(
    table: &mut Table<'_>,
    findings: &mut Findings,
    key: &str,
    parse: impl Fn(&str) -> Result<T, E>,
) -> Option<T> {
    if !table.has(key) {
        table.report(findings, key, "is missing");
        return None;
    }
    table.parsed(findings, key, parse)
}

fn required_list<T, E: fmt::Display>(
    table: &mut Table<'_>,
    findings: &mut Findings,
    key: &str,
    parse: impl Fn(&str) -> Result<T, E>,
) -> Vec<T> {
    if !table.has(key) {
        table.report(findings, key, "is missing");
        return Vec::new();
    }
    let findings_before = findings.len();
    let mut parsed = Vec::new();
    for text in table.strings(findings, key) {
        match parse(&text) {
            Ok(item) => parsed.push(item),
            Err(error) => table.report(findings, key, format!("{text}: {error}")),
        }
    }
    if parsed.is_empty() && findings.len() == findings_before {
        table.report(findings, key, "must not be empty");
    }
    parsed
}

fn parse_uri(text: &str) -> Result<http::Uri, &'static str> {
    let expected = "expected an address such as http://127.0.0.1:2379";
    let uri: http::Uri = text.parse().map_err(|_| expected)?;
    let has_port = uri.port_u16().is_some();
    let has_ip_address = uri
        .host()
        .is_some_and(|host| host.trim_matches(['[', ']']).parse::<std::net::IpAddr>().is_ok());
    if uri.scheme_str() == Some("http") && has_port && has_ip_address {
        Ok(uri)
    } else {
        Err(expected)
    }
}
