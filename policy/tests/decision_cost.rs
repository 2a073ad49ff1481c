//! Cost of one routing decision at two sizes of a pool.

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

    fn failed_lately(&self, _: Millis) -> bool {
        false
    }

    fn load(&self) -> LoadView {
        self.0
    }
}

/// The servers that one host uses where there is one host to two servers, as in the fleet.
fn used_of<C: Clone>(servers: &[C]) -> Vec<C> {
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

fn nanoseconds_a_decision(servers: u32) -> f64 {
    const DECISIONS: u32 = 200_000;
    let server = |number| {
        Arc::new(Server(LoadView {
            reported: number % 16,
            slots: 16,
            ..LoadView::default()
        }))
    };
    let servers: Vec<Arc<Server>> = (0..servers).map(server).collect();
    let pool = used_of(&servers);
    let mut rng = fastrand::Rng::with_seed(1);
    let began = Instant::now();
    for _ in 0..DECISIONS {
        black_box(pick(&pool, &[], Millis(1), &mut rng));
    }
    began.elapsed().as_nanos() as f64 / f64::from(DECISIONS)
}

/// Printed, not bound: a wall clock decides nothing in CI. The decision looks at the servers
/// that the host uses whatever the size, which the next test holds.
#[test]
fn print_the_cost_of_a_decision() {
    for servers in [64, 128, 640] {
        println!(
            "{servers} servers: {:.0} ns a decision",
            nanoseconds_a_decision(servers)
        );
    }
}

#[test]
fn a_decision_looks_at_as_few_servers_at_640_as_at_64() {
    use std::cell::Cell;
    #[derive(Clone)]
    struct Counting<'a>(&'a Cell<u32>);
    impl Candidate for Counting<'_> {
        fn takes_work(&self, _: Millis) -> bool {
            self.0.set(self.0.get() + 1);
            true
        }
        fn failed_lately(&self, _: Millis) -> bool {
            false
        }
        fn load(&self) -> LoadView {
            LoadView::default()
        }
    }
    let looks = |servers: usize| {
        let count = Cell::new(0);
        let servers: Vec<Counting<'_>> = (0..servers).map(|_| Counting(&count)).collect();
        let pool = used_of(&servers);
        let mut rng = fastrand::Rng::with_seed(1);
        for _ in 0..1000 {
            pick(&pool, &[], Millis(1), &mut rng);
        }
        count.get()
    };
    assert_eq!(looks(64), looks(640));
}
