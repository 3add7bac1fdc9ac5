//! The committed code must match what `proto/` generates.
//!
//! Set `UPDATE_GENERATED=1` to regenerate it.

use std::path::Path;

#[test]
fn generated_code_is_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let proto = root.join("proto");
    let files = protox::compile([proto.join("cactusbarrow.proto")], [&proto]).unwrap();
    let out = Path::new(env!("CARGO_TARGET_TMPDIR"));
    prost_build::Config::new()
        .out_dir(out)
        .bytes(["."])
        .compile_fds(files)
        .unwrap();
    let generated = std::fs::read_to_string(out.join("cactusbarrow.rs")).unwrap();
    let committed = root.join("src/generated/cactusbarrow.rs");
    if std::env::var_os("UPDATE_GENERATED").is_some() {
        std::fs::write(&committed, &generated).unwrap();
    }
    assert_eq!(std::fs::read_to_string(&committed).unwrap(), generated);
}
