//! Odd configurations and orders: the last good configuration stays in force, and the next one takes
//! effect.

mod odd;
mod route;

use std::{fs, process::Command};

use odd::{Expected, Met, Variant, deep, play_all, with_field, without_field};

/// A proper configuration whose routes differ from those in force.
const CONFIG: &str = r#"{"version":10,"routes":[{"name":"odd","host":"a.example","pathPrefix":"/odd/","kind":"streaming","timeoutMs":3000,"targetLatencyMs":300,"gapTargetMs":100,"priority":2,"maxAttempts":3,"trafficSplit":[{"service":"orders","weight":1}]},{"name":"look","host":"a.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":3000,"targetLatencyMs":300,"priority":2,"maxAttempts":3,"service":"orders"}],"services":[{"name":"orders","maxConnections":100,"engine":{"slots":16,"kvCapacityTokens":1000,"stride":5,"models":[{"name":"small","cost":0.02}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

const ORDER: &str = r#"{"service":"orders","target":"v2","durationS":20}"#;

const STATUS: &str = r#"{"state":"in_progress","target":"v2","elapsedMs":5}"#;

const HUGE: [&str; 7] = ["1e300", "1e400", "1e19", "-1", "-1e300", "\"NaN\"", "[7]"];

fn config(field: &str, value: &str, expected: Expected) -> Variant {
    Variant::new("op/config", with_field(CONFIG, field, value), expected)
}

fn configurations() -> Vec<Variant> {
    let times = [
        "timeoutMs",
        "targetLatencyMs",
        "gapTargetMs",
        "headerTimeoutMs",
        "idleTimeoutMs",
    ];
    let mut variants = Vec::new();
    for field in times {
        variants.extend(HUGE.map(|value| config(field, value, Expected::Finding)));
    }
    let numbers = [
        ("version", "-1"),
        ("version", "1.5"),
        ("version", "18446744073709551615"),
        ("version", "18446744073709551616"),
        ("priority", "300"),
        ("priority", "-1"),
        ("maxAttempts", "1e300"),
        ("maxAttempts", "-1"),
        ("weight", "-1"),
        ("weight", "4294967296"),
        ("weight", "1.5"),
        ("maxBodyBytes", "18446744073709551616"),
        ("cost", "1e400"),
        ("kvCapacityTokens", "-1"),
        ("kind", "\"odd\""),
    ];
    variants.extend(numbers.map(|(field, value)| config(field, value, Expected::Finding)));
    let proper = [
        ("maxAttempts", "0"),
        ("maxAttempts", "4294967295"),
        ("weight", "0"),
        ("weight", "4294967295"),
        ("maxBodyBytes", "18446744073709551615"),
        ("stride", "0"),
        ("slots", "0"),
        ("pathPrefix", "\"odd\""),
    ];
    variants.extend(proper.map(|(field, value)| config(field, value, Expected::Harmless)));
    let broken = [
        "".to_owned(),
        "null".to_owned(),
        CONFIG[..200].to_owned(),
        deep(300_000),
        CONFIG.replace("{\"version\"", "{\"version\":9,\"version\""),
        without_field(CONFIG, "version"),
        without_field(CONFIG, "idleTimeoutMs"),
        with_field(CONFIG, "host", &deep(200)),
    ];
    variants.extend(broken.map(|value| Variant::new("op/config", value, Expected::Finding)));
    variants
}

fn orders() -> Vec<Variant> {
    let key = "op/rollout/orders";
    let limits = ["1e300", "1e400", "1e19", "-1", "0", "\"NaN\"", "null"];
    let mut values: Vec<String> = limits
        .map(|value| with_field(ORDER, "durationS", value))
        .into();
    values.extend([
        without_field(ORDER, "target"),
        with_field(ORDER, "service", "7"),
        with_field(ORDER, "service", "\"\""),
        with_field(ORDER, "target", &deep(200)),
        deep(300_000),
        String::new(),
    ]);
    let orders = values.into_iter();
    orders
        .map(|value| Variant::new(key, value, Expected::Finding))
        .collect()
}

fn statuses() -> Vec<Variant> {
    let key = "status/rollout/orders";
    let values = [
        with_field(STATUS, "elapsedMs", "-1"),
        with_field(STATUS, "elapsedMs", "1e300"),
        with_field(STATUS, "elapsedMs", "18446744073709551615"),
        with_field(STATUS, "elapsedMs", "18446744073709551616"),
        with_field(STATUS, "state", "\"odd\""),
        without_field(STATUS, "target"),
        deep(300_000),
        String::new(),
    ];
    let statuses = values.map(|value| Variant::new(key, value, Expected::Finding));
    statuses.into()
}

fn all() -> Vec<Variant> {
    [configurations(), orders(), statuses()].concat()
}

#[test]
fn an_odd_configuration_at_the_first_read_yields_to_the_next() {
    play_all(&all(), Met::FirstRead);
}

#[test]
fn an_odd_configuration_in_a_change_leaves_the_last_good_one() {
    play_all(&all(), Met::Change);
}

#[test]
fn an_odd_configuration_from_a_peer_leaves_the_last_good_one() {
    play_all(&all(), Met::FromPeer);
}

#[test]
fn an_odd_value_in_the_settings_is_a_finding_with_its_line() {
    let path = std::env::temp_dir().join(format!("odd-settings-{}.toml", std::process::id()));
    let numbers = ["1e300", "1e19", "1e400", "-1", "NaN", "inf"];
    let numbers = numbers.map(|it| ("session_s", format!("[bounds]\nsession_s = \"{it}\"\n")));
    let flags = ["1", "\"true\"", "\"\"", "[true]", "0.5"];
    let flags = flags.map(|it| ("ramp_up", format!("[limits]\nramp_up = {it}\n")));
    for (key, lines) in numbers.into_iter().chain(flags) {
        let settings = format!(
            "name = \"h\"\nzone = \"a\"\n[listen]\ncallers = \"127.0.0.1:1\"\nreadiness = \"127.0.0.1:2\"\nadmin = \"127.0.0.1:3\"\npeers = \"127.0.0.1:4\"\n[store]\naddress = \"127.0.0.1:5\"\n{lines}"
        );
        fs::write(&path, settings).unwrap();
        let ended = Command::new(env!("CARGO_BIN_EXE_clementinearch"))
            .args(["route", "--settings"])
            .arg(&path)
            .output()
            .unwrap();
        let told = String::from_utf8_lossy(&ended.stderr).into_owned();
        assert!(told.contains(key), "{lines}: {told}");
        assert!(!told.contains("panicked"), "{lines}: {told}");
        assert!(!ended.status.success());
    }
    fs::remove_file(path).unwrap();
}
