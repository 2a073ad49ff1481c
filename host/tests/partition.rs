//! Two zones cut off from each other while their hosts run, and joined again.

mod fleet;

use std::sync::atomic::Ordering;

use clementinearch_border::RunState;
use clementinearch_policy::request_id::RequestId;
use fleet::{Answer, Fleet, call_service, model, now, plan, send, wait_until};

/// A zone `a` with two hosts and a zone `b` with one, an engine in each, one plain service.
fn fleet_of_two_zones() -> Fleet {
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

/// Cuts all ways of peers, and zone `b` off from the store.
fn set_cut(fleet: &Fleet, is_cut: bool) {
    fleet
        .links
        .iter()
        .for_each(|link| link.store(is_cut, Ordering::Relaxed));
    fleet.hosts[2].set_cut_from_store(is_cut);
}

fn members(fleet: &Fleet, host: usize) -> u64 {
    fleet.hosts[host].counter("clementinearch_members")
}

fn ask(fleet: &Fleet, host: usize) -> Answer {
    fleet::send_short_chat(&fleet.hosts[host])
}

#[test]
fn a_cut_off_zone_serves_what_it_can_and_catches_up_when_it_is_joined() {
    let mut fleet = fleet_of_two_zones();
    set_cut(&fleet, true);
    for host in 0..3 {
        wait_until("each host counts the others as dead", || {
            members(&fleet, host) == 1
        });
    }
    let swapped = model(&[("v1", "withdrawn"), ("v2", "established")]);
    let revision = fleet.edit(&[("model/review", &swapped)]);
    wait_until("zone a applies it", || {
        fleet.hosts[0].revision() == Some(revision)
    });
    // The other zone serves on what it knows, and nobody says that all is in force.
    assert_eq!(ask(&fleet, 2).header("x-model-version"), "review@v1");
    assert!(!fleet.hosts[0].status().unwrap().in_force_everywhere);
    assert!(!fleet.hosts[2].status().unwrap().in_force_everywhere);

    // Joined to its neighbours, still without the store: it learns from them.
    fleet
        .links
        .iter()
        .for_each(|link| link.store(false, Ordering::Relaxed));
    wait_until("zone b applies it", || {
        fleet.hosts[2].revision() == Some(revision)
    });
    for host in 0..3 {
        wait_until("each host knows the others again", || {
            members(&fleet, host) == 3
        });
    }
    assert_eq!(ask(&fleet, 2).header("x-model-version"), "review@v2");
    wait_until("all is in force", || {
        fleet.hosts[0].status().unwrap().in_force_everywhere
    });
}

#[test]
fn the_same_call_on_both_sides_of_a_partition_runs_once() {
    let fleet = fleet_of_two_zones();
    fleet
        .links
        .iter()
        .for_each(|link| link.store(true, Ordering::Relaxed));
    for host in 0..3 {
        wait_until("each host counts the others as dead", || {
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
    // Cut from the store too, zone b refuses truthfully.
    fleet.hosts[2].set_cut_from_store(true);
    let id = RequestId::new(now()).simple();
    let refused = commit(2, &id);
    assert_eq!(
        (refused.status, refused.error().run),
        (503, RunState::NotRun)
    );
    assert_eq!(commit(0, &id).status, 200);
}
