//! A cascade learns from ratings which kinds of requests the cheap model suffices for.

mod fleet;

use clementinearch_border::Rating;
use fleet::{Answer, Fleet, chat, chat_body, model, plan, send, wait_until};

const RATINGS: usize = 120;

fn fleet_of_two_models() -> Fleet {
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

fn ask(fleet: &Fleet, host: usize, headers: &[(&str, &str)]) -> Answer {
    let body = chat_body("x", 1, false).replace("\"review\"", "\"auto\"");
    let answer = chat(&fleet.hosts[host], "one", headers, &body);
    assert_eq!(answer.status, 200, "{answer:?}");
    answer
}

/// How many of a hundred requests of a kind the cheap model answers at a host.
fn cheap_share(fleet: &Fleet, host: usize, kind: &str) -> usize {
    let answers = (0..100).map(|_| ask(fleet, host, &[("x-request-kind", kind)]));
    answers
        .filter(|answer| answer.header("x-model-version") == "notes@v1")
        .count()
}

fn rate(fleet: &Fleet, label: &str, model: &str, bad: bool) {
    let rating = Rating {
        model: model.to_owned(),
        bad,
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
fn kinds_move_to_the_cheap_model_where_ratings_allow_it_on_all_hosts() {
    let fleet = fleet_of_two_models();
    let first = ask(&fleet, 0, &[("x-request-kind", "notes")]);
    assert!(
        first.header("x-cascade").starts_with("one/auto/notes/"),
        "{first:?}"
    );
    // The cheap model does well at notes and badly at sessions; the strong one does well at both.
    for number in 0..RATINGS {
        rate(
            &fleet,
            "one/auto/notes/cheap",
            "notes@v1",
            number % 100 == 99,
        );
        rate(
            &fleet,
            "one/auto/sessions/cheap",
            "notes@v1",
            number % 2 == 0,
        );
        rate(&fleet, "one/auto/notes/strong", "review@v1", false);
        rate(&fleet, "one/auto/sessions/strong", "review@v1", false);
    }
    for host in 0..2 {
        wait_until("notes go to the cheap model", || {
            cheap_share(&fleet, host, "notes") >= 90
        });
        wait_until("sessions stay with the strong one", || {
            cheap_share(&fleet, host, "sessions") <= 15
        });
    }
}

#[test]
fn a_session_keeps_its_model_with_and_without_token() {
    let fleet = fleet_of_two_models();
    for number in 0..20 {
        let session = format!("session {number}");
        let first = ask(&fleet, 0, &[("x-session-id", &session)]);
        let model = first.header("x-model-version").to_owned();
        let token = first.header("x-session-token").to_owned();
        for host in [0, 1, 0, 1] {
            let without = ask(&fleet, host, &[("x-session-id", &session)]);
            let with = ask(
                &fleet,
                host,
                &[("x-session-id", &session), ("x-session-token", &token)],
            );
            assert_eq!(
                (
                    without.header("x-model-version"),
                    with.header("x-model-version")
                ),
                (&*model, &*model)
            );
        }
    }
}
