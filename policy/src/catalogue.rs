//! Configuration in force on a host. Its revision never decreases, and an item whose new body is
//! bad keeps its last good one.

use std::sync::Arc;

use clementinearch_border::Head;
use serde::{Deserialize, Serialize};

use crate::{
    findings::Findings,
    model::{Model, Service},
    names::{FastMap, Name, digest_hex},
    plan::Plan,
};

/// A client account, as found by its API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountEntry {
    /// Name of the client account.
    pub account: Name,
    /// Name of its plan.
    pub plan: Name,
    /// Weight in the fair sharing between accounts.
    pub weight: u32,
}

/// A parsed item.
#[derive(Clone, Debug)]
enum Item {
    Plan(Arc<Plan>),
    Model(Arc<Model>),
    Service(Arc<Service>),
}

/// An applied body, with the head revision that accepted it.
#[derive(Clone, Debug)]
struct Applied {
    revision: u64,
    text: Name,
    item: Item,
}

/// Last good body of an item whose accepted body is bad, as sent along with a head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fallback {
    /// Item name, such as `plan/studio`.
    pub item: String,
    /// Head revision that accepted the body.
    pub revision: u64,
    /// Body in TOML.
    pub text: Name,
}

/// Configuration in force on one host.
#[derive(Clone, Debug)]
pub struct Catalogue {
    head: Arc<Head>,
    applied: FastMap<String, Applied>,
    /// Accepted bodies that could not be applied, kept so that peers get the same findings.
    rejected: Bodies,
    accounts: FastMap<Name, AccountEntry>,
    findings: Findings,
}

/// Bodies of items by their SHA-256 digest.
pub type Bodies = FastMap<String, Name>;

/// Outcome of [`Catalogue::advance`].
#[derive(Debug)]
pub enum Advance {
    /// The head is not newer, so nothing changes.
    NotNewer,
    /// The catalogue with the new head in force.
    Applied(Box<Catalogue>),
}

impl Catalogue {
    /// Applies `head` on a host whose configuration is `current`.
    ///
    /// An item whose body is missing or bad keeps its last good body from `current` or `fallbacks`,
    /// and adds a finding.
    pub fn advance(
        current: Option<&Self>,
        head: Arc<Head>,
        bodies: &Bodies,
        fallbacks: &[Fallback],
    ) -> Advance {
        if current.is_some_and(|current| !current.may_advance_to(&head)) {
            return Advance::NotNewer;
        }
        let mut findings = Findings::default();
        let mut applied = FastMap::default();
        let mut rejected = Bodies::default();
        for (name, entry) in &head.items {
            let last_good = current.and_then(|current| current.applied.get(name));
            let unchanged = last_good.filter(|last| last.revision == entry.revision);
            if let Some(unchanged) = unchanged {
                applied.insert(name.clone(), unchanged.clone());
                continue;
            }
            let known = current.and_then(|current| current.rejected.get(&entry.digest));
            let body = bodies.get(&entry.digest).or(known);
            match read_item(name, body, &entry.digest) {
                Ok((item, text)) => {
                    applied.insert(
                        name.clone(),
                        Applied {
                            revision: entry.revision,
                            text,
                            item,
                        },
                    );
                }
                Err(found) => {
                    findings.0.extend(found.0);
                    if let Some(body) = body {
                        rejected.insert(entry.digest.clone(), body.clone());
                    }
                    let kept = last_good
                        .cloned()
                        .or_else(|| read_fallback(name, fallbacks));
                    if let Some(kept) = kept {
                        applied.insert(name.clone(), kept);
                    }
                }
            }
        }
        let accounts = index_accounts(&applied, &mut findings);
        check_references(&applied, &mut findings);
        findings
            .0
            .sort_by(|left, right| left.location.source.cmp(&right.location.source));
        Advance::Applied(Box::new(Self {
            head,
            applied,
            rejected,
            accounts,
            findings,
        }))
    }

    /// Returns whether `head` is newer, or the same head while some items are bad: their bodies may
    /// have become readable since.
    fn may_advance_to(&self, head: &Head) -> bool {
        let is_repair = !self.findings.0.is_empty() && *head == *self.head;
        head.revision > self.revision() || is_repair
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> u64 {
        self.head.revision
    }

    /// Returns the number of items with a body in force.
    pub fn items_in_force(&self) -> usize {
        self.applied.len()
    }

    /// Returns the head in force.
    pub fn head(&self) -> &Arc<Head> {
        &self.head
    }

    /// Returns the findings about bodies that could not be applied and about unresolved references.
    pub fn findings(&self) -> &Findings {
        &self.findings
    }

    /// Returns the account whose API key has this digest.
    pub fn account(&self, key_sha256: &str) -> Option<&AccountEntry> {
        self.accounts.get(key_sha256)
    }

    /// Returns the plan with this name.
    pub fn plan(&self, name: &str) -> Option<&Arc<Plan>> {
        match &self.applied.get(&format!("plan/{name}"))?.item {
            Item::Plan(plan) => Some(plan),
            _ => None,
        }
    }

    /// Returns the model with this name.
    pub fn model(&self, name: &str) -> Option<&Arc<Model>> {
        match &self.applied.get(&format!("model/{name}"))?.item {
            Item::Model(model) => Some(model),
            _ => None,
        }
    }

    /// Iterates over all plans with their names.
    pub fn plans(&self) -> impl Iterator<Item = (&str, &Arc<Plan>)> {
        self.applied
            .iter()
            .filter_map(|(name, applied)| match &applied.item {
                Item::Plan(plan) => Some((name.strip_prefix("plan/")?, plan)),
                _ => None,
            })
    }

    /// Iterates over all models with their names.
    pub fn models(&self) -> impl Iterator<Item = (&str, &Arc<Model>)> {
        self.applied
            .iter()
            .filter_map(|(name, applied)| match &applied.item {
                Item::Model(model) => Some((name.strip_prefix("model/")?, model)),
                _ => None,
            })
    }

    /// Returns the plain service with this name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        match &self.applied.get(&format!("service/{name}"))?.item {
            Item::Service(service) => Some(service),
            _ => None,
        }
    }

    /// Returns what a peer at `revision` lacks: the bodies accepted since, and the last good body
    /// of each item whose accepted body is bad.
    pub fn bodies_since(&self, revision: u64) -> (Bodies, Vec<Fallback>) {
        let mut bodies = Bodies::default();
        let mut fallbacks = Vec::new();
        for (name, entry) in &self.head.items {
            if let Some(body) = self.rejected.get(&entry.digest) {
                bodies.insert(entry.digest.clone(), body.clone());
            }
            let Some(applied) = self.applied.get(name) else {
                continue;
            };
            if applied.revision != entry.revision {
                fallbacks.push(Fallback {
                    item: name.clone(),
                    revision: applied.revision,
                    text: applied.text.clone(),
                });
            } else if entry.revision > revision {
                bodies.insert(entry.digest.clone(), applied.text.clone());
            }
        }
        (bodies, fallbacks)
    }

    /// Returns the names and digests of the items of `head` that `current` has not applied.
    pub fn missing_bodies(current: Option<&Self>, head: &Head) -> Vec<(String, String)> {
        let is_applied = |name: &String, revision: u64| {
            let applied = current.and_then(|current| current.applied.get(name));
            applied.is_some_and(|applied| applied.revision == revision)
        };
        let missing = head
            .items
            .iter()
            .filter(|(name, entry)| !is_applied(name, entry.revision));
        missing
            .map(|(name, entry)| (name.clone(), entry.digest.clone()))
            .collect()
    }
}

/// Checks the body of an item such as `plan/studio`; `source` is the file or key named in findings.
///
/// # Errors
///
/// Returns all findings, each with its line and field.
pub fn check_item(name: &str, source: &str, text: &str) -> Result<(), Findings> {
    parse_item(name, source, text).map(|_| ())
}

fn parse_item(name: &str, source: &str, text: &str) -> Result<Item, Findings> {
    match name.split_once('/') {
        Some(("plan", _)) => Plan::parse(source, text).map(|plan| Item::Plan(plan.into())),
        Some(("model", _)) => Model::parse(source, text).map(|model| Item::Model(model.into())),
        Some(("service", _)) => {
            Service::parse(source, text).map(|service| Item::Service(service.into()))
        }
        _ => {
            let mut findings = Findings::default();
            findings.add(
                source,
                "item name must be plan/NAME, model/NAME or service/NAME",
            );
            Err(findings)
        }
    }
}

fn read_item(name: &str, body: Option<&Name>, digest: &str) -> Result<(Item, Name), Findings> {
    let mut findings = Findings::default();
    let Some(text) = body else {
        findings.add(name, "the accepted body is not in the store");
        return Err(findings);
    };
    if digest_hex(text.as_bytes()) != digest {
        findings.add(name, "the body does not match the digest in the head");
        return Err(findings);
    }
    parse_item(name, name, text).map(|item| (item, text.clone()))
}

fn read_fallback(name: &str, fallbacks: &[Fallback]) -> Option<Applied> {
    let fallback = fallbacks.iter().find(|fallback| fallback.item == name)?;
    let item = parse_item(name, name, &fallback.text).ok()?;
    Some(Applied {
        revision: fallback.revision,
        text: fallback.text.clone(),
        item,
    })
}

/// Indexes accounts by the digests of their keys. An account or key that is on two plans stays with
/// the plan that was accepted first.
fn index_accounts(
    applied: &FastMap<String, Applied>,
    findings: &mut Findings,
) -> FastMap<Name, AccountEntry> {
    let mut plans: Vec<(u64, &str, &Plan)> = Vec::new();
    for (name, entry) in applied {
        if let (Item::Plan(plan), Some((_, plan_name))) = (&entry.item, name.split_once('/')) {
            plans.push((entry.revision, plan_name, plan));
        }
    }
    plans.sort_by_key(|(revision, name, _)| (*revision, *name));
    let mut accounts: FastMap<Name, AccountEntry> = FastMap::default();
    let mut plan_of: FastMap<Name, Name> = FastMap::default();
    for (_, plan_name, plan) in plans {
        for account in &plan.accounts {
            let taken = plan_of
                .get(&account.name)
                .or_else(|| accounts.get(&account.key_sha256).map(|entry| &entry.plan));
            if let Some(first) = taken {
                let message = format!(
                    "account `{}` or its key already belongs to plan `{first}`",
                    account.name
                );
                findings.add(&format!("plan/{plan_name}"), message);
                continue;
            }
            let entry = AccountEntry {
                account: account.name.clone(),
                plan: plan_name.into(),
                weight: account.weight,
            };
            plan_of.insert(account.name.clone(), entry.plan.clone());
            accounts.insert(account.key_sha256.clone(), entry);
        }
    }
    accounts
}

/// Reports references in plans to unknown models, versions and services.
fn check_references(applied: &FastMap<String, Applied>, findings: &mut Findings) {
    for (name, entry) in applied {
        let Item::Plan(plan) = &entry.item else {
            continue;
        };
        for allowed in &plan.models {
            let Some(Item::Model(model)) = applied
                .get(&format!("model/{}", allowed.model))
                .map(|entry| &entry.item)
            else {
                findings.add(name, format!("model `{}` is not listed", allowed.model));
                continue;
            };
            for version in &allowed.versions {
                if model.version(version).is_none() {
                    findings.add(
                        name,
                        format!("model `{}` has no version `{version}`", allowed.model),
                    );
                }
            }
        }
        for service in &plan.services {
            if !applied.contains_key(&format!("service/{service}")) {
                findings.add(name, format!("service `{service}` is not listed"));
            }
        }
    }
}
