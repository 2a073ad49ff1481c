//! Cheap model or strong one: the lowest cost at which a plan's share of bad answers is kept.
//!
//! For each kind of request the shares of bad answers of both models are estimated from late
//! ratings. All kinds begin with the strong model; those that lose least by the cheap one move
//! first, until the plan's allowed share is used up.

use crate::{
    names::{FastMap, Name},
    quality::Counts,
};

/// Share of requests that go to the other model than the one chosen, so that its ratings go on coming.
pub const EXPLORATION_SHARE: f64 = 0.02;

/// Ratings of a window; an estimate rests on one to two windows, so that old ratings lapse.
const WINDOW: u64 = 300;

/// Ratings of the cheap model below which a kind stays with the strong one, but for exploring.
const ENOUGH_RATINGS: u64 = 30;

/// Share of requests that explore the cheap model while it has too few ratings.
const LEARNING_SHARE: f64 = 0.2;

/// Part of the allowed share that is held back for what the estimates miss.
const RESERVE: f64 = 0.1;

/// Which of the two models.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Tier {
    /// The cheap one.
    Cheap,
    /// The strong one.
    Strong,
}

/// Recent readings of a counter that only grows.
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
        if in_newer.good + in_newer.bad >= WINDOW {
            self.from = self.middle;
            self.middle = self.latest;
        }
    }

    fn recent(&self) -> Counts {
        self.latest.since(self.from)
    }

    /// Estimated share of bad answers, drawn towards one half while there are few.
    fn bad_share(&self) -> f64 {
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
        cheap.good + cheap.bad >= ENOUGH_RATINGS
    }

    fn loss(&self) -> f64 {
        self.cheap.bad_share() - self.strong.bad_share()
    }
}

/// What one host knows about the kinds of requests of one cascade.
#[derive(Clone, Debug, Default)]
pub struct Cascade {
    kinds: FastMap<Name, Kind>,
    /// Requests by kind that this host decided on, which weigh the kinds.
    requests: FastMap<Name, u64>,
}

impl Cascade {
    /// Takes in the counters of a kind, as all hosts have counted them, and decides anew.
    pub fn update(&mut self, kind: &Name, cheap: Counts, strong: Counts, allowed_bad_rate: f64) {
        let entry = self.kinds.entry(kind.clone()).or_default();
        entry.cheap.update(cheap);
        entry.strong.update(strong);
        self.decide(allowed_bad_rate);
    }

    /// Moves kinds to the cheap model, those that lose least first.
    fn decide(&mut self, allowed_bad_rate: f64) {
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
        let by_strong: f64 = self
            .kinds
            .iter()
            .map(|(name, kind)| weight(name) * kind.strong.bad_share())
            .sum();
        let mut left = allowed_bad_rate * (1.0 - RESERVE) - by_strong;
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

    /// The model for a request of this kind.
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
