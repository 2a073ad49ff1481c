//! Configuration items that tests write: plans and models, in TOML.

use clementinearch_policy::names::digest_hex;

/// Formats a plan with one account, whose name is also its API key.
pub fn plan(key: &str, versions: &[&str]) -> String {
    let digest = digest_hex(key.as_bytes());
    let versions: Vec<String> = versions
        .iter()
        .map(|version| format!("\"{version}\""))
        .collect();
    format!(
        "services = [\"queue\"]\n[[account]]\nname = \"{key}\"\nkey_sha256 = \"{digest}\"\n\
         [[allow]]\nmodel = \"review\"\nversions = [{}]\n",
        versions.join(", ")
    )
}

/// Formats the model `review` with these versions and states. A rollout state is followed by the
/// share of new sessions in percent, as in `rollout 50`.
pub fn model(versions: &[(&str, &str)]) -> String {
    let version = |(name, state): &(&str, &str)| {
        let (state, share) = state.split_once(' ').unwrap_or((state, "0"));
        format!("[[version]]\nname = \"{name}\"\nstate = \"{state}\"\nshare_percent = {share}\n")
    };
    format!(
        "pool = \"reviewers\"\n{}",
        versions.iter().map(version).collect::<String>()
    )
}
