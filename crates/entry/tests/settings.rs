//! Guards against invalid settings that are accepted, and against findings that lack their position
//! or suppress others.

use std::{
    fs,
    path::{Path, PathBuf},
};

use marjorampick_ctl::{certificate, options::CertificateHost};
use marjorampick_entry::settings;

/// Environment variable that makes the test rewrite the files of expected findings, for review in a
/// diff.
const UPDATE_VARIABLE: &str = "MARJORAMPICK_UPDATE_FINDINGS";

fn package_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).to_owned()
}

/// The settings files of a folder, sorted; at least one.
fn settings_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("a folder of settings");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    let is_settings =
        |path: &PathBuf| path.extension().is_some_and(|extension| extension == "toml");
    let mut files: Vec<PathBuf> = paths.filter(is_settings).collect();
    files.sort();
    assert!(!files.is_empty(), "{} has no settings files", folder.display());
    files
}

#[test]
fn valid_settings_have_no_findings() {
    for file in settings_files(&package_folder().join("tests/settings/valid")) {
        if let Err(faults) = settings::read(&file) {
            panic!("{faults}");
        }
    }
}

#[test]
fn invalid_settings_have_the_expected_findings() {
    for file in settings_files(&package_folder().join("tests/settings/invalid")) {
        let faults = settings::read(&file).expect_err("settings with faults");
        let name = file.file_name().expect("a file name").to_string_lossy();
        let folder = format!("{}/", file.parent().expect("a folder").display());
        let found = format!("{faults}\n").replace(&folder, "");
        let expected = file.with_extension("findings");
        if std::env::var_os(UPDATE_VARIABLE).is_some() {
            fs::write(&expected, &found).expect("written findings");
        }
        let expected = fs::read_to_string(expected).expect("expected findings");
        assert_eq!(found, expected, "findings of {name}");
    }
}

#[test]
fn sample_settings_are_valid_once_their_certificates_are_made() {
    for deployment in ["karnerand", "lothian"] {
        let folder = package_folder().join("../../settings").join(deployment).join("hosts");
        let copy = tempfile::tempdir().expect("a temporary folder");
        let samples = settings_files(&folder);
        let host = |file: &PathBuf| CertificateHost {
            name: file.file_stem().expect("a name").to_string_lossy().into(),
            address: None,
        };
        let hosts: Vec<CertificateHost> = samples.iter().map(host).collect();
        assert_eq!(hosts.len(), 8, "hosts of {deployment}");
        certificate::run(&copy.path().join("tls"), &hosts).expect("certificates");
        for (file, host) in samples.iter().zip(hosts) {
            let target = copy.path().join(file.file_name().expect("a name"));
            fs::copy(file, &target).expect("a copy");
            let settings = settings::read(&target).unwrap_or_else(|faults| panic!("{faults}"));
            assert_eq!(*settings.host.name, host.name, "name of the file and the host");
        }
    }
}
