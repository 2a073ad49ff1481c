//! Model cascade: routes requests to a cheap or a strong model at the lowest cost that keeps a
//! plan's allowed rate of bad answers.
//!
//! For each kind of request, the rates of bad answers of both models are estimated from ratings,
//! which arrive late. All kinds begin on the strong model. The kinds that lose least quality move
//! to the cheap model first, until the allowed rate is used up.

use crate::{
    names::{FastMap, Name},
    quality::Counts,
};

/// Share of requests sent to the model that is not preferred, so that it keeps getting ratings.
pub const EXPLORATION_SHARE: f64 = 0.02;

/// Ratings in one window; an estimate covers one to two windows, so that old ratings expire.
const WINDOW_RATINGS: u64 = 300;

/// Ratings of the cheap model below which a kind stays on the strong one, except for exploration.
const MIN_RATINGS: u64 = 30;

/// Share of requests sent to the cheap model while it has fewer than [`MIN_RATINGS`].
const LEARNING_SHARE: f64 = 0.2;

/// Fraction of the allowed rate held back for estimation errors.
const RESERVE_FRACTION: f64 = 0.1;

/// One of the two models of a cascade.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Tier {
    /// The cheap model.
    Cheap,
    /// The strong model.
    Strong,
}

/// Window over the readings of a monotonic counter.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    from: Counts,
    middle: Counts,
    latest: Counts,
}

impl Window {
    fn update(&mut self, counts: Counts) {
        self.latest = self.latest.later(counts);
        let in_newer = self.latest.since(self.middle);
        if in_newer.total() >= WINDOW_RATINGS {
            self.from = self.middle;
            self.middle = self.latest;
        }
    }

    fn recent(&self) -> Counts {
        self.latest.since(self.from)
    }

    /// Returns the estimated rate of bad answers, smoothed towards one half while there are few.
    fn bad_rate(&self) -> f64 {
        let counts = self.recent();
        (counts.bad as f64 + 0.5) / (counts.good as f64 + counts.bad as f64 + 1.0)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Kind {
    cheap: Window,
    strong: Window,
    share_cheap: f64,
}

impl Kind {
    fn is_known(&self) -> bool {
        let cheap = self.cheap.recent();
        cheap.total() >= MIN_RATINGS
    }

    fn loss(&self) -> f64 {
        self.cheap.bad_rate() - self.strong.bad_rate()
    }
}

/// Ratings and decisions of one host for one cascade, by kind of request.
#[derive(Clone, Debug, Default)]
pub struct Cascade {
    kinds: FastMap<Name, Kind>,
    /// Number of requests decided on this host, which gives the weight of each kind.
    requests: FastMap<Name, u64>,
}

impl Cascade {
    /// Updates the fleet-wide rating counters of a kind and recomputes the shares of all kinds.
    pub fn update(&mut self, kind: &Name, cheap: Counts, strong: Counts, allowed_bad_rate: f64) {
        let entry = self.kinds.entry(kind.clone()).or_default();
        entry.cheap.update(cheap);
        entry.strong.update(strong);
        self.assign_shares(allowed_bad_rate);
    }

    /// Assigns the cheap model's share of each kind, beginning with the kinds that lose least.
    fn assign_shares(&mut self, allowed_bad_rate: f64) {
        let total: u64 = self.requests.values().sum::<u64>().max(1);
        let requests = &self.requests;
        let weight = |name: &Name| requests.get(name).copied().unwrap_or(0) as f64 / total as f64;
        let mut order: Vec<(Name, f64)> = self
            .kinds
            .iter()
            .map(|(name, kind)| (name.clone(), kind.loss()))
            .collect();
        order.sort_by(|left, right| {
            left.1
                .total_cmp(&right.1)
                .then_with(|| left.0.cmp(&right.0))
        });
        let strong_rate: f64 = self
            .kinds
            .iter()
            .map(|(name, kind)| weight(name) * kind.strong.bad_rate())
            .sum();
        let mut left = allowed_bad_rate * (1.0 - RESERVE_FRACTION) - strong_rate;
        for (name, loss) in order {
            let cost = weight(&name) * loss;
            let Some(kind) = self.kinds.get_mut(&name) else {
                continue;
            };
            let share = if cost <= left.max(0.0) {
                1.0
            } else {
                (left.max(0.0) / cost).clamp(0.0, 1.0)
            };
            kind.share_cheap = if kind.is_known() { share } else { 0.0 };
            left -= cost * kind.share_cheap;
        }
    }

    /// Chooses the model for a request of this kind.
    pub fn choose(&mut self, kind: &Name, rng: &mut fastrand::Rng) -> Tier {
        *self.requests.entry(kind.clone()).or_default() += 1;
        let known = self.kinds.get(kind);
        let share = match known {
            Some(kind) if kind.is_known() => kind
                .share_cheap
                .clamp(EXPLORATION_SHARE, 1.0 - EXPLORATION_SHARE),
            _ => LEARNING_SHARE,
        };
        if rng.f64() < share {
            Tier::Cheap
        } else {
            Tier::Strong
        }
    }
}
