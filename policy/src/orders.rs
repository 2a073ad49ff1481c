//! Which loads and unloads bring a pool to what the lists ask for.
//!
//! The decision looks at the lists and at what the servers report, at nothing else: whoever gives
//! the orders next takes up a roll-out wherever it stopped, and undoes what an order given late has done.

use crate::{
    model::{Model, VersionState},
    names::Name,
};

/// An order to a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// Name of the server.
    pub server: Name,
    /// Version as `model@version`.
    pub version: Name,
    /// Whether to load it; else to unload it.
    pub load: bool,
}

/// A server of the pool and the versions that it reports as loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedVersions {
    /// Name of the server.
    pub server: Name,
    /// Versions as `model@version`.
    pub versions: Vec<Name>,
}

/// Loads given in one step: the weight store's rate is shared by all.
pub const MAX_LOADS_PER_STEP: usize = 1;

/// The next orders for one model: unloads of versions that may not run, and the first missing loads.
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
                .is_some_and(|it| it.starts_with('@'))
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

/// Loads of one version on the servers that hold the fewest versions.
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
