//! Starts in odd circumstances: settings that a template fills in with fractions or nothing, that are
//! still being written or stand elsewhere, addresses that are taken, and signals at once.

mod route;

use std::{
    fs,
    io::Write,
    net::{TcpListener, UdpSocket},
    path::Path,
    process::{Command, Output},
};

use clementinearch_router::Settings;
use route::{Host, Platform, check_payments, ok, present_binary, wait_until};

const TEMPLATE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/settings.toml");

/// Figures that a deployment may have or not, and those of a usual one.
const FIGURES: [(&str, &str); 6] = [
    ("bounds.graceS", "8"),
    ("bounds.retryBudgetRatio", "0.9"),
    ("bounds.retryBudgetSlack", "54"),
    ("bounds.budgetWindowS", "10"),
    ("bounds.sessionS", "5"),
    ("bounds.exposureShare", "0.15"),
];

/// A platform with a server, and a host without a process.
fn prepare() -> (Platform, Host) {
    let mut platform = Platform::new();
    platform.add_backend("orders", "v1", |_, received| ok(received));
    let (host, _) = platform.host_of_test();
    (platform, host)
}

/// Fills in the template of the deploy file for a host. What is not among the figures has no value.
fn filled(host: &Host, figures: &[(&str, &str)]) -> String {
    let own = fs::read_to_string(host.settings()).unwrap();
    let (_, store) = own.split_once("[store]\naddress = \"").unwrap();
    let (store, _) = store.split_once('"').unwrap();
    let peers = host.peers();
    let values = [
        ("nodeName", "host-0".to_owned()),
        ("zone", "a".to_owned()),
        ("listen.front", host.callers().to_string()),
        ("listen.readiness", host.readiness().to_string()),
        ("listen.control", host.admin().to_string()),
        ("ip", peers.ip().to_string()),
        ("internalPorts.0", peers.port().to_string()),
        ("platform.address", store.to_owned()),
    ];
    let mut text = fs::read_to_string(TEMPLATE).unwrap();
    for (field, value) in values {
        text = text.replace(&format!("{{{{{field}}}}}"), &value);
    }
    for (field, value) in figures {
        text = text.replace(&format!("{{{{{field}}}}}"), value);
    }
    while let Some(begin) = text.find("{{") {
        let end = begin + text[begin..].find("}}").unwrap() + 2;
        text.replace_range(begin..end, "");
    }
    text
}

fn check_starts(host: &mut Host, settings: &str) {
    fs::write(host.settings(), settings).unwrap();
    host.restart();
    wait_until("the host is ready", || host.is_ready() || host.has_exited());
    assert!(!host.has_exited(), "it does not start with:\n{settings}");
    check_payments(host, 3, 200);
    host.signal("TERM");
    assert!(host.wait(), "it does not stop cleanly with:\n{settings}");
}

/// Guards against a host that ends at its start by a figure of the deployment: a fraction, one out of
/// its usual range, or none.
#[test]
fn hosts_start_with_whatever_figures_a_deployment_has() {
    let (_platform, mut host) = prepare();
    let usual = |field: &str| FIGURES.iter().find(|(name, _)| *name == field).unwrap().1;
    let mut short_grace = FIGURES.to_vec();
    short_grace[0].1 = "1";
    let with = |field: &str, value: &'static str| {
        let mut figures = short_grace.clone();
        let at = figures.iter().position(|(name, _)| *name == field);
        figures[at.unwrap()].1 = value;
        figures
    };
    assert_eq!(usual("bounds.graceS"), "8");
    let odd = [
        with("bounds.graceS", "0.75"),
        with("bounds.graceS", "0"),
        with("bounds.retryBudgetSlack", "53.5"),
        with("bounds.budgetWindowS", "9.3"),
        with("bounds.budgetWindowS", "0"),
        with("bounds.budgetWindowS", "86400"),
        with("bounds.retryBudgetSlack", "2e9"),
        with("bounds.exposureShare", "0"),
        with("bounds.exposureShare", "1.5"),
        with("bounds.sessionS", "0"),
    ];
    let mut settings: Vec<String> = odd.iter().map(|figures| filled(&host, figures)).collect();
    for (absent, _) in &FIGURES[1..] {
        let mut figures = short_grace.clone();
        figures.retain(|(field, _)| field != absent);
        settings.push(filled(&host, &figures));
    }
    settings.push(filled(&host, &short_grace[..1]));
    for text in settings {
        check_starts(&mut host, &text);
    }
}

#[test]
fn a_host_starts_without_any_figure() {
    let (_platform, mut host) = prepare();
    let settings = filled(&host, &[]);
    fs::write(host.settings(), settings).unwrap();
    host.restart();
    wait_until("the host is ready", || host.is_ready());
}

#[test]
fn figures_that_are_none_are_reported() {
    for odd in ["-1", "soon", "nan", "inf", "1e300", "true", "[8]"] {
        let (_platform, host) = prepare();
        let settings = filled(&host, &[("bounds.graceS", odd)]);
        fs::write(host.settings(), settings).unwrap();
        let output = Command::new(present_binary())
            .args(["route", "--check", "--settings"])
            .arg(host.settings())
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(2), "{odd}");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!text.is_empty(), "{odd}");
    }
}

/// Guards against a host that ends at its start because a process that was just stopped, or an outgoing
/// connection, still has its port.
#[test]
fn hosts_wait_for_addresses_that_are_taken() {
    let (_platform, mut host) = prepare();
    for address in [host.callers(), host.readiness(), host.admin(), host.peers()] {
        let taken = TcpListener::bind(address).unwrap();
        wait_for_address(&mut host);
        drop(taken);
        wait_until("the host is ready", || host.is_ready());
        host.kill();
    }
    let taken = UdpSocket::bind(host.peers()).unwrap();
    wait_for_address(&mut host);
    drop(taken);
    wait_until("the host is ready", || host.is_ready());
}

/// Starts a host and waits until it has found an address taken.
fn wait_for_address(host: &mut Host) {
    let before = host.logged("address_in_use").len();
    host.restart();
    wait_until("it finds the address taken", || {
        host.has_exited() || host.logged("address_in_use").len() > before
    });
    assert!(!host.has_exited());
}

#[test]
fn a_host_that_waits_for_an_address_stops_on_request() {
    let (_platform, mut host) = prepare();
    let _taken = TcpListener::bind(host.callers()).unwrap();
    wait_for_address(&mut host);
    host.signal("TERM");
    assert!(host.wait());
}

/// Puts a named pipe in the place of the settings, so that a start waits for its writer.
fn replace_by_pipe(path: &Path) {
    fs::remove_file(path).unwrap();
    let made = Command::new("mkfifo").arg(path).status().unwrap();
    assert!(made.success());
}

/// Opens a pipe once the start reads it, and removes it, as other tests write settings at its path.
fn open_pipe(path: &Path) -> fs::File {
    let pipe = fs::OpenOptions::new().write(true).open(path).unwrap();
    fs::remove_file(path).unwrap();
    pipe
}

/// Guards against a process that a SIGHUP ends because nothing listens to it yet.
#[test]
fn a_hangup_during_the_start_does_not_end_the_process() {
    let (_platform, mut host) = prepare();
    let settings = filled(&host, &FIGURES);
    replace_by_pipe(host.settings());
    host.restart();
    let mut pipe = open_pipe(host.settings());
    // The process reads its settings now.
    host.signal("HUP");
    host.signal("HUP");
    pipe.write_all(settings.as_bytes()).unwrap();
    drop(pipe);
    wait_until("the host is ready", || host.is_ready() || host.has_exited());
    assert!(!host.has_exited());
}

/// Guards against a host that ends because it read its settings while they were written.
#[test]
fn settings_that_are_still_being_written_are_read_again() {
    let (_platform, mut host) = prepare();
    let settings = filled(&host, &FIGURES);
    replace_by_pipe(host.settings());
    host.restart();
    let mut pipe = open_pipe(host.settings());
    let half = &settings.as_bytes()[..settings.len() / 2];
    pipe.write_all(half).unwrap();
    // The process finds the whole as soon as it has read the half to its end.
    let whole = host.settings().with_extension("whole");
    fs::write(&whole, &settings).unwrap();
    fs::rename(&whole, host.settings()).unwrap();
    drop(pipe);
    wait_until("the host is ready", || host.is_ready() || host.has_exited());
    assert!(!host.has_exited());
}

/// Checks settings by the path in the variable, with these further arguments.
fn check_named(variable: &Path, args: &[&str]) -> Option<i32> {
    let checked = Command::new(present_binary())
        .args(["route", "--check"])
        .args(args)
        .env("CLEMENTINEARCH_SETTINGS", variable)
        .output();
    checked.unwrap().status.code()
}

#[test]
fn settings_are_found_by_the_variable_where_no_option_leads_to_them() {
    let (_platform, host) = prepare();
    let nowhere = host.settings().with_extension("missing");
    let nowhere = nowhere.to_str().unwrap();
    assert_eq!(check_named(host.settings(), &[]), Some(0));
    let missing = ["--settings", nowhere];
    assert_eq!(check_named(host.settings(), &missing), Some(0));
    let present = ["--settings", host.settings().to_str().unwrap()];
    assert_eq!(check_named(Path::new(nowhere), &present), Some(0));
    assert_eq!(check_named(Path::new(""), &[]), Some(1));
    assert_eq!(check_named(Path::new(nowhere), &missing), Some(1));
}

/// Checks settings with the variable for the regions of zones.
fn check_regions(settings: &Path, variable: &str) -> Output {
    let checked = Command::new(present_binary())
        .args(["route", "--check", "--settings"])
        .arg(settings)
        .env("CLEMENTINEARCH_REGIONS", variable)
        .output();
    checked.unwrap()
}

/// Guards against a host that starts without the regions that it was told, and would refuse requests
/// that allow only these, and against an error that leaves its cause open.
#[test]
fn odd_regions_in_the_environment_are_an_error_that_names_the_variable() {
    let (_platform, host) = prepare();
    for sound in [
        "",
        " ",
        "null",
        "{}",
        r#"{"a":"eu","b":"us"}"#,
        " {\"a\": \"\"}\n",
    ] {
        let output = check_regions(host.settings(), sound);
        assert_eq!(output.status.code(), Some(0), "{sound}");
    }
    let odd = [
        "eu",
        "{",
        "[]",
        "a=eu",
        r#"{"a":1}"#,
        r#"{"a":null}"#,
        r#"{"a":["eu"]}"#,
        r#"{"a":"eu"} b"#,
    ];
    for odd in odd {
        let output = check_regions(host.settings(), odd);
        assert_eq!(output.status.code(), Some(2), "{odd}");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(text.contains("CLEMENTINEARCH_REGIONS"), "{odd}: {text}");
    }
}

#[test]
fn regions_come_from_the_file_or_else_from_the_environment() {
    let (_platform, host) = prepare();
    let text = fs::read_to_string(host.settings()).unwrap();
    let regions = |file: &str, variable: &str| {
        let text = format!("{text}[regions]\n{file}");
        let settings = Settings::parse("test", &text).unwrap();
        let settings = settings.with_regions(variable).unwrap();
        let mut regions: Vec<String> = settings
            .regions
            .iter()
            .map(|(zone, region)| format!("{zone}={region}"))
            .collect();
        regions.sort_unstable();
        regions.join(" ")
    };
    let variable = r#"{"a":"eu","b":"us"}"#;
    assert_eq!(regions("", ""), "");
    assert_eq!(regions("", variable), "a=eu b=us");
    assert_eq!(regions("a = \"asia\"\n", ""), "a=asia");
    assert_eq!(regions("a = \"asia\"\n", variable), "a=asia b=us");
    assert_eq!(regions("c = \"asia\"\n", variable), "a=eu b=us c=asia");
}
