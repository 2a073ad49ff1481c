//! Cascades: choice between a cheap and a strong model, by the ratings that all hosts have counted.

use std::sync::Arc;

use clementinearch_policy::{
    cascade::{Cascade, Tier},
    names::{FastMap, Name},
    plan::CascadeRule,
    toml_reader::parse_name,
};
use parking_lot::Mutex;

use crate::{host_state::HostState, shared::quality::QualityMonitor};

/// Most kinds of requests counted separately in one cascade; others count as [`OTHER_KIND`].
const MAX_KINDS: usize = 64;

/// Kind of requests that name no kind, or an invalid one.
const OTHER_KIND: &str = "other";

/// Cascades of all plans.
pub(crate) struct Cascades {
    state: Arc<HostState>,
    /// By `plan/cascade`.
    states: Mutex<FastMap<Name, CascadeState>>,
}

/// State of one cascade on this host.
#[derive(Default)]
struct CascadeState {
    cascade: Cascade,
    /// Kinds counted separately.
    kinds: Vec<Name>,
}

impl CascadeState {
    /// Returns the kind under which a request is counted.
    fn kind(&mut self, kind: Option<&str>) -> Name {
        let kind = kind
            .and_then(|kind| parse_name(kind).ok())
            .unwrap_or_else(|| OTHER_KIND.into());
        if self.kinds.contains(&kind) {
            return kind;
        }
        if self.kinds.len() >= MAX_KINDS {
            return OTHER_KIND.into();
        }
        self.kinds.push(kind.clone());
        kind
    }
}

/// Returns the name of a tier in labels and metrics.
fn tier_name(tier: Tier) -> &'static str {
    match tier {
        Tier::Cheap => "cheap",
        Tier::Strong => "strong",
    }
}

/// Builds the label under which ratings are counted: plan, cascade, kind and tier.
fn label(scope: &str, kind: &str, tier: Tier) -> String {
    format!("{scope}/{kind}/{}", tier_name(tier))
}

impl Cascades {
    /// Creates cascades without any counts.
    pub(crate) fn new(state: Arc<HostState>) -> Self {
        Self {
            state,
            states: Mutex::default(),
        }
    }

    /// Chooses the tier for a request of this kind, unless its session has one already. Returns it
    /// with the label under which the response is rated.
    pub(crate) fn choose(
        &self,
        plan: &str,
        rule: &CascadeRule,
        kind: Option<&str>,
        session_tier: Option<Tier>,
    ) -> (Tier, String) {
        let scope: Name = format!("{plan}/{}", rule.name).into();
        let mut states = self.states.lock();
        let entry = states.entry(scope.clone()).or_default();
        let kind = entry.kind(kind);
        let tier =
            session_tier.unwrap_or_else(|| entry.cascade.choose(&kind, &mut fastrand::Rng::new()));
        metrics::counter!("clementinearch_cascade_choices_total", "tier" => tier_name(tier))
            .increment(1);
        (tier, label(&scope, &kind, tier))
    }

    /// Updates the cascades from the counts of all hosts, and removes those that the configuration no
    /// longer lists.
    pub(crate) fn update(&self, quality: &QualityMonitor) {
        let Some(in_force) = self.state.config_in_force() else {
            return;
        };
        let rules = in_force.catalogue.plans().flat_map(|(plan, list)| {
            list.cascades.iter().map(move |rule| {
                (
                    Name::from(format!("{plan}/{}", rule.name)),
                    rule.allowed_bad_rate,
                )
            })
        });
        let rules: FastMap<Name, f64> = rules.collect();
        let mut states = self.states.lock();
        states.retain(|scope, _| rules.contains_key(scope));
        for label_text in quality.cascade_labels() {
            let Some((rest, _)) = label_text.rsplit_once('/') else {
                continue;
            };
            let Some((scope, kind)) = rest.rsplit_once('/') else {
                continue;
            };
            let Some(allowed_bad_rate) = rules.get(scope) else {
                continue;
            };
            let entry = states.entry(scope.into()).or_default();
            let known_kind = entry.kind(Some(kind));
            let [cheap, strong] = [Tier::Cheap, Tier::Strong]
                .map(|tier| quality.cascade_counts(&label(scope, kind, tier)));
            entry
                .cascade
                .update(&known_kind, cheap, strong, *allowed_bad_rate);
        }
    }
}

/// Returns whether `text` is a valid label: plan, cascade, kind and tier.
pub(crate) fn is_label(text: &str) -> bool {
    let parts: Vec<&str> = text.split('/').collect();
    let has_valid_parts = parts.len() == 4 && parts.iter().all(|part| parse_name(part).is_ok());
    has_valid_parts && matches!(parts[3], "cheap" | "strong")
}
