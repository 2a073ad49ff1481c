//! An accepted configuration takes effect on all hosts and is never reverted, and a withdrawn
//! version gets no new requests.

mod fleet;

use clementinearch_border::RunState;
use clementinearch_standins::memory_store::Faults;
use fleet::{Answer, Fleet, STORE_DOWN, chat, chat_body, model, plan, wait_until};

const QUEUE_SERVICE: &str = "pool = \"queue\"\n";

/// Starts one engine with both versions, a plan that allows both, and a host in each of
/// `zones`.
fn start_fleet(settings: &str, zones: &[&str], versions: &[(&str, &str)]) -> Fleet {
    let mut fleet = Fleet::new().with_settings(settings);
    fleet.start_engine(zones[0], &["v1", "v2"]);
    fleet.edit(&[
        ("service/queue", QUEUE_SERVICE),
        ("model/review", &model(versions)),
        ("plan/one", &plan("one", &["v1", "v2"])),
    ]);
    fleet.start_hosts(zones);
    for number in 0..zones.len() {
        fleet.wait_serving(number, "one");
    }
    fleet
}

fn send_chat(fleet: &Fleet, host: usize) -> Answer {
    fleet::send_short_chat(&fleet.hosts[host])
}

/// Returns the number of requests that the engine has started on a version.
fn started_requests(fleet: &Fleet, version: &str) -> usize {
    let log = fleet.backend_log(0);
    log.iter()
        .filter(|line| line.starts_with("start") && line.contains(version))
        .count()
}

#[test]
fn a_host_cut_off_from_the_store_learns_of_a_withdrawal_from_its_peers() {
    let mut fleet = start_fleet(
        "",
        &["a", "a", "b"],
        &[("v1", "established"), ("v2", "draining")],
    );
    fleet.hosts[1].set_cut_from_store(true);
    fleet.hosts[2].set_cut_from_store(true);
    let withdrawn = model(&[("v1", "withdrawn"), ("v2", "draining")]);
    let revision = fleet.edit(&[("model/review", &withdrawn)]);
    fleet.wait_in_force(revision);
    let before = started_requests(&fleet, "v1");
    for number in 0..3 {
        let refused = send_chat(&fleet, number);
        assert_eq!(
            (refused.status, refused.error().run),
            (409, RunState::NotRun),
            "{refused:?}"
        );
    }
    assert_eq!(started_requests(&fleet, "v1"), before);
}

/// The rollout may have been stopped without an isolated host learning of it.
#[test]
fn an_isolated_host_stops_serving_rollouts_and_keeps_serving_established_versions() {
    let settings = "view_lifetime_ms = 1500\n";
    let versions = [("v1", "established"), ("v2", "rollout 100")];
    let mut fleet = start_fleet(settings, &["a", "a"], &versions);
    let revision = fleet.edit(&[("plan/two", &plan("two", &["v2"]))]);
    fleet.wait_in_force(revision);
    wait_until("the version in rollout is served", || {
        send_chat(&fleet, 0).header("x-model-version") == "review@v2"
    });
    fleet.hosts[0].set_cut_from_store(true);
    fleet.hosts[1].process.signal("STOP");
    wait_until("the configuration is too old for a rollout", || {
        send_chat(&fleet, 0).header("x-model-version") == "review@v1"
    });
    let refused = chat(&fleet.hosts[0], "two", &[], &chat_body("side A", 2, false));
    assert_eq!(
        (refused.status, refused.error().code.as_str()),
        (503, "stale_view")
    );
    assert!(refused.error().retry_after_ms.is_some());
    fleet.hosts[1].process.signal("CONT");
    fleet.hosts[0].set_cut_from_store(false);
    wait_until("the version in rollout is served again", || {
        send_chat(&fleet, 0).header("x-model-version") == "review@v2"
    });
}

/// A host that goes back to an old revision would serve a version that has been withdrawn since.
#[test]
fn no_revision_is_reverted_by_a_stale_store_or_restarts_during_an_outage() {
    let mut fleet = start_fleet(
        "",
        &["a", "a", "a"],
        &[("v1", "established"), ("v2", "draining")],
    );
    let withdrawn = model(&[("v1", "withdrawn"), ("v2", "established")]);
    let revision = fleet.edit(&[("model/review", &withdrawn)]);
    fleet.wait_in_force(revision);
    fleet.store.set_faults(Faults {
        stale: true,
        ..Faults::default()
    });
    wait_until("a host reports the stale read", || {
        let status = fleet.hosts[0].status().unwrap();
        status
            .hosts
            .iter()
            .any(|host| host.findings.iter().any(|it| it.contains("lower than")))
    });
    // All hosts restart one after another, first with the stale store, then without a store.
    for faults in [
        Faults {
            stale: true,
            ..Faults::default()
        },
        STORE_DOWN,
    ] {
        fleet.store.set_faults(faults);
        for number in 0..3 {
            let name = fleet.hosts[number].name.clone();
            fleet.hosts[number].process.kill();
            fleet.start_host(&name, "a");
            wait_until("the restarted host is ready", || {
                fleet.hosts[number].is_ready()
            });
            assert_eq!(
                fleet.hosts[number].revision(),
                Some(revision),
                "a restarted host reverted its configuration"
            );
        }
    }
    // The host list is in the same store, so hosts know no engines until the outage ends.
    fleet.store.set_faults(Faults::default());
    fleet.wait_serving(0, "one");
    assert_eq!(send_chat(&fleet, 0).header("x-model-version"), "review@v2");
}

#[test]
fn a_host_that_reaches_neither_store_nor_peers_refuses_requests() {
    let mut fleet = start_fleet("", &["a"], &[("v1", "established")]);
    fleet.store.set_faults(STORE_DOWN);
    fleet.hosts[0].process.kill();
    fleet.start_host("a-0", "a");
    wait_until("the host listens", || {
        fleet::try_get(fleet.hosts[0].admin(), "/livez").is_some()
    });
    let refused = wait_for_response(&fleet);
    assert_eq!(
        (refused.status, refused.error().code.as_str()),
        (503, "not_ready")
    );
    assert!(!fleet.hosts[0].is_ready());
    fleet.store.set_faults(Faults::default());
    wait_until("the host is ready", || fleet.hosts[0].is_ready());
}

fn wait_for_response(fleet: &Fleet) -> Answer {
    wait_until("the host accepts callers", || {
        std::net::TcpStream::connect(fleet.hosts[0].callers()).is_ok()
    });
    send_chat(fleet, 0)
}

#[test]
fn invalid_items_in_the_store_do_not_block_valid_ones() {
    let mut fleet = start_fleet(
        "",
        &["a", "a"],
        &[("v1", "established"), ("v2", "draining")],
    );
    let invalid = plan("one", &["v1"]).replace("versions", "verions");
    let swapped = model(&[("v1", "draining"), ("v2", "established")]);
    let revision = fleet.edit(&[("plan/one", &invalid), ("model/review", &swapped)]);
    fleet.wait_in_force(revision);
    // The model's change is in force, and the plan keeps its last good body.
    assert_eq!(send_chat(&fleet, 1).header("x-model-version"), "review@v2");
    let status = fleet.hosts[0].status().unwrap();
    assert!(!status.in_force_everywhere);
    let findings = &status.hosts[1].findings;
    assert!(
        findings
            .iter()
            .any(|it| it.starts_with("plan/one:7: allow[0].verions")),
        "{findings:?}"
    );
    // A restarted host gets the last good body from its peer.
    fleet.hosts[1].process.kill();
    fleet.start_host("a-1", "a");
    fleet.wait_serving(1, "one");

    let good_head = fleet.store.dump("config/head")[0].1.clone();
    for value in [
        "{",
        &good_head.replace(&format!("\"revision\":{revision}"), "\"revision\":1"),
    ] {
        fleet.store.overwrite("config/head", value);
        wait_until("the finding is reported", || {
            let status = fleet.hosts[0].status().unwrap();
            status.hosts.iter().any(|host| {
                host.findings
                    .iter()
                    .any(|it| it.starts_with("config/head:"))
            })
        });
        assert_eq!(send_chat(&fleet, 0).status, 200);
        assert_eq!(fleet.hosts[0].revision(), Some(revision));
    }
    fleet.store.overwrite("config/head", &good_head);
    let revision = fleet.edit(&[("plan/one", &plan("one", &["v2"]))]);
    fleet.wait_in_force(revision);
    wait_until("the revision is in force on all hosts", || {
        fleet.hosts[0].status().unwrap().in_force_everywhere
    });
}

/// A paused host must not be reported with the state of its last answer.
#[test]
fn status_reports_a_silent_host_as_not_in_force() {
    let fleet = start_fleet(
        "",
        &["a", "b"],
        &[("v1", "established"), ("v2", "draining")],
    );
    wait_until("the revision is in force on all hosts", || {
        fleet.hosts[0].status().unwrap().in_force_everywhere
    });
    fleet.hosts[1].process.signal("STOP");
    let status = fleet.hosts[0].status().unwrap();
    let silent = status.hosts.iter().find(|host| host.host == "b-1").unwrap();
    assert!(
        !silent.in_force && silent.why_not.is_some() && silent.revision.is_none(),
        "{silent:?}"
    );
    assert!(!status.in_force_everywhere);
    fleet.hosts[1].process.signal("CONT");
    wait_until("the revision is in force on all hosts again", || {
        fleet.hosts[0].status().unwrap().in_force_everywhere
    });
}

/// The first attempt waits at a stalled engine while an edit removes its version from the plan.
#[test]
fn the_plan_is_checked_before_each_attempt() {
    let settings = "token_timeout_ms = 1000\n";
    let mut fleet = Fleet::new().with_settings(settings);
    fleet.start_engine("a", &["v1"]);
    let versions = model(&[("v1", "established"), ("v2", "established")]);
    fleet.edit(&[
        ("model/review", &versions),
        ("plan/one", &plan("one", &["v1"])),
    ]);
    fleet.start_hosts(&["a"]);
    fleet.wait_serving(0, "one");
    fleet.set_backend_faults(0, "stalled=1");
    let callers = fleet.hosts[0].callers();
    let waiting = std::thread::spawn(move || {
        let headers = [("authorization", "Bearer one")];
        fleet::send(
            "POST",
            callers,
            "/v1/chat/completions",
            &headers,
            &chat_body("x", 2, false),
        )
    });
    wait_until("the engine has started the request", || {
        started_requests(&fleet, "v1") >= 2
    });
    let revision = fleet.edit(&[("plan/one", &plan("one", &["v2"]))]);
    fleet.wait_in_force(revision);
    fleet.set_backend_faults(0, "");
    let refused = waiting.join().unwrap().unwrap();
    assert_eq!(
        (refused.status, refused.error().code.as_str()),
        (403, "not_in_plan"),
        "{refused:?}"
    );
    assert_eq!(refused.error().run, RunState::MayHaveRun);
    assert_eq!(
        started_requests(&fleet, "v1"),
        2,
        "the second attempt ran a version that the plan no longer allows"
    );
}
