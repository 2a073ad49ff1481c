//! Evidence against request contents: it adds up over hosts, reaches all of them, expires, and is
//! cleared by a complete response.

use std::time::Duration;

use clementinearch_policy::{
    crash_evidence::{CrashEvidence, EVIDENCE_LIFETIME, EvidenceRow, MAX_ROWS_PER_EXCHANGE},
    crash_suspects::ContentStatus,
    time::Millis,
};
use quickcheck::quickcheck;

const NOW: Millis = Millis(10_000_000);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn is_blocked(evidence: &CrashEvidence, content: u64, now: Millis) -> bool {
    matches!(evidence.status(content, now), ContentStatus::Blocked(_))
}

/// Evidence of `count` crashes of different servers, the last at `NOW`.
fn with_crashes(content: u64, count: u32) -> CrashEvidence {
    let mut evidence = CrashEvidence::default();
    for server in 0..count {
        evidence.record_crash(content, server, NOW, NOW);
    }
    evidence
}

#[test]
fn the_second_crash_blocks_for_a_limited_time() {
    let mut evidence = with_crashes(1, 1);
    assert_eq!(evidence.status(1, NOW), ContentStatus::Suspect);
    let until = NOW.after(EVIDENCE_LIFETIME);
    assert_eq!(
        evidence.record_crash(1, 7, NOW, NOW),
        ContentStatus::Blocked(until)
    );
    let later = until.after(Duration::from_millis(1));
    assert_eq!(evidence.status(1, later), ContentStatus::Clear);
}

#[test]
fn crashes_seen_by_different_hosts_add_up() {
    let (mut one, mut two) = (CrashEvidence::default(), CrashEvidence::default());
    one.record_crash(1, 10, NOW, NOW);
    two.record_crash(1, 20, NOW, NOW);
    assert_eq!(two.merge(&one.rows(NOW), NOW), [1]);
    assert!(is_blocked(&two, 1, NOW));
    assert_eq!(one.merge(&two.rows(NOW), NOW), [1]);
    assert!(one.merge(&two.rows(NOW), NOW).is_empty());
}

#[test]
fn one_crash_seen_by_two_hosts_counts_once() {
    let (mut one, mut two) = (CrashEvidence::default(), CrashEvidence::default());
    one.record_crash(1, 10, NOW, NOW);
    let shortly_after = NOW.after(Duration::from_millis(400));
    two.record_crash(1, 10, shortly_after, shortly_after);
    one.merge(&two.rows(shortly_after), shortly_after);
    assert_eq!(one.status(1, shortly_after), ContentStatus::Suspect);
    // The server has started again and crashes again.
    let later = NOW.after(seconds(4));
    one.record_crash(1, 10, later, later);
    assert!(is_blocked(&one, 1, later));
}

#[test]
fn a_block_is_sent_before_newer_suspects() {
    let mut evidence = with_crashes(1, 2);
    let later = NOW.after(seconds(5));
    for content in 100..100 + 10 * MAX_ROWS_PER_EXCHANGE as u64 {
        evidence.record_crash(content, 3, later, later);
    }
    let rows = evidence.rows(later);
    assert_eq!(rows.len(), MAX_ROWS_PER_EXCHANGE);
    let mut restarted = CrashEvidence::default();
    restarted.merge(&rows, later);
    assert!(is_blocked(&restarted, 1, later));
}

#[test]
fn newer_suspects_find_room_beside_many_blocks() {
    let mut evidence = CrashEvidence::default();
    for content in 0..2 * MAX_ROWS_PER_EXCHANGE as u64 {
        evidence.record_crash(content, 1, NOW, NOW);
        evidence.record_crash(content, 2, NOW, NOW);
    }
    evidence.record_crash(1_000, 3, NOW, NOW);
    let rows = evidence.rows(NOW);
    assert!(rows.iter().any(|row| row.content == 1_000));
}

#[test]
fn a_complete_response_clears_and_shields_a_content() {
    let mut evidence = with_crashes(1, 2);
    let later = NOW.after(seconds(1));
    evidence.record_completion(1, later);
    assert_eq!(evidence.status(1, later), ContentStatus::Clear);
    evidence.record_crash(1, 7, later, later);
    evidence.record_crash(1, 8, later, later);
    assert_eq!(evidence.status(1, later), ContentStatus::Clear);
    let long_after = later.after(seconds(61));
    evidence.record_crash(1, 7, long_after, long_after);
    evidence.record_crash(1, 8, long_after, long_after);
    assert!(is_blocked(&evidence, 1, long_after));
}

#[test]
fn a_completion_on_one_host_clears_the_content_on_the_others() {
    let mut one = with_crashes(1, 2);
    let mut two = CrashEvidence::default();
    two.record_completion(1, NOW);
    assert!(two.merge(&one.rows(NOW), NOW).is_empty());
    one.merge(&two.rows(NOW), NOW);
    assert_eq!(one.status(1, NOW), ContentStatus::Clear);
}

/// Rows of hosts that do not name the crashed servers.
#[test]
fn a_block_without_its_crashes_is_taken_over() {
    let row = EvidenceRow {
        content: 1,
        crashes: 2,
        age: seconds(3),
        servers: Vec::new(),
        completed_ms: None,
    };
    let mut evidence = CrashEvidence::default();
    assert_eq!(evidence.merge(&[row], NOW), [1]);
    assert!(is_blocked(&evidence, 1, NOW));
    evidence.expire(NOW.after(EVIDENCE_LIFETIME));
    assert_eq!(evidence.counts(NOW), (0, 0));
}

#[test]
fn blocked_contents_are_evicted_last() {
    const MAX: u64 = clementinearch_policy::crash_evidence::MAX_CONTENTS as u64;
    let mut evidence = with_crashes(0, 2);
    let later = NOW.after(seconds(1));
    for content in 1..=MAX {
        evidence.record_crash(content, 1, later, later);
    }
    evidence.expire(later);
    assert_eq!(evidence.counts(later), (MAX as usize - 1, 1));
}

quickcheck! {
    /// Hosts that exchange rows in any order, and more than once, agree at the end.
    fn hosts_agree_whatever_the_order(crashes: Vec<(u8, u8, u8)>, order: Vec<(u8, u8)>) -> bool {
        let mut hosts = vec![CrashEvidence::default(); 3];
        for (host, content, server) in crashes {
            let host = &mut hosts[usize::from(host) % 3];
            let content = u64::from(content % 4);
            if server % 16 == 0 {
                host.record_completion(content, NOW);
            } else {
                host.record_crash(content, u32::from(server), NOW, NOW);
            }
        }
        let everyone = (0..3).flat_map(|from| (0..3).map(move |to| (from, to)));
        for (from, to) in order.into_iter().chain(everyone.clone()).chain(everyone) {
            let rows = hosts[usize::from(from) % 3].rows(NOW);
            hosts[usize::from(to) % 3].merge(&rows, NOW);
        }
        (0..4).all(|content| {
            let first = hosts[0].status(content, NOW);
            hosts.iter().all(|host| host.status(content, NOW) == first)
        })
    }
}
