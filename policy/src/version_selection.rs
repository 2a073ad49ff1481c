//! Selection of the model version that a request runs on.

use derive_more::{Display, Error};

use crate::{
    model::{Model, Version, VersionState},
    names::{Name, rendezvous, stable_hash},
    plan::Plan,
};

/// Reason why no version can take a request. The request has not run in any of these cases.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum VersionSelectionError {
    /// The plan does not allow the model or the requested version.
    #[display("the plan does not allow this model or version")]
    NotInPlan,
    /// Every allowed version is draining or withdrawn.
    #[display("no version of the model that the plan allows takes new work")]
    NoVersion,
    /// The session's version was withdrawn.
    #[display("the session's version was withdrawn; begin a new session")]
    SessionWithdrawn,
    /// Only a version in rollout fits, and the host's configuration is too old to serve one.
    #[display("this host's configuration is too old to serve a version in rollout")]
    StaleView,
}

/// Input of the version selection.
#[derive(Clone, Copy, Debug)]
pub struct VersionQuery<'a> {
    /// Name of the model.
    pub model_name: &'a str,
    /// The model.
    pub model: &'a Model,
    /// The account's plan.
    pub plan: &'a Plan,
    /// Whether the host's configuration was confirmed recently.
    pub view_is_fresh: bool,
    /// Versions halted for bad quality. They get no new sessions, except that established ones do
    /// if no other version can.
    pub halted: &'a [Name],
}

/// Selects the version for a session's first request.
///
/// The result is a pure function of the session and the configuration, so that two hosts that see
/// the session at the same time agree. Each version in rollout owns a fixed part of the hash
/// range: changing its share moves only the sessions in the difference.
///
/// # Errors
///
/// Fails if no allowed version can take the session.
pub fn select_version(
    query: &VersionQuery<'_>,
    wanted: Option<&str>,
    session: &str,
) -> Result<Name, VersionSelectionError> {
    let allowed = |version: &&Version| {
        let is_wanted = wanted.is_none_or(|wanted| wanted == &*version.name);
        is_wanted && query.plan.allows(query.model_name, &version.name)
    };
    let candidates: Vec<&Version> = query.model.versions.iter().filter(allowed).collect();
    if candidates.is_empty() {
        return Err(VersionSelectionError::NotInPlan);
    }
    let in_state = |state: VersionState| {
        candidates
            .iter()
            .filter(move |version| version.state == state)
    };
    let is_not_halted = |version: &&&Version| !query.halted.contains(&version.name);
    let names = |versions: Vec<&&Version>| {
        versions
            .iter()
            .map(|version| version.name.clone())
            .collect()
    };
    let all_established: Vec<&&Version> = in_state(VersionState::Established).collect();
    let mut established: Vec<Name> = names(
        all_established
            .iter()
            .copied()
            .filter(is_not_halted)
            .collect(),
    );
    let rollout: Vec<&Version> = in_state(VersionState::Rollout)
        .filter(is_not_halted)
        .copied()
        .collect();
    if established.is_empty() && rollout.is_empty() {
        // A halted established version is still better than none; a halted one in rollout is not.
        established = names(all_established);
    }
    if established.is_empty() && rollout.is_empty() {
        return Err(VersionSelectionError::NoVersion);
    }
    let key = format!("{}/{session}", query.model_name);
    if query.view_is_fresh {
        let chosen = rollout_owner(&rollout, &key);
        if let Some(version) = chosen {
            return Ok(version);
        }
        if established.is_empty() {
            let names: Vec<Name> = rollout.iter().map(|version| version.name.clone()).collect();
            return rendezvous(&key, names.iter(), 1)
                .pop()
                .ok_or(VersionSelectionError::NoVersion);
        }
    }
    rendezvous(&key, established.iter(), 1)
        .pop()
        .ok_or(VersionSelectionError::StaleView)
}

/// Returns the version in rollout whose part of the hash range contains `key`.
fn rollout_owner(rollout: &[&Version], key: &str) -> Option<Name> {
    for version in rollout {
        // Each version has its own hash, so that changing one share does not affect the others.
        let percent = stable_hash(&[key, &version.name]) % 100;
        if percent < u64::from(version.share_percent) {
            return Some(version.name.clone());
        }
    }
    None
}

/// Checks that a session may continue on the version that it began on.
///
/// # Errors
///
/// Fails if the version is no longer available: a session never changes its version silently.
pub fn check_session_version(
    query: &VersionQuery<'_>,
    version: &str,
) -> Result<(), VersionSelectionError> {
    if !query.plan.allows(query.model_name, version) {
        return Err(VersionSelectionError::NotInPlan);
    }
    match query.model.version(version).map(|version| version.state) {
        None | Some(VersionState::Withdrawn) => Err(VersionSelectionError::SessionWithdrawn),
        Some(VersionState::Rollout) if !query.view_is_fresh => {
            Err(VersionSelectionError::StaleView)
        }
        Some(_) => Ok(()),
    }
}
