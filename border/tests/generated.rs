//! Checks that `src/generated.rs` matches the code generated from the schema.
//!
//! `RENEW=1 cargo test -p clementinearch-border` regenerates the file.

use std::{env, fs};

const SCHEMA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/schema/border.json");
const GENERATED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/src/generated.rs");

fn generate() -> String {
    let text = fs::read_to_string(SCHEMA).expect("schema is readable");
    let schema: schemars::schema::RootSchema = serde_json::from_str(&text).expect("schema is JSON");
    let mut space = typify::TypeSpace::new(
        typify::TypeSpaceSettings::default().with_derive("PartialEq".to_owned()),
    );
    space
        .add_ref_types(schema.definitions)
        .expect("schema is supported");
    let file = syn::parse2(space.to_stream()).expect("generated code parses");
    prettyplease::unparse(&file)
}

#[test]
fn generated_code_matches_the_schema() {
    let expected = generate();
    if env::var_os("RENEW").is_some() {
        fs::write(GENERATED, &expected).expect("generated file is writable");
    }
    let committed = fs::read_to_string(GENERATED).unwrap_or_default();
    assert!(
        committed == expected,
        "run: RENEW=1 cargo test -p clementinearch-border"
    );
}
