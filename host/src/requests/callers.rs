//! Authentication of callers, the state that request handlers share, and the list of models.

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
    refusal::{CallerResponse, Refusal, json_response},
    requests::admission::AdmissionControl,
    requests::claims::Claims,
    shared::ledger::Ledger,
    shared::sessions::Sessions,
    shared::state::SharedState,
};

/// State that all handlers of callers' requests share.
pub(crate) struct App {
    pub(crate) state: Arc<HostState>,
    pub(crate) claims: Claims,
    pub(crate) sessions: Arc<Sessions>,
    pub(crate) ledger: Arc<Ledger>,
    pub(crate) shared: Arc<SharedState>,
    pub(crate) admission: Arc<AdmissionControl>,
}

/// An authenticated client account with its plan.
#[derive(Clone)]
pub(crate) struct Caller {
    pub(crate) entry: AccountEntry,
    pub(crate) plan: Arc<Plan>,
    /// Configuration that was in force when the caller was authenticated.
    pub(crate) catalogue: Arc<Catalogue>,
}

impl App {
    /// Finds the client account whose API key is in the `Authorization` header.
    ///
    /// # Errors
    ///
    /// Returns a refusal with status 401 if the key is missing or unknown.
    pub(crate) fn authenticate(&self, headers: &HeaderMap) -> Result<Caller, Refusal> {
        let unauthorized =
            |message: &str| Refusal::not_run(StatusCode::UNAUTHORIZED, "unauthorized", message);
        let authorization = headers
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok());
        let key = authorization.and_then(|value| value.strip_prefix("Bearer "));
        let key =
            key.ok_or_else(|| unauthorized("no API key: expected `Authorization: Bearer KEY`"))?;
        self.caller_with(&digest_hex(key.as_bytes()))
            .ok_or_else(|| unauthorized("unknown key"))
    }

    /// Looks up the caller whose key has this digest in the configuration in force.
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

/// Lists the models and cascades that a caller's plan allows. The entry of a model has its allowed
/// versions that are in rollout or established; that of a cascade has none.
pub(crate) fn list_models(caller: &Caller) -> CallerResponse {
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
    json_response(
        StatusCode::OK,
        serde_json::to_string(&list).unwrap_or_default(),
    )
}
