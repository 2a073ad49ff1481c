//! Evidence against prompt parts: it adds up over hosts, is cleared by answers, explains what came
//! along, and expires.

use std::time::Duration;

use clementinearch_policy::{
    crash_set::Crash,
    part_evidence::{
        BLOCK_LIFETIME, BLOCKING_CRASHES, MAX_PARTS, MAX_ROWS_PER_EXCHANGE, PartEvidence,
    },
    time::Millis,
};
use quickcheck::quickcheck;

const NOW: Millis = Millis(10_000_000);

/// The guilty part, the first part of all prompts, and one of several subjects.
const GUILTY: u64 = 1;
const FIRST: u64 = 2;
const SUBJECT: u64 = 3;

fn at_ms(ms: u64) -> Millis {
    NOW.after(Duration::from_millis(ms))
}

fn crash(server: u32, ms: u64) -> Crash {
    Crash {
        server,
        at: at_ms(ms),
    }
}

/// Records crashes of different servers, one each half second, under these parts.
fn record_crashes(evidence: &mut PartEvidence, parts: &[u64], count: usize) {
    for number in 0..count as u32 {
        let crash = crash(number, u64::from(number) * 500);
        evidence.record_crash(parts.iter().copied(), crash, crash.at);
    }
}

fn blocked(evidence: &PartEvidence) -> Vec<u64> {
    let mut blocked: Vec<u64> = evidence.blocked().iter().copied().collect();
    blocked.sort_unstable();
    blocked
}

#[test]
fn a_part_is_blocked_after_crashes_at_different_times() {
    let mut evidence = PartEvidence::default();
    record_crashes(&mut evidence, &[GUILTY], BLOCKING_CRASHES - 1);
    assert!(!evidence.is_blocked(GUILTY));
    let last = crash(9, 2_000);
    assert_eq!(evidence.record_crash([GUILTY], last, last.at), [GUILTY]);
    assert!(evidence.is_blocked(GUILTY));
}

/// A loss of power takes many servers at once, and with them requests of every popular part.
#[test]
fn crashes_at_one_time_block_no_part() {
    let mut evidence = PartEvidence::default();
    for server in 0..20 {
        let crash = crash(server, u64::from(server) * 10);
        evidence.record_crash([FIRST, SUBJECT], crash, crash.at);
    }
    assert!(blocked(&evidence).is_empty());
}

#[test]
fn an_answer_clears_its_parts_of_crashes_before_it_began() {
    let mut evidence = PartEvidence::default();
    record_crashes(&mut evidence, &[FIRST, GUILTY], 2);
    evidence.record_answer([FIRST], at_ms(600), at_ms(900));
    record_crashes(&mut evidence, &[FIRST, GUILTY], 4);
    assert_eq!(blocked(&evidence), [GUILTY]);
    // An answer that began before the crashes says nothing.
    evidence.record_answer([GUILTY], at_ms(400), at_ms(2_000));
    assert_eq!(blocked(&evidence), [GUILTY]);
    evidence.record_answer([GUILTY], at_ms(3_000), at_ms(3_300));
    assert!(blocked(&evidence).is_empty());
}

/// A part that has been answered until shortly before needs more evidence than a new one.
#[test]
fn a_part_with_answers_is_blocked_later() {
    let mut evidence = PartEvidence::default();
    evidence.record_answer([GUILTY], NOW, NOW);
    for (server, ms) in [(1, 100), (2, 200), (3, 500), (4, 700)] {
        let crash = crash(server, ms);
        assert!(evidence.record_crash([GUILTY], crash, crash.at).is_empty());
    }
    let last = crash(5, 1_000);
    assert_eq!(evidence.record_crash([GUILTY], last, last.at), [GUILTY]);
}

/// A host that hears of many crashes at once must not forget that they came at different times.
#[test]
fn crashes_beyond_the_limit_on_memory_still_block_a_part() {
    let mut evidence = PartEvidence::default();
    for server in 0..8 {
        let early = crash(server, u64::from(server));
        evidence.record_crash([GUILTY], early, early.at);
    }
    for server in 10..40 {
        let late = crash(server, 400 + u64::from(server));
        evidence.record_crash([GUILTY], late, late.at);
    }
    assert_eq!(blocked(&evidence), [GUILTY]);
}

/// A subject whose only requests came along with the guilty part is innocent of those crashes.
#[test]
fn crashes_of_a_blocked_part_are_explained_by_it() {
    let mut evidence = PartEvidence::default();
    record_crashes(&mut evidence, &[GUILTY], 1);
    for number in 1..5 {
        let crash = crash(number, u64::from(number) * 500);
        evidence.record_crash([SUBJECT, GUILTY], crash, crash.at);
    }
    assert_eq!(blocked(&evidence), [GUILTY]);
    assert_eq!(evidence.explained_crashes().len(), 5);
    assert_eq!(evidence.counts(at_ms(2_500)), (0, 1));
}

#[test]
fn parts_that_always_come_together_are_blocked_together() {
    let mut evidence = PartEvidence::default();
    record_crashes(&mut evidence, &[SUBJECT, GUILTY], 3);
    assert_eq!(blocked(&evidence), [GUILTY, SUBJECT]);
    // The subject alone is answered.
    evidence.record_answer([SUBJECT], at_ms(2_000), at_ms(2_300));
    assert_eq!(blocked(&evidence), [GUILTY]);
}

#[test]
fn crashes_that_different_hosts_see_add_up_and_answers_reach_all() {
    let mut hosts = vec![PartEvidence::default(); 3];
    for (number, host) in hosts.iter_mut().enumerate() {
        let crash = crash(number as u32, number as u64 * 500);
        host.record_crash([FIRST, GUILTY], crash, crash.at);
    }
    hosts[2].record_answer([FIRST], at_ms(1_200), at_ms(1_500));
    let now = at_ms(1_500);
    for (from, to) in [(0, 1), (1, 2), (2, 0), (2, 1)] {
        let rows = hosts[from].rows(now);
        hosts[to].merge(&rows, now);
    }
    for host in &hosts {
        assert_eq!(blocked(host), [GUILTY]);
    }
}

/// The host that was told corrects the one that does not know of the answer.
#[test]
fn a_peer_is_told_of_a_later_answer() {
    let (mut one, mut two) = (PartEvidence::default(), PartEvidence::default());
    record_crashes(&mut one, &[FIRST], 2);
    let now = at_ms(900);
    two.record_answer([FIRST], at_ms(800), now);
    assert_eq!(two.merge(&one.rows(now), now).answered_since, [FIRST]);
    one.merge(&two.rows_on(&[FIRST], now), now);
    assert_eq!(one.counts(now), (0, 0));
    assert!(two.merge(&one.rows(now), now).answered_since.is_empty());
}

#[test]
fn a_block_without_its_crashes_is_taken_over_until_the_store_drops_it() {
    let mut evidence = PartEvidence::default();
    assert!(evidence.record_block(GUILTY, NOW));
    assert!(!evidence.record_block(GUILTY, NOW));
    let mut peer = PartEvidence::default();
    assert_eq!(peer.merge(&evidence.rows(NOW), NOW).newly_blocked, [GUILTY]);
    evidence.retract_block(GUILTY, NOW);
    assert!(!evidence.is_blocked(GUILTY));
}

/// When a block ends, the part has one server to show that it is harmless now.
#[test]
fn one_more_crash_renews_a_block_that_has_ended() {
    let mut evidence = PartEvidence::default();
    record_crashes(&mut evidence, &[GUILTY], BLOCKING_CRASHES);
    let later = at_ms(1_000).after(BLOCK_LIFETIME + Duration::from_secs(1));
    evidence.expire(later);
    assert!(!evidence.is_blocked(GUILTY));
    let again = Crash {
        server: 77,
        at: later,
    };
    assert_eq!(evidence.record_crash([GUILTY], again, later), [GUILTY]);
}

#[test]
fn blocked_parts_are_sent_first_and_evicted_last() {
    let mut evidence = PartEvidence::default();
    record_crashes(&mut evidence, &[GUILTY], BLOCKING_CRASHES);
    let later = at_ms(5_000);
    for part in 100..100 + MAX_PARTS as u64 {
        evidence.record_crash([part], crash(500 + part as u32, 5_000), later);
    }
    let rows = evidence.rows(later);
    assert_eq!(rows.len(), MAX_ROWS_PER_EXCHANGE);
    assert_eq!(rows[0].part, GUILTY);
    evidence.expire(later);
    assert!(evidence.is_blocked(GUILTY));
    assert_eq!(evidence.counts(later), (MAX_PARTS - 1, 1));
}

quickcheck! {
    /// Hosts that exchange rows in any order, and more than once, agree at the end.
    fn hosts_agree_whatever_the_order(events: Vec<(u8, u8, u8)>, order: Vec<(u8, u8)>) -> bool {
        let mut hosts = vec![PartEvidence::default(); 3];
        for (number, (host, part, server)) in events.into_iter().take(12).enumerate() {
            let host = &mut hosts[usize::from(host) % 3];
            let parts = [u64::from(part % 4), 7];
            let ms = number as u64 * 400;
            if server % 8 == 0 {
                host.record_answer([parts[0]], at_ms(ms), at_ms(ms));
            } else {
                host.record_crash(parts, crash(u32::from(server), ms), at_ms(ms));
            }
        }
        let now = at_ms(6_000);
        let everyone = (0..3).flat_map(|from| (0..3).map(move |to| (from, to)));
        for (from, to) in order.into_iter().chain(everyone.clone()).chain(everyone) {
            let rows = hosts[usize::from(from) % 3].rows(now);
            hosts[usize::from(to) % 3].merge(&rows, now);
        }
        (1..3).all(|host| blocked(&hosts[host]) == blocked(&hosts[0]))
    }
}
