//! Slow start of servers, on a small model of a fleet and its servers.

use clementinearch_policy::{
    relative_latency::RelativeLatency,
    slow_start::{HostPlace, Ramp, RampAnswer, RampEnd},
    time::Millis,
};

const SLOTS: u32 = 16;
const STEP_MS: u64 = 20;
const WORK_MS: f64 = 500.0;
const HOSTS: [usize; 3] = [7, 83, 320];

/// How hosts treat servers that start.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Pace {
    None,
    /// The slots are opened evenly within this many milliseconds, whatever the answers.
    Fixed(f64),
    Ramp,
}

/// Servers that start at time zero next to as many warm ones as `warm`.
struct Case {
    starting: usize,
    warm: usize,
    /// Whether a starting server is slow at a time; it then bears two requests and takes 4x as long.
    is_slow: fn(u64) -> bool,
    /// Times at which the servers start, again if there are several.
    starts: &'static [u64],
    /// Whether hosts tell each other the servers' loads, twice a second.
    shares_loads: bool,
}

/// What a run of 40 s showed of the servers that started.
#[derive(Debug)]
struct Seen {
    /// Largest number of requests at once, as a multiple of what the server bore at that time.
    overshoot: f64,
    /// Time from the end of the slowness until they had four fifths of a warm server's requests.
    full_ms: Option<u64>,
    /// Mean time until an answer of all requests, milliseconds.
    wait_ms: f64,
}

/// Runs a fleet whose hosts know the load of a server from their own answers, for three seconds.
fn run(case: &Case, hosts: usize, pace: Pace) -> Seen {
    let mut rng = fastrand::Rng::with_seed(7);
    let servers = case.starting + case.warm;
    let rate = servers as f64 * f64::from(SLOTS) * 0.7 / WORK_MS;
    let place = |host: usize, server: usize| HostPlace {
        rank: (host + server * 31) % hosts,
        hosts,
    };
    let mut ramps: Vec<Vec<Option<Ramp>>> = vec![vec![None; servers]; hosts];
    let mut own = vec![vec![0_u32; servers]; hosts];
    let mut reports: Vec<Vec<Option<(f64, Millis)>>> = vec![vec![None; servers]; hosts];
    let mut shared = vec![0_u32; servers];
    let mut ratios = vec![vec![RelativeLatency::default(); servers]; hosts];
    let mut total = vec![0_u32; servers];
    let mut running: Vec<(u64, u64, usize, usize)> = Vec::new();
    let (mut due, mut waits, mut sent) = (0.0, 0.0, 0.0);
    let mut seen = Seen {
        overshoot: 0.0,
        full_ms: None,
        wait_ms: 0.0,
    };
    let mut warm_since = 0;
    let mut full_steps = 0;
    for at in (0..40_000).step_by(STEP_MS as usize) {
        let now = Millis(1_000 + at);
        if case.shares_loads && at % 500 == 0 {
            shared.clone_from(&total);
        }
        let is_slow = (case.is_slow)(at);
        if is_slow {
            (warm_since, seen.full_ms, full_steps) = (at, None, 0);
        }
        if case.starts.contains(&at) && pace == Pace::Ramp {
            for (host, ramps) in ramps.iter_mut().enumerate() {
                for (server, ramp) in ramps.iter_mut().enumerate().take(case.starting) {
                    *ramp = Some(Ramp::new(SLOTS, place(host, server), now));
                }
            }
        }
        running.retain(|(ends, sent_at, host, server)| {
            if *ends > at {
                return true;
            }
            own[*host][*server] -= 1;
            total[*server] -= 1;
            let load = f64::from(total[*server]);
            reports[*host][*server] = Some((load - f64::from(own[*host][*server]), now));
            ratios[*host][*server].record((at - sent_at) as f64, WORK_MS);
            if let Some(ramp) = &mut ramps[*host][*server] {
                let answer = RampAnswer::of_latency((at - sent_at) as f64, WORK_MS);
                ramp.record(answer, load, Millis(1_000 + sent_at), now);
            }
            false
        });
        due += rate * STEP_MS as f64;
        while due >= 1.0 {
            due -= 1.0;
            let host = rng.usize(..hosts);
            let load = |server: usize| {
                let others = reports[host][server].filter(|it| now.since(it.1).as_secs() < 3);
                let known = others.map_or(0.0, |it| it.0) + f64::from(own[host][server]);
                known.max(f64::from(shared[server]))
            };
            let is_open = |server: usize| {
                let own = own[host][server];
                match pace {
                    Pace::Fixed(span) if server < case.starting => {
                        let started = case.starts.iter().rev().find(|it| **it <= at).unwrap_or(&0);
                        let limit = f64::from(SLOTS) * (at - started) as f64 / span;
                        limit >= f64::from(SLOTS) || own < place(host, server).part(limit)
                    }
                    _ => ramps[host][server].is_none_or(|ramp| {
                        ramp.end(now).is_some() || ramp.has_room(own, load(server), now)
                    }),
                }
            };
            let first = rng.usize(..servers);
            let order = (0..servers).map(|index| (index + first) % servers);
            let open = order.clone().filter(|server| is_open(*server));
            let cost = |server: usize| (load(server) + 1.0) * ratios[host][server].ratio();
            let least = |left: &usize, right: &usize| cost(*left).total_cmp(&cost(*right));
            let server = open.min_by(least).or_else(|| order.min_by(least)).unwrap();
            let is_slow = is_slow && server < case.starting;
            let (bears, factor) = if is_slow { (2.0, 4.0) } else { (16.0, 1.0) };
            own[host][server] += 1;
            total[server] += 1;
            if let Some(ramp) = &mut ramps[host][server] {
                ramp.record_sent(now);
            }
            let over = f64::from(total[server]) / bears;
            if server < case.starting && is_slow {
                seen.overshoot = seen.overshoot.max(over);
            }
            let span = WORK_MS * factor * over.max(1.0);
            running.push((at + span as u64, at, host, server));
            (waits, sent) = (waits + span, sent + 1.0);
        }
        let mean = |range: std::ops::Range<usize>| {
            let count = range.len().max(1) as f64;
            f64::from(total[range].iter().sum::<u32>()) / count
        };
        let is_full = mean(0..case.starting) >= 0.8 * mean(case.starting..servers);
        full_steps = if is_full { full_steps + 1 } else { 0 };
        if full_steps == 25 && !is_slow {
            seen.full_ms.get_or_insert(at - warm_since);
        }
    }
    seen.wait_ms = waits / sent;
    seen
}

/// Runs a case for each size of the fleet with each pace, and prints what was seen.
fn compare(name: &str, case: &Case) -> [[Seen; 3]; 3] {
    HOSTS.map(|hosts| {
        [Pace::None, Pace::Fixed(10_000.0), Pace::Ramp].map(|pace| {
            let seen = run(case, hosts, pace);
            println!("{name}, {hosts} hosts, {pace:?}: {seen:.1?}");
            seen
        })
    })
}

const ONE: Case = Case {
    starting: 1,
    warm: 20,
    is_slow: |_| false,
    starts: &[0],
    shares_loads: false,
};

/// Guards against a flood of a server that is slow at first, and against one that is left idle.
#[test]
fn a_server_that_is_slow_at_first_is_not_flooded_and_fully_used_later() {
    let is_slow: fn(u64) -> bool = |at| at < 5_000;
    for [none, fixed, ramp] in compare("slow start", &Case { is_slow, ..ONE }) {
        assert!(ramp.overshoot <= none.overshoot / 8.0);
        assert!(ramp.overshoot <= fixed.overshoot + 1.0);
        assert!(ramp.wait_ms < none.wait_ms);
        assert!(ramp.full_ms.is_some_and(|it| it <= 15_000));
    }
    let (starting, warm) = (30, 30);
    let thirty = Case {
        starting,
        warm,
        is_slow,
        ..ONE
    };
    for [none, fixed, ramp] in compare("thirty at once", &thirty) {
        assert!(ramp.overshoot <= none.overshoot / 8.0);
        assert!(ramp.wait_ms < fixed.wait_ms && ramp.wait_ms < none.wait_ms);
        assert!(ramp.full_ms.is_some_and(|it| it <= 15_000));
    }
}

/// Guards against a ramp that wastes a server which is as fast as ever.
#[test]
fn a_server_that_recovers_is_fully_used_soon() {
    let [seven, many, most] = compare("recovery", &ONE);
    for [_, fixed, ramp] in [seven, many] {
        assert!(ramp.full_ms < fixed.full_ms);
    }
    // Of 320 hosts each must wait for its part, since it has no answers.
    assert!(most[2].full_ms.is_some_and(|it| it <= 20_000));
}

/// Guards against a ramp that ends by time although the server is still slow. Hosts that don't know
/// of each other's requests try the server within seconds, which is too much if they are 320.
#[test]
fn a_server_that_is_never_fast_is_not_flooded() {
    let never = Case {
        is_slow: |_| true,
        ..ONE
    };
    let [seven, many, most] = compare("never fast", &never);
    for [_, fixed, ramp] in [seven, many] {
        assert!(ramp.overshoot <= fixed.overshoot / 2.0);
        assert!(ramp.wait_ms < fixed.wait_ms);
    }
    assert!(most[2].overshoot <= most[0].overshoot);
    // Loads are known half a second late; until then, each server gets its part of all requests.
    let late = f64::from(SLOTS) * 0.7 / WORK_MS * 500.0;
    let shares_loads = true;
    for [none, _, ramp] in compare(
        "never fast, shared loads",
        &Case {
            shares_loads,
            ..never
        },
    ) {
        assert!(ramp.overshoot <= (f64::from(SLOTS) + late) / 2.0);
        assert!(ramp.wait_ms < none.wait_ms);
    }
}

/// Guards against a limit that a server gains in its good times and is flooded with in bad ones.
#[test]
fn a_server_that_flaps_is_not_flooded() {
    let flapping = Case {
        is_slow: |at| at % 10_000 < 3_000,
        starts: &[0, 10_000, 20_000, 30_000],
        ..ONE
    };
    for [none, _, ramp] in compare("flaps", &flapping) {
        assert!(ramp.overshoot <= none.overshoot / 3.0);
        assert!(ramp.wait_ms < none.wait_ms);
    }
}

/// Guards against hosts that together send more than the limit, or nothing.
#[test]
fn the_parts_of_all_hosts_add_up_to_the_limit() {
    for hosts in HOSTS {
        for limit in [1.0, 2.9, 16.0, 400.0] {
            let parts = (0..hosts).map(|rank| HostPlace { rank, hosts }.part(limit));
            assert_eq!(parts.sum::<u32>(), limit as u32);
        }
    }
}

/// Guards against a false report that opens a server, and against answers that are no numbers.
#[test]
fn false_reports_and_odd_latencies_raise_no_limit_beyond_the_slots() {
    let place = HostPlace { rank: 0, hosts: 7 };
    let now = Millis(1_000);
    for running in [f64::NAN, f64::INFINITY, -1.0, 1e9] {
        let mut ramp = Ramp::new(SLOTS, place, now);
        ramp.record(RampAnswer::Timely, running, now, now);
        assert!((2.0..=16.0).contains(&ramp.limit(now)), "{running}");
    }
    for expected in [f64::NAN, -1.0] {
        assert_ne!(RampAnswer::of_latency(1.0, expected), RampAnswer::Bad);
    }
}

/// Guards against a server that stays slow and is turned to by all hosts in the same second, and
/// against a ramp that never ends.
#[test]
fn ramps_without_answers_end_late_and_one_host_after_the_other() {
    let ends = |rank, after| {
        let ramp = Ramp::new(SLOTS, HostPlace { rank, hosts: 83 }, Millis(0));
        ramp.end(Millis(after))
    };
    assert_eq!(ends(0, 59_999), None);
    assert_eq!(ends(0, 60_000), Some(RampEnd::Expired));
    assert_eq!(ends(82, 100_000), None);
    assert_eq!(ends(82, 120_000), Some(RampEnd::Expired));
}
