//! Time in which a host ran, as its ticks show it.

use std::time::Duration;

use clementinearch_policy::{
    running_clock::{RunningClock, TICK_PERIOD},
    time::Millis,
};
use quickcheck::quickcheck;

const START: Millis = Millis(1_000_000);

fn later(ms: u64) -> Millis {
    START.after(Duration::from_millis(ms))
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A clock with ticks at these times.
fn ticked(times: impl IntoIterator<Item = u64>) -> RunningClock {
    let mut clock = RunningClock::default();
    for time in times {
        clock.tick(later(time));
    }
    clock
}

#[test]
fn ticks_in_time_are_running_time() {
    let clock = ticked((0..=1_000).step_by(50));
    assert_eq!(clock.ran_since(later(100), later(1_020)), ms(920));
    assert_eq!(clock.ran_since(later(0), later(1_000)), ms(1_000));
}

#[test]
fn a_late_tick_adds_its_period() {
    let mut clock = ticked([0, 50]);
    assert_eq!(clock.tick(later(2_050)), ms(1_950));
    assert_eq!(clock.ran_since(later(0), later(2_050)), ms(100));
    assert_eq!(
        clock.ran_since(later(1_000), later(2_060)),
        ms(10),
        "within the stall"
    );
    assert_eq!(clock.tick(later(2_100)), Duration::ZERO);
    assert_eq!(clock.ran_since(later(2_050), later(2_100)), ms(50));
}

/// A host that was frozen reads its orders anew: the last freeze counts, also before the next tick.
#[test]
fn the_last_long_stall_is_found() {
    let mut clock = ticked([0, 50, 3_050, 3_100, 3_600]);
    let end = |clock: &RunningClock, now| clock.last_stall_end(ms(2_000), later(now));
    assert_eq!(end(&clock, 3_610), Some(later(3_050)));
    assert_eq!(end(&clock, 9_000), Some(later(9_000)), "it still lasts");
    clock.tick(later(9_000));
    assert_eq!(end(&clock, 9_020), Some(later(9_000)));
    assert_eq!(end(&ticked([0, 50, 1_000]), 1_010), None);
}

/// Limits are read before the first tick after the stall.
#[test]
fn a_stall_counts_before_the_tick_that_ends_it() {
    let clock = ticked([0, 50]);
    assert_eq!(clock.ran_since(later(20), later(3_000)), ms(80));
    assert_eq!(clock.ran_since(later(2_000), later(3_000)), Duration::ZERO);
}

#[test]
fn a_clock_without_ticks_is_a_plain_clock() {
    let clock = RunningClock::default();
    assert_eq!(clock.ran_since(later(0), later(700)), ms(700));
}

// Short enough for the memory of a clock.
quickcheck! {
    fn running_time_is_at_most_a_period_for_each_tick(gaps: Vec<u8>, since: u16) -> bool {
        let mut clock = RunningClock::default();
        let mut now = 0;
        clock.tick(later(now));
        for gap in &gaps {
            now += u64::from(*gap);
            clock.tick(later(now));
        }
        let tolerance = ms(10);
        let ran = clock.ran_since(later(u64::from(since).min(now)), later(now));
        ran <= (TICK_PERIOD + tolerance) * gaps.len() as u32
            && ran <= ms(now - u64::from(since).min(now))
    }
}
