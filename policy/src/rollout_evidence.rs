//! Evidence on the versions of a rollout: outcomes of their responses by period and route, which
//! hosts exchange and add up.
//!
//! Failures and slow responses are counted apart: sound versions hardly ever fail, but often have
//! slow responses. Periods make old and new version comparable while both are subject to the same
//! conditions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{quality::Counts, rollout::Exposure};

/// Period of the responses before the order.
pub const BEFORE_ORDER: u16 = 0;

/// Number of periods in the time limit of a rollout.
const PERIODS: u128 = 16;

/// Last period; responses after it count for it.
const LAST_PERIOD: u16 = 2 * PERIODS as u16;

/// Largest number of routes that are told apart; the counts of further routes are added up.
const MAX_ROUTES: usize = 6;

/// Key of the routes beyond [`MAX_ROUTES`].
const OTHER_ROUTES: u32 = 0;

/// Number of periods in which responses of loaded servers are added up: there are few of them.
const LOADED_PERIODS: u16 = 4;

/// Least responses of the old version's loaded servers that are a measure of the new one's.
const MIN_LOADED_RESPONSES: u64 = 30;

/// What a response shows of its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response was complete, or its stream has begun.
    Success,
    /// The response was a failure of the server.
    Failure,
    /// The response broke off, or none came: the fault may be that of the connection.
    Broken,
    /// The response came at the usual pace.
    InTime,
    /// The response took much longer than usual.
    Slow,
    /// The response took many times longer than usual.
    VerySlow,
}

impl Outcome {
    /// Whether the outcome tells of a response's pace.
    pub fn is_pace(self) -> bool {
        matches!(self, Self::InTime | Self::Slow | Self::VerySlow)
    }

    /// Whether the server itself told that it served the request or failed.
    pub fn is_answered(self) -> bool {
        matches!(self, Self::Success | Self::Failure)
    }
}

/// Outcomes of one version's responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Successes and failures.
    pub responses: Counts,
    /// Responses in time and slow ones, of those whose pace can be judged.
    pub pace: Counts,
    /// The same responses; bad ones are very slow. Trouble that makes responses slow makes few of
    /// them very slow.
    pub stalls: Counts,
}

impl Outcomes {
    /// Counts of an outcome of pace only whether the response was very slow.
    pub fn add_stall(&mut self, outcome: Outcome) {
        self.stalls.add(outcome == Outcome::VerySlow);
    }

    /// Counts one outcome.
    pub fn add(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Success => self.responses.add(false),
            Outcome::Failure | Outcome::Broken => self.responses.add(true),
            Outcome::InTime | Outcome::Slow | Outcome::VerySlow => {
                self.pace.add(outcome != Outcome::InTime);
                self.stalls.add(outcome == Outcome::VerySlow);
            }
        }
    }

    /// Returns the later of two readings of the same outcomes, which only grow.
    pub fn later(self, other: Self) -> Self {
        Self {
            responses: self.responses.later(other.responses),
            pace: self.pace.later(other.pace),
            stalls: self.stalls.later(other.stalls),
        }
    }

    /// Returns the sum of two counts.
    pub fn plus(self, other: Self) -> Self {
        Self {
            responses: self.responses.plus(other.responses),
            pace: self.pace.plus(other.pace),
            stalls: self.stalls.plus(other.stalls),
        }
    }

    /// Returns good and bad responses, with slow ones among the bad.
    pub fn total(self) -> Counts {
        Counts {
            good: self.responses.good.saturating_sub(self.pace.bad),
            bad: self.responses.bad.saturating_add(self.pace.bad),
        }
    }
}

/// Outcomes of the new and the old versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pair {
    /// Outcomes of the version that is rolled out.
    pub new: Outcomes,
    /// Outcomes of all other versions.
    pub old: Outcomes,
}

impl Pair {
    fn later(self, other: Self) -> Self {
        Self {
            new: self.new.later(other.new),
            old: self.old.later(other.old),
        }
    }

    /// Returns the sum of two pairs.
    pub fn plus(self, other: Self) -> Self {
        Self {
            new: self.new.plus(other.new),
            old: self.old.plus(other.old),
        }
    }
}

/// Outcomes of one route in one period, as exchanged between hosts: period, hash of the route, and
/// the good and bad responses, paces and stalls of the new and the old versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceRow(u16, u32, [u32; 12]);

impl EvidenceRow {
    fn new((period, route): (u16, u32), pair: &Pair) -> Self {
        let mut numbers = [0; 12];
        let counts = [pair.new, pair.old].map(|it| [it.responses, it.pace, it.stalls]);
        let number = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        for (pair, counts) in numbers.chunks_exact_mut(2).zip(counts.as_flattened()) {
            pair.copy_from_slice(&[number(counts.good), number(counts.bad)]);
        }
        Self(period, route, numbers)
    }

    fn pair(&self) -> Pair {
        let counts = |at: usize| Counts {
            good: u64::from(self.2[at]),
            bad: u64::from(self.2[at + 1]),
        };
        let outcomes = |at: usize| Outcomes {
            responses: counts(at),
            pace: counts(at + 2),
            stalls: counts(at + 4),
        };
        Pair {
            new: outcomes(0),
            old: outcomes(6),
        }
    }
}

/// Returns the period of a rollout with this time limit that holds the time `elapsed` after its
/// order.
pub fn period_at(elapsed: std::time::Duration, time_limit: std::time::Duration) -> u16 {
    let period = elapsed.as_millis() * PERIODS / time_limit.as_millis().max(1);
    1 + period.min(u128::from(LAST_PERIOD - 1)) as u16
}

/// Number of periods before the present one over which the rate of requests is taken.
const RATE_PERIODS: u16 = 3;

/// Outcomes by period and hash of the route.
type Cells = BTreeMap<(u16, u32), Pair>;

fn cell_rows(cells: &Cells) -> Vec<EvidenceRow> {
    let cells = cells.iter();
    cells
        .map(|(key, pair)| EvidenceRow::new(*key, pair))
        .collect()
}

/// Merges a reading of the same cells. Rows on periods that no rollout has are left out.
fn merge_rows(cells: &mut Cells, rows: &[EvidenceRow]) {
    for row in rows.iter().filter(|row| row.0 <= LAST_PERIOD) {
        let known = cells.entry((row.0, row.1)).or_default();
        *known = known.later(row.pair());
    }
}

fn add_cells(cells: &mut Cells, other: &Cells) {
    for (key, pair) in other {
        let known = cells.entry(*key).or_default();
        *known = known.plus(*pair);
    }
}

fn periods_of(cells: &Cells, route: Option<u32>) -> BTreeMap<u16, Pair> {
    let mut periods: BTreeMap<u16, Pair> = BTreeMap::new();
    let wanted = |key: &(u16, u32)| route.is_none_or(|route| key.1 == route);
    for ((period, _), pair) in cells.iter().filter(|(key, _)| wanted(key)) {
        let sum = periods.entry(*period).or_default();
        *sum = sum.plus(*pair);
    }
    periods
}

/// Outcomes by period and route.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    cells: Cells,
    /// The failures and successes of loaded servers among them, by [`LOADED_PERIODS`].
    loaded: Cells,
}

impl Evidence {
    /// Adds outcomes of a route, given by its hash, in a period.
    pub fn add(&mut self, period: u16, route: u32, pair: Pair) {
        let key = (period, self.route_key(route));
        let known = self.cells.entry(key).or_default();
        *known = known.plus(pair);
    }

    /// Adds outcomes of loaded servers in a period, which [`Evidence::add`] has to count as well. Broken
    /// responses do not belong here: connections that break, whatever the load, would hide the failures
    /// that come with it.
    pub fn add_loaded(&mut self, period: u16, route: u32, pair: Pair) {
        let key = (period / LOADED_PERIODS, self.route_key(route));
        let known = self.loaded.entry(key).or_default();
        *known = known.plus(pair);
    }

    /// Returns the failures and successes of the new version's loaded servers on a route.
    pub fn loaded_responses(&self, route: u32) -> Counts {
        let cells = self.loaded.iter().filter(|((_, key), _)| *key == route);
        cells.fold(Counts::default(), |sum, (_, pair)| {
            sum.plus(pair.new.responses)
        })
    }

    /// Returns the failures and successes of the new version's loaded servers on all routes.
    pub fn loaded_total(&self) -> Counts {
        let cells = self.loaded.values();
        cells.fold(Counts::default(), |sum, pair| sum.plus(pair.new.responses))
    }

    /// Returns the outcomes on a route by which those of loaded servers are judged, by spans of time:
    /// those of loaded servers, or of all servers while the old version had too few loaded ones.
    pub fn loaded_baseline(&self, route: u32) -> BTreeMap<u16, Pair> {
        let loaded = periods_of(&self.loaded, Some(route));
        let old = loaded.values().map(|pair| pair.old.responses.total());
        if old.sum::<u64>() >= MIN_LOADED_RESPONSES {
            return loaded;
        }
        self.by_period(Some(route))
    }

    fn route_key(&self, route: u32) -> u32 {
        let routes = self.routes();
        if routes.contains(&route) || routes.len() < MAX_ROUTES {
            route
        } else {
            OTHER_ROUTES
        }
    }

    /// Returns the rows to send to a peer.
    pub fn rows(&self) -> Vec<EvidenceRow> {
        cell_rows(&self.cells)
    }

    /// Returns the rows on loaded servers to send to a peer.
    pub fn loaded_rows(&self) -> Vec<EvidenceRow> {
        cell_rows(&self.loaded)
    }

    /// Merges a later or earlier reading of the same evidence, and of that of loaded servers. Counts
    /// only grow, so the larger number is the later one.
    pub fn merge(&mut self, rows: &[EvidenceRow], loaded: &[EvidenceRow]) {
        merge_rows(&mut self.cells, rows);
        merge_rows(&mut self.loaded, loaded);
    }

    /// Adds the evidence of another host or zone.
    pub fn add_all(&mut self, other: &Self) {
        add_cells(&mut self.cells, &other.cells);
        add_cells(&mut self.loaded, &other.loaded);
    }

    /// Returns the hashes of the routes with evidence, in order.
    pub fn routes(&self) -> Vec<u32> {
        let mut routes: Vec<u32> = self.cells.keys().map(|(_, route)| *route).collect();
        routes.sort_unstable();
        routes.dedup();
        routes
    }

    /// Returns the outcomes by period: of one route, or of all if `route` is none.
    pub fn by_period(&self, route: Option<u32>) -> BTreeMap<u16, Pair> {
        periods_of(&self.cells, route)
    }

    /// Returns the requests since the order, `elapsed` of `time_limit` after it. The rate is the
    /// mean of that of the last periods and that since the order.
    pub fn exposure(
        &self,
        elapsed: std::time::Duration,
        time_limit: std::time::Duration,
    ) -> Exposure {
        let periods = self.by_period(None);
        let requests = |range: std::ops::Range<u16>| {
            let pairs = periods.range(range);
            let count = |outcomes: Outcomes| outcomes.responses.total() as f64;
            pairs.fold((0.0, 0.0), |(new, all), (_, pair)| {
                (
                    new + count(pair.new),
                    all + count(pair.new) + count(pair.old),
                )
            })
        };
        let present = period_at(elapsed, time_limit);
        let (new, all) = requests(BEFORE_ORDER + 1..u16::MAX);
        let first = present.saturating_sub(RATE_PERIODS).max(BEFORE_ORDER + 1);
        let (_, recent) = requests(first..present);
        let period_s = time_limit.as_secs_f64() / PERIODS as f64;
        let recent_s =
            (f64::from(present.saturating_sub(first)).max(1.0) * period_s).max(f64::MIN_POSITIVE);
        let mean = all / elapsed.as_secs_f64().max(period_s);
        Exposure {
            new,
            all,
            per_s: (mean + recent / recent_s) / 2.0,
        }
    }

    /// Returns the outcomes since the order over all periods and routes.
    pub fn total(&self) -> Pair {
        let periods = self.by_period(None);
        let since_order = periods.range(BEFORE_ORDER + 1..);
        since_order.fold(Pair::default(), |sum, (_, pair)| sum.plus(*pair))
    }
}
