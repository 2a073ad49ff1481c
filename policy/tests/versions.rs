//! Properties of version selection, the catalogue, configuration edits, request ids and ledger
//! pages.

use std::{sync::Arc, time::Duration};

use clementinearch_border::{BillRecord, Head, HeadItem, LedgerPage};
use clementinearch_policy::{
    catalogue::{Advance, Bodies, Catalogue},
    config_head::{Edit, EditRefusal, ItemChange, apply_edit, empty_head},
    ledger::{EPOCH_LENGTH, PageId, is_write_due, merge_records},
    model::Model,
    names::{Name, digest_hex, rendezvous},
    plan::Plan,
    request_id::{CLOCK_TOLERANCE, RETENTION, RequestId, RequestIdError},
    time::Millis,
    version_selection::{
        VersionQuery, VersionSelectionError, check_session_version, select_version,
    },
};
use quickcheck::{Gen, QuickCheck, Testable};

const SEED: u64 = 20_261_204;
const CASES: u64 = 500;

fn check<T: Testable>(property: T) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, SEED))
        .tests(CASES)
        .quickcheck(property);
}

fn model(states: &[(&str, &str, u32)]) -> Model {
    let version = |(name, state, share): &(&str, &str, u32)| {
        format!("[[version]]\nname = \"{name}\"\nstate = \"{state}\"\nshare_percent = {share}\n")
    };
    let text = format!(
        "pool = \"p\"\n{}",
        states.iter().map(version).collect::<String>()
    );
    Model::parse("model", &text).unwrap()
}

fn plan(versions: &str) -> Plan {
    Plan::parse(
        "plan",
        &format!("[[allow]]\nmodel = \"m\"\nversions = [{versions}]\n"),
    )
    .unwrap()
}

fn choose(
    model: &Model,
    plan: &Plan,
    halted: &[Name],
    session: &str,
) -> Result<Name, VersionSelectionError> {
    let query = VersionQuery {
        model_name: "m",
        model,
        plan,
        view_is_fresh: true,
        halted,
    };
    select_version(&query, None, session)
}

#[test]
fn a_larger_share_moves_no_session_off_the_rollout_and_the_share_is_kept() {
    let plan = plan("\"a\", \"b\"");
    let at = |share| model(&[("a", "established", 0), ("b", "rollout", share)]);
    let (small, large) = (at(10), at(30));
    for session in (0..2_000).map(|number| number.to_string()) {
        let before = choose(&small, &plan, &[], &session).unwrap();
        let after = choose(&large, &plan, &[], &session).unwrap();
        assert!(
            &*before == "a" || &*after == "b",
            "session {session} moved off the rollout"
        );
    }
    let on_rollout = (0..10_000)
        .filter(|number| &*choose(&large, &plan, &[], &number.to_string()).unwrap() == "b");
    let share = on_rollout.count();
    assert!(
        (2_800..3_200).contains(&share),
        "{share} of 10,000 at 30 percent"
    );
}

type StringProperty = fn(String) -> bool;

#[test]
fn draining_an_established_version_moves_only_its_own_sessions() {
    fn property(session: String) -> bool {
        let plan = plan("\"a\", \"b\", \"c\"");
        let all = model(&[
            ("a", "established", 0),
            ("b", "established", 0),
            ("c", "established", 0),
        ]);
        let drained = model(&[
            ("a", "established", 0),
            ("b", "established", 0),
            ("c", "draining", 0),
        ]);
        let before = choose(&all, &plan, &[], &session).unwrap();
        let after = choose(&drained, &plan, &[], &session).unwrap();
        &*before == "c" || before == after
    }
    check(property as StringProperty);
}

#[test]
fn only_allowed_versions_that_take_new_sessions_are_selected() {
    fn property(session: String, states: Vec<u8>, allowed: u8) -> bool {
        let names = ["a", "b", "c", "d"];
        let states_by_number = ["rollout", "established", "draining", "withdrawn"];
        let state = |index: usize| {
            states_by_number[usize::from(states.get(index).copied().unwrap_or(1)) % 4]
        };
        let versions: Vec<(&str, &str, u32)> = (0..4)
            .map(|index| {
                (
                    names[index],
                    state(index),
                    if state(index) == "rollout" { 20 } else { 0 },
                )
            })
            .collect();
        let model = model(&versions);
        let allowed: Vec<String> = (0..4)
            .filter(|index| allowed & (1 << index) != 0)
            .map(|index| format!("\"{}\"", names[index]))
            .collect();
        if allowed.is_empty() {
            return true;
        }
        let plan = plan(&allowed.join(", "));
        match choose(&model, &plan, &[], &session) {
            Ok(version) => {
                let index = names.iter().position(|name| **name == *version).unwrap();
                plan.allows("m", &version) && matches!(state(index), "rollout" | "established")
            }
            Err(e) => e == VersionSelectionError::NoVersion,
        }
    }
    check(property as fn(String, Vec<u8>, u8) -> bool);
}

#[test]
fn halted_versions_are_avoided_unless_no_other_is_established() {
    let plan = plan("\"a\", \"b\"");
    let rollout = model(&[("a", "established", 0), ("b", "rollout", 100)]);
    let halted = |names: &[&str]| {
        names
            .iter()
            .map(|name| Name::from(*name))
            .collect::<Vec<_>>()
    };
    assert_eq!(&*choose(&rollout, &plan, &[], "s").unwrap(), "b");
    assert_eq!(
        &*choose(&rollout, &plan, &halted(&["b"]), "s").unwrap(),
        "a"
    );
    assert_eq!(
        &*choose(&rollout, &plan, &halted(&["a", "b"]), "s").unwrap(),
        "a"
    );
    let only = model(&[("b", "rollout", 100)]);
    assert_eq!(
        choose(&only, &plan, &halted(&["b"]), "s"),
        Err(VersionSelectionError::NoVersion)
    );
}

#[test]
fn a_stale_view_serves_no_rollout() {
    let plan = plan("\"a\", \"b\"");
    let model = model(&[("a", "established", 0), ("b", "rollout", 100)]);
    let query = VersionQuery {
        model_name: "m",
        model: &model,
        plan: &plan,
        view_is_fresh: false,
        halted: &[],
    };
    assert_eq!(&*select_version(&query, None, "s").unwrap(), "a");
    assert_eq!(
        select_version(&query, Some("b"), "s"),
        Err(VersionSelectionError::StaleView)
    );
    assert_eq!(
        check_session_version(&query, "b"),
        Err(VersionSelectionError::StaleView)
    );
    assert_eq!(check_session_version(&query, "a"), Ok(()));
}

fn head(revision: u64) -> Arc<Head> {
    let body = format!("pool = \"p{revision}\"\n");
    let item = HeadItem {
        revision,
        digest: digest_hex(body.as_bytes()),
    };
    let items = [("service/s".to_owned(), item)].into_iter().collect();
    Arc::new(Head {
        revision,
        items,
        edits: Vec::new(),
    })
}

fn bodies(revision: u64) -> Bodies {
    let body = format!("pool = \"p{revision}\"\n");
    [(digest_hex(body.as_bytes()), body.into())]
        .into_iter()
        .collect()
}

#[test]
fn heads_in_any_order_never_lower_the_revision_and_bodies_match() {
    fn property(revisions: Vec<u8>) -> bool {
        let mut current: Option<Catalogue> = None;
        for revision in revisions.into_iter().map(u64::from) {
            let before = current.as_ref().map_or(0, Catalogue::revision);
            // Every third body is missing from the store.
            let offered = if revision % 3 == 0 {
                Bodies::default()
            } else {
                bodies(revision)
            };
            if let Advance::Applied(next) =
                Catalogue::advance(current.as_ref(), head(revision), &offered, &[])
            {
                let pool = next.service("s").map(|service| service.pool.to_string());
                let is_own = pool == Some(format!("p{revision}"));
                if next.revision() < before || (next.findings().0.is_empty() && !is_own) {
                    return false;
                }
                current = Some(*next);
            } else if revision > before {
                return false;
            }
        }
        true
    }
    check(property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_host_that_gets_a_bad_body_from_a_peer_has_the_same_findings() {
    let bad = "pol = \"p\"\n";
    let items = |revision, text: &str| {
        let item = HeadItem {
            revision,
            digest: digest_hex(text.as_bytes()),
        };
        [("service/s".to_owned(), item)].into_iter().collect()
    };
    let applied = |advance| match advance {
        Advance::Applied(catalogue) => *catalogue,
        Advance::NotNewer => panic!("the head is newer"),
    };
    let bad_head = Arc::new(Head {
        revision: 2,
        items: items(2, bad),
        edits: Vec::new(),
    });
    let mut offered = bodies(1);
    offered.insert(digest_hex(bad.as_bytes()), bad.into());
    let first = applied(Catalogue::advance(None, head(1), &offered, &[]));
    let relay = applied(Catalogue::advance(
        Some(&first),
        bad_head.clone(),
        &offered,
        &[],
    ));
    assert_eq!(
        relay.findings().0[0].location.line,
        1,
        "{}",
        relay.findings()
    );
    // One peer applies revision 1 and one applies nothing yet; both then get the next head.
    for current in [Some(&first), None] {
        let (sent, fallbacks) = relay.bodies_since(current.map_or(0, Catalogue::revision));
        let peer = applied(Catalogue::advance(
            current,
            bad_head.clone(),
            &sent,
            &fallbacks,
        ));
        assert_eq!(peer.findings(), relay.findings());
        assert_eq!(&*peer.service("s").unwrap().pool, "p1");
        let next = Arc::new(Head {
            revision: 3,
            ..(*bad_head).clone()
        });
        let later = applied(Catalogue::advance(
            Some(&peer),
            next,
            &Bodies::default(),
            &[],
        ));
        assert_eq!(later.findings(), relay.findings());
    }
}

#[test]
fn an_edit_is_accepted_once_and_expectations_are_checked_item_by_item() {
    let change = |item: &str, digest: &str, expected| ItemChange {
        item: item.to_owned(),
        digest: Some(digest.to_owned()),
        expected,
    };
    let edit = |id: &str, changes: Vec<ItemChange>| Edit {
        id: id.to_owned(),
        changes,
    };
    let first = apply_edit(
        &empty_head(),
        &edit("1", vec![change("plan/a", "x", Some(0))]),
        Millis(1),
    )
    .unwrap();
    let again = apply_edit(
        &first,
        &edit("1", vec![change("plan/a", "x", Some(0))]),
        Millis(2),
    );
    assert_eq!(again, Err(EditRefusal::AlreadyAccepted { revision: 1 }));
    let second = apply_edit(
        &first,
        &edit("2", vec![change("plan/b", "y", Some(0))]),
        Millis(2),
    )
    .unwrap();
    assert_eq!((second.revision, second.items["plan/a"].revision), (2, 1));
    // An edit of plan/a that expects revision 1 is valid although the head has advanced; one that
    // expects revision 0 is not.
    assert!(
        apply_edit(
            &second,
            &edit("3", vec![change("plan/a", "z", Some(1))]),
            Millis(3)
        )
        .is_ok()
    );
    let late = apply_edit(
        &second,
        &edit("4", vec![change("plan/a", "z", Some(0))]),
        Millis(3),
    );
    assert!(matches!(late, Err(EditRefusal::Conflict { .. })));
    assert_eq!(
        apply_edit(
            &second,
            &edit("5", vec![change("plan/a", "x", None)]),
            Millis(3)
        ),
        Err(EditRefusal::NoChange)
    );
}

#[test]
fn pages_hold_each_id_once_however_often_it_is_merged() {
    fn property(batches: Vec<Vec<u8>>) -> bool {
        let bill = |id: &u8| BillRecord {
            id: (id % 16).to_string(),
            account: "a".to_owned(),
            model: "m@v".to_owned(),
            prompt_tokens: 1,
            completion_tokens: 1,
            whole: true,
        };
        let mut page = LedgerPage {
            records: Vec::new(),
        };
        let mut added = 0;
        for batch in &batches {
            added += merge_records(&mut page, &batch.iter().map(bill).collect::<Vec<_>>());
        }
        let mut ids: Vec<u8> = batches.concat().iter().map(|id| id % 16).collect();
        ids.sort_unstable();
        ids.dedup();
        added == ids.len() && page.records.len() == ids.len()
    }
    check(property as fn(Vec<Vec<u8>>) -> bool);
}

#[test]
fn a_page_is_written_by_its_first_holder_after_its_epoch_and_by_others_later() {
    let period = Duration::from_secs(30);
    let page = PageId {
        epoch: 100,
        shard: 0,
    };
    let end = Millis(101 * EPOCH_LENGTH.as_millis() as u64);
    let oldest = Millis(end.0 - 5_000);
    let due = |is_first, seconds| {
        is_write_due(
            &page,
            oldest,
            is_first,
            period,
            end.after(Duration::from_secs(seconds)),
        )
    };
    assert_eq!([59, 61].map(|seconds| due(true, seconds)), [false, true]);
    assert_eq!(
        [61, 174, 176].map(|seconds| due(false, seconds)),
        [false, false, true]
    );
    // The bill of a response that ended long after its id's epoch is due for the next write.
    let late = end.after(Duration::from_secs(300));
    assert!(is_write_due(
        &page,
        late,
        true,
        period,
        late.after(Duration::from_secs(1))
    ));
}

#[test]
fn an_id_contains_its_time_and_is_accepted_within_the_retention() {
    let now = Millis(1_796_344_297_584);
    let id = RequestId::new(now);
    assert_eq!(id.time(), now);
    assert_eq!(RequestId::parse(&id.simple(), now), Ok(id));
    assert_eq!(RequestId::from_number(id.number()), id);
    assert_eq!(RequestId::parse_any_age(&id.simple()), Some(id));
    let too_late = now.after(RETENTION + Duration::from_millis(1));
    assert_eq!(
        RequestId::parse(&id.simple(), too_late),
        Err(RequestIdError::Expired)
    );
    let ahead = RequestId::new(now.after(CLOCK_TOLERANCE + Duration::from_millis(1)));
    assert_eq!(
        RequestId::parse(&ahead.simple(), now),
        Err(RequestIdError::Ahead)
    );
    assert_eq!(RequestId::parse("7", now), Err(RequestIdError::Malformed));
    assert_eq!(
        RequestId::parse("8f0e4b2a-31a6-4d58-9c1e-3c1d2b7c9a10", now),
        Err(RequestIdError::Malformed)
    );
}

#[test]
fn removing_a_host_moves_only_its_own_keys() {
    fn property(key: String) -> bool {
        let hosts: Vec<Name> = ["a", "b", "c", "d"].into_iter().map(Name::from).collect();
        let all = rendezvous(&key, hosts.iter(), 1);
        let without_d = rendezvous(&key, hosts[..3].iter(), 1);
        &*all[0] == "d" || all == without_d
    }
    check(property as StringProperty);
}
