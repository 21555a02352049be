//! Guards against a settings file that makes the process panic instead of reporting findings.

use std::{fs, path::Path};

use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use marjorampick_entry::settings;

/// Number of seeds; they are fixed, so that every run tests the same inputs. Each seed writes two
/// files.
const SEEDS: u64 = 1_000;

/// Values that replace those of a valid file.
const REPLACEMENT_VALUES: [&str; 14] = [
    "-1",
    "18446744073709551615",
    "1e400",
    "nan",
    "true",
    "\"\"",
    "\"[::]:99999\"",
    "\"0.0.0.0/33\"",
    "\"sha256:\u{e9}\"",
    "\"http://:\"",
    "[]",
    "[[1], {}]",
    "{ a = 1 }",
    "1979-05-27",
];

/// Reads a settings file with this content; faults must have a text.
fn read_settings(folder: &Path, source: &[u8]) {
    let file = folder.join("host.toml");
    fs::write(&file, source).expect("a writable folder");
    if let Err(faults) = settings::read(&file) {
        assert!(!faults.to_string().is_empty());
    }
}

/// The valid file with some lines removed, duplicated, replaced or given another value.
fn mutate(u: &mut Unstructured<'_>, valid: &str) -> Result<String> {
    let mut source = String::new();
    for line in valid.lines() {
        let written = match (u.int_in_range(0..=15)?, line.split_once('=')) {
            (0, _) => continue,
            (1, _) => format!("{line}\n{line}"),
            (2, Some((key, _))) => format!("{key}= {}", u.choose(&REPLACEMENT_VALUES)?),
            (3, _) => u.arbitrary()?,
            _ => line.to_owned(),
        };
        source.push_str(&written);
        source.push('\n');
    }
    Ok(source)
}

#[test]
fn settings_are_read_or_refused() {
    let sample_folder =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../settings/karnerand/hosts");
    let valid = fs::read_to_string(sample_folder.join("ee-north-a-1.toml")).expect("a sample");
    let folder = tempfile::tempdir().expect("a folder");
    for seed in 1..=SEEDS {
        arbtest(|u| {
            read_settings(folder.path(), mutate(u, &valid)?.as_bytes());
            read_settings(folder.path(), u.arbitrary()?);
            Ok(())
        })
        .seed(seed << 32 | 512)
        .run();
    }
}
