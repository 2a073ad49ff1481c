//! A session keeps its model version from its first request to its last.

mod fleet;

use clementinearch_border::RunState;
use clementinearch_policy::session::{SessionPin, SessionSigner};
use fleet::{Answer, Fleet, chat, chat_body, model, plan, send, wait_until};

const INITIAL: [(&str, &str); 2] = [("v1", "established"), ("v2", "draining")];
const PROMOTED: [(&str, &str); 2] = [("v1", "draining"), ("v2", "established")];

fn start_fleet(zones: &[&str]) -> Fleet {
    let mut fleet = Fleet::new();
    fleet.start_engine("a", &["v1", "v2"]);
    fleet.start_engine("a", &["v1", "v2"]);
    fleet.edit(&[
        ("model/review", &model(&INITIAL)),
        ("plan/one", &plan("one", &["v1", "v2"])),
    ]);
    fleet.start_hosts(zones);
    for number in 0..zones.len() {
        fleet.wait_serving(number, "one");
    }
    fleet
}

fn send_chat(fleet: &Fleet, host: usize, session: &str, token: Option<&str>) -> Answer {
    let mut headers = vec![("x-session-id", session)];
    headers.extend(token.map(|token| ("x-session-token", token)));
    chat(
        &fleet.hosts[host],
        "one",
        &headers,
        &chat_body("side A", 2, false),
    )
}

fn version(answer: &Answer) -> &str {
    assert_eq!(answer.status, 200, "{answer:?}");
    answer.header("x-model-version")
}

#[test]
fn a_promotion_moves_new_sessions_only() {
    let mut fleet = start_fleet(&["a", "a", "a"]);
    let first = send_chat(&fleet, 0, "with token", None);
    let token = first.header("x-session-token").to_owned();
    assert_eq!(version(&first), "review@v1");
    assert_eq!(
        version(&send_chat(&fleet, 0, "without token", None)),
        "review@v1"
    );
    let revision = fleet.edit(&[("model/review", &model(&PROMOTED))]);
    fleet.wait_in_force(revision);
    for number in 0..3 {
        assert_eq!(
            version(&send_chat(&fleet, number, "with token", Some(&token))),
            "review@v1"
        );
        assert_eq!(
            version(&send_chat(&fleet, number, "without token", None)),
            "review@v1"
        );
        assert_eq!(
            version(&send_chat(&fleet, number, &format!("new {number}"), None)),
            "review@v2"
        );
    }
}

/// Sessions of callers without token are only in the memory of hosts, which have to transfer them
/// when they shut down.
#[test]
fn sessions_survive_rolling_restarts_and_tokens_survive_a_crash_of_all_hosts() {
    let mut fleet = start_fleet(&["a", "a", "a"]);
    let token = send_chat(&fleet, 0, "with token", None)
        .header("x-session-token")
        .to_owned();
    send_chat(&fleet, 0, "without token", None);
    let revision = fleet.edit(&[("model/review", &model(&PROMOTED))]);
    fleet.wait_in_force(revision);
    for number in 0..3 {
        let name = fleet.hosts[number].name.clone();
        fleet.hosts[number].process.signal("TERM");
        assert!(fleet.hosts[number].process.wait());
        fleet.start_host(&name, "a");
        fleet.wait_serving(number, "one");
    }
    assert_eq!(
        version(&send_chat(&fleet, 1, "without token", None)),
        "review@v1"
    );
    // All hosts crash at once and lose their sessions, so that only the token carries the version.
    for host in &mut fleet.hosts {
        host.process.kill();
    }
    for number in 0..3 {
        let name = fleet.hosts[number].name.clone();
        fleet.start_host(&name, "a");
    }
    for number in 0..3 {
        fleet.wait_serving(number, "one");
        assert_eq!(
            version(&send_chat(&fleet, number, "with token", Some(&token))),
            "review@v1"
        );
    }
}

/// Each host alone would choose the version that is established in its own revision.
#[test]
fn concurrent_first_requests_at_hosts_on_different_revisions_get_one_version() {
    let mut fleet = start_fleet(&["a", "a"]);
    // Host 1 is paused during the promotion, and gets its request at the moment it resumes.
    for round in 0..10 {
        let states = if round % 2 == 0 { PROMOTED } else { INITIAL };
        fleet.hosts[1].process.signal("STOP");
        let revision = fleet.edit(&[("model/review", &model(&states))]);
        wait_until("host 0 applies the revision", || {
            fleet.hosts[0].revision() == Some(revision)
        });
        let session = format!("session {round}");
        let headers = [
            ("authorization", "Bearer one"),
            ("x-session-id", session.as_str()),
        ];
        let body = chat_body("side A", 2, false);
        let (callers_0, callers_1) = (fleet.hosts[0].callers(), fleet.hosts[1].callers());
        let path = "/v1/chat/completions";
        let answers = std::thread::scope(|scope| {
            let late = scope.spawn(|| send("POST", callers_1, path, &headers, &body).unwrap());
            fleet.hosts[1].process.signal("CONT");
            let early = send("POST", callers_0, path, &headers, &body).unwrap();
            [early, late.join().unwrap()]
        });
        assert_eq!(version(&answers[0]), version(&answers[1]), "{session}");
        fleet.wait_in_force(revision);
    }
}

#[test]
fn a_session_on_a_withdrawn_version_is_refused_and_never_moved() {
    let mut fleet = start_fleet(&["a", "a"]);
    let token = send_chat(&fleet, 0, "s", None)
        .header("x-session-token")
        .to_owned();
    let withdrawn = model(&[("v1", "withdrawn"), ("v2", "established")]);
    let revision = fleet.edit(&[("model/review", &withdrawn)]);
    fleet.wait_in_force(revision);
    for token in [None, Some(token.as_str())] {
        let refused = send_chat(&fleet, 1, "s", token);
        assert_eq!(
            (refused.status, refused.error().run),
            (409, RunState::NotRun)
        );
        assert_eq!(refused.error().code, "session_version_withdrawn");
    }
    assert_eq!(version(&send_chat(&fleet, 1, "another", None)), "review@v2");
}

#[test]
fn a_session_token_does_not_override_the_plan() {
    let mut fleet = start_fleet(&["a"]);
    let revision = fleet.edit(&[("plan/two", &plan("two", &["v1"]))]);
    fleet.wait_in_force(revision);
    let pin = |account: &str, version: &str| SessionPin {
        account: account.to_owned(),
        session: "s".to_owned(),
        model: "review".to_owned(),
        version: version.to_owned(),
    };
    let fleet_signer = SessionSigner::new("a secret of the test fleet".into());
    let other_signer = SessionSigner::new("a secret of somebody else".into());
    let body = chat_body("side A", 2, false);
    let send_chat_of_two = |token: &str| {
        chat(
            &fleet.hosts[0],
            "two",
            &[("x-session-id", "s"), ("x-session-token", token)],
            &body,
        )
    };
    // Tokens signed with another secret, altered, or of another account are ignored.
    let altered = fleet_signer.sign(&pin("two", "v1")).replace('.', "A.");
    for token in [
        other_signer.sign(&pin("two", "v2")),
        altered,
        fleet_signer.sign(&pin("one", "v2")),
        "x".to_owned(),
    ] {
        assert_eq!(version(&send_chat_of_two(&token)), "review@v1", "{token}");
    }
    // A valid token for a version that the plan does not allow, as after an edit of the plan.
    let refused = send_chat_of_two(&fleet_signer.sign(&pin("two", "v2")));
    assert_eq!(
        (refused.status, refused.error().code.as_str()),
        (403, "not_in_plan")
    );
}
