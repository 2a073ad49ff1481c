//! Non-idempotent calls run at most once, and a refusal that states `NotRun` is true.

mod fleet;

use std::time::Duration;

use clementinearch_border::RunState;
use clementinearch_policy::{request_id::RequestId, time::Millis};
use clementinearch_standins::memory_store::Faults;
use fleet::{Answer, Fleet, call_service, model, now, plan, send, wait_until};

/// Starts one server of the plain service with the arguments `service`, and a host in each
/// of `zones`.
fn start_fleet(zones: &[&str], settings: &str, service: &[&str]) -> Fleet {
    let mut fleet = Fleet::new().with_settings(settings);
    fleet.start_service("a", service);
    configure_and_start(&mut fleet, zones);
    fleet
}

/// Writes the configuration, starts the hosts and waits until each reaches the service.
fn configure_and_start(fleet: &mut Fleet, zones: &[&str]) {
    fleet.edit(&[
        ("model/review", &model(&[("v1", "established")])),
        ("service/queue", "pool = \"queue\"\n"),
        ("plan/one", &plan("one", &["v1"])),
    ]);
    fleet.start_hosts(zones);
    for host in &fleet.hosts {
        let headers = [("authorization", "Bearer one")];
        wait_until("the service is reached", || {
            send(
                "GET",
                host.callers(),
                "/services/queue/status",
                &headers,
                "",
            )
            .unwrap()
            .status
                == 200
        });
    }
}

fn new_request_id() -> String {
    RequestId::new(now()).simple()
}

fn send_commit(fleet: &Fleet, host: usize, id: &str) -> Answer {
    call_service(
        &fleet.hosts[host],
        "one",
        "queue/commit",
        &[("idempotency-key", id)],
        "{\"master\":1}",
    )
}

/// Returns the number of runs of the call in the log of the service.
fn runs(fleet: &Fleet, id: &str) -> usize {
    fleet
        .backend_log(0)
        .iter()
        .filter(|line| line.starts_with(&format!("run {id} ")))
        .count()
}

/// Sends a call from another thread.
fn spawn_commit(
    fleet: &Fleet,
    host: usize,
    id: &str,
    deadline: Option<Millis>,
) -> std::thread::JoinHandle<std::io::Result<Answer>> {
    let callers = fleet.hosts[host].callers();
    let id = id.to_owned();
    std::thread::spawn(move || {
        let deadline = deadline.map(|deadline| deadline.0.to_string());
        let mut headers = vec![
            ("authorization", "Bearer one"),
            ("idempotency-key", id.as_str()),
        ];
        headers.extend(
            deadline
                .as_ref()
                .map(|deadline| ("x-deadline-ms", deadline.as_str())),
        );
        send(
            "POST",
            callers,
            "/services/queue/commit",
            &headers,
            "{\"master\":1}",
        )
    })
}

fn is_claimed(fleet: &Fleet) -> bool {
    !fleet.store.dump("claim/").is_empty()
}

/// Hosts that cannot reach each other agree only through the claim in the store.
#[test]
fn concurrent_calls_with_one_id_at_hosts_unknown_to_each_other_run_once() {
    let mut fleet = Fleet::new();
    fleet.start_service("a", &[]);
    fleet.edit(&[
        ("model/review", &model(&[("v1", "established")])),
        ("service/queue", "pool = \"queue\"\n"),
        ("plan/one", &plan("one", &["v1"])),
    ]);
    // Neither host learns of the other, as if their zones were cut off from each other.
    fleet.start_host("a-0", "a");
    fleet.isolate_new_hosts();
    fleet.start_host("b-1", "b");
    fleet.write_host_list_of_backends();
    for host in &fleet.hosts {
        wait_until("the host is ready", || host.is_ready());
        wait_until("the service is reached", || {
            send(
                "GET",
                host.callers(),
                "/services/queue/status",
                &[("authorization", "Bearer one")],
                "",
            )
            .unwrap()
            .status
                == 200
        });
    }
    assert_eq!(fleet.hosts[0].status().unwrap().hosts.len(), 1);
    for _ in 0..20 {
        let id = new_request_id();
        let calls = [0, 1, 0, 1].map(|host| spawn_commit(&fleet, host, &id, None));
        let answers = calls.map(|call| call.join().unwrap().unwrap());
        assert_eq!(runs(&fleet, &id), 1);
        for answer in &answers {
            let is_outcome_true =
                answer.status == 200 || answer.error().run == RunState::MayHaveRun;
            assert!(is_outcome_true, "{answer:?}");
        }
        let again = send_commit(&fleet, 1, &id);
        let first = answers.iter().find(|answer| answer.status == 200).unwrap();
        assert_eq!((again.status, &again.text), (200, &first.text));
    }
}

/// The store saves the claim but its response is lost. When the host finds the claim, it must not
/// take it for another host's.
#[test]
fn a_host_recognises_its_claim_after_a_lost_store_response_and_runs_the_call_once() {
    let fleet = start_fleet(&["a", "a"], "", &[]);
    fleet.store.set_faults(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let id = new_request_id();
    let answer = send_commit(&fleet, 0, &id);
    assert_eq!(answer.status, 200, "{answer:?}");
    let again = send_commit(&fleet, 1, &id);
    assert_eq!((again.status, again.header("x-replayed")), (200, "true"));
    assert_eq!(again.text, answer.text);
    assert_eq!(runs(&fleet, &id), 1);
}

#[test]
fn without_the_store_calls_are_refused_as_not_run() {
    let fleet = start_fleet(&["a", "a"], "", &[]);
    fleet.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let id = new_request_id();
    let refused = send_commit(&fleet, 0, &id);
    assert_eq!(
        (refused.status, refused.error().run),
        (503, RunState::NotRun),
        "{refused:?}"
    );
    assert!(refused.error().retry_after_ms.is_some() && !refused.header("retry-after").is_empty());
    assert_eq!(runs(&fleet, &id), 0);
    fleet.store.set_faults(Faults::default());
    assert_eq!(send_commit(&fleet, 1, &id).status, 200);
    assert_eq!(runs(&fleet, &id), 1);
}

/// The store saves the claim, loses its response and goes down. The call is refused as not run, so
/// the claim left behind must not block a retry for ever.
#[test]
fn a_claim_of_unknown_outcome_is_released_after_the_store_outage() {
    let fleet = start_fleet(&["a", "a"], "", &[]);
    let lost_then_down = Faults {
        lose_answers: 1,
        down_after_lost: true,
        ..Faults::default()
    };
    fleet.store.set_faults(lost_then_down);
    let id = new_request_id();
    let refused = send_commit(&fleet, 0, &id);
    assert_eq!(
        (refused.status, refused.error().run),
        (503, RunState::NotRun),
        "{refused:?}"
    );
    assert!(is_claimed(&fleet));
    fleet.store.set_faults(Faults::default());
    let mut last = None;
    wait_until("another host runs the call", || {
        let answer = send_commit(&fleet, 1, &id);
        let is_run = answer.status == 200;
        last = Some(answer);
        is_run
    });
    assert_eq!(runs(&fleet, &id), 1, "{last:?}");
}

/// No other host may send the call while the first one is paused, and the first one may not send it
/// after the deadline.
#[test]
fn a_call_of_a_host_paused_between_claim_and_send_runs_at_most_once() {
    let fleet = start_fleet(&["a", "a"], "", &[]);
    for has_deadline in [false, true] {
        // The store saves the claim at once and delays its response; the host is paused in between.
        fleet.store.set_faults(Faults {
            delay: Duration::from_millis(300),
            ..Faults::default()
        });
        let id = new_request_id();
        let deadline = has_deadline.then(|| now().after(Duration::from_millis(500)));
        let claims_before = fleet.store.dump("claim/").len();
        let paused_call = spawn_commit(&fleet, 0, &id, deadline);
        wait_until("the claim is written", || {
            fleet.store.dump("claim/").len() > claims_before
        });
        fleet.hosts[0].process.signal("STOP");
        fleet.store.set_faults(Faults::default());
        let meanwhile = send_commit(&fleet, 1, &id);
        assert_eq!(
            (meanwhile.status, meanwhile.error().run),
            (409, RunState::MayHaveRun)
        );
        assert_eq!(runs(&fleet, &id), 0);
        if let Some(deadline) = deadline {
            wait_until("the deadline is past", || now() > deadline);
        }
        fleet.hosts[0].process.signal("CONT");
        let resumed = paused_call.join().unwrap().unwrap();
        if has_deadline {
            assert_eq!(
                (resumed.status, resumed.error().run),
                (504, RunState::NotRun),
                "{resumed:?}"
            );
            assert_eq!(runs(&fleet, &id), 0, "a call refused as not run was run");
        } else {
            assert_eq!(resumed.status, 200, "{resumed:?}");
        }
        assert_eq!(send_commit(&fleet, 1, &id).status, 200);
        assert_eq!(runs(&fleet, &id), 1);
    }
}

/// After the first byte is sent, a missing response does not prove that the call did not run.
#[test]
fn a_call_whose_connection_breaks_after_sending_may_have_run() {
    let fleet = start_fleet(&["a", "a"], "", &[]);
    fleet.set_backend_faults(0, "cut_after_run=1");
    let id = new_request_id();
    let cut = send_commit(&fleet, 0, &id);
    assert_eq!(
        (cut.status, cut.error().run),
        (502, RunState::MayHaveRun),
        "{cut:?}"
    );
    fleet.set_backend_faults(0, "");
    for host in 0..2 {
        let again = send_commit(&fleet, host, &id);
        assert_eq!(
            (again.status, again.error().code.as_str()),
            (409, "outcome_unknown")
        );
        assert_eq!(again.error().run, RunState::MayHaveRun);
    }
    assert_eq!(runs(&fleet, &id), 1);
}

/// No other host can know whether the call has run.
#[test]
fn the_claim_of_a_host_killed_during_the_call_is_never_taken_over() {
    let mut fleet = start_fleet(&["a", "a"], "", &[]);
    fleet.set_backend_faults(0, "delay_ms=60000");
    let id = new_request_id();
    let running = spawn_commit(&fleet, 0, &id, None);
    wait_until("the call runs", || runs(&fleet, &id) == 1);
    fleet.hosts[0].process.kill();
    assert!(running.join().unwrap().is_err());
    fleet.set_backend_faults(0, "");
    let again = send_commit(&fleet, 1, &id);
    assert_eq!(
        (again.status, again.error().run),
        (409, RunState::MayHaveRun),
        "{again:?}"
    );
    assert_eq!(runs(&fleet, &id), 1);
}

#[test]
fn calls_to_servers_that_check_request_ids_need_no_store() {
    let settings = "[pools]\nchecking_request_ids = [\"queue\"]\n";
    let fleet = start_fleet(&["a", "a"], settings, &["--check-ids"]);
    fleet.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let id = new_request_id();
    let first = send_commit(&fleet, 0, &id);
    let second = send_commit(&fleet, 1, &id);
    assert_eq!(
        (first.status, second.status),
        (200, 200),
        "{first:?} {second:?}"
    );
    assert_eq!(first.text, second.text);
    assert_eq!(runs(&fleet, &id), 1);
}

#[test]
fn a_request_id_that_is_reused_or_invalid_is_refused() {
    let fleet = start_fleet(&["a"], "", &[]);
    let id = new_request_id();
    assert_eq!(send_commit(&fleet, 0, &id).status, 200);
    let other = call_service(
        &fleet.hosts[0],
        "one",
        "queue/commit",
        &[("idempotency-key", &id)],
        "{\"master\":2}",
    );
    assert_eq!((other.status, other.error().run), (422, RunState::NotRun));
    let old = RequestId::new(Millis(now().0 - 25 * 3600 * 1000)).simple();
    let ahead = RequestId::new(now().after(Duration::from_secs(3600))).simple();
    let cases = [
        ("", "missing_idempotency_key"),
        ("7", "bad_request_id"),
        (&old, "request_id_expired"),
        (&ahead, "request_id_ahead"),
    ];
    for (id, code) in cases {
        let headers: &[(&str, &str)] = if id.is_empty() {
            &[]
        } else {
            &[("idempotency-key", id)]
        };
        let refused = call_service(&fleet.hosts[0], "one", "queue/commit", headers, "{}");
        assert_eq!((refused.status, refused.error().code.as_str()), (400, code));
    }
    assert_eq!(
        fleet
            .backend_log(0)
            .iter()
            .filter(|line| line.ends_with("/commit"))
            .count(),
        1
    );
}
