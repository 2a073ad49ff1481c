//! Quality of model versions: counts ratings and failed attempts, exchanges the counts with peers,
//! and halts versions that are worse than allowed.

use std::sync::Arc;

use clementinearch_policy::{
    model::{Model, VersionState},
    names::{FastMap, FastSet, Name, stable_hash},
    quality::{Counts, DriftDetector, QualityCounters, SubjectCounts, should_halt},
};
use parking_lot::Mutex;

use crate::host_state::HostState;

/// Fraction of attempts that may fail. A version with more failures is halted.
const ALLOWED_ERROR_RATE: f64 = 0.01;

/// One in this many exchanges carries all counters, the others only those of versions in rollout.
const EXCHANGES_PER_FULL_COUNT: u64 = 10;

/// Prefix of the subjects under which ratings within cascades are counted.
const CASCADE_PREFIX: &str = "cascade ";

fn cascade_subject(label: &str) -> Name {
    format!("{CASCADE_PREFIX}{label}").into()
}

/// Returns the subject under which the ratings or the errors of a version are counted.
fn subject(version: &str, is_error: bool) -> Name {
    if is_error {
        format!("{version} errors").into()
    } else {
        version.into()
    }
}

/// Results of the evaluation of versions, and its state between two runs.
#[derive(Default)]
struct Evaluation {
    /// Halted versions as `model@version`.
    halted: FastSet<Name>,
    /// Drift detectors by subject.
    drift_detectors: FastMap<Name, DriftDetector>,
    /// Exchanges with peers so far.
    exchanges: u64,
}

/// Counts of all versions, and the versions halted because of them.
pub(crate) struct QualityMonitor {
    state: Arc<HostState>,
    counters: Mutex<QualityCounters>,
    evaluation: Mutex<Evaluation>,
}

impl QualityMonitor {
    /// Creates a monitor without any counts.
    pub(crate) fn new(state: Arc<HostState>) -> Self {
        let me = state.members.lock().local().clone();
        let source = stable_hash(&[&me.name, &me.incarnation.to_string()]) as u32;
        let counters = Mutex::new(QualityCounters::new(state.settings.zone.clone(), source));
        Self {
            state,
            counters,
            evaluation: Mutex::default(),
        }
    }

    /// Counts the rating of a response by `version`, given as `model@version`.
    pub(crate) fn record_rating(&self, version: &str, is_bad: bool) {
        metrics::counter!("clementinearch_ratings_total", "bad" => is_bad.to_string()).increment(1);
        self.counters.lock().add(&subject(version, false), is_bad);
    }

    /// Counts an attempt on `version`, given as `model@version`, that succeeded or failed.
    pub(crate) fn record_attempt(&self, version: &str, is_error: bool) {
        self.counters.lock().add(&subject(version, true), is_error);
    }

    /// Counts the rating of a response within a cascade under its label `plan/cascade/kind/tier`.
    pub(crate) fn record_cascade_rating(&self, label: &str, is_bad: bool) {
        self.counters.lock().add(&cascade_subject(label), is_bad);
    }

    /// Returns the sum over all hosts of the counts under a cascade's label.
    pub(crate) fn cascade_counts(&self, label: &str) -> Counts {
        self.counters.lock().total(&cascade_subject(label))
    }

    /// Returns all labels of cascades that have counts.
    pub(crate) fn cascade_labels(&self) -> Vec<Name> {
        let counters = self.counters.lock();
        counters
            .subjects()
            .filter_map(|subject| subject.strip_prefix(CASCADE_PREFIX))
            .map(Name::from)
            .collect()
    }

    /// Returns the halted versions of a model, without the model's name.
    pub(crate) fn halted_versions(&self, model: &str) -> Vec<Name> {
        let evaluation = self.evaluation.lock();
        let of_model = |label: &Name| label.strip_prefix(model)?.strip_prefix('@').map(Name::from);
        evaluation.halted.iter().filter_map(of_model).collect()
    }

    /// Returns the counters to send to a peer in `peer_zone`: all of them in one of
    /// [`EXCHANGES_PER_FULL_COUNT`] exchanges, otherwise those of versions in rollout.
    pub(crate) fn rows(&self, peer_zone: &str) -> Vec<SubjectCounts> {
        let include_all = {
            let mut evaluation = self.evaluation.lock();
            evaluation.exchanges += 1;
            evaluation
                .exchanges
                .is_multiple_of(EXCHANGES_PER_FULL_COUNT)
        };
        let in_rollout = self.versions(|state| state == VersionState::Rollout);
        let is_wanted = |subject: &str| {
            include_all || in_rollout.iter().any(|label| subject.starts_with(&**label))
        };
        self.counters.lock().rows(peer_zone, is_wanted)
    }

    /// Returns all halted versions as `model@version`, for a peer.
    pub(crate) fn halted_rows(&self) -> Vec<Name> {
        self.evaluation.lock().halted.iter().cloned().collect()
    }

    /// Merges the counters and halted versions of a peer.
    pub(crate) fn merge(&self, rows: &[SubjectCounts], halted: &[Name]) {
        self.counters.lock().merge(rows);
        let live = self.versions(is_live);
        for label in halted.iter().filter(|label| live.contains(*label)) {
            self.halt(label.clone());
        }
    }

    /// Halts the versions whose counts are worse than allowed, and drops the state of versions that
    /// are neither in rollout nor established any more.
    pub(crate) fn evaluate_versions(&self) {
        let live = self.versions(is_live);
        self.evaluation
            .lock()
            .halted
            .retain(|label| live.contains(label));
        self.counters.lock().retain(|subject| {
            subject.starts_with(CASCADE_PREFIX)
                || live.contains(subject.split(' ').next().unwrap_or_default())
        });
        let Some(in_force) = self.state.config_in_force() else {
            return;
        };
        for (name, model) in in_force.catalogue.models() {
            for label in self.versions_to_halt(name, model) {
                self.halt(label);
            }
        }
    }

    /// Returns the versions of a model that have to be halted, or are already.
    fn versions_to_halt(&self, name: &str, model: &Model) -> Vec<Name> {
        let mut to_halt = Vec::new();
        for version in model
            .versions
            .iter()
            .filter(|version| is_live(version.state))
        {
            let label: Name = format!("{name}@{}", version.name).into();
            let is_rollout = version.state == VersionState::Rollout;
            let is_bad = [(false, model.allowed_bad_rate), (true, ALLOWED_ERROR_RATE)]
                .into_iter()
                .any(|(is_error, allowed)| {
                    self.is_bad(subject(&label, is_error), allowed, is_rollout)
                });
            if is_bad {
                to_halt.push(label);
            }
        }
        to_halt
    }

    /// Feeds a subject's counts to its drift detector. Returns whether they are worse than allowed,
    /// by the detector or, in a rollout, by all counts so far.
    fn is_bad(&self, subject: Name, allowed: f64, is_rollout: bool) -> bool {
        let counts = self.counters.lock().total(&subject);
        let drifted = self
            .evaluation
            .lock()
            .drift_detectors
            .entry(subject)
            .or_default()
            .update(counts, allowed);
        drifted || is_rollout && should_halt(counts, allowed)
    }

    /// Halts a version, unless it is halted already: by an evaluation, or by a peer's word at the same
    /// moment.
    fn halt(&self, label: Name) {
        if !self.evaluation.lock().halted.insert(label.clone()) {
            return;
        }
        log::warn!(
            "version {label} is halted: its ratings or errors are worse than allowed; it gets no new \
             sessions; the halt ends once its state is neither rollout nor established"
        );
        metrics::counter!("clementinearch_halts_total", "version" => label.to_string())
            .increment(1);
        self.state.gossip_trigger.notify_one();
    }

    /// Returns the versions in the configuration whose state is wanted, as `model@version`.
    fn versions(&self, is_wanted: impl Fn(VersionState) -> bool) -> FastSet<Name> {
        let Some(in_force) = self.state.config_in_force() else {
            return FastSet::default();
        };
        let label = |name: &str, version: &Name| Name::from(format!("{name}@{version}"));
        let models = in_force.catalogue.models();
        let versions = models
            .flat_map(|(name, model)| model.versions.iter().map(move |version| (name, version)));
        let wanted = versions.filter(|(_, version)| is_wanted(version.state));
        wanted
            .map(|(name, version)| label(name, &version.name))
            .collect()
    }
}

fn is_live(state: VersionState) -> bool {
    matches!(state, VersionState::Rollout | VersionState::Established)
}
