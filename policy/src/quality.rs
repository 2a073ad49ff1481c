//! Quality control of versions by ratings and errors, with mergeable counters and a sequential
//! test.
//!
//! The test is a mixture of likelihood ratios against several worse rates. By Ville's inequality, a
//! version that meets the allowed rate is halted in at most one of [`ROLLOUTS_PER_FALSE_HALT`]
//! rollouts, no matter how often and on how many hosts the test is evaluated.

use serde::{Deserialize, Serialize};

use crate::names::{FastMap, Name};

/// Number of rollouts of good versions per tolerated false halt.
pub const ROLLOUTS_PER_FALSE_HALT: f64 = 1000.0;

/// Rates of the alternative hypotheses, as multiples of the allowed rate.
pub(crate) const ALTERNATIVE_FACTORS: [f64; 4] = [1.5, 2.0, 4.0, 10.0];

/// Upper bound on the rate of an alternative hypothesis.
pub(crate) const MAX_ALTERNATIVE_RATE: f64 = 0.95;

/// Counts of good and bad answers; both only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of good answers.
    pub good: u64,
    /// Number of bad answers.
    pub bad: u64,
}

impl Counts {
    /// Counts one answer.
    pub fn add(&mut self, is_bad: bool) {
        if is_bad {
            self.bad += 1;
        } else {
            self.good += 1;
        }
    }

    /// Returns the later of two readings of the same counters, which only grow.
    pub fn later(self, other: Self) -> Self {
        Self {
            good: self.good.max(other.good),
            bad: self.bad.max(other.bad),
        }
    }

    /// Returns the sum of two counts.
    pub fn plus(self, other: Self) -> Self {
        Self {
            good: self.good.saturating_add(other.good),
            bad: self.bad.saturating_add(other.bad),
        }
    }

    /// Returns the number of answers.
    pub fn total(self) -> u64 {
        self.good.saturating_add(self.bad)
    }

    /// Returns the increase since an earlier reading.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            good: self.good.saturating_sub(earlier.good),
            bad: self.bad.saturating_sub(earlier.bad),
        }
    }
}

/// Returns the log of the mixture likelihood ratio of `counts` against the allowed rate of bad
/// answers.
pub fn log_likelihood_ratio(counts: Counts, allowed: f64) -> f64 {
    let weight = 1.0 / ALTERNATIVE_FACTORS.len() as f64;
    let ratios = ALTERNATIVE_FACTORS.map(|factor| {
        log_ratio(
            counts,
            allowed,
            (allowed * factor).min(MAX_ALTERNATIVE_RATE),
        )
    });
    let largest = ratios.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = ratios
        .iter()
        .map(|ratio| weight * (ratio - largest).exp())
        .sum();
    largest + sum.ln()
}

pub(crate) fn log_ratio(counts: Counts, allowed: f64, alternative: f64) -> f64 {
    let bad = counts.bad as f64 * (alternative / allowed).ln();
    let good = counts.good as f64 * ((1.0 - alternative) / (1.0 - allowed)).ln();
    bad + good
}

/// Returns whether a version in rollout with these counts should be halted.
pub fn should_halt(counts: Counts, allowed: f64) -> bool {
    log_likelihood_ratio(counts, allowed) >= ROLLOUTS_PER_FALSE_HALT.ln()
}

/// Detects a version that turns bad some time after its rollout.
///
/// It keeps a cumulative sum (CUSUM) of the log-likelihood ratio for each alternative rate; a sum
/// restarts at zero whenever the evidence favours the version.
#[derive(Clone, Copy, Debug, Default)]
pub struct DriftDetector {
    last_reading: Counts,
    sums: [f64; ALTERNATIVE_FACTORS.len()],
}

/// Log-likelihood ratio at which a version is halted for drift: higher than for a rollout, since
/// the detection never ends.
const DRIFT_THRESHOLD: f64 = 11.5;

impl DriftDetector {
    /// Adds the counters' latest reading and returns whether the version should be halted.
    pub fn update(&mut self, counts: Counts, allowed: f64) -> bool {
        let fresh = counts.since(self.last_reading);
        self.last_reading = self.last_reading.later(counts);
        for (sum, factor) in self.sums.iter_mut().zip(ALTERNATIVE_FACTORS) {
            let alternative = (allowed * factor).min(MAX_ALTERNATIVE_RATE);
            *sum = (*sum + log_ratio(fresh, allowed, alternative)).max(0.0);
        }
        self.sums.iter().any(|sum| *sum >= DRIFT_THRESHOLD)
    }
}

/// Counters of one subject, as exchanged between hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubjectCounts {
    /// What the counters belong to, such as the version `review@v2`.
    pub subject: Name,
    /// Counters by host of the sender's zone: hash of host and incarnation, good, bad.
    pub hosts: Vec<(u32, u32, u32)>,
    /// Sums by zone for the other zones.
    pub zones: Vec<(Name, Counts)>,
}

/// Counters of one subject, by the host or zone that counted.
#[derive(Clone, Debug, Default)]
struct CountsBySource {
    hosts: FastMap<u32, Counts>,
    zones: FastMap<Name, Counts>,
}

/// Grow-only counters of all subjects, as known to one host.
#[derive(Clone, Debug)]
pub struct QualityCounters {
    zone: Name,
    local_source: u32,
    subjects: FastMap<Name, CountsBySource>,
}

impl QualityCounters {
    /// Creates empty counters; `local_source` is the hash of this host and its incarnation.
    pub fn new(zone: Name, local_source: u32) -> Self {
        Self {
            zone,
            local_source,
            subjects: FastMap::default(),
        }
    }

    /// Counts one answer on this host.
    pub fn add(&mut self, subject: &Name, is_bad: bool) {
        let sources = self.subjects.entry(subject.clone()).or_default();
        sources
            .hosts
            .entry(self.local_source)
            .or_default()
            .add(is_bad);
    }

    /// Merges a peer's rows. Counters only grow, so the larger reading is the later one.
    pub fn merge(&mut self, rows: &[SubjectCounts]) {
        for row in rows {
            let sources = self.subjects.entry(row.subject.clone()).or_default();
            for (source, good, bad) in &row.hosts {
                let counts = Counts {
                    good: u64::from(*good),
                    bad: u64::from(*bad),
                };
                let known = sources.hosts.entry(*source).or_default();
                *known = known.later(counts);
            }
            for (zone, counts) in row.zones.iter().filter(|(zone, _)| *zone != self.zone) {
                let known = sources.zones.entry(zone.clone()).or_default();
                *known = known.later(*counts);
            }
        }
    }

    /// Returns the rows for a peer: by host for a peer in the local zone, else with the zone's sum.
    pub fn rows(&self, peer_zone: &str, is_wanted: impl Fn(&str) -> bool) -> Vec<SubjectCounts> {
        let wanted = self
            .subjects
            .iter()
            .filter(|(subject, _)| is_wanted(subject));
        let row = |(subject, sources): (&Name, &CountsBySource)| {
            let mut row = SubjectCounts {
                subject: subject.clone(),
                ..SubjectCounts::default()
            };
            row.zones = sources
                .zones
                .iter()
                .map(|(zone, counts)| (zone.clone(), *counts))
                .collect();
            if *peer_zone == *self.zone {
                let host = |(source, counts): (&u32, &Counts)| {
                    (*source, counts.good as u32, counts.bad as u32)
                };
                row.hosts = sources.hosts.iter().map(host).collect();
            } else {
                row.zones
                    .push((self.zone.clone(), sum(sources.hosts.values())));
            }
            row
        };
        wanted.map(row).collect()
    }

    /// Returns the sum over all hosts and zones.
    pub fn total(&self, subject: &str) -> Counts {
        let Some(sources) = self.subjects.get(subject) else {
            return Counts::default();
        };
        sum(sources.hosts.values().chain(sources.zones.values()))
    }

    /// Iterates over all subjects, in no particular order.
    pub fn subjects(&self) -> impl Iterator<Item = &Name> {
        self.subjects.keys()
    }

    /// Removes the subjects that are not wanted.
    pub fn retain(&mut self, is_wanted: impl Fn(&str) -> bool) {
        self.subjects.retain(|subject, _| is_wanted(subject));
    }
}

fn sum<'a>(counts: impl Iterator<Item = &'a Counts>) -> Counts {
    counts.fold(Counts::default(), |sum, counts| sum.plus(*counts))
}
