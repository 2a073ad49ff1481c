//! Planned ends of servers after a rollout are not evidence against requests.

use std::time::Duration;

use clementinearch_policy::{
    crash_evidence::CrashEvidence,
    crash_set::Crash,
    crash_suspects::ContentStatus,
    part_evidence::PartEvidence,
    planned_end::{PLANNED_END_SPAN, PlannedEnd, PlannedWindow},
    time::Millis,
};

const ENDED_AT: Millis = Millis(10_000_000);

/// Servers of the losing version.
const OLD: [u32; 3] = [1, 2, 3];

fn after_ms(ms: u64) -> Millis {
    ENDED_AT.after(Duration::from_millis(ms))
}

fn planned_ends() -> Vec<PlannedEnd> {
    let window = PlannedWindow::new(ENDED_AT, after_ms(4_000));
    let end = |server| PlannedEnd { server, window };
    OLD.map(end).to_vec()
}

/// Evidence of a host that has read no status, on content 7: all old servers ended at different
/// times.
fn unaware() -> CrashEvidence {
    let mut evidence = CrashEvidence::default();
    for (server, ms) in OLD.into_iter().zip([100, 500, 1_000]) {
        evidence.record_crash(7, server, after_ms(ms), after_ms(ms));
    }
    evidence
}

/// A host that reads the status late had blocked harmless contents.
#[test]
fn crashes_recorded_before_the_status_was_read_are_withdrawn() {
    let now = after_ms(4_000);
    let mut evidence = unaware();
    evidence.record_block(7, after_ms(1_500));
    assert!(matches!(evidence.status(7, now), ContentStatus::Blocked(_)));
    evidence.record_planned_ends(&planned_ends(), now);
    assert_eq!(evidence.status(7, now), ContentStatus::Clear);
}

/// What a host withdrew came back with the reports of hosts that had not read the status.
#[test]
fn crashes_that_unaware_peers_report_do_not_count() {
    let now = after_ms(4_000);
    let mut evidence = CrashEvidence::default();
    evidence.record_planned_ends(&planned_ends(), now);
    assert_eq!(evidence.merge(&unaware().rows(now), now), Vec::<u64>::new());
    assert_eq!(evidence.status(7, now), ContentStatus::Clear);
}

/// A request that crashes servers must be found during and after a rollout.
#[test]
fn crashes_of_other_servers_and_at_other_times_count() {
    let now = after_ms(4_000);
    let mut evidence = unaware();
    evidence.record_crash(7, 8, after_ms(200), now);
    evidence.record_planned_ends(&planned_ends(), now);
    assert_eq!(evidence.status(7, now), ContentStatus::Suspect);
    let late = now.after(PLANNED_END_SPAN + Duration::from_millis(1));
    let status = evidence.record_crash(7, OLD[0], late, late);
    assert!(matches!(status, ContentStatus::Blocked(_)));
    let mut earlier = CrashEvidence::default();
    let before = Millis(ENDED_AT.0 - 1_001);
    earlier.record_crash(7, OLD[0], before, before);
    earlier.record_planned_ends(&planned_ends(), now);
    assert_eq!(earlier.status(7, now), ContentStatus::Suspect);
}

#[test]
fn prompt_parts_are_not_blocked_by_planned_ends() {
    let now = after_ms(4_000);
    let mut unaware = PartEvidence::default();
    for (server, ms) in OLD.into_iter().zip([100, 500, 1_000]) {
        let at = after_ms(ms);
        unaware.record_crash([9], Crash { server, at }, at);
    }
    assert!(unaware.is_blocked(9));
    let rows = unaware.rows(now);
    unaware.record_planned_ends(&planned_ends(), now);
    assert!(!unaware.is_blocked(9), "withdrawn");
    let mut aware = PartEvidence::default();
    aware.record_planned_ends(&planned_ends(), now);
    aware.merge(&rows, now);
    assert!(!aware.is_blocked(9), "reported by a peer");
    for (server, ms) in [(11, 100), (12, 500), (13, 1_000)] {
        let at = after_ms(ms);
        aware.record_crash([9], Crash { server, at }, at);
    }
    assert!(aware.is_blocked(9), "crashes of the current version");
}
