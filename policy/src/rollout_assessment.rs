//! Assessment of a version that is rolled out, by the evidence of all hosts.

use std::collections::BTreeMap;

use crate::{
    quality::{
        ALTERNATIVE_FACTORS, Counts, MAX_ALTERNATIVE_RATE, ROLLOUTS_PER_FALSE_HALT, log_ratio,
    },
    rollout_evidence::{BEFORE_ORDER, Evidence, Outcomes, Pair},
};

/// Tolerated ratio of the new version's odds of bad responses to the old version's. Unlike the ratio
/// of rates, it still tells versions apart where both often have bad responses.
const TOLERATED_ODDS_RATIO: f64 = 1.5;

/// Number of responses at [`ALLOWED_RATE`] that are added to the old version's counts, so that its
/// rate is not underestimated while it has few responses.
const PRIOR_RESPONSES: f64 = 20.0;

/// Rate of bad responses that is allowed to every version.
const ALLOWED_RATE: f64 = 0.04;

/// Rate of bad responses of a version that must not be cleared.
const BAD_RATE: f64 = 0.45;

/// Likelihood ratio of [`BAD_RATE`] against the old version's rate below the inverse of which a
/// version is cleared.
const CLEARING_RATIO: f64 = 100.0;

/// Likelihood ratio against a version from which its share does not grow.
const SUSPECT_RATIO: f64 = 15.0;

/// Likelihood ratio of failures of loaded servers from which a version is doubtful. It is lower than
/// [`SUSPECT_RATIO`]: a load trial shows a server of a small service under load only a few times.
const LOADED_DOUBT_RATIO: f64 = 5.0;

/// Standard errors that loaded servers are allowed beyond the old version's rate of failures: callers
/// repeat requests that fail at any version, so that these come in bursts.
const BURST_ERRORS: f64 = 4.0;

/// Distance of periods that count as the same time: conditions change between responses.
const CONCURRENT_RADIUS: u16 = 1;

/// Least responses of the old version in a span of periods whose rate is a measure.
const MIN_OLD_RESPONSES: u64 = 50;

/// What the evidence says of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// There is too little evidence.
    Open,
    /// It serves as well as the old version does in its best periods.
    Cleared,
    /// It looks worse than the old version in its best periods, if not at the same time.
    Doubtful,
    /// It looks worse than the old version.
    Suspect,
    /// It is significantly worse than the old version.
    Bad,
}

/// What an [`Assessment`] rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Failures.
    Failures,
    /// Slow responses.
    Pace,
    /// Very slow responses.
    Stalls,
    /// Failures of loaded servers.
    LoadedFailures,
}

impl Verdict {
    /// Returns the word for logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Cleared => "cleared",
            Self::Doubtful => "doubtful",
            Self::Suspect => "suspect",
            Self::Bad => "bad",
        }
    }
}

impl Kind {
    /// Kinds of evidence that all responses give.
    const ALL: [Self; 3] = [Self::Failures, Self::Pace, Self::Stalls];

    /// Returns the word for logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Failures => "failures",
            Self::Pace => "pace",
            Self::Stalls => "stalls",
            Self::LoadedFailures => "loaded_failures",
        }
    }

    fn counts(self, outcomes: Outcomes) -> Counts {
        match self {
            Self::Failures | Self::LoadedFailures => outcomes.responses,
            Self::Pace => outcomes.pace,
            Self::Stalls => outcomes.stalls,
        }
    }
}

/// A verdict, and the strongest evidence against the version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assessment {
    /// What the evidence says.
    pub verdict: Verdict,
    /// What the strongest evidence consists of.
    pub kind: Kind,
    /// Hash of the route that it comes from; none if all routes show it together.
    pub route: Option<u32>,
    /// Logarithm of its likelihood ratio.
    pub log_ratio: f64,
    /// The same of the failures of loaded servers.
    pub loaded_log_ratio: f64,
}

/// Assesses the new version by the evidence of all hosts.
///
/// It is bad if its failures, slow or very slow responses on all routes together, or its failures on
/// one of them, are significantly more frequent than the old version's at the same time. It is
/// cleared if all are as rare as the old version's at its best: an old version in trouble, or under
/// more load than the new one, is no measure. Worse than that, but not than the old version at the
/// same time, it is doubtful, as it is if it often fails on loaded servers.
pub fn assess(evidence: &Evidence) -> Assessment {
    let all = evidence.by_period(None);
    let routes = evidence.routes();
    let of_all = |kind| (kind, None, suspicion(&all, kind));
    let mut scopes = Kind::ALL.map(of_all).to_vec();
    for route in &routes {
        let periods = evidence.by_period(Some(*route));
        let log_ratio = suspicion(&periods, Kind::Failures);
        scopes.push((Kind::Failures, Some(*route), log_ratio));
    }
    let count = scopes.len() as f64;
    let (kind, route, log_ratio) = scopes
        .into_iter()
        .max_by(|one, other| one.2.total_cmp(&other.2))
        .unwrap_or((Kind::Failures, None, 0.0));
    let loaded_log_ratio = loaded_log_ratio(evidence);
    let assessment = |verdict| Assessment {
        verdict,
        kind,
        route,
        log_ratio,
        loaded_log_ratio,
    };
    let tests = ALTERNATIVE_FACTORS.len() as f64 * count;
    let suspect = (SUSPECT_RATIO * ALTERNATIVE_FACTORS.len() as f64).ln();
    let conclusive = (ROLLOUTS_PER_FALSE_HALT * tests).ln();
    if log_ratio >= conclusive {
        return assessment(Verdict::Bad);
    }
    if log_ratio >= suspect {
        return assessment(Verdict::Suspect);
    }
    if loaded_log_ratio >= LOADED_DOUBT_RATIO.ln() {
        return Assessment {
            kind: Kind::LoadedFailures,
            route: None,
            ..assessment(Verdict::Doubtful)
        };
    }
    let is_doubtful = |kind: &Kind| {
        let sums = comparisons_with_best(&all, *kind, 1.0);
        reaches(&sums, conclusive, suspect)
    };
    if Kind::ALL.iter().any(is_doubtful) {
        return assessment(Verdict::Doubtful);
    }
    assessment(match Kind::ALL.iter().all(|kind| is_cleared(&all, *kind)) {
        true => Verdict::Cleared,
        false => Verdict::Open,
    })
}

/// Returns the old version's rate of bad responses, with [`PRIOR_RESPONSES`] added.
fn smoothed_rate(old: Counts) -> f64 {
    let bad = old.bad as f64 + ALLOWED_RATE * PRIOR_RESPONSES;
    bad / (old.total() as f64 + PRIOR_RESPONSES)
}

/// Returns the rate of bad responses that the new version is allowed beside these of the old one,
/// whose rate may be a standard error above what was counted.
fn allowed_rate(old: Counts) -> f64 {
    let rate = smoothed_rate(old);
    let responses = old.total() as f64 + PRIOR_RESPONSES;
    let standard_error = (rate * (1.0 - rate) / responses).sqrt();
    let allowed = with_odds(
        (rate + standard_error).min(MAX_ALTERNATIVE_RATE),
        TOLERATED_ODDS_RATIO,
    );
    allowed.clamp(ALLOWED_RATE, MAX_ALTERNATIVE_RATE)
}

/// Returns the rate of failures that the new version's loaded servers are allowed beside these
/// responses of the old one. The errors are those of the failures counted alone: a route without any
/// is judged by few failures.
fn allowed_loaded_rate(old: Counts) -> f64 {
    let responses = old.total().max(1) as f64;
    let counted = old.bad as f64 / responses;
    let standard_error = (counted * (1.0 - counted) / responses).sqrt();
    let rate = smoothed_rate(old) + BURST_ERRORS * standard_error;
    with_odds(rate.min(MAX_ALTERNATIVE_RATE), TOLERATED_ODDS_RATIO).clamp(ALLOWED_RATE, BAD_RATE)
}

/// Returns the rate whose odds are `factor` times those of `rate`.
fn with_odds(rate: f64, factor: f64) -> f64 {
    let odds = factor * rate / (1.0 - rate);
    odds / (1.0 + odds)
}

/// Returns the old version's counts in the periods up to `radius` from `period`, or in a wider span
/// if these have too few responses, or fewer than the new version: near its end a rollout leaves the
/// old version without any.
fn old_around(periods: &BTreeMap<u16, Pair>, period: u16, mut radius: u16, kind: Kind) -> Counts {
    let last = periods.keys().next_back().copied().unwrap_or_default();
    let new = periods.get(&period).copied().unwrap_or_default().new;
    let new = kind.counts(new);
    let wanted = MIN_OLD_RESPONSES.max(new.total());
    loop {
        let span = period.saturating_sub(radius)..=period.saturating_add(radius);
        let is_all = *span.start() == 0 && *span.end() >= last;
        let near = periods.range(span);
        let old = near.fold(Counts::default(), |sum, (_, pair)| {
            sum.plus(kind.counts(pair.old))
        });
        if is_all || old.total() >= wanted {
            return old;
        }
        radius += 1;
    }
}

/// Returns the largest cumulative sum of log-likelihood ratios against the new version, over the
/// alternative rates. In each period it is compared with the old version at that time, and sums
/// restart at zero, so that neither trouble that has passed nor a good start hides a bad version.
fn suspicion(periods: &BTreeMap<u16, Pair>, kind: Kind) -> f64 {
    let mut sums = [0.0; ALTERNATIVE_FACTORS.len()];
    for (period, pair) in periods {
        let allowed = allowed_rate(old_around(periods, *period, CONCURRENT_RADIUS, kind));
        for (sum, factor) in sums.iter_mut().zip(ALTERNATIVE_FACTORS) {
            let alternative = with_odds(allowed, factor);
            let ratio = log_ratio(kind.counts(pair.new), allowed, alternative);
            *sum = f64::max(*sum + ratio, 0.0);
        }
    }
    sums.into_iter().fold(0.0, f64::max)
}

/// Returns the old version's lowest rate of bad responses in a period, or in a span of periods with
/// enough responses; none if it has given no responses.
fn best_old_rate(periods: &BTreeMap<u16, Pair>, kind: Kind) -> Option<f64> {
    let spans = periods
        .keys()
        .map(|period| old_around(periods, *period, 0, kind));
    let measured = spans.filter(|old| old.total() > 0);
    measured.map(smoothed_rate).reduce(f64::min)
}

/// Returns the lowest rate of bad responses that loaded servers of the new version are allowed beside
/// the old one in any span of time; none if the old version has given no responses.
fn least_allowed_rate(periods: &BTreeMap<u16, Pair>) -> Option<f64> {
    let kind = Kind::LoadedFailures;
    let spans = periods
        .keys()
        .map(|period| old_around(periods, *period, 0, kind));
    let whole = old_around(periods, BEFORE_ORDER, u16::MAX, kind);
    let measured = spans.chain([whole]).filter(|old| old.total() > 0);
    measured.map(allowed_loaded_rate).reduce(f64::min)
}

/// Returns the rate of bad responses that the new version is allowed beside the old one's best
/// periods; none if the old version has given no responses.
fn best_allowed_rate(periods: &BTreeMap<u16, Pair>, kind: Kind) -> Option<f64> {
    let best = best_old_rate(periods, kind)?;
    Some(with_odds(best, TOLERATED_ODDS_RATIO).clamp(ALLOWED_RATE, BAD_RATE))
}

/// Whether the new version is as good as the old one at its best, rather than bad.
fn is_cleared(periods: &BTreeMap<u16, Pair>, kind: Kind) -> bool {
    let sums = comparisons_with_best(periods, kind, -1.0);
    // Without responses of this kind there is nothing to compare.
    sums.last().is_none_or(|sum| *sum >= CLEARING_RATIO.ln())
}

/// Whether sums have reached `least` and not fallen below `kept` since.
fn reaches(sums: &[f64], least: f64, kept: f64) -> bool {
    sums.iter().fold(false, |has_reached, sum| {
        *sum >= least || (has_reached && *sum >= kept)
    })
}

/// Returns the evidence that the new version fails on loaded servers, over all periods: a version that
/// does not bear load fails there from the order on. Each route is judged by itself, as a route on
/// which all versions often fail hides the failures on the others.
fn loaded_log_ratio(evidence: &Evidence) -> f64 {
    let of_route = |route: &u32| {
        let baseline = evidence.loaded_baseline(*route);
        let allowed = least_allowed_rate(&baseline)?;
        let responses = evidence.loaded_responses(*route);
        Some(log_ratio(responses, allowed, BAD_RATE).max(0.0))
    };
    evidence.routes().iter().filter_map(of_route).sum()
}

/// Returns the cumulative sums, times `sign` and by period, of log-likelihood ratios of [`BAD_RATE`]
/// against the old version's rate in its best periods; none if the old version has given no responses.
fn comparisons_with_best(periods: &BTreeMap<u16, Pair>, kind: Kind, sign: f64) -> Vec<f64> {
    let Some(allowed) = best_allowed_rate(periods, kind) else {
        return Vec::new();
    };
    let since_order = periods.range(BEFORE_ORDER + 1..);
    let add = |sum: &mut f64, (_, pair): (&u16, &Pair)| {
        let ratio = log_ratio(kind.counts(pair.new), allowed, BAD_RATE);
        *sum = f64::max(*sum + sign * ratio, 0.0);
        Some(*sum)
    };
    since_order.scan(0.0, add).collect()
}
