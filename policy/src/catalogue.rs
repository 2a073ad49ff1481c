//! The configuration that a host applies: never a lower revision, item by item the last good one.

use std::sync::Arc;

use clementinearch_border::Head;
use serde::{Deserialize, Serialize};

use crate::{
    findings::Findings,
    model::{Model, Service},
    names::{FastMap, Name, digest_hex},
    plan::Plan,
};

/// A client account as found by its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountEntry {
    /// Name of the client account.
    pub account: Name,
    /// Name of its plan.
    pub plan: Name,
    /// Weight of its fair share.
    pub weight: u32,
}

/// One parsed item.
#[derive(Clone, Debug)]
enum Item {
    Plan(Arc<Plan>),
    Model(Arc<Model>),
    Service(Arc<Service>),
}

/// A body that was applied, and the head revision that accepted it.
#[derive(Clone, Debug)]
struct Applied {
    revision: u64,
    text: Name,
    item: Item,
}

/// A body offered beside a head: the last good one of an item whose accepted body is bad.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fallback {
    /// Item name.
    pub item: String,
    /// Head revision that once accepted the body.
    pub revision: u64,
    /// The body.
    pub text: Name,
}

/// The configuration in force on one host.
#[derive(Clone, Debug)]
pub struct Catalogue {
    head: Arc<Head>,
    applied: FastMap<String, Applied>,
    /// Accepted bodies that could not be applied, so that peers meet the same findings.
    rejected: Bodies,
    accounts: FastMap<Name, AccountEntry>,
    findings: Findings,
}

/// Bodies of items by digest.
pub type Bodies = FastMap<String, Name>;

/// Outcome of offering a head to a catalogue.
#[derive(Debug)]
pub enum Advance {
    /// The offered head is not newer; nothing changes.
    NotNewer,
    /// The offered head is in force.
    Applied(Box<Catalogue>),
}

impl Catalogue {
    /// The catalogue after `head` was offered to a host that applies `current`.
    ///
    /// An item whose body is missing or bad keeps its last good body, from
    /// `current` or from `fallbacks`, and leaves a finding.
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

    /// Whether `head` is newer, or the same head whose bad items may have become readable.
    fn may_advance_to(&self, head: &Head) -> bool {
        let repairs = !self.findings.0.is_empty() && *head == *self.head;
        head.revision > self.revision() || repairs
    }

    /// Revision in force.
    pub fn revision(&self) -> u64 {
        self.head.revision
    }

    /// Items that some good body is applied of.
    pub fn items_in_force(&self) -> usize {
        self.applied.len()
    }

    /// Head in force.
    pub fn head(&self) -> &Arc<Head> {
        &self.head
    }

    /// What could not be applied, with its place.
    pub fn findings(&self) -> &Findings {
        &self.findings
    }

    /// The account whose key has this digest.
    pub fn account(&self, key_sha256: &str) -> Option<&AccountEntry> {
        self.accounts.get(key_sha256)
    }

    /// The plan of this name.
    pub fn plan(&self, name: &str) -> Option<&Arc<Plan>> {
        match &self.applied.get(&format!("plan/{name}"))?.item {
            Item::Plan(plan) => Some(plan),
            _ => None,
        }
    }

    /// The model of this name.
    pub fn model(&self, name: &str) -> Option<&Arc<Model>> {
        match &self.applied.get(&format!("model/{name}"))?.item {
            Item::Model(model) => Some(model),
            _ => None,
        }
    }

    /// All plans by name.
    pub fn plans(&self) -> impl Iterator<Item = (&str, &Arc<Plan>)> {
        self.applied
            .iter()
            .filter_map(|(name, applied)| match &applied.item {
                Item::Plan(plan) => Some((name.strip_prefix("plan/")?, plan)),
                _ => None,
            })
    }

    /// All models by name.
    pub fn models(&self) -> impl Iterator<Item = (&str, &Arc<Model>)> {
        self.applied
            .iter()
            .filter_map(|(name, applied)| match &applied.item {
                Item::Model(model) => Some((name.strip_prefix("model/")?, model)),
                _ => None,
            })
    }

    /// The plain service of this name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        match &self.applied.get(&format!("service/{name}"))?.item {
            Item::Service(service) => Some(service),
            _ => None,
        }
    }

    /// Bodies accepted after `revision`, and the last good bodies of items that the head
    /// names with a bad one.
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

    /// Names and digests that `head` accepts and this catalogue does not apply.
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

/// Checks the body of one item, such as `plan/studio`.
///
/// # Errors
///
/// Returns every finding with its line and field; `source` names the file or key.
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
                "an item is named plan/NAME, model/NAME or service/NAME",
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

/// Indexes accounts by key; a key on two plans stays with the plan that was accepted first.
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

/// Reports names in plans that no model or service has.
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
