//! Guards against generated types that differ from the definitions in `proto/`.

use std::{fs, path::Path};

const FILES: [&str; 2] = ["etcdserverpb.rs", "marjorampick.peer.rs"];

#[test]
fn committed_types_match_the_definitions() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let committed = root.join("src/generated");
    let fresh = tempfile::tempdir().expect("a temporary folder");
    let definitions = protox::compile(["etcd.proto", "peer.proto"], [root.join("proto")])
        .expect("valid definitions");
    tonic_prost_build::configure()
        .out_dir(fresh.path())
        .compile_fds(definitions)
        .expect("generated types");
    for file in FILES {
        let generated = fs::read_to_string(fresh.path().join(file)).expect("generated file");
        if std::env::var_os("MARJORAMPICK_REGENERATE").is_some() {
            fs::write(committed.join(file), &generated).expect("written file");
        }
        let known = fs::read_to_string(committed.join(file)).unwrap_or_default();
        assert!(known == generated, "{file} differs: run with MARJORAMPICK_REGENERATE=1");
    }
}
