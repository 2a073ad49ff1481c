//! Judges versions by ratings and errors: mergeable counts and a test that may be read at any time.
//!
//! The test is a mixture of likelihood ratios against several worse rates. By Ville's inequality a
//! version that is as good as allowed is halted in at most one of [`ROLLOUTS_PER_FALSE_HALT`]
//! roll-outs, however often and by however many hosts the counts are read.

use serde::{Deserialize, Serialize};

use crate::names::{FastMap, Name};

/// Roll-outs of a good version in which one false halt is allowed.
pub const ROLLOUTS_PER_FALSE_HALT: f64 = 1000.0;

/// Rates that the test looks for, as multiples of the allowed one.
const WORSE_BY: [f64; 4] = [1.5, 2.0, 4.0, 10.0];

/// Rate above which no alternative goes.
const HIGHEST_RATE: f64 = 0.95;

/// Judged answers of one version; both numbers only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Answers judged good.
    pub good: u64,
    /// Answers judged bad.
    pub bad: u64,
}

impl Counts {
    /// Adds one judgement.
    pub fn add(&mut self, is_bad: bool) {
        if is_bad {
            self.bad += 1;
        } else {
            self.good += 1;
        }
    }

    /// The later of two readings of the same counter.
    pub fn later(self, other: Self) -> Self {
        Self {
            good: self.good.max(other.good),
            bad: self.bad.max(other.bad),
        }
    }

    /// Sum of two counters.
    pub fn plus(self, other: Self) -> Self {
        Self {
            good: self.good + other.good,
            bad: self.bad + other.bad,
        }
    }

    /// What was counted since an earlier reading.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            good: self.good.saturating_sub(earlier.good),
            bad: self.bad.saturating_sub(earlier.bad),
        }
    }
}

/// Log of the mixture likelihood ratio of `counts` against the allowed rate of bad answers.
pub fn log_likelihood_ratio(counts: Counts, allowed: f64) -> f64 {
    let weight = 1.0 / WORSE_BY.len() as f64;
    let ratios =
        WORSE_BY.map(|factor| log_ratio(counts, allowed, (allowed * factor).min(HIGHEST_RATE)));
    let largest = ratios.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = ratios
        .iter()
        .map(|ratio| weight * (ratio - largest).exp())
        .sum();
    largest + sum.ln()
}

fn log_ratio(counts: Counts, allowed: f64, worse: f64) -> f64 {
    let bad = counts.bad as f64 * (worse / allowed).ln();
    let good = counts.good as f64 * ((1.0 - worse) / (1.0 - allowed)).ln();
    bad + good
}

/// Whether a version with these counts is to be halted.
pub fn should_halt(counts: Counts, allowed: f64) -> bool {
    log_likelihood_ratio(counts, allowed) >= ROLLOUTS_PER_FALSE_HALT.ln()
}

/// Watches a version after its roll-out, when it may turn bad at any time.
///
/// Evidence is gathered from the last moment at which it spoke for the version (cumulative sums),
/// one sum for each worse rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct DriftDetector {
    seen: Counts,
    sums: [f64; WORSE_BY.len()],
}

/// Evidence at which a watch halts a version: higher than for a roll-out, since a watch never ends.
const DRIFT_THRESHOLD: f64 = 11.5;

impl DriftDetector {
    /// Takes in the counter's latest reading. Returns whether the version is to be halted.
    pub fn update(&mut self, counts: Counts, allowed: f64) -> bool {
        let fresh = counts.since(self.seen);
        self.seen = self.seen.later(counts);
        for (sum, factor) in self.sums.iter_mut().zip(WORSE_BY) {
            let worse = (allowed * factor).min(HIGHEST_RATE);
            *sum = (*sum + log_ratio(fresh, allowed, worse)).max(0.0);
        }
        self.sums.iter().any(|sum| *sum >= DRIFT_THRESHOLD)
    }
}

/// Counters of one version on their way between hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubjectCounts {
    /// What is counted, such as `review@v2`.
    pub subject: Name,
    /// Counters of the sender's zone: hash of host and incarnation, good, bad.
    pub hosts: Vec<(u32, u32, u32)>,
    /// Sums of other zones.
    pub zones: Vec<(Name, Counts)>,
}

/// Counters of one subject by who counted.
#[derive(Clone, Debug, Default)]
struct Sources {
    hosts: FastMap<u32, Counts>,
    zones: FastMap<Name, Counts>,
}

/// Counters of all subjects on one host.
#[derive(Clone, Debug)]
pub struct QualityCounters {
    zone: Name,
    me: u32,
    subjects: FastMap<Name, Sources>,
}

impl QualityCounters {
    /// Counts nothing yet; `me` is the hash of this host and its incarnation.
    pub fn new(zone: Name, me: u32) -> Self {
        Self {
            zone,
            me,
            subjects: FastMap::default(),
        }
    }

    /// Adds a judgement of this host.
    pub fn add(&mut self, subject: &Name, is_bad: bool) {
        let sources = self.subjects.entry(subject.clone()).or_default();
        sources.hosts.entry(self.me).or_default().add(is_bad);
    }

    /// Takes in a peer's rows. Counters only grow, so the larger reading is the later one.
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

    /// Rows for a peer: host by host within the own zone, else the zone's sum.
    pub fn rows(&self, peer_zone: &str, is_wanted: impl Fn(&str) -> bool) -> Vec<SubjectCounts> {
        let wanted = self
            .subjects
            .iter()
            .filter(|(subject, _)| is_wanted(subject));
        let row = |(subject, sources): (&Name, &Sources)| {
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

    /// Sum over all hosts and zones.
    pub fn total(&self, subject: &str) -> Counts {
        let Some(sources) = self.subjects.get(subject) else {
            return Counts::default();
        };
        sum(sources.hosts.values().chain(sources.zones.values()))
    }

    /// All subjects.
    pub fn subjects(&self) -> impl Iterator<Item = &Name> {
        self.subjects.keys()
    }

    /// Forgets subjects that are no longer of interest.
    pub fn retain(&mut self, is_wanted: impl Fn(&str) -> bool) {
        self.subjects.retain(|subject, _| is_wanted(subject));
    }
}

fn sum<'a>(counts: impl Iterator<Item = &'a Counts>) -> Counts {
    counts.fold(Counts::default(), |sum, counts| sum.plus(*counts))
}
