//! Customer plans: the accounts on a plan, and the models and services that they may use.

use crate::{
    findings::Findings,
    names::Name,
    toml_reader::{Table, parse_name, read_document},
};

/// A client account of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name of the client account.
    pub name: Name,
    /// SHA-256 of the account's API key, lower-case hexadecimal.
    pub key_sha256: Name,
    /// Weight in the fair sharing between accounts.
    pub weight: u32,
}

/// A model that a plan may use, with the allowed versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllowedModel {
    /// Name of the model.
    pub model: Name,
    /// Names of the allowed versions.
    pub versions: Vec<Name>,
}

/// A customer plan.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Client accounts on the plan.
    pub accounts: Vec<Account>,
    /// Models and versions that the plan may use.
    pub models: Vec<AllowedModel>,
    /// Plain services that the plan may call.
    pub services: Vec<Name>,
    /// Cascades, which callers request by name like a model.
    pub cascades: Vec<CascadeRule>,
}

/// A cascade between two models of a plan; see [`cascade`](crate::cascade).
#[derive(Clone, Debug, PartialEq)]
pub struct CascadeRule {
    /// Name that callers request as a model.
    pub name: Name,
    /// Name of the cheap model.
    pub cheap: Name,
    /// Name of the strong model.
    pub strong: Name,
    /// Allowed rate of bad answers, from 0 to 1.
    pub allowed_bad_rate: f64,
}

impl Plan {
    /// Parses a plan from TOML; `source` is the file or key named in findings.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with its line and field.
    pub fn parse(source: &str, text: &str) -> Result<Self, Findings> {
        read_document(source, text, |table| {
            let accounts = table.tables("account", read_account);
            let models = table.tables("allow", read_allowed);
            let services = table.names("services");
            let cascades = table.tables("cascade", |table| read_cascade(table, &models));
            report_duplicates(
                table,
                "account",
                accounts.iter().map(|account| &account.name),
            );
            report_duplicates(table, "allow", models.iter().map(|allowed| &allowed.model));
            Self {
                accounts,
                models,
                services,
                cascades,
            }
        })
    }

    /// Returns whether the plan allows this version of this model.
    pub fn allows(&self, model: &str, version: &str) -> bool {
        let allowed = self.models.iter().find(|allowed| &*allowed.model == model);
        allowed.is_some_and(|allowed| allowed.versions.iter().any(|name| &**name == version))
    }
}

fn read_account(table: &mut Table<'_>) -> Account {
    Account {
        name: table.required_name("name"),
        key_sha256: table
            .required("key_sha256", parse_key_digest)
            .unwrap_or_else(|| "".into()),
        weight: table.number("weight", 1..=1_000, 1) as u32,
    }
}

fn read_allowed(table: &mut Table<'_>) -> AllowedModel {
    let model = table.required_name("model");
    let versions = table.names("versions");
    if versions.is_empty() {
        table.report("versions", "needs at least one version");
    }
    report_duplicates(table, "versions", versions.iter());
    AllowedModel { model, versions }
}

/// Allowed bad answers in a thousand, unless the cascade sets its own limit.
const DEFAULT_BAD_PER_THOUSAND: u64 = 50;

fn read_cascade(table: &mut Table<'_>, models: &[AllowedModel]) -> CascadeRule {
    let name = table.required_name("name");
    let cheap = table.required_name("cheap");
    let strong = table.required_name("strong");
    let is_allowed = |model: &Name| models.iter().any(|allowed| allowed.model == *model);
    for (field, model) in [("cheap", &cheap), ("strong", &strong)] {
        if !model.is_empty() && !is_allowed(model) {
            table.report(field, format!("the plan does not allow model `{model}`"));
        }
    }
    if is_allowed(&name) {
        table.report("name", format!("`{name}` is the name of an allowed model"));
    }
    let allowed_bad_rate = table.number(
        "allowed_bad_per_thousand",
        1..=900,
        DEFAULT_BAD_PER_THOUSAND,
    );
    CascadeRule {
        name,
        cheap,
        strong,
        allowed_bad_rate: allowed_bad_rate as f64 / 1000.0,
    }
}

fn parse_key_digest(text: &str) -> Result<Name, String> {
    const HEX_DIGITS: usize = 64;
    let lower_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    if text.len() != HEX_DIGITS || !text.chars().all(lower_hex) {
        // The message omits the text, which may be a key pasted by mistake.
        return Err("expected a SHA-256 in 64 lower-case hexadecimal digits".to_owned());
    }
    Ok(text.into())
}

/// Reports each name that occurs more than once.
pub(crate) fn report_duplicates<'a>(
    table: &Table<'_>,
    field: &str,
    names: impl Iterator<Item = &'a Name>,
) {
    let mut seen: Vec<&Name> = Vec::new();
    for name in names {
        if seen.contains(&name) {
            table.report(field, format!("`{name}` occurs more than once"));
        }
        seen.push(name);
    }
}

/// Splits `model@version`; the version is `None` for a plain model name.
///
/// # Errors
///
/// Returns a message if either part is not a valid name.
pub fn parse_model_reference(text: &str) -> Result<(Name, Option<Name>), String> {
    match text.split_once('@') {
        None => Ok((parse_name(text)?, None)),
        Some((model, version)) => Ok((parse_name(model)?, Some(parse_name(version)?))),
    }
}
