//! Load orders to model engines are given by the host that holds the pool's lease. When it is
//! paused, another host takes over the lease and continues the rollout.

mod fleet;

use fleet::{Fleet, model, plan, wait_until};

const ENGINES: usize = 3;
const LEASE_SETTING: &str = "order_lease_ms = 600\n";

/// Formats the model `review` with a number of engines for each version.
fn model_with(replicas: u32, versions: &[(&str, &str)]) -> String {
    format!("replicas = {replicas}\n{}", model(versions))
}

/// Starts three engines with `v1` and three hosts. The configuration requires no loads yet.
fn start_fleet(settings: &str, engine: &[&str]) -> Fleet {
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

/// Returns the number of engines that have a version loaded.
fn engines_with(fleet: &Fleet, version: &str) -> usize {
    let load_report = |number| {
        fleet::try_get(fleet.backend_address(number), "/load")
            .unwrap()
            .1
    };
    (0..ENGINES)
        .filter(|number| load_report(*number).contains(version))
        .count()
}

/// Returns the fencing numbers of the orders that an engine accepted, oldest first.
fn fencing_numbers(fleet: &Fleet, number: usize) -> Vec<u64> {
    let log = fleet.backend_log(number);
    let orders = log.iter().filter_map(|line| line.strip_prefix("order "));
    orders
        .map(|order| order.split(' ').next().unwrap().parse().unwrap())
        .collect()
}

/// Returns the index of the host whose name and incarnation are in the lease of the pool.
fn lease_holder(fleet: &Fleet) -> Option<usize> {
    let record = fleet.store.dump("orders/reviewers").pop()?.1;
    fleet
        .hosts
        .iter()
        .position(|host| record.contains(&format!("\"{}/", host.name)))
}

/// Runs with engines that refuse orders with an old fencing number, and with engines that ignore it:
/// without the check, the current holder has to revert the orders of a former one.
#[test]
fn a_rollout_continues_on_another_host_while_the_lease_holder_is_paused() {
    for (settings, engine) in [
        (
            format!("{LEASE_SETTING}[pools]\nchecking_fencing_numbers = [\"reviewers\"]\n"),
            &[][..],
        ),
        (LEASE_SETTING.to_owned(), &["--ignore-fencing"][..]),
    ] {
        let mut fleet = start_fleet(&settings, engine);
        let configured = model_with(2, &[("v1", "established"), ("v2", "rollout 10")]);
        fleet.edit(&[("model/review", &configured)]);
        wait_until("a first engine has loaded v2", || {
            engines_with(&fleet, "review@v2") >= 1
        });
        // The lease holder is paused during the rollout.
        let first = lease_holder(&fleet).unwrap();
        fleet.hosts[first].process.signal("STOP");
        let configured = model_with(
            2,
            &[
                ("v1", "established"),
                ("v2", "rollout 50"),
                ("v3", "rollout 10"),
            ],
        );
        fleet.edit(&[("model/review", &configured)]);
        wait_until("another lease holder completes the loads", || {
            engines_with(&fleet, "review@v2") == 2 && engines_with(&fleet, "review@v3") == 2
        });
        let second = lease_holder(&fleet).unwrap();
        assert_ne!(first, second);
        fleet.hosts[first].process.signal("CONT");
        // The former lease holder resumes and may give orders of its own. The configuration, which
        // now withdraws v2, has to prevail.
        let configured = model_with(
            2,
            &[
                ("v1", "established"),
                ("v2", "withdrawn"),
                ("v3", "established"),
            ],
        );
        let revision = fleet.edit(&[("model/review", &configured)]);
        fleet.wait_in_force(revision);
        wait_until("the engines match the configuration", || {
            engines_with(&fleet, "review@v2") == 0 && engines_with(&fleet, "review@v3") == 2
        });
        for number in 0..ENGINES {
            let fencing_numbers = fencing_numbers(&fleet, number);
            assert!(
                fencing_numbers.is_sorted(),
                "engine {number} accepted orders with fencing numbers {fencing_numbers:?}"
            );
        }
    }
}
