//! A call that must not be repeated runs at most once, and "not run" is true.

mod fleet;

use std::time::Duration;

use clementinearch_border::RunState;
use clementinearch_policy::{request_id::RequestId, time::Millis};
use clementinearch_standins::memory_store::Faults;
use fleet::{Answer, Fleet, call_service, model, now, plan, send, wait_until};

fn fleet_of(zones: &[&str], settings: &str, service: &[&str]) -> Fleet {
    let mut fleet = Fleet::new().with_settings(settings);
    fleet.start_service("a", service);
    prepare(&mut fleet, zones);
    fleet
}

fn prepare(fleet: &mut Fleet, zones: &[&str]) {
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

fn new_id() -> String {
    RequestId::new(now()).simple()
}

fn commit(fleet: &Fleet, host: usize, id: &str) -> Answer {
    call_service(
        &fleet.hosts[host],
        "one",
        "queue/commit",
        &[("idempotency-key", id)],
        "{\"master\":1}",
    )
}

/// How often the service ran the call, by the service's own log.
fn runs(fleet: &Fleet, id: &str) -> usize {
    fleet
        .backend_log(0)
        .iter()
        .filter(|line| line.starts_with(&format!("run {id} ")))
        .count()
}

/// Sends a call in a thread of its own.
fn commit_behind(
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

#[test]
fn the_same_id_at_two_hosts_that_do_not_know_each_other_runs_once() {
    let mut fleet = Fleet::new();
    fleet.start_service("a", &[]);
    fleet.edit(&[
        ("model/review", &model(&[("v1", "established")])),
        ("service/queue", "pool = \"queue\"\n"),
        ("plan/one", &plan("one", &["v1"])),
    ]);
    // Each host lists only itself: the two zones are cut off from each other.
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
        let id = new_id();
        let calls = [0, 1, 0, 1].map(|host| commit_behind(&fleet, host, &id, None));
        let answers = calls.map(|call| call.join().unwrap().unwrap());
        assert_eq!(runs(&fleet, &id), 1);
        for answer in &answers {
            let is_told_truly = answer.status == 200 || answer.error().run == RunState::MayHaveRun;
            assert!(is_told_truly, "{answer:?}");
        }
        let again = commit(&fleet, 1, &id);
        let first = answers.iter().find(|answer| answer.status == 200).unwrap();
        assert_eq!((again.status, &again.text), (200, &first.text));
    }
}

#[test]
fn a_claim_whose_answer_was_lost_is_recognised_and_runs_once() {
    let fleet = fleet_of(&["a", "a"], "", &[]);
    fleet.store.set_faults(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let id = new_id();
    let answer = commit(&fleet, 0, &id);
    assert_eq!(answer.status, 200, "{answer:?}");
    let again = commit(&fleet, 1, &id);
    assert_eq!((again.status, again.header("x-replayed")), (200, "true"));
    assert_eq!(again.text, answer.text);
    assert_eq!(runs(&fleet, &id), 1);
}

#[test]
fn without_the_store_calls_are_refused_as_not_run() {
    let fleet = fleet_of(&["a", "a"], "", &[]);
    fleet.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let id = new_id();
    let refused = commit(&fleet, 0, &id);
    assert_eq!(
        (refused.status, refused.error().run),
        (503, RunState::NotRun),
        "{refused:?}"
    );
    assert!(refused.error().retry_after_ms.is_some() && !refused.header("retry-after").is_empty());
    assert_eq!(runs(&fleet, &id), 0);
    fleet.store.set_faults(Faults::default());
    assert_eq!(commit(&fleet, 1, &id).status, 200);
    assert_eq!(runs(&fleet, &id), 1);
}

#[test]
fn a_claim_written_without_an_answer_is_given_back_when_the_store_is() {
    let fleet = fleet_of(&["a", "a"], "", &[]);
    let lost_then_down = Faults {
        lose_answers: 1,
        down_after_lost: true,
        ..Faults::default()
    };
    fleet.store.set_faults(lost_then_down);
    let id = new_id();
    let refused = commit(&fleet, 0, &id);
    assert_eq!(
        (refused.status, refused.error().run),
        (503, RunState::NotRun),
        "{refused:?}"
    );
    assert!(is_claimed(&fleet));
    fleet.store.set_faults(Faults::default());
    let mut last = None;
    wait_until("another host may run it", || {
        let answer = commit(&fleet, 1, &id);
        let is_run = answer.status == 200;
        last = Some(answer);
        is_run
    });
    assert_eq!(runs(&fleet, &id), 1, "{last:?}");
}

#[test]
fn a_host_frozen_between_claim_and_send_lets_nobody_run_it_twice() {
    let fleet = fleet_of(&["a", "a"], "", &[]);
    for has_deadline in [false, true] {
        // The claim takes effect at once and its answer is late: the host is frozen in between.
        fleet.store.set_faults(Faults {
            delay: Duration::from_millis(300),
            ..Faults::default()
        });
        let id = new_id();
        let deadline = has_deadline.then(|| now().after(Duration::from_millis(500)));
        let claims_before = fleet.store.dump("claim/").len();
        let frozen = commit_behind(&fleet, 0, &id, deadline);
        wait_until("the claim is written", || {
            fleet.store.dump("claim/").len() > claims_before
        });
        fleet.hosts[0].process.signal("STOP");
        fleet.store.set_faults(Faults::default());
        let meanwhile = commit(&fleet, 1, &id);
        assert_eq!(
            (meanwhile.status, meanwhile.error().run),
            (409, RunState::MayHaveRun)
        );
        assert_eq!(runs(&fleet, &id), 0);
        if let Some(deadline) = deadline {
            wait_until("the deadline is past", || now() > deadline);
        }
        fleet.hosts[0].process.signal("CONT");
        let woken = frozen.join().unwrap().unwrap();
        if has_deadline {
            assert_eq!(
                (woken.status, woken.error().run),
                (504, RunState::NotRun),
                "{woken:?}"
            );
            assert_eq!(runs(&fleet, &id), 0, "a call refused as not run was run");
        } else {
            assert_eq!(woken.status, 200, "{woken:?}");
        }
        assert_eq!(commit(&fleet, 1, &id).status, 200);
        assert_eq!(runs(&fleet, &id), 1);
    }
}

#[test]
fn after_the_first_byte_silence_means_may_have_run() {
    let fleet = fleet_of(&["a", "a"], "", &[]);
    fleet.set_backend_faults(0, "cut_after_run=1");
    let id = new_id();
    let cut = commit(&fleet, 0, &id);
    assert_eq!(
        (cut.status, cut.error().run),
        (502, RunState::MayHaveRun),
        "{cut:?}"
    );
    fleet.set_backend_faults(0, "");
    for host in 0..2 {
        let again = commit(&fleet, host, &id);
        assert_eq!(
            (again.status, again.error().code.as_str()),
            (409, "outcome_unknown")
        );
        assert_eq!(again.error().run, RunState::MayHaveRun);
    }
    assert_eq!(runs(&fleet, &id), 1);
}

#[test]
fn a_host_killed_while_the_call_runs_leaves_a_claim_that_nobody_takes() {
    let mut fleet = fleet_of(&["a", "a"], "", &[]);
    fleet.set_backend_faults(0, "delay_ms=60000");
    let id = new_id();
    let running = commit_behind(&fleet, 0, &id, None);
    wait_until("the call runs", || runs(&fleet, &id) == 1);
    fleet.hosts[0].process.kill();
    assert!(running.join().unwrap().is_err());
    fleet.set_backend_faults(0, "");
    let again = commit(&fleet, 1, &id);
    assert_eq!(
        (again.status, again.error().run),
        (409, RunState::MayHaveRun),
        "{again:?}"
    );
    assert_eq!(runs(&fleet, &id), 1);
}

#[test]
fn servers_that_check_ids_go_on_without_the_store() {
    let settings = "[pools]\nchecking_request_ids = [\"queue\"]\n";
    let fleet = fleet_of(&["a", "a"], settings, &["--check-ids"]);
    fleet.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let id = new_id();
    let first = commit(&fleet, 0, &id);
    let second = commit(&fleet, 1, &id);
    assert_eq!(
        (first.status, second.status),
        (200, 200),
        "{first:?} {second:?}"
    );
    assert_eq!(first.text, second.text);
    assert_eq!(runs(&fleet, &id), 1);
}

#[test]
fn an_id_belongs_to_one_call_and_must_be_recognisable() {
    let fleet = fleet_of(&["a"], "", &[]);
    let id = new_id();
    assert_eq!(commit(&fleet, 0, &id).status, 200);
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
