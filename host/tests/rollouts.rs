//! A version whose ratings are bad during its rollout is halted: no host starts new sessions on it.

mod fleet;

use clementinearch_border::Rating;
use fleet::{Fleet, chat, chat_body, model, plan, send, wait_until};

/// Sends a request of a session and returns the version that it ran on.
fn version_of(fleet: &Fleet, host: usize, session: &str) -> String {
    let body = chat_body("side A", 1, false);
    let answer = chat(
        &fleet.hosts[host],
        "one",
        &[("x-session-id", session)],
        &body,
    );
    assert_eq!(answer.status, 200, "{answer:?}");
    answer.header("x-model-version").to_owned()
}

#[test]
fn bad_ratings_spread_over_hosts_halt_a_version_on_all_hosts() {
    let mut fleet = Fleet::new();
    fleet.start_engine("a", &["v1", "v2"]);
    let rollout = model(&[("v1", "established"), ("v2", "rollout 50")]);
    fleet.edit(&[
        ("model/review", &rollout),
        ("plan/one", &plan("one", &["v1", "v2"])),
    ]);
    fleet.start_hosts(&["a", "a", "b"]);
    for host in 0..3 {
        fleet.wait_serving(host, "one");
    }
    let sessions = (0..100).map(|number| format!("begun {number}"));
    let on_rollout: Vec<String> = sessions
        .filter(|session| version_of(&fleet, 0, session) == "review@v2")
        .collect();
    assert!(
        (25..75).contains(&on_rollout.len()),
        "{} of 100 sessions on the version in rollout",
        on_rollout.len()
    );

    // No host alone gets enough bad ratings to halt the version; the sum of their counts suffices.
    for host in &fleet.hosts {
        for _ in 0..2 {
            let rating = serde_json::to_string(&Rating {
                model: "review@v2".to_owned(),
                bad: true,
                cascade: None,
            })
            .unwrap();
            assert_eq!(
                send("POST", host.admin(), "/ratings", &[], &rating)
                    .unwrap()
                    .status,
                202
            );
        }
    }
    for host in 0..3 {
        wait_until("the host halts the version", || {
            fleet.hosts[host].counter("clementinearch_halts_total{version=\"review@v2\"}") == 1
        });
        for number in 0..50 {
            assert_eq!(
                version_of(&fleet, host, &format!("new {host} {number}")),
                "review@v1"
            );
        }
    }
    // Sessions that started on the version keep it.
    for session in &on_rollout {
        assert_eq!(version_of(&fleet, 1, session), "review@v2");
    }
    // A halt lasts while the version is in rollout or established, then the configuration decides
    // again. Hosts still apply an edit of the model.
    let withdrawn = model(&[("v1", "established"), ("v2", "withdrawn")]);
    let revision = fleet.edit(&[("model/review", &withdrawn)]);
    fleet.wait_in_force(revision);
    // A rating has to name a version.
    let malformed = send(
        "POST",
        fleet.hosts[0].admin(),
        "/ratings",
        &[],
        "{\"model\":\"review\",\"bad\":true}",
    );
    assert_eq!(malformed.unwrap().status, 400);
}
