//! Simulation of the cascade: cost and rate of bad answers with sampled, late ratings.
//!
//! `cargo test -p clementinearch-policy --test cost -- --nocapture` prints the table.

use std::collections::VecDeque;

use clementinearch_policy::{
    cascade::{Cascade, Tier},
    names::Name,
    quality::Counts,
};

/// Cost of an answer of the cheap and of the strong model.
const COST: [f64; 2] = [1.0, 5.0];
const ALLOWED_BAD_RATE: f64 = 0.05;
const STRONG_BAD_RATE: f64 = 0.01;
const RATED_SHARE: f64 = 0.2;

/// Delay of a rating, in requests.
const RATING_LAG: usize = 300;
const REQUESTS: usize = 120_000;

/// Length of the learning period, in requests.
const LEARNING: usize = 20_000;

/// Kinds of requests: name, share of the requests, and the cheap model's rate of bad answers.
const KINDS: [(&str, f64, f64); 4] = [
    ("notes", 0.35, 0.01),
    ("tags", 0.25, 0.02),
    ("quick", 0.25, 0.06),
    ("long", 0.15, 0.4),
];

#[derive(Clone, Copy, Default)]
struct Figures {
    cost: f64,
    bad: f64,
    requests: f64,
}

impl Figures {
    fn mean(&self) -> (f64, f64) {
        (self.cost / self.requests, self.bad / self.requests)
    }
}

/// Returns the cost of the optimal fixed shares for each kind, which are known only in hindsight.
fn best_fixed_cost(kinds: &[(&str, f64, f64)]) -> f64 {
    let mut order: Vec<(f64, f64)> = kinds
        .iter()
        .map(|(_, share, bad)| (*share, bad - STRONG_BAD_RATE))
        .collect();
    order.sort_by(|left, right| left.1.total_cmp(&right.1));
    let mut left = ALLOWED_BAD_RATE - STRONG_BAD_RATE;
    let mut cheap = 0.0;
    for (share, loss) in order {
        let taken = if share * loss <= left {
            1.0
        } else {
            left / (share * loss)
        };
        cheap += share * taken;
        left -= share * loss * taken;
    }
    cheap * COST[0] + (1.0 - cheap) * COST[1]
}

/// Returns the cost of the optimal fixed share that is the same for all kinds.
fn best_mix_cost() -> f64 {
    let cheap_bad: f64 = KINDS.iter().map(|(_, share, bad)| share * bad).sum();
    let share = (ALLOWED_BAD_RATE - STRONG_BAD_RATE) / (cheap_bad - STRONG_BAD_RATE);
    share * COST[0] + (1.0 - share) * COST[1]
}

/// Runs the cascade. If `shift` is set, the cheap model turns bad at kind `quick` halfway through.
/// Returns the figures of the learning period, of the time after it, and of the last quarter.
fn run(seed: u64, shift: bool) -> [Figures; 3] {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut cascade = Cascade::default();
    let mut counts = [[Counts::default(); 2]; KINDS.len()];
    let mut late: VecDeque<(usize, usize, bool)> = VecDeque::new();
    let mut figures = [Figures::default(); 3];
    let names = KINDS.map(|(name, _, _)| Name::from(name));
    for number in 0..REQUESTS {
        let mut draw = rng.f64();
        let kind = KINDS
            .iter()
            .position(|(_, share, _)| {
                draw -= share;
                draw < 0.0
            })
            .unwrap_or(0);
        let tier = usize::from(cascade.choose(&names[kind], &mut rng) == Tier::Strong);
        let shifted = shift && number >= REQUESTS / 2 && KINDS[kind].0 == "quick";
        let cheap_bad = if shifted { 0.5 } else { KINDS[kind].2 };
        let is_bad = rng.f64() < [cheap_bad, STRONG_BAD_RATE][tier];
        let periods = [
            number < LEARNING,
            number >= LEARNING,
            number >= REQUESTS * 3 / 4,
        ];
        for (figures, _) in figures
            .iter_mut()
            .zip(periods)
            .filter(|(_, counts)| *counts)
        {
            figures.cost += COST[tier];
            figures.bad += f64::from(u8::from(is_bad));
            figures.requests += 1.0;
        }
        if rng.f64() < RATED_SHARE {
            late.push_back((kind, tier, is_bad));
        }
        if late.len() > (RATING_LAG as f64 * RATED_SHARE) as usize {
            let (kind, tier, is_bad) = late.pop_front().unwrap();
            counts[kind][tier].add(is_bad);
            cascade.update(
                &names[kind],
                counts[kind][0],
                counts[kind][1],
                ALLOWED_BAD_RATE,
            );
        }
    }
    figures
}

#[test]
fn the_allowed_rate_is_kept_at_a_cost_near_the_optimum_in_hindsight() {
    let ideal = best_fixed_cost(&KINDS);
    println!(
        "ideal {ideal:.3}, best mix {:.3}, always strong {:.3}, always cheap {:.3} (exceeds the allowed rate)",
        best_mix_cost(),
        COST[1],
        COST[0]
    );
    for seed in 1..=4 {
        let [learning, after, _] = run(seed, false).map(|it| it.mean());
        println!(
            "seed {seed}: learning {learning:.3?}, after {after:.3?}, ratio {:.3}",
            after.0 / ideal
        );
        assert!(after.1 <= ALLOWED_BAD_RATE, "seed {seed}: {after:?}");
        assert!(after.0 <= 1.15 * ideal, "seed {seed}: {after:?}");
    }
}

#[test]
fn the_allowed_rate_is_kept_after_the_cheap_model_turns_bad_at_one_kind() {
    let mut shifted = KINDS;
    shifted[2].2 = 0.5;
    let ideal = best_fixed_cost(&shifted);
    for seed in 1..=4 {
        let last = run(seed, true)[2].mean();
        println!(
            "shift, seed {seed}: last quarter {last:.3?}, ideal {ideal:.3}, ratio {:.3}",
            last.0 / ideal
        );
        assert!(
            last.1 <= ALLOWED_BAD_RATE && last.0 <= 1.15 * ideal,
            "seed {seed}: {last:?}"
        );
    }
}
