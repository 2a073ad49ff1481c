//! Watches the quality of versions: counts ratings and errors, shares them, halts bad versions.

use std::sync::Arc;

use clementinearch_policy::{
    model::{Model, VersionState},
    names::{FastMap, FastSet, Name, stable_hash},
    quality::{Counts, DriftDetector, QualityCounters, SubjectCounts, should_halt},
};
use parking_lot::Mutex;

use crate::host_state::HostState;

/// Share of attempts that may break before a version is halted.
const ALLOWED_ERRORS: f64 = 0.01;

/// One in this many exchanges also carries the counters of versions that are not in roll-out.
const EXCHANGES_PER_ESTABLISHED: u64 = 10;

/// Begins the subjects that count ratings within cascades.
const CASCADE_PREFIX: &str = "cascade ";

fn cascade_subject(label: &str) -> Name {
    format!("{CASCADE_PREFIX}{label}").into()
}

/// What is counted of a version: its ratings or its errors.
fn subject(version: &str, is_error: bool) -> Name {
    if is_error {
        format!("{version} errors").into()
    } else {
        version.into()
    }
}

#[derive(Default)]
struct Verdicts {
    /// Halted versions as `model@version`.
    halted: FastSet<Name>,
    watches: FastMap<Name, DriftDetector>,
    exchanges: u64,
}

/// The quality of all versions as this host knows it.
pub(crate) struct Quality {
    state: Arc<HostState>,
    tally: Mutex<QualityCounters>,
    verdicts: Mutex<Verdicts>,
}

impl Quality {
    /// Knows nothing yet.
    pub(crate) fn new(state: Arc<HostState>) -> Self {
        let me = state.members.lock().local().clone();
        let source = stable_hash(&[&me.name, &me.incarnation.to_string()]) as u32;
        let tally = Mutex::new(QualityCounters::new(state.settings.zone.clone(), source));
        Self {
            state,
            tally,
            verdicts: Mutex::default(),
        }
    }

    /// Counts the rating of an answer by `version`, a `model@version`.
    pub(crate) fn note_rating(&self, version: &str, is_bad: bool) {
        metrics::counter!("clementinearch_ratings_total", "bad" => is_bad.to_string()).increment(1);
        self.tally.lock().add(&subject(version, false), is_bad);
    }

    /// Counts whether an attempt on `version` broke.
    pub(crate) fn note_attempt(&self, version: &str, is_error: bool) {
        self.tally.lock().add(&subject(version, true), is_error);
    }

    /// Counts the rating of an answer within a cascade; `label` names plan, cascade, kind and tier.
    pub(crate) fn note_cascade(&self, label: &str, is_bad: bool) {
        self.tally.lock().add(&cascade_subject(label), is_bad);
    }

    /// What all hosts have counted under a cascade's label.
    pub(crate) fn cascade_counts(&self, label: &str) -> Counts {
        self.tally.lock().total(&cascade_subject(label))
    }

    /// Labels of cascades under which anything was counted.
    pub(crate) fn cascade_labels(&self) -> Vec<Name> {
        let tally = self.tally.lock();
        tally
            .subjects()
            .filter_map(|subject| subject.strip_prefix(CASCADE_PREFIX))
            .map(Name::from)
            .collect()
    }

    /// Halted versions of a model.
    pub(crate) fn halted(&self, model: &str) -> Vec<Name> {
        let verdicts = self.verdicts.lock();
        let of_model = |label: &Name| label.strip_prefix(model)?.strip_prefix('@').map(Name::from);
        verdicts.halted.iter().filter_map(of_model).collect()
    }

    /// Counters for a peer.
    pub(crate) fn rows(&self, peer_zone: &str) -> Vec<SubjectCounts> {
        let all = {
            let mut verdicts = self.verdicts.lock();
            verdicts.exchanges += 1;
            verdicts.exchanges.is_multiple_of(EXCHANGES_PER_ESTABLISHED)
        };
        let in_rollout = self.versions(|state| state == VersionState::Rollout);
        let is_wanted =
            |subject: &str| all || in_rollout.iter().any(|label| subject.starts_with(&**label));
        self.tally.lock().rows(peer_zone, is_wanted)
    }

    /// Halted versions for a peer.
    pub(crate) fn halted_rows(&self) -> Vec<Name> {
        self.verdicts.lock().halted.iter().cloned().collect()
    }

    /// Takes in what a peer counted and halted.
    pub(crate) fn merge(&self, rows: &[SubjectCounts], halted: &[Name]) {
        self.tally.lock().merge(rows);
        let live = self.versions(is_live);
        let is_new =
            |label: &&Name| live.contains(*label) && !self.verdicts.lock().halted.contains(*label);
        for label in halted.iter().filter(is_new).cloned().collect::<Vec<_>>() {
            self.halt(label);
        }
    }

    /// Judges all versions by the counters as they are known now.
    pub(crate) fn judge(&self) {
        let live = self.versions(is_live);
        self.verdicts
            .lock()
            .halted
            .retain(|label| live.contains(label));
        self.tally.lock().retain(|subject| {
            subject.starts_with(CASCADE_PREFIX)
                || live.contains(subject.split(' ').next().unwrap_or_default())
        });
        let Some(in_force) = self.state.config_in_force() else {
            return;
        };
        for (name, model) in in_force.catalogue.models() {
            for label in self.judge_model(name, model) {
                self.halt(label);
            }
        }
    }

    /// Versions of a model that are to be halted and are not yet.
    fn judge_model(&self, name: &str, model: &Model) -> Vec<Name> {
        let mut found = Vec::new();
        for version in model
            .versions
            .iter()
            .filter(|version| is_live(version.state))
        {
            let label: Name = format!("{name}@{}", version.name).into();
            let is_rollout = version.state == VersionState::Rollout;
            let is_bad = [(false, model.allowed_bad_rate), (true, ALLOWED_ERRORS)]
                .into_iter()
                .any(|(is_error, allowed)| {
                    self.is_bad(subject(&label, is_error), allowed, is_rollout)
                });
            if is_bad && !self.verdicts.lock().halted.contains(&label) {
                found.push(label);
            }
        }
        found
    }

    fn is_bad(&self, subject: Name, allowed: f64, is_rollout: bool) -> bool {
        let counts = self.tally.lock().total(&subject);
        let drifted = self
            .verdicts
            .lock()
            .watches
            .entry(subject)
            .or_default()
            .update(counts, allowed);
        drifted || is_rollout && should_halt(counts, allowed)
    }

    fn halt(&self, label: Name) {
        log::warn!(
            "version {label} was found bad: it takes no new session until its list entry changes"
        );
        metrics::counter!("clementinearch_halts_total", "version" => label.to_string())
            .increment(1);
        self.verdicts.lock().halted.insert(label);
        self.state.gossip_trigger.notify_one();
    }

    /// Listed versions in a state, as `model@version`.
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
