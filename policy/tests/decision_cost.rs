//! Cost of a load-balancing decision in pools of different sizes.

use std::{hint::black_box, sync::Arc, time::Instant};

use clementinearch_policy::{
    load_balancing::{Candidate, LoadView, pick},
    names::Name,
    subset::subset,
    time::Millis,
};

struct Server(LoadView);

impl Candidate for Server {
    fn takes_work(&self, _: Millis) -> bool {
        true
    }

    fn is_in_backoff(&self, _: Millis) -> bool {
        false
    }

    fn load(&self) -> LoadView {
        self.0
    }
}

/// Returns the subset of one host in a fleet with one host for every two servers.
fn host_subset<C: Clone>(servers: &[C]) -> Vec<C> {
    let names = |kind: &str, count: usize| {
        (0..count)
            .map(|number| Name::from(format!("{kind}{number}")))
            .collect()
    };
    let (hosts, names): (Vec<Name>, Vec<Name>) = (
        names("host", servers.len() / 2),
        names("server", servers.len()),
    );
    subset(&names, &hosts, "host0")
        .into_iter()
        .map(|index| servers[index].clone())
        .collect()
}

fn nanoseconds_per_decision(servers: u32) -> f64 {
    const DECISIONS: u32 = 200_000;
    let server = |number| {
        Arc::new(Server(LoadView {
            reported: number % 16,
            slots: 16,
            ..LoadView::default()
        }))
    };
    let servers: Vec<Arc<Server>> = (0..servers).map(server).collect();
    let pool = host_subset(&servers);
    let mut rng = fastrand::Rng::with_seed(1);
    let started = Instant::now();
    for _ in 0..DECISIONS {
        black_box(pick(&pool, &[], Millis(1), &mut rng));
    }
    started.elapsed().as_nanos() as f64 / f64::from(DECISIONS)
}

/// Prints the cost without a bound, since wall-clock times are unreliable in CI. The next test
/// checks that a decision examines only the host's subset, whatever the pool's size.
#[test]
fn print_the_cost_of_a_decision() {
    for servers in [64, 128, 640] {
        println!(
            "{servers} servers: {:.0} ns per decision",
            nanoseconds_per_decision(servers)
        );
    }
}

#[test]
fn a_decision_examines_as_few_servers_of_640_as_of_64() {
    use std::cell::Cell;
    #[derive(Clone)]
    struct Counting<'a>(&'a Cell<u32>);
    impl Candidate for Counting<'_> {
        fn takes_work(&self, _: Millis) -> bool {
            self.0.set(self.0.get() + 1);
            true
        }
        fn is_in_backoff(&self, _: Millis) -> bool {
            false
        }
        fn load(&self) -> LoadView {
            LoadView::default()
        }
    }
    let examined = |servers: usize| {
        let count = Cell::new(0);
        let servers: Vec<Counting<'_>> = (0..servers).map(|_| Counting(&count)).collect();
        let pool = host_subset(&servers);
        let mut rng = fastrand::Rng::with_seed(1);
        for _ in 0..1000 {
            pick(&pool, &[], Millis(1), &mut rng);
        }
        count.get()
    };
    assert_eq!(examined(64), examined(640));
}
