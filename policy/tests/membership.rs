//! Membership: suspicion, refutation, restarts, tombstones and healed partitions.

use std::time::Duration;

use clementinearch_policy::{
    membership::{Member, MemberState, MembershipTable, SUSPICION_TIMEOUT, incarnation},
    names::{FastSet, Name},
    time::Millis,
};

const NOW: Millis = Millis(1_000_000);

fn member(name: &str, started_at: Millis) -> Member {
    Member {
        name: name.into(),
        zone: "z".into(),
        address: format!("{name}:1").into(),
        incarnation: incarnation(started_at, 0),
        refutation: 0,
        state: MemberState::Alive,
    }
}

fn table(name: &str, others: &[&str]) -> MembershipTable {
    let mut members = MembershipTable::new(member(name, NOW));
    for other in others {
        members.merge(&[member(other, NOW)], NOW);
    }
    members
}

#[test]
fn a_suspected_host_that_refutes_stays_alive_and_a_silent_one_is_declared_dead() {
    let (mut a, mut b) = (table("a", &["b", "c"]), table("b", &["a", "c"]));
    a.suspect("b", NOW);
    a.suspect("c", NOW);
    b.merge(&a.rows(), NOW);
    assert_eq!(b.local().refutation, 1);
    a.merge(&b.rows(), NOW);
    assert_eq!(a.get("b").unwrap().state, MemberState::Alive);
    let later = NOW.after(SUSPICION_TIMEOUT + Duration::from_millis(1));
    assert_eq!(a.expire(later), ["c".into()] as [Name; 1]);
    assert_eq!(a.in_zone("z"), ["a".into(), "b".into()] as [Name; 2]);
}

#[test]
fn a_restarted_host_is_alive_immediately_and_its_old_rows_are_ignored() {
    let mut a = table("a", &["b"]);
    a.suspect("b", NOW);
    let later = NOW.after(SUSPICION_TIMEOUT + Duration::from_millis(1));
    a.expire(later);
    let old = member("b", NOW);
    assert!(!a.merge(std::slice::from_ref(&old), later));
    assert!(a.merge(&[member("b", later)], later));
    assert_eq!(a.get("b").unwrap().state, MemberState::Alive);
    assert!(!a.merge(
        &[Member {
            state: MemberState::Dead,
            refutation: 9,
            ..old
        }],
        later
    ));
}

#[test]
fn both_sides_of_a_healed_partition_are_alive_again_after_one_exchange_each_way() {
    let (mut a, mut b) = (table("a", &["b"]), table("b", &["a"]));
    a.suspect("b", NOW);
    b.suspect("a", NOW);
    let later = NOW.after(SUSPICION_TIMEOUT + Duration::from_millis(1));
    a.expire(later);
    b.expire(later);
    assert_eq!((a.peers().count(), b.peers().count()), (0, 0));
    // An exchange between hosts sends rows in this order.
    b.merge(&a.rows(), later);
    a.merge(&b.rows(), later);
    b.merge(&a.rows(), later);
    assert_eq!((a.peers().count(), b.peers().count()), (1, 1));
    assert_eq!(a.table_hash(), b.table_hash());
}

#[test]
fn a_departed_host_is_not_expected_to_apply_and_a_dead_one_is_while_listed() {
    let mut a = table("a", &["b", "c"]);
    let listed: FastSet<Name> = ["a", "b", "c"].into_iter().map(Name::from).collect();
    a.set_listed(listed);
    a.merge(
        &[Member {
            state: MemberState::Left,
            ..member("b", NOW)
        }],
        NOW,
    );
    a.suspect("c", NOW);
    a.expire(NOW.after(SUSPICION_TIMEOUT + Duration::from_millis(1)));
    let names = |members: &MembershipTable| {
        let mut names: Vec<String> = members
            .expected_to_apply()
            .iter()
            .map(|row| row.name.to_string())
            .collect();
        names.sort();
        names
    };
    assert_eq!(names(&a), ["a", "c"]);
    a.set_listed(FastSet::default());
    assert_eq!(names(&a), ["a"]);
}

#[test]
fn equal_tables_have_equal_hashes_and_incarnations_increase_with_time() {
    assert_eq!(
        table("a", &["b", "c"]).table_hash(),
        table("c", &["b", "a"]).table_hash()
    );
    assert!(incarnation(NOW.after(Duration::from_millis(1)), 0) > incarnation(NOW, u16::MAX));
}
