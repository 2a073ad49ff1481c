//! A cascade learns from ratings for which kinds of requests the cheap model is good enough.

mod fleet;

use clementinearch_border::Rating;
use fleet::{Answer, Fleet, chat, chat_body, model, plan, send, wait_until};

const RATINGS_PER_LABEL: usize = 120;

/// Starts two hosts and an engine with the two models of the cascade `auto`.
fn start_fleet() -> Fleet {
    let mut fleet = Fleet::new();
    let args = [
        "--version",
        "review@v1",
        "--version",
        "notes@v1",
        "--token-ms",
        "1",
        "--slots",
        "64",
    ];
    fleet.start_backend("engine", "reviewers", "a", &args);
    let plan = format!(
        "{}[[allow]]\nmodel = \"notes\"\nversions = [\"v1\"]\n\
         [[cascade]]\nname = \"auto\"\ncheap = \"notes\"\nstrong = \"review\"\nallowed_bad_per_thousand = 50\n",
        plan("one", &["v1"])
    );
    let versions = model(&[("v1", "established")]);
    fleet.edit(&[
        ("model/review", &versions),
        ("model/notes", &versions),
        ("plan/one", &plan),
    ]);
    fleet.start_hosts(&["a", "a"]);
    for host in 0..2 {
        fleet.wait_serving(host, "one");
    }
    fleet
}

fn send_cascade_chat(fleet: &Fleet, host: usize, headers: &[(&str, &str)]) -> Answer {
    let body = chat_body("x", 1, false).replace("\"review\"", "\"auto\"");
    let answer = chat(&fleet.hosts[host], "one", headers, &body);
    assert_eq!(answer.status, 200, "{answer:?}");
    answer
}

/// Returns the percentage of requests of a kind that a host routes to the cheap model.
fn cheap_percent(fleet: &Fleet, host: usize, kind: &str) -> usize {
    let answers = (0..100).map(|_| send_cascade_chat(fleet, host, &[("x-request-kind", kind)]));
    answers
        .filter(|answer| answer.header("x-model-version") == "notes@v1")
        .count()
}

fn send_rating(fleet: &Fleet, label: &str, model: &str, is_bad: bool) {
    let rating = Rating {
        model: model.to_owned(),
        bad: is_bad,
        cascade: Some(label.to_owned()),
    };
    let body = serde_json::to_string(&rating).unwrap();
    assert_eq!(
        send("POST", fleet.hosts[0].admin(), "/ratings", &[], &body)
            .unwrap()
            .status,
        202
    );
}

#[test]
fn all_hosts_route_only_kinds_with_good_ratings_to_the_cheap_model() {
    let fleet = start_fleet();
    let first = send_cascade_chat(&fleet, 0, &[("x-request-kind", "notes")]);
    assert!(
        first.header("x-cascade").starts_with("one/auto/notes/"),
        "{first:?}"
    );
    // The cheap model has about 1% bad answers for `notes` and 50% for `sessions`, the strong one none.
    for number in 0..RATINGS_PER_LABEL {
        send_rating(
            &fleet,
            "one/auto/notes/cheap",
            "notes@v1",
            number % 100 == 99,
        );
        send_rating(
            &fleet,
            "one/auto/sessions/cheap",
            "notes@v1",
            number % 2 == 0,
        );
        send_rating(&fleet, "one/auto/notes/strong", "review@v1", false);
        send_rating(&fleet, "one/auto/sessions/strong", "review@v1", false);
    }
    for host in 0..2 {
        wait_until("`notes` are routed to the cheap model", || {
            cheap_percent(&fleet, host, "notes") >= 90
        });
        wait_until("`sessions` are routed to the strong model", || {
            cheap_percent(&fleet, host, "sessions") <= 15
        });
    }
}

#[test]
fn a_session_keeps_its_model_with_and_without_token() {
    let fleet = start_fleet();
    for number in 0..20 {
        let session = format!("session {number}");
        let first = send_cascade_chat(&fleet, 0, &[("x-session-id", &session)]);
        let model = first.header("x-model-version").to_owned();
        let token = first.header("x-session-token").to_owned();
        for host in [0, 1, 0, 1] {
            let without_token = send_cascade_chat(&fleet, host, &[("x-session-id", &session)]);
            let with_token = send_cascade_chat(
                &fleet,
                host,
                &[("x-session-id", &session), ("x-session-token", &token)],
            );
            assert_eq!(
                (
                    without_token.header("x-model-version"),
                    with_token.header("x-model-version")
                ),
                (&*model, &*model)
            );
        }
    }
}
