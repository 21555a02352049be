//! Findings of a check: faults with their lines and keys, collected and reported together.

use std::fmt;

/// A fault in a settings file or a service document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Line in the file, counted from 1; 0 when the fault belongs to the file as a whole.
    pub line: usize,
    /// Dotted path of the key, for instance `workspace[1].rate_per_second`.
    pub key: String,
    /// What is wrong and what is expected.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.line, self.key.as_str()) {
            (0, "") => write!(f, "{}", self.text),
            (0, key) => write!(f, "{key}: {}", self.text),
            (line, "") => write!(f, "line {line}: {}", self.text),
            (line, key) => write!(f, "line {line}: {key}: {}", self.text),
        }
    }
}

/// Number of findings that one check keeps. Finding the line of each takes time in proportion to
/// the document, so without a limit a 1 MB document with a fault in every line would take minutes.
const KEPT_FINDINGS_LIMIT: usize = 100;

/// Findings of one check, in the order in which they were added. All are counted, but only the
/// first ones are kept.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    kept: Vec<Finding>,
    omitted_count: usize,
}

impl Findings {
    /// Adds a finding about `key` at the byte `offset` of `source`, or about the file as a whole
    /// without an offset.
    pub fn add(&mut self, source: &str, offset: Option<usize>, key: &str, text: impl Into<String>) {
        if self.kept.len() >= KEPT_FINDINGS_LIMIT {
            self.omitted_count += 1;
            return;
        }
        let line = offset.map_or(0, |offset| line_number(source, offset));
        self.kept.push(Finding { line, key: key.to_owned(), text: text.into() });
    }

    /// Whether the check found no fault.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Number of findings, including those that are not kept.
    pub fn len(&self) -> usize {
        self.kept.len() + self.omitted_count
    }

    /// The kept findings in order.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.kept.iter()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.kept.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        if self.omitted_count > 0 {
            write!(f, "\n{} more findings are left out", self.omitted_count)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

fn line_number(source: &str, offset: usize) -> usize {
    let end = offset.min(source.len());
    1 + source.as_bytes()[..end].iter().filter(|&&byte| byte == b'\n').count()
}
