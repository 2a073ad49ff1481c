//! Models, their versions and the rollout state of each version.

use crate::{
    findings::Findings,
    names::Name,
    plan::report_duplicates,
    toml_reader::{Table, read_document},
};

/// Lifecycle state of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionState {
    /// Takes a share of new sessions, and only on hosts whose configuration is fresh.
    Rollout,
    /// Takes new sessions.
    Established,
    /// Takes no new sessions; existing sessions continue.
    Draining,
    /// Takes no requests at all, not even from its own sessions.
    Withdrawn,
}

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// Name of the version.
    pub name: Name,
    /// Lifecycle state.
    pub state: VersionState,
    /// Share of new sessions while in rollout, percent.
    pub share_percent: u32,
    /// Cost of 1,000 generated tokens, in millionths of the currency unit.
    pub cost_per_thousand: u64,
}

/// Allowed bad answers in a thousand, unless the model sets its own limit.
const DEFAULT_BAD_PER_THOUSAND: u64 = 20;

/// A model with its versions.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Pool of the backend servers that run it.
    pub pool: Name,
    /// Versions, in the order of the configuration.
    pub versions: Vec<Version>,
    /// Rate of answers rated bad, from 0 to 1, above which a version is halted.
    pub allowed_bad_rate: f64,
    /// Number of servers to load each version on; zero disables load orders for the model.
    pub replicas: u32,
}

impl Model {
    /// Parses a model from TOML; `source` is the file or key named in findings.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with its line and field.
    pub fn parse(source: &str, text: &str) -> Result<Self, Findings> {
        read_document(source, text, |table| {
            let pool = table.required_name("pool");
            let versions = table.tables("version", read_version);
            if versions.is_empty() {
                table.report("version", "needs at least one version");
            }
            report_duplicates(
                table,
                "version",
                versions.iter().map(|version| &version.name),
            );
            let allowed_bad_rate = table.number(
                "allowed_bad_per_thousand",
                1..=900,
                DEFAULT_BAD_PER_THOUSAND,
            );
            let replicas = table.number("replicas", 0..=10_000, 0) as u32;
            let shares: u32 = versions.iter().map(|version| version.share_percent).sum();
            if shares > 100 {
                table.report("version", format!("shares add up to {shares} percent"));
            }
            Self {
                pool,
                versions,
                allowed_bad_rate: allowed_bad_rate as f64 / 1000.0,
                replicas,
            }
        })
    }

    /// Returns the version with this name.
    pub fn version(&self, name: &str) -> Option<&Version> {
        self.versions.iter().find(|version| &*version.name == name)
    }
}

fn read_version(table: &mut Table<'_>) -> Version {
    let name = table.required_name("name");
    let state = table
        .required("state", parse_state)
        .unwrap_or(VersionState::Withdrawn);
    let share_percent = table.number("share_percent", 0..=100, 0) as u32;
    if share_percent > 0 && state != VersionState::Rollout {
        table.report(
            "share_percent",
            "only a version in state `rollout` may have a share",
        );
    }
    let cost_per_thousand = table.number("cost_per_thousand", 0..=1_000_000_000, 0);
    Version {
        name,
        state,
        share_percent,
        cost_per_thousand,
    }
}

fn parse_state(text: &str) -> Result<VersionState, String> {
    match text {
        "rollout" => Ok(VersionState::Rollout),
        "established" => Ok(VersionState::Established),
        "draining" => Ok(VersionState::Draining),
        "withdrawn" => Ok(VersionState::Withdrawn),
        _ => Err(format!(
            "`{text}` is none of rollout, established, draining, withdrawn"
        )),
    }
}

/// A plain service, which runs no models.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Pool of the backend servers that run it.
    pub pool: Name,
}

impl Service {
    /// Parses a service from TOML; `source` is the file or key named in findings.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with its line and field.
    pub fn parse(source: &str, text: &str) -> Result<Self, Findings> {
        read_document(source, text, |table| Self {
            pool: table.required_name("pool"),
        })
    }
}
