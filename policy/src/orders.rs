//! Load orders: the loads and unloads that bring a pool of model engines to its configured state.
//!
//! The decision depends only on the configuration and on what the servers report. A host that takes
//! over the task thus continues a rollout where it stopped, and reverts the effects of orders that
//! arrived late.

use crate::{
    model::{Model, VersionState},
    names::Name,
};

/// An order to a model engine to load or unload a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// Name of the server.
    pub server: Name,
    /// Version as `model@version`.
    pub version: Name,
    /// Whether to load the version; `false` unloads it.
    pub load: bool,
}

/// Versions that a server of the pool reports as loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedVersions {
    /// Name of the server.
    pub server: Name,
    /// Versions as `model@version`.
    pub versions: Vec<Name>,
}

/// Largest number of loads ordered in one step: all servers share the bandwidth of the weight
/// store.
pub const MAX_LOADS_PER_STEP: usize = 1;

/// Returns the next orders for one model: unloads of all versions that may not run, and up to
/// [`MAX_LOADS_PER_STEP`] missing loads.
pub fn next_orders(name: &str, model: &Model, servers: &[LoadedVersions]) -> Vec<LoadOrder> {
    if model.replicas == 0 {
        return Vec::new();
    }
    let label = |version: &str| Name::from(format!("{name}@{version}"));
    let wanted: Vec<Name> = model
        .versions
        .iter()
        .filter(|version| version.state != VersionState::Withdrawn)
        .map(|version| label(&version.name))
        .collect();
    let mut orders = Vec::new();
    for server in servers {
        let own = server.versions.iter().filter(|version| {
            version
                .strip_prefix(name)
                .is_some_and(|rest| rest.starts_with('@'))
        });
        for version in own.filter(|version| !wanted.contains(version)) {
            orders.push(LoadOrder {
                server: server.server.clone(),
                version: version.clone(),
                load: false,
            });
        }
    }
    let missing = wanted
        .iter()
        .flat_map(|version| missing_loads(model, version, servers));
    orders.extend(missing.take(MAX_LOADS_PER_STEP));
    orders
}

/// Returns the missing loads of one version, on the servers with the fewest loaded versions.
fn missing_loads(model: &Model, version: &Name, servers: &[LoadedVersions]) -> Vec<LoadOrder> {
    let (with, without): (Vec<&LoadedVersions>, Vec<&LoadedVersions>) = servers
        .iter()
        .partition(|server| server.versions.contains(version));
    let count = (model.replicas as usize).saturating_sub(with.len());
    let mut candidates = without;
    candidates.sort_by_key(|server| (server.versions.len(), server.server.clone()));
    let order = |server: &LoadedVersions| LoadOrder {
        server: server.server.clone(),
        version: version.clone(),
        load: true,
    };
    candidates.into_iter().take(count).map(order).collect()
}
