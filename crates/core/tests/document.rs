//! Tests of parsing and validating service documents.

use marjorampick_core::document::{Digest, Document};

const VALID: &str = r#"
service = "signing"
[[route]]
path = "/sign"
methods = ["POST"]
class = "signing"
[[route]]
path = "/sign/status"
class = "status"
idempotent = true
open = true
[[region]]
name = "ee-north"
weight = 60
slots_per_backend = 7
[[workspace]]
name = "anchor"
rate_per_second = 200
burst = 400
"#;

/// Guards against a parser that stops at the first fault, so that an operator finds only one per
/// run.
#[test]
fn every_fault_is_reported_with_its_line_and_key() {
    let source = VALID
        .replace("weight = 60", "weight = \"heavy\"")
        .replace("burst = 400", "burst = 0\nkeys = [\"plain-text\"]")
        .replace("idempotent = true", "idempotant = true");
    let findings = Document::parse(&source).expect_err("a faulty document");
    let keys: Vec<&str> = findings.iter().map(|finding| finding.key.as_str()).collect();
    for key in
        ["region[0].weight", "workspace[0].burst", "workspace[0].keys", "route[1].idempotant"]
    {
        assert!(keys.contains(&key), "{key} is missing in:\n{findings}");
    }
    assert!(findings.iter().all(|finding| finding.line > 1), "{findings}");
}

/// Guards against a route that matches a path which continues its prefix within a segment.
#[test]
fn the_longest_prefix_at_a_segment_boundary_wins() {
    let document = Document::parse(VALID).expect("a valid document");
    let class = |method, path| document.route(method, path).map(|route| route.class.to_string());
    assert_eq!(class("GET", "/sign/status/7").as_deref(), Some("status"));
    assert_eq!(class("POST", "/sign").as_deref(), Some("signing"));
    assert_eq!(class("POST", "/sign/statuses").as_deref(), Some("signing"));
    assert_eq!(class("POST", "/signature"), None);
    assert_eq!(class("GET", "/sign"), None);
}

/// Guards against a key that belongs to two workspaces.
#[test]
fn a_key_digest_belongs_to_one_workspace() {
    let digest = Digest::of_key(b"secret").to_text();
    let keys_of_two_workspaces = format!(
        "keys = [\"{digest}\"]\n[[workspace]]\nname = \"small\"\nrate_per_second = 1\nburst = 1\n\
         keys = [\"{digest}\"]\n"
    );
    let findings = Document::parse(&format!("{VALID}{keys_of_two_workspaces}"))
        .expect_err("a digest given twice");
    assert!(findings.to_string().contains("given twice"), "{findings}");
    assert_eq!(Digest::parse(&digest), Ok(Digest::of_key(b"secret")));
}

/// Guards against changes of the format that make the sample documents invalid.
#[test]
fn the_sample_documents_are_valid() {
    let settings = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../settings");
    let mut checked = 0;
    for deployment in ["karnerand", "lothian"] {
        let folder = settings.join(deployment).join("documents");
        for entry in std::fs::read_dir(folder).expect("sample documents") {
            let path = entry.expect("a folder entry").path();
            let source = std::fs::read_to_string(&path).expect("a readable document");
            let document = Document::parse(&source);
            assert!(document.is_ok(), "{}:\n{}", path.display(), document.unwrap_err());
            checked += 1;
        }
    }
    assert_eq!(checked, 8);
}
