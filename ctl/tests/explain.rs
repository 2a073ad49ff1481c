//! `clemctl explain` on the collected logs of several hosts.

use std::{
    fs,
    path::PathBuf,
    process::{Command, Output},
};

const LOGS: &str = r#"
  1.0 host-a {"ms":1001000,"event":"server_ready","server":"i-1","why":"v1"}
  4.1 host-a {"ms":1004100,"event":"zone_out_of_reach","server":"west","inputs":[["servers",3.0]]}
  4.2 host-a {"ms":1004200,"event":"attempt_lost","id":"r-7","route":"pay","server":"i-1","why":"connection broke before an answer"}
  4.2 host-a {"ms":1004201,"event":"ended","id":"r-7","route":"pay","why":"may have run: connection broke before an answer","inputs":[["sends",1.0]]}
  4.3 host-b {"ms":1000300,"event":"ended","id":"r-8","route":"look","why":"complete"}
  4.4 host-b {"ms":1000400,"event":"request_refused","server":"r-9","why":"not run: planned stop"}
  4.0 host-c {"ms":1000000,"event":"started","server":"host-c","why":"west"}
  not a line of ours
"#;

fn explain(name: &str, args: &[&str]) -> Output {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, LOGS).unwrap();
    Command::new(env!("CARGO_BIN_EXE_clemctl"))
        .arg("explain")
        .args(args)
        .arg(path)
        .output()
        .unwrap()
}

#[test]
fn a_requests_lines_are_shown_with_the_state_changes_of_its_host() {
    let output = explain("story.log", &["--id", "r-7"]);
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout).unwrap();
    let events: Vec<&str> = text
        .lines()
        .filter(|line| !line.starts_with("cause:"))
        .filter_map(|line| line.split_whitespace().nth(2))
        .collect();
    assert_eq!(
        events,
        ["zone_out_of_reach", "attempt_lost", "ended"],
        "{text}"
    );
    assert!(text.starts_with("host-a\n"), "{text}");
    assert!(text.contains("sends=1.0"), "{text}");
}

#[test]
fn a_request_that_was_refused_before_the_pipeline_is_found() {
    let output = explain("refused.log", &["--id", "r-9"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("not run: planned stop"), "{text}");
}

#[test]
fn failures_are_counted_by_outcome_and_an_unknown_request_exits_with_one() {
    let output = explain("count.log", &[]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(text.lines().count(), 2, "{text}");
    assert!(!text.contains("complete"), "{text}");
    let output = explain("absent.log", &["--id", "r-none"]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("4.0  host-c"), "{text}");
}

#[test]
fn the_cause_follows_from_the_logged_events() {
    let output = explain("cause.log", &["--id", "r-7"]);
    let text = String::from_utf8(output.stdout).unwrap();
    let cause = "cause: may have run: connection broke before an answer; before it i-1: connection broke before an answer";
    assert!(text.contains(cause), "{text}");
    let output = explain("cause-refused.log", &["--id", "r-9"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(
        text.contains("cause: the host was in a planned stop"),
        "{text}"
    );
}

#[test]
fn failures_of_one_outcome_are_listed_since_a_time() {
    let output = explain("why.log", &["--why", "not run", "--since", "4.25"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.contains("host-b") && text.contains("r-9"), "{text}");
    let output = explain("late.log", &["--why", "not run", "--since", "5"]);
    assert_eq!(output.status.code(), Some(1));
}
