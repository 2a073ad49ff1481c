//! Parsers of the configuration and of tokens reject arbitrary text without a panic, and findings
//! point into the text.

use clementinearch_policy::{
    findings::Findings,
    model::Model,
    plan::{Plan, parse_model_reference},
    session::SessionSigner,
    toml_reader::parse_name,
};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 20_261_204;
const CASES: u64 = 3_000;

const PLAN: &str = "services = [\"queue\"]\n[[account]]\nname = \"a\"\nkey_sha256 = \"00\"\nweight = 2\n\
                    [[allow]]\nmodel = \"m\"\nversions = [\"v1\", \"v2\"]\n";
const MODEL: &str = "pool = \"p\"\nreplicas = 2\nallowed_bad_per_thousand = 20\n[[version]]\nname = \"v1\"\n\
                     state = \"rollout\"\nshare_percent = 10\ncost_per_thousand = 5\n";

/// Returns whether there are findings and all of them have a line of the text.
fn point_into(text: &str, findings: &Findings) -> bool {
    let lines = text.lines().count() + 1;
    !findings.0.is_empty()
        && findings
            .0
            .iter()
            .all(|finding| finding.location.line <= lines)
}

/// Returns a valid item body with some bytes replaced, inserted or removed.
fn damaged(text: &str, damage: &[(usize, u8)]) -> String {
    let mut bytes = text.as_bytes().to_vec();
    for (index, value) in damage {
        let index = index % bytes.len().max(1);
        match value % 3 {
            0 => bytes[index] = value / 2 + 1,
            1 => bytes.insert(index, *value),
            _ => {
                bytes.remove(index);
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

#[test]
fn damaged_items_give_findings_that_point_into_them() {
    fn property(damage: Vec<(usize, u8)>) -> bool {
        let damage = &damage[..damage.len().min(8)];
        let (plan, model) = (damaged(PLAN, damage), damaged(MODEL, damage));
        let plan_is_valid =
            Plan::parse("plan", &plan).map_or_else(|found| point_into(&plan, &found), |_| true);
        let model_is_valid =
            Model::parse("model", &model).map_or_else(|found| point_into(&model, &found), |_| true);
        plan_is_valid && model_is_valid
    }
    let quickcheck = || {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(30, SEED))
            .tests(CASES)
    };
    quickcheck().quickcheck(property as fn(Vec<(usize, u8)>) -> bool);
}

#[test]
fn arbitrary_names_references_and_tokens_never_cause_a_panic() {
    fn property(text: String) -> bool {
        let signer = SessionSigner::new("a secret of some length".into());
        let name_is_plain = parse_name(&text).is_ok_and(|name| name.is_ascii() && name.len() <= 64);
        let _ = parse_model_reference(&text);
        signer.verify(&text).is_none() && (name_is_plain || parse_name(&text).is_err())
    }
    let quickcheck = || {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(100, SEED))
            .tests(CASES)
    };
    quickcheck().quickcheck(property as fn(String) -> bool);
}
