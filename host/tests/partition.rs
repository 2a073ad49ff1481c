//! Network partitions between two zones while their hosts run, and the recovery from them.

mod fleet;

use std::sync::atomic::Ordering;

use clementinearch_border::RunState;
use clementinearch_policy::request_id::RequestId;
use fleet::{Answer, Fleet, call_service, model, now, plan, send, wait_until};

/// Starts zone `a` with two hosts and zone `b` with one, an engine in each zone, and a server of a
/// plain service.
fn start_two_zones() -> Fleet {
    let mut fleet = Fleet::new()
        .with_settings("view_lifetime_ms = 1500\n")
        .with_links();
    fleet.start_service("a", &[]);
    fleet.start_engine("a", &["v1", "v2"]);
    fleet.start_engine("b", &["v1", "v2"]);
    fleet.edit(&[
        (
            "model/review",
            &model(&[("v1", "established"), ("v2", "draining")]),
        ),
        ("service/queue", "pool = \"queue\"\n"),
        ("plan/one", &plan("one", &["v1", "v2"])),
    ]);
    fleet.start_hosts(&["a", "a", "b"]);
    for host in 0..3 {
        fleet.wait_serving(host, "one");
        let headers = [("authorization", "Bearer one")];
        let callers = fleet.hosts[host].callers();
        wait_until("the service is reached", || {
            send("GET", callers, "/services/queue/status", &headers, "")
                .unwrap()
                .status
                == 200
        });
    }
    fleet
}

/// Cuts all links between hosts, and zone `b` off from the store, or restores both.
fn set_partition(fleet: &Fleet, is_partitioned: bool) {
    fleet
        .links
        .iter()
        .for_each(|link| link.store(is_partitioned, Ordering::Relaxed));
    fleet.hosts[2].set_cut_from_store(is_partitioned);
}

fn members(fleet: &Fleet, host: usize) -> u64 {
    fleet.hosts[host].counter("clementinearch_members")
}

fn send_chat(fleet: &Fleet, host: usize) -> Answer {
    fleet::send_short_chat(&fleet.hosts[host])
}

#[test]
fn a_partitioned_zone_keeps_serving_and_catches_up_after_the_partition() {
    let mut fleet = start_two_zones();
    set_partition(&fleet, true);
    for host in 0..3 {
        wait_until("each host considers the others dead", || {
            members(&fleet, host) == 1
        });
    }
    let swapped = model(&[("v1", "withdrawn"), ("v2", "established")]);
    let revision = fleet.edit(&[("model/review", &swapped)]);
    wait_until("zone a applies the revision", || {
        fleet.hosts[0].revision() == Some(revision)
    });
    // Zone b keeps serving with the old configuration, and neither zone reports the revision as in
    // force everywhere.
    assert_eq!(send_chat(&fleet, 2).header("x-model-version"), "review@v1");
    assert!(!fleet.hosts[0].status().unwrap().in_force_everywhere);
    assert!(!fleet.hosts[2].status().unwrap().in_force_everywhere);

    // The links are restored, but zone b still has no store: it gets the revision from its peers.
    fleet
        .links
        .iter()
        .for_each(|link| link.store(false, Ordering::Relaxed));
    wait_until("zone b applies the revision", || {
        fleet.hosts[2].revision() == Some(revision)
    });
    for host in 0..3 {
        wait_until("each host knows the others again", || {
            members(&fleet, host) == 3
        });
    }
    assert_eq!(send_chat(&fleet, 2).header("x-model-version"), "review@v2");
    wait_until("the revision is in force on all hosts", || {
        fleet.hosts[0].status().unwrap().in_force_everywhere
    });
}

/// Both sides reach the store, whose claims decide which host sends the call.
#[test]
fn the_same_call_on_both_sides_of_a_partition_runs_once() {
    let fleet = start_two_zones();
    fleet
        .links
        .iter()
        .for_each(|link| link.store(true, Ordering::Relaxed));
    for host in 0..3 {
        wait_until("each host considers the others dead", || {
            members(&fleet, host) == 1
        });
    }
    let commit = |host: usize, id: &str| {
        call_service(
            &fleet.hosts[host],
            "one",
            "queue/commit",
            &[("idempotency-key", id)],
            "{}",
        )
    };
    for _ in 0..10 {
        let id = RequestId::new(now()).simple();
        let answers = std::thread::scope(|scope| {
            let calls = [0, 2].map(|host| {
                scope.spawn({
                    let (commit, id) = (&commit, &id);
                    move || commit(host, id)
                })
            });
            calls.map(|call| call.join().unwrap())
        });
        let runs = fleet
            .backend_log(0)
            .iter()
            .filter(|line| line.starts_with(&format!("run {id} ")))
            .count();
        assert_eq!(runs, 1);
        for answer in answers {
            assert!(
                answer.status == 200 || answer.error().run == RunState::MayHaveRun,
                "{answer:?}"
            );
        }
    }
    // Cut off from the store too, zone b cannot claim calls and refuses them as not run.
    fleet.hosts[2].set_cut_from_store(true);
    let id = RequestId::new(now()).simple();
    let refused = commit(2, &id);
    assert_eq!(
        (refused.status, refused.error().run),
        (503, RunState::NotRun)
    );
    assert_eq!(commit(0, &id).status, 200);
}
