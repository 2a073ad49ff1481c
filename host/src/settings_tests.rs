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

/// Guards against a host that starts with a bound on which it cannot serve.
#[test]
fn bounds_on_connections_are_findings_outside_their_range() {
    let with = |key: &str, value: &str| {
        let text = sample().replacen("[limits]", &format!("[limits]\n{key} = {value}"), 1);
        assert_ne!(text, sample(), "the sample has limits");
        Settings::parse("test", &text)
    };
    for key in ["descriptors", "caller_connections"] {
        for value in ["0", "15", "1048577", "-1", "20.5", "\"64\""] {
            let found = with(key, value).expect_err(value).to_string();
            assert!(found.contains(&format!("limits.{key}")), "{found}");
            assert!(found.contains("from 16 to 1048576"), "{found}");
        }
    }
    assert_eq!(with("descriptors", "16").unwrap().descriptors, Some(16));
    let settings = with("caller_connections", "64").unwrap();
    assert_eq!(settings.caller_connections, Some(64));
}
