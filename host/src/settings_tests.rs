//! Checks that the sample settings are valid and show the defaults.

use std::{fs, path::Path};

use super::Settings;

fn sample() -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/settings.toml"))
        .unwrap()
}

#[test]
fn the_sample_file_is_valid_and_shows_the_defaults() {
    let shown = Settings::parse("sample", &sample()).unwrap();
    let is_optional = |line: &&str| {
        let key = line.split(" = ").next().unwrap_or_default();
        [
            "order_", "gossip_", "view_", "ledger_", "drain_", "max_", "caller_", "token_",
            "default_", "timeout_", "log_", "export_",
        ]
        .iter()
        .any(|prefix| key.starts_with(prefix))
    };
    let text = sample();
    let bare: Vec<&str> = text.lines().filter(|line| !is_optional(line)).collect();
    let defaults = Settings::parse("bare", &bare.join("\n")).unwrap();
    assert_eq!(format!("{shown:?}"), format!("{defaults:?}"));
}
