//! Requests from a caller to a backend server and back, under a configuration from `clemctl`, and
//! the metrics of chat requests.

mod fleet;

use std::{fs, path::PathBuf};

use clementinearch_standins::engine::whole_answer;
use fleet::{Fleet, chat, chat_body, model, plan, send, wait_until};

/// Writes configuration items to files for `clemctl apply`. Returns their directory.
fn write_items(name: &str, items: &[(&str, String)]) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    for (item, text) in items {
        let path = dir.join(format!("{item}.toml"));
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, text).unwrap();
    }
    dir
}

/// Every component, including the store, is a separate process.
#[test]
fn the_applied_configuration_decides_where_requests_run() {
    let mut fleet = Fleet::without_store();
    let _store = fleet.start_store_process();
    fleet.start_engine("north", &["v1"]);
    fleet.start_engine("south", &["v2"]);
    fleet.start_service("north", &[]);
    fleet.start_host("north-0", "north");
    fleet.start_host("south-1", "south");
    let list = serde_json::to_string(&fleet.host_list()).unwrap();
    send("PUT", fleet.store_address(), "/hosts", &[], &list).unwrap();

    let both_established = [("v1", "established"), ("v2", "established")];
    let items_dir = write_items(
        "whole-path-lists",
        &[
            ("model/review", model(&both_established)),
            ("service/queue", "pool = \"queue\"\n".to_owned()),
            ("plan/one", plan("key-one", &["v1"])),
            ("plan/two", plan("key-two", &["v2"])),
        ],
    );
    let items_dir = items_dir.display().to_string();
    let store = fleet.store_address().to_string();
    let applied = fleet.clemctl(&["apply", &items_dir, "--store", &store]);
    assert!(applied.status.success(), "{applied:?}");

    for host in &fleet.hosts {
        wait_until("the host is ready", || host.is_ready());
        for (key, version) in [("key-one", "v1"), ("key-two", "v2")] {
            let body = chat_body("side A", 5, true);
            wait_until("a chat request succeeds", || {
                chat(host, key, &[], &body).status == 200
            });
            let answer = chat(host, key, &[], &body);
            assert!(answer.is_whole(), "{answer:?}");
            assert_eq!(
                answer.header("x-model-version"),
                format!("review@{version}")
            );
            assert_eq!(
                answer.content(),
                whole_answer(&format!("review@{version}"), "side A", 5)
            );
        }
        let headers = [("authorization", "Bearer key-one")];
        let status = send(
            "GET",
            host.callers(),
            "/services/queue/jobs/7",
            &headers,
            "",
        )
        .unwrap();
        assert_eq!(status.status, 200, "{status:?}");
    }

    let withdrawn = [("v1", "withdrawn"), ("v2", "established")];
    write_items("whole-path-lists", &[("model/review", model(&withdrawn))]);
    let applied = fleet.clemctl(&["apply", &items_dir, "--store", &store, "--json"]);
    assert!(
        String::from_utf8_lossy(&applied.stdout).contains("\"revision\":2"),
        "{applied:?}"
    );
    let admin = fleet.hosts[0].admin().to_string();
    wait_until("the withdrawal is in force", || {
        fleet
            .clemctl(&["status", "--host", &admin])
            .status
            .success()
    });
    let log_lines_before = fleet.backend_log(0).len();
    for host in &fleet.hosts {
        let refused = chat(host, "key-one", &[], &chat_body("side A", 5, true));
        assert_eq!(
            (refused.status, refused.error().code.as_str()),
            (409, "no_version")
        );
        assert_eq!(refused.error().run, clementinearch_border::RunState::NotRun);
    }
    assert_eq!(
        fleet.backend_log(0).len(),
        log_lines_before,
        "a withdrawn version got new requests"
    );
}

#[test]
fn metrics_count_refusals_by_reason_and_latencies_by_model() {
    let fleet = Fleet::serving("", 1, &["a"]);
    let host = &fleet.hosts[0];
    let body = fleet::chat_body("x", 3, true);
    assert!(fleet::chat(host, "one", &[], &body).is_whole());
    assert_eq!(fleet::chat(host, "nobody", &[], &body).status, 401);
    let (_, metrics) = fleet::try_get(host.admin(), "/metrics").unwrap();
    for name in [
        "clementinearch_request_seconds_bucket{route=\"review\",phase=\"first_event\",le=\"1\"}",
        "clementinearch_request_seconds_count{route=\"review\",phase=\"whole\"}",
        "clementinearch_refusals_total{reason=\"unauthorized\"} 1",
        "clementinearch_answers_total{status=\"401\"} 1",
        "clementinearch_attempts_total{end=\"answered\"}",
    ] {
        assert!(metrics.contains(name), "{name} is not in\n{metrics}");
    }
}
