//! Callers: their accounts, and what their requests are handled with.

use std::sync::Arc;

use clementinearch_border::{ModelEntry, ModelList};
use clementinearch_policy::{
    catalogue::{AccountEntry, Catalogue},
    model::VersionState,
    names::digest_hex,
    plan::{CascadeRule, Plan},
};
use hyper::{HeaderMap, StatusCode, header::AUTHORIZATION};

use crate::{
    host_state::HostState,
    refusal::{Answer, Refusal, json_answer},
    requests::claims::Claims,
    requests::gate::Gate,
    shared::learned::Shared,
    shared::ledger::Ledger,
    shared::sessions::Sessions,
};

/// What the handlers of callers' requests share.
pub(crate) struct App {
    pub(crate) state: Arc<HostState>,
    pub(crate) claims: Claims,
    pub(crate) sessions: Arc<Sessions>,
    pub(crate) ledger: Arc<Ledger>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) gate: Arc<Gate>,
}

/// An authenticated client account with its plan.
#[derive(Clone)]
pub(crate) struct Caller {
    pub(crate) entry: AccountEntry,
    pub(crate) plan: Arc<Plan>,
    pub(crate) catalogue: Arc<Catalogue>,
}

impl App {
    /// The client account of a request.
    pub(crate) fn authenticate(&self, headers: &HeaderMap) -> Result<Caller, Refusal> {
        let unauthorized =
            |message: &str| Refusal::not_run(StatusCode::UNAUTHORIZED, "unauthorized", message);
        let header = headers
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok());
        let key = header.and_then(|value| value.strip_prefix("Bearer "));
        let key = key.ok_or_else(|| unauthorized("needs a key: `Authorization: Bearer KEY`"))?;
        self.caller_with(&digest_hex(key.as_bytes()))
            .ok_or_else(|| unauthorized("unknown key"))
    }

    /// The caller whose key has this digest, under the configuration in force now.
    pub(crate) fn caller_with(&self, key_sha256: &str) -> Option<Caller> {
        let catalogue = self.state.config_in_force()?.catalogue;
        let entry = catalogue.account(key_sha256)?.clone();
        let plan = catalogue.plan(&entry.plan)?.clone();
        Some(Caller {
            entry,
            plan,
            catalogue,
        })
    }
}

/// The models that a caller may ask for.
pub(crate) fn list_models(caller: &Caller) -> Answer {
    let entry = |allowed: &clementinearch_policy::plan::AllowedModel| {
        let model = caller.catalogue.model(&allowed.model)?;
        let takes_work = |state| matches!(state, VersionState::Established | VersionState::Rollout);
        let versions = model
            .versions
            .iter()
            .filter(|version| takes_work(version.state));
        let allowed_versions = versions.filter(|version| allowed.versions.contains(&version.name));
        let versions = allowed_versions
            .map(|version| version.name.to_string())
            .collect();
        Some(ModelEntry {
            id: allowed.model.to_string(),
            versions,
        })
    };
    let cascade = |rule: &CascadeRule| ModelEntry {
        id: rule.name.to_string(),
        versions: Vec::new(),
    };
    let models = caller.plan.models.iter().filter_map(entry);
    let list = ModelList {
        data: models
            .chain(caller.plan.cascades.iter().map(cascade))
            .collect(),
    };
    json_answer(
        StatusCode::OK,
        serde_json::to_string(&list).unwrap_or_default(),
    )
}
