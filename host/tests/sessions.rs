//! A session keeps its version from start to end.

mod fleet;

use clementinearch_border::RunState;
use clementinearch_policy::session::{SessionPin, SessionSigner};
use fleet::{Answer, Fleet, chat, chat_body, model, plan, send, wait_until};

const FIRST: [(&str, &str); 2] = [("v1", "established"), ("v2", "draining")];
const PROMOTED: [(&str, &str); 2] = [("v1", "draining"), ("v2", "established")];

fn fleet_of(zones: &[&str]) -> Fleet {
    let mut fleet = Fleet::new();
    fleet.start_engine("a", &["v1", "v2"]);
    fleet.start_engine("a", &["v1", "v2"]);
    fleet.edit(&[
        ("model/review", &model(&FIRST)),
        ("plan/one", &plan("one", &["v1", "v2"])),
    ]);
    fleet.start_hosts(zones);
    for number in 0..zones.len() {
        fleet.wait_serving(number, "one");
    }
    fleet
}

fn ask(fleet: &Fleet, host: usize, session: &str, token: Option<&str>) -> Answer {
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
    let mut fleet = fleet_of(&["a", "a", "a"]);
    let first = ask(&fleet, 0, "with token", None);
    let token = first.header("x-session-token").to_owned();
    assert_eq!(version(&first), "review@v1");
    assert_eq!(version(&ask(&fleet, 0, "without token", None)), "review@v1");
    let revision = fleet.edit(&[("model/review", &model(&PROMOTED))]);
    fleet.wait_in_force(revision);
    for number in 0..3 {
        assert_eq!(
            version(&ask(&fleet, number, "with token", Some(&token))),
            "review@v1"
        );
        assert_eq!(
            version(&ask(&fleet, number, "without token", None)),
            "review@v1"
        );
        assert_eq!(
            version(&ask(&fleet, number, &format!("new {number}"), None)),
            "review@v2"
        );
    }
}

#[test]
fn sessions_outlive_a_rolling_replacement_and_tokens_outlive_all_memory() {
    let mut fleet = fleet_of(&["a", "a", "a"]);
    let token = ask(&fleet, 0, "with token", None)
        .header("x-session-token")
        .to_owned();
    ask(&fleet, 0, "without token", None);
    let revision = fleet.edit(&[("model/review", &model(&PROMOTED))]);
    fleet.wait_in_force(revision);
    for number in 0..3 {
        let name = fleet.hosts[number].name.clone();
        fleet.hosts[number].process.signal("TERM");
        assert!(fleet.hosts[number].process.wait());
        fleet.start_host(&name, "a");
        fleet.wait_serving(number, "one");
    }
    assert_eq!(version(&ask(&fleet, 1, "without token", None)), "review@v1");
    // All at once and without a word: only the token is left.
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
            version(&ask(&fleet, number, "with token", Some(&token))),
            "review@v1"
        );
    }
}

#[test]
fn two_first_requests_at_hosts_on_different_revisions_agree() {
    let mut fleet = fleet_of(&["a", "a"]);
    // Host 1 is frozen while the promotion comes, and asked in the moment it wakes.
    for round in 0..10 {
        let states = if round % 2 == 0 { PROMOTED } else { FIRST };
        fleet.hosts[1].process.signal("STOP");
        let revision = fleet.edit(&[("model/review", &model(&states))]);
        wait_until("host 0 applies it", || {
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
    let mut fleet = fleet_of(&["a", "a"]);
    let token = ask(&fleet, 0, "s", None)
        .header("x-session-token")
        .to_owned();
    let withdrawn = model(&[("v1", "withdrawn"), ("v2", "established")]);
    let revision = fleet.edit(&[("model/review", &withdrawn)]);
    fleet.wait_in_force(revision);
    for token in [None, Some(token.as_str())] {
        let refused = ask(&fleet, 1, "s", token);
        assert_eq!(
            (refused.status, refused.error().run),
            (409, RunState::NotRun)
        );
        assert_eq!(refused.error().code, "session_version_withdrawn");
    }
    assert_eq!(version(&ask(&fleet, 1, "another", None)), "review@v2");
}

#[test]
fn a_token_opens_no_version_that_the_plan_forbids() {
    let mut fleet = fleet_of(&["a"]);
    let revision = fleet.edit(&[("plan/two", &plan("two", &["v1"]))]);
    fleet.wait_in_force(revision);
    let pin = |account: &str, version: &str| SessionPin {
        account: account.to_owned(),
        session: "s".to_owned(),
        model: "review".to_owned(),
        version: version.to_owned(),
    };
    let real = SessionSigner::new("a secret of the test fleet".into());
    let other = SessionSigner::new("a secret of somebody else".into());
    let body = chat_body("side A", 2, false);
    let ask_two = |token: &str| {
        chat(
            &fleet.hosts[0],
            "two",
            &[("x-session-id", "s"), ("x-session-token", token)],
            &body,
        )
    };
    // Signed by another secret, altered, or of another account: as if there were no token.
    let altered = real.sign(&pin("two", "v1")).replace('.', "A.");
    for token in [
        other.sign(&pin("two", "v2")),
        altered,
        real.sign(&pin("one", "v2")),
        "x".to_owned(),
    ] {
        assert_eq!(version(&ask_two(&token)), "review@v1", "{token}");
    }
    // Signed by the fleet before the plan was narrowed: the plan goes before the session.
    let refused = ask_two(&real.sign(&pin("two", "v2")));
    assert_eq!(
        (refused.status, refused.error().code.as_str()),
        (403, "not_in_plan")
    );
}
