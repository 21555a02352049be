//! Exit codes and results of the commands. Scripts tell failures apart by the exit code.

use std::{
    fs,
    path::Path,
    process::{Command, Output},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use marjorampick_core::document::Document;
use marjorampick_ctl::forecast::{bound, next_month_length};
use marjorampick_link::exit::Exit;

const DOCUMENT: &str = "service = \"a\"\n[[route]]\npath = \"/\"\nclass = \"a\"\n\
    [[region]]\nname = \"b\"\nweight = 1\nslots_per_backend = 1\n\
    [cross_region]\nbytes_per_second = 1073741824\nburst_bytes = 1073741824\nprice_per_gib = 0.5\n";

fn run(arguments: &[&str], folder: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_marjorampick-ctl"))
        .args(arguments)
        .current_dir(folder)
        .env_remove("MARJORAMPICK_HOSTS")
        .env_remove("MARJORAMPICK_TOKEN")
        .output()
        .expect("a process")
}

fn exit_code(output: &Output) -> Option<i32> {
    output.status.code()
}

#[test]
fn check_reports_every_fault_of_every_document() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    fs::write(folder.path().join("good.toml"), DOCUMENT).expect("a file");
    fs::write(folder.path().join("bad.toml"), "service = 1\ncolour = 2\n").expect("a file");
    let good = run(&["document", "check", "good.toml"], folder.path());
    assert_eq!(exit_code(&good), Some(Exit::Success as i32));
    let bad = run(&["document", "check", "good.toml", "bad.toml"], folder.path());
    assert_eq!(exit_code(&bad), Some(Exit::Invalid as i32));
    let text = String::from_utf8_lossy(&bad.stderr);
    assert!(text.contains("bad.toml: line 1: service"), "{text}");
    assert!(text.contains("bad.toml: line 2: colour"), "{text}");
}

#[test]
fn commands_without_a_reachable_host_exit_as_unavailable() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let without_host = run(&["document", "list"], folder.path());
    assert_eq!(exit_code(&without_host), Some(Exit::Unavailable as i32));
    // Port 1 of the loopback network has no listener.
    let unreachable = ["--host", "http://127.0.0.1:1", "status"];
    assert_eq!(exit_code(&run(&unreachable, folder.path())), Some(Exit::Unavailable as i32));
}

#[test]
fn authority_is_created_once_and_private_keys_are_readable_by_their_owner_only() {
    use std::os::unix::fs::PermissionsExt;
    let folder = tempfile::tempdir().expect("a temporary folder");
    let create = |host: &str| run(&["certificate", "--folder", "tls", host], folder.path());
    assert_eq!(exit_code(&create("a=127.0.0.1")), Some(0));
    let authority = fs::read(folder.path().join("tls/authority.pem")).expect("a file");
    assert_eq!(exit_code(&create("b")), Some(0));
    let kept = fs::read(folder.path().join("tls/authority.pem")).expect("a file");
    assert_eq!(authority, kept, "both hosts have the same authority");
    for name in ["authority", "a", "b"] {
        let key = fs::metadata(folder.path().join(format!("tls/{name}.key")));
        let mode = key.expect("a key").permissions().mode();
        assert_eq!(mode & 0o777, 0o600, "{name}.key");
    }
}

#[test]
fn forecast_covers_the_whole_next_month() {
    let days = |since_1970: u64| {
        let now = UNIX_EPOCH + Duration::from_secs(since_1970 * 86_400);
        next_month_length(now).as_secs() / 86_400
    };
    assert_eq!(days(0), 28, "January 1970 is followed by February");
    assert_eq!(days(30), 28, "the last day of January");
    assert_eq!(days(31), 31, "the first day of February");
    assert_eq!(days(19_723), 29, "1 January 2024");
    assert_eq!(days(20_453), 31, "31 December 2025");
    let document = Document::parse(DOCUMENT).expect("a document");
    let bound = bound(&document, Duration::from_secs(9));
    assert_eq!(bound.bytes, 10 << 30, "nine seconds of rate and the burst");
    assert!((bound.cost - 5.0).abs() < 1e-9);
    assert!(next_month_length(SystemTime::now()) >= Duration::from_secs(28 * 86_400));
}
