//! Which version of a model a request runs on.

use derive_more::{Display, Error};

use crate::{
    model::{Model, Version, VersionState},
    names::{Name, rendezvous, stable_hash},
    plan::Plan,
};

/// Why no version can take the request. In each case it was not run.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum VersionSelectionError {
    /// The plan does not allow the model, or not the version that was asked for.
    #[display("the plan does not allow this model or version")]
    NotInPlan,
    /// Every allowed version is draining or withdrawn.
    #[display("no version of the model that the plan allows takes new work")]
    NoVersion,
    /// The session's version was withdrawn.
    #[display("the session's version was withdrawn; begin a new session")]
    SessionWithdrawn,
    /// Only a version in roll-out fits, and the host's configuration is too old to serve one.
    #[display(
        "this host has not heard of the configuration for too long to serve a version in roll-out"
    )]
    StaleView,
}

/// What a decision on versions needs to know.
#[derive(Clone, Copy, Debug)]
pub struct VersionQuery<'a> {
    /// Name of the model.
    pub model_name: &'a str,
    /// The model.
    pub model: &'a Model,
    /// The account's plan.
    pub plan: &'a Plan,
    /// Whether the host heard of the newest configuration recently.
    pub view_is_fresh: bool,
    /// Versions that were found bad and take no new session while another one can.
    pub halted: &'a [Name],
}

/// Version of a session's first request: a pure function of the session and the configuration,
/// so that two hosts that see the session at the same moment agree.
///
/// Each version in roll-out owns a fixed part of the hash range, so that a changed share moves
/// only the sessions of the difference.
///
/// # Errors
///
/// Returns why no version fits.
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
    let is_sound = |version: &&&Version| !query.halted.contains(&version.name);
    let names = |versions: Vec<&&Version>| {
        versions
            .iter()
            .map(|version| version.name.clone())
            .collect()
    };
    let all_established: Vec<&&Version> = in_state(VersionState::Established).collect();
    let mut established: Vec<Name> =
        names(all_established.iter().copied().filter(is_sound).collect());
    let rollout: Vec<&Version> = in_state(VersionState::Rollout)
        .filter(is_sound)
        .copied()
        .collect();
    if established.is_empty() && rollout.is_empty() {
        // Halted versions in service are still better than none; those in roll-out are not.
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

/// The version in roll-out whose part of the hash range holds `key`.
fn rollout_owner(rollout: &[&Version], key: &str) -> Option<Name> {
    for version in rollout {
        // Each version hashes for itself: a share that changes leaves the others alone.
        let percent = stable_hash(&[key, &version.name]) % 100;
        if percent < u64::from(version.share_percent) {
            return Some(version.name.clone());
        }
    }
    None
}

/// Checks that a session may go on with the version that it began on.
///
/// # Errors
///
/// Returns why it may not; the session never changes its version silently.
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
