//! Orders to model engines: one holder gives them, a roll-out that stopped is taken up.

mod fleet;

use fleet::{Fleet, model, plan, wait_until};

const ENGINES: usize = 3;
const LEASE: &str = "order_lease_ms = 600\n";

fn model_with(replicas: u32, versions: &[(&str, &str)]) -> String {
    format!("replicas = {replicas}\n{}", model(versions))
}

/// Three engines with `v1` and three hosts; the lists ask for nothing yet.
fn fleet_of(settings: &str, engine: &[&str]) -> Fleet {
    let mut fleet = Fleet::new().with_settings(settings);
    for _ in 0..ENGINES {
        let args = [&["--version", "review@v1"], engine].concat();
        fleet.start_backend("engine", "reviewers", "a", &args);
    }
    let idle = model_with(0, &[("v1", "established")]);
    fleet.edit(&[("model/review", &idle), ("plan/one", &plan("one", &["v1"]))]);
    fleet.start_hosts(&["a", "a", "a"]);
    for host in 0..3 {
        fleet.wait_serving(host, "one");
    }
    fleet
}

fn loaded(fleet: &Fleet, version: &str) -> usize {
    let report = |number| {
        fleet::try_get(fleet.backend_address(number), "/load")
            .unwrap()
            .1
    };
    (0..ENGINES)
        .filter(|number| report(*number).contains(version))
        .count()
}

/// Fencing numbers of the orders that an engine took, in their order.
fn fences(fleet: &Fleet, number: usize) -> Vec<u64> {
    let log = fleet.backend_log(number);
    let orders = log.iter().filter_map(|line| line.strip_prefix("order "));
    orders
        .map(|order| order.split(' ').next().unwrap().parse().unwrap())
        .collect()
}

/// Index of the host whose name and incarnation stand in the lease.
fn holder(fleet: &Fleet) -> Option<usize> {
    let record = fleet.store.dump("orders/reviewers").pop()?.1;
    fleet
        .hosts
        .iter()
        .position(|host| record.contains(&format!("\"{}/", host.name)))
}

#[test]
fn a_rollout_whose_holder_dies_or_freezes_is_taken_up_by_the_next() {
    for (settings, engine) in [
        (
            format!("{LEASE}[pools]\nchecking_fencing_numbers = [\"reviewers\"]\n"),
            &[][..],
        ),
        (LEASE.to_owned(), &["--ignore-fencing"][..]),
    ] {
        let mut fleet = fleet_of(&settings, engine);
        let asked = model_with(2, &[("v1", "established"), ("v2", "rollout 10")]);
        fleet.edit(&[("model/review", &asked)]);
        wait_until("a first engine is ordered", || {
            loaded(&fleet, "review@v2") >= 1
        });
        // The holder stops halfway.
        let first = holder(&fleet).unwrap();
        fleet.hosts[first].process.signal("STOP");
        let asked = model_with(
            2,
            &[
                ("v1", "established"),
                ("v2", "rollout 50"),
                ("v3", "rollout 10"),
            ],
        );
        fleet.edit(&[("model/review", &asked)]);
        wait_until("the next holder finishes", || {
            loaded(&fleet, "review@v2") == 2 && loaded(&fleet, "review@v3") == 2
        });
        let second = holder(&fleet).unwrap();
        assert_ne!(first, second);
        fleet.hosts[first].process.signal("CONT");
        // The frozen host wakes, and an unload follows: whatever it does, the lists win.
        let asked = model_with(
            2,
            &[
                ("v1", "established"),
                ("v2", "withdrawn"),
                ("v3", "established"),
            ],
        );
        let revision = fleet.edit(&[("model/review", &asked)]);
        fleet.wait_in_force(revision);
        wait_until("the lists are carried out", || {
            loaded(&fleet, "review@v2") == 0 && loaded(&fleet, "review@v3") == 2
        });
        for number in 0..ENGINES {
            let fences = fences(&fleet, number);
            assert!(
                fences.is_sorted(),
                "engine {number} took orders under {fences:?}"
            );
        }
    }
}
