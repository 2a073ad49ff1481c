//! Cascades of this host: cheap model or strong one, by what all hosts have counted.

use std::sync::Arc;

use clementinearch_policy::{
    cascade::{Cascade, Tier},
    names::{FastMap, Name},
    plan::CascadeRule,
    toml_reader::parse_name,
};
use parking_lot::Mutex;

use crate::{host_state::HostState, shared::quality::Quality};

/// Kinds of requests that one cascade tells apart; further ones count as [`OTHER_KIND`].
const MAX_KINDS: usize = 64;

/// Kind of requests without a usable kind of their own.
const OTHER_KIND: &str = "other";

/// The cascades of all plans.
pub(crate) struct Cascades {
    state: Arc<HostState>,
    /// By plan and cascade.
    learned: Mutex<FastMap<Name, Learned>>,
}

#[derive(Default)]
struct Learned {
    cascade: Cascade,
    kinds: Vec<Name>,
}

impl Learned {
    /// The kind as it is counted.
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

/// Name of a tier in labels.
fn tier_name(tier: Tier) -> &'static str {
    match tier {
        Tier::Cheap => "cheap",
        Tier::Strong => "strong",
    }
}

/// Label of the ratings of a kind on one tier.
fn label(scope: &str, kind: &str, tier: Tier) -> String {
    format!("{scope}/{kind}/{}", tier_name(tier))
}

impl Cascades {
    /// Has learned nothing yet.
    pub(crate) fn new(state: Arc<HostState>) -> Self {
        Self {
            state,
            learned: Mutex::default(),
        }
    }

    /// The tier for a request of this kind. `kept` is the tier of a session that has one already.
    /// Returns it with the label under which the answer is to be rated.
    pub(crate) fn choose(
        &self,
        plan: &str,
        rule: &CascadeRule,
        kind: Option<&str>,
        kept: Option<Tier>,
    ) -> (Tier, String) {
        let scope: Name = format!("{plan}/{}", rule.name).into();
        let mut learned = self.learned.lock();
        let entry = learned.entry(scope.clone()).or_default();
        let kind = entry.kind(kind);
        let tier = kept.unwrap_or_else(|| entry.cascade.choose(&kind, &mut fastrand::Rng::new()));
        metrics::counter!("clementinearch_cascade_choices_total", "tier" => tier_name(tier))
            .increment(1);
        (tier, label(&scope, &kind, tier))
    }

    /// Takes in what all hosts have counted, and forgets cascades that are no longer listed.
    pub(crate) fn update(&self, quality: &Quality) {
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
        let mut learned = self.learned.lock();
        learned.retain(|scope, _| rules.contains_key(scope));
        for counted in quality.cascade_labels() {
            let Some((rest, _)) = counted.rsplit_once('/') else {
                continue;
            };
            let Some((scope, kind)) = rest.rsplit_once('/') else {
                continue;
            };
            let Some(allowed_bad_rate) = rules.get(scope) else {
                continue;
            };
            let entry = learned.entry(scope.into()).or_default();
            let counted_kind = entry.kind(Some(kind));
            let [cheap, strong] = [Tier::Cheap, Tier::Strong]
                .map(|tier| quality.cascade_counts(&label(scope, kind, tier)));
            entry
                .cascade
                .update(&counted_kind, cheap, strong, *allowed_bad_rate);
        }
    }
}

/// Checks the label in a rating: plan, cascade, kind and tier.
pub(crate) fn is_label(text: &str) -> bool {
    let parts: Vec<&str> = text.split('/').collect();
    let names = parts.len() == 4 && parts.iter().all(|part| parse_name(part).is_ok());
    names && matches!(parts[3], "cheap" | "strong")
}
