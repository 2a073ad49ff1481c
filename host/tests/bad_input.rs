//! Bad requests are refused with a specific error code and are not run, bad settings are reported,
//! and other callers are still served.

mod fleet;

use std::{
    io::{Read, Write},
    net::TcpStream,
};

use clementinearch_border::RunState;
use fleet::{Fleet, chat, chat_body, model, plan, send, wait_until};

fn start_fleet() -> Fleet {
    let settings = "max_body_bytes = 10000\ncaller_timeout_ms = 300\n";
    let mut fleet = Fleet::new().with_settings(settings);
    fleet.start_engine("a", &["v1"]);
    fleet.edit(&[
        (
            "model/review",
            &model(&[("v1", "established"), ("v2", "established")]),
        ),
        ("model/other", &model(&[("v1", "established")])),
        ("plan/one", &plan("one", &["v1"])),
    ]);
    fleet.start_hosts(&["a"]);
    fleet.wait_serving(0, "one");
    fleet
}

#[test]
fn each_bad_request_gets_a_specific_error_code_and_is_not_run() {
    let fleet = start_fleet();
    let host = &fleet.hosts[0];
    let log_lines_before = fleet.backend_log(0).len();
    let good = chat_body("x", 1, false);
    let large = chat_body(&"x".repeat(10_001), 1, false);
    type Case<'a> = (&'a str, &'a [(&'a str, &'a str)], String, u16, &'a str);
    let cases: Vec<Case<'_>> = vec![
        ("one", &[], "{\"model\":".to_owned(), 400, "malformed_body"),
        (
            "one",
            &[],
            good.replace("messages", "massages"),
            400,
            "malformed_body",
        ),
        (
            "one",
            &[],
            good.replace("review", "re view"),
            400,
            "bad_model_name",
        ),
        (
            "one",
            &[],
            good.replace("review", "unknown"),
            403,
            "not_in_plan",
        ),
        (
            "one",
            &[],
            good.replace("review", "other"),
            403,
            "not_in_plan",
        ),
        (
            "one",
            &[],
            good.replace("review", "review@v2"),
            403,
            "not_in_plan",
        ),
        ("nobody", &[], good.clone(), 401, "unauthorized"),
        ("one", &[], large, 413, "body_too_large"),
        (
            "one",
            &[("x-deadline-ms", "1")],
            good.clone(),
            400,
            "deadline_past",
        ),
        (
            "one",
            &[("x-deadline-ms", "soon")],
            good.clone(),
            400,
            "bad_deadline",
        ),
        (
            "one",
            &[("x-request-id", "7")],
            good.clone(),
            400,
            "bad_request_id",
        ),
    ];
    for (key, headers, body, status, code) in cases {
        let refused = chat(host, key, headers, &body);
        assert_eq!(
            (refused.status, refused.error().code.as_str()),
            (status, code),
            "{body:.60}"
        );
        assert_eq!(refused.error().run, RunState::NotRun);
    }
    let without_key = send("POST", host.callers(), "/v1/chat/completions", &[], &good).unwrap();
    assert_eq!(
        (without_key.status, without_key.error().code.as_str()),
        (401, "unauthorized")
    );
    let headers = [("authorization", "Bearer one")];
    let unknown_path = send("GET", host.callers(), "/v2", &headers, "").unwrap();
    assert_eq!(
        (unknown_path.status, unknown_path.error().code.as_str()),
        (404, "no_such_path")
    );
    assert_eq!(
        fleet.backend_log(0).len(),
        log_lines_before,
        "a refused request reached an engine"
    );
    assert_eq!(chat(host, "one", &[], &good).status, 200);
}

#[test]
fn idle_incomplete_and_oversized_requests_are_disconnected_and_others_served() {
    let fleet = start_fleet();
    let host = &fleet.hosts[0];
    let connect_and_send = |bytes: &[u8]| {
        let mut stream = TcpStream::connect(host.callers()).unwrap();
        stream.write_all(bytes).unwrap();
        stream
    };
    let mut idle = connect_and_send(b"");
    let mut partial_head = connect_and_send(b"POST /v1/chat/completions HTTP/1.1\r\n");
    let partial_body_bytes =
        b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer one\r\ncontent-length: 50\r\n\r\n{";
    let mut partial_body = connect_and_send(partial_body_bytes);
    let oversized = format!(
        "GET /v1/models HTTP/1.1\r\nhost: x\r\nx-huge: {}\r\n\r\n",
        "y".repeat(200_000)
    );
    let mut oversized_head = TcpStream::connect(host.callers()).unwrap();
    let _ = oversized_head.write_all(oversized.as_bytes());
    assert_eq!(
        chat(host, "one", &[], &chat_body("x", 1, false)).status,
        200
    );
    // The host closes each of these connections on its own.
    let read_to_end = |stream: &mut TcpStream| {
        let mut text = Vec::new();
        let _ = stream.read_to_end(&mut text);
        String::from_utf8_lossy(&text).into_owned()
    };
    read_to_end(&mut idle);
    read_to_end(&mut partial_head);
    read_to_end(&mut oversized_head);
    assert!(read_to_end(&mut partial_body).contains("slow_body"));
    wait_until("other callers are served", || {
        chat(host, "one", &[], &chat_body("x", 1, false)).status == 200
    });
}

/// Findings are written to logs, where a secret key must not appear.
#[test]
fn a_key_in_place_of_its_digest_is_not_printed_in_findings() {
    let fleet = start_fleet();
    // Settings that cannot be read are an error.
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_clementinearch"))
        .args(["check", "--settings", "/nonexistent/settings.toml"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    // An operator pastes a secret key where its digest belongs.
    let pasted = plan("one", &["v1"]).replace("key_sha256 = \"", "key_sha256 = \"sk-secret-");
    let findings = clementinearch_policy::plan::Plan::parse("plan/one", &pasted)
        .unwrap_err()
        .to_string();
    assert!(
        findings.contains("key_sha256") && !findings.contains("sk-secret"),
        "{findings}"
    );
    drop(fleet);
}

#[test]
fn settings_report_all_findings_at_once() {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("bad-settings.toml");
    let text = "name = \"a\"\nzone = 3\nsession_secret = \"short\"\nspeed = 1\n[listen]\ncallers = \"here\"\n\
                peers = \"127.0.0.1:1\"\n[limits]\nmax_body_bytes = 0\n";
    std::fs::write(&path, text).unwrap();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_clementinearch"))
        .args(["check", "--settings", &path.display().to_string()])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let found = String::from_utf8_lossy(&output.stderr);
    for expected in [
        ":2: zone: expected a string, found integer",
        ":3: session_secret: needs at least 16 bytes",
        ":4: speed: unknown field",
        ":6: listen.callers: `here` is not an IP address and port",
        ":5: listen.admin: is missing",
        ": store.address: is missing",
        ":9: limits.max_body_bytes: expected a whole number from 1",
    ] {
        assert!(found.contains(expected), "{expected} is not in:\n{found}");
    }
}
