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
                others.map_or(0.0, |it| it.0) + f64::from(own[host][server])
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

fn compare(name: &str, case: &Case) -> Vec<[Seen; 3]> {
    let runs = HOSTS.map(|hosts| {
        [Pace::None, Pace::Fixed(10_000.0), Pace::Ramp].map(|pace| {
            let seen = run(case, hosts, pace);
            println!("{name}, {hosts} hosts, {pace:?}: {seen:.1?}");
            seen
        })
    });
    runs.into()
}

#[test]
fn figures() {
    let slow: fn(u64) -> bool = |at| at < 5_000;
    let one = |is_slow, starts| Case { starting: 1, warm: 20, is_slow, starts };
    compare("slow start", &one(slow, &[0]));
    compare("recovery", &one(|_| false, &[0]));
    compare("never fast", &one(|_| true, &[0]));
    compare("flaps", &one(|at| at % 10_000 < 3_000, &[0, 10_000, 20_000, 30_000]));
    compare("thirty", &Case { starting: 30, warm: 30, is_slow: slow, starts: &[0] });
}
