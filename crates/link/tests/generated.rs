//! Guards against committed generated types that don't match the definitions in `proto/`.

use std::{fs, path::Path};

const FILES: [&str; 2] = ["etcdserverpb.rs", "marjorampick.peer.rs"];

#[test]
fn committed_types_match_the_definitions() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let committed_folder = root.join("src/generated");
    let generated_folder = tempfile::tempdir().expect("a temporary folder");
    let definitions = protox::compile(["etcd.proto", "peer.proto"], [root.join("proto")])
        .expect("valid definitions");
    tonic_prost_build::configure()
        .out_dir(generated_folder.path())
        .compile_fds(definitions)
        .expect("generated types");
    for file in FILES {
        let generated =
            fs::read_to_string(generated_folder.path().join(file)).expect("generated file");
        if std::env::var_os("MARJORAMPICK_REGENERATE").is_some() {
            fs::write(committed_folder.join(file), &generated).expect("written file");
        }
        let committed = fs::read_to_string(committed_folder.join(file)).unwrap_or_default();
        assert!(committed == generated, "{file} differs: run with MARJORAMPICK_REGENERATE=1");
    }
}
