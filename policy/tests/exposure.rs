//! Simulation of the halting of bad versions: the answers that a bad version gives until all hosts
//! have stopped it, and the rate of false halts of a good one.
//!
//! Hosts exchange their counts with a delay. Ratings are sampled, arrive late and may be lost. All
//! runs are seeded.
//!
//! `cargo test -p clementinearch-policy --test exposure -- --nocapture` prints the table.

use std::collections::VecDeque;

use clementinearch_policy::quality::{Counts, DriftDetector, ROLLOUTS_PER_FALSE_HALT, should_halt};

const ALLOWED_BAD_RATE: f64 = 0.02;
const RUNS: u64 = 100;

/// Parameters of a simulated rollout; a step is one second.
#[derive(Clone, Copy)]
struct Rollout {
    hosts: usize,
    answers_per_second: f64,
    rated_share: f64,
    rating_lag: usize,
    /// Steps until a host's counts and halts reach the others.
    propagation: usize,
    /// Number of hosts in a partitioned zone, which neither send counts nor learn of halts.
    partitioned: usize,
    bad_rate: f64,
}

struct Outcome {
    /// Ratings known to the connected hosts when they halted.
    samples: u64,
    /// Answers of the version until all connected hosts had stopped it.
    exposed_connected: u64,
    /// Answers of the version until all hosts had stopped it.
    exposed: u64,
}

fn binomial(rng: &mut fastrand::Rng, expected: f64) -> u64 {
    let whole = expected.floor();
    whole as u64 + u64::from(rng.f64() < expected - whole)
}

/// Runs until all hosts have stopped the version; `None` if that takes more than `max_steps`.
fn run(rollout: Rollout, max_steps: usize, rng: &mut fastrand::Rng) -> Option<Outcome> {
    let per_host = rollout.answers_per_second / rollout.hosts as f64;
    let groups = [rollout.hosts - rollout.partitioned, rollout.partitioned];
    let mut counts = [Counts::default(); 2];
    let mut pending: VecDeque<[Counts; 2]> =
        vec![[Counts::default(); 2]; rollout.rating_lag + rollout.propagation].into();
    let mut halted_at: [Option<usize>; 2] = [None, None];
    let mut exposed = [0u64; 2];
    let mut samples = 0;
    for step in 0..max_steps {
        let mut fresh = [Counts::default(); 2];
        for group in 0..2 {
            let is_stopped = halted_at[group].is_some_and(|at| step >= at + rollout.propagation);
            if is_stopped || groups[group] == 0 {
                continue;
            }
            let answers = binomial(rng, per_host * groups[group] as f64);
            exposed[group] += answers;
            for _ in 0..answers {
                if rng.f64() < rollout.rated_share {
                    fresh[group].add(rng.f64() < rollout.bad_rate);
                }
            }
        }
        pending.push_back(fresh);
        for (count, known) in counts.iter_mut().zip(pending.pop_front().unwrap()) {
            *count = count.plus(known);
        }
        for group in 0..2 {
            if halted_at[group].is_none() && should_halt(counts[group], ALLOWED_BAD_RATE) {
                halted_at[group] = Some(step);
                if group == 0 {
                    samples = counts[0].good + counts[0].bad;
                }
            }
        }
        let is_stopped = |group: usize| {
            groups[group] == 0
                || halted_at[group].is_some_and(|at| step >= at + rollout.propagation)
        };
        if is_stopped(0) && is_stopped(1) {
            return Some(Outcome {
                samples,
                exposed_connected: exposed[0],
                exposed: exposed[0] + exposed[1],
            });
        }
    }
    None
}

/// Returns Wald's bound on the expected number of samples, for a single observer who sees all
/// ratings and knows the bad rate.
fn wald_samples(bad_rate: f64) -> f64 {
    let bad = bad_rate * (bad_rate / ALLOWED_BAD_RATE).ln();
    let good = (1.0 - bad_rate) * ((1.0 - bad_rate) / (1.0 - ALLOWED_BAD_RATE)).ln();
    ROLLOUTS_PER_FALSE_HALT.ln() / (bad + good)
}

fn base(hosts: usize, bad_rate: f64) -> Rollout {
    Rollout {
        hosts,
        answers_per_second: hosts as f64 / 7.0,
        rated_share: 0.2,
        rating_lag: 5,
        propagation: if hosts > 7 { 6 } else { 3 },
        partitioned: 0,
        bad_rate,
    }
}

#[test]
fn a_bad_version_is_stopped_within_twice_the_samples_of_walds_bound() {
    println!("case                hosts  bad   samples  wald  ratio  exposed  of_it_in_flight");
    let mut failures = Vec::new();
    for hosts in [7, 320] {
        for bad_rate in [0.04, 0.2] {
            let plain = base(hosts, bad_rate);
            let cases = [
                ("plain", plain),
                (
                    "one zone cut off",
                    Rollout {
                        partitioned: hosts / 7,
                        ..plain
                    },
                ),
                (
                    "a quarter lost",
                    Rollout {
                        rated_share: plain.rated_share * 0.75,
                        ..plain
                    },
                ),
            ];
            for (name, rollout) in cases {
                let mut rng = fastrand::Rng::with_seed(7);
                let runs = (0..RUNS)
                    .map(|_| run(rollout, 2_000_000, &mut rng).expect("a bad version is halted"));
                let (mut samples, mut exposed, mut all) = (0.0, 0.0, 0.0);
                for outcome in runs {
                    samples += outcome.samples as f64 / RUNS as f64;
                    exposed += outcome.exposed_connected as f64 / RUNS as f64;
                    all += outcome.exposed as f64 / RUNS as f64;
                }
                let in_flight = rollout.answers_per_second
                    * (rollout.rating_lag + 2 * rollout.propagation) as f64;
                let wald = wald_samples(bad_rate);
                let ratio = samples / wald;
                println!(
                    "{name:18}  {hosts:5}  {bad_rate:.2}  {samples:7.0}  {wald:4.0}  {ratio:5.2}  {all:7.0}  {in_flight:.0}"
                );
                let bound = 2.0 * wald / rollout.rated_share + in_flight;
                if exposed > bound {
                    failures.push(format!(
                        "{name} {hosts} {bad_rate}: {exposed:.0} answers, bound {bound:.0}"
                    ));
                }
            }
        }
    }
    assert!(failures.is_empty(), "{failures:?}");
}

#[test]
fn a_good_version_is_halted_in_at_most_one_of_a_thousand_rollouts() {
    const ROLLOUTS: u64 = 10_000;
    const RATINGS: u64 = 5_000;
    let mut rng = fastrand::Rng::with_seed(11);
    let mut halts = 0;
    for _ in 0..ROLLOUTS {
        let mut counts = Counts::default();
        for _ in 0..RATINGS {
            counts.add(rng.f64() < ALLOWED_BAD_RATE);
            // Evaluating the test after every rating is the worst case.
            if should_halt(counts, ALLOWED_BAD_RATE) {
                halts += 1;
                break;
            }
        }
    }
    println!("false halts: {halts} in {ROLLOUTS} rollouts of {RATINGS} ratings");
    assert!(
        halts <= ROLLOUTS / 1000,
        "{halts} false halts in {ROLLOUTS} rollouts"
    );
}

#[test]
fn a_version_that_turns_bad_after_many_good_ratings_is_halted_as_soon_as_a_new_one() {
    const GOOD_RATINGS: u64 = 100_000;
    for bad_rate in [0.04, 0.2] {
        let mut total = 0;
        let mut false_halts = 0;
        for seed in 0..50 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let (mut detector, mut counts) = (DriftDetector::default(), Counts::default());
            for _ in 0..GOOD_RATINGS {
                counts.add(rng.f64() < ALLOWED_BAD_RATE);
                if detector.update(counts, ALLOWED_BAD_RATE) {
                    false_halts += 1;
                    detector = DriftDetector::default();
                    detector.update(counts, ALLOWED_BAD_RATE);
                }
            }
            let mut samples = 0;
            loop {
                samples += 1;
                counts.add(rng.f64() < bad_rate);
                if detector.update(counts, ALLOWED_BAD_RATE) {
                    break;
                }
            }
            total += samples;
        }
        let mean = total as f64 / 50.0;
        println!(
            "turned bad to {bad_rate}: {mean:.0} samples, Wald {:.0}, {false_halts} false halts in 5 million ratings",
            wald_samples(bad_rate)
        );
        assert!(
            mean <= 2.0 * wald_samples(bad_rate),
            "{mean} samples at {bad_rate}"
        );
    }
}
