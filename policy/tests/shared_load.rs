//! Load of servers that hosts tell each other: the rows, what a host makes of them, and a simulated
//! fleet of which one zone's demand is above its servers.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use clementinearch_policy::{
    load_rows::{LoadRow, MAX_REQUESTS, ServerLoad, pack, server_key, unpack},
    names::Name,
    placement::{PlacementQuery, ServerView, affinity_rank, choose_server, placement_cost},
    shared_load::{
        LONG_PREFILL, MAX_ROWS, NEAR_PEERS, OwnLoad, PEER_REPORT_LIFETIME, SHARE_PERIOD,
        SharedLoad, TRACKERS, crossing_probability, sample_size, settled_running, slowdown_factor,
    },
    time::Millis,
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn load(running: u32) -> ServerLoad {
    ServerLoad {
        running,
        waiting: 0,
        slowdown: Some(250),
        has_failed: None,
    }
}

fn row(running: u32, age: Duration) -> LoadRow {
    LoadRow {
        server: 7,
        load: Some((load(running), age)),
        pending: None,
    }
}

fn pending_row(left: Duration, age: Duration) -> LoadRow {
    LoadRow {
        server: 7,
        load: None,
        pending: Some((left, age)),
    }
}

/// Rows that are too large would be fragmented, and lost with any of their fragments.
#[test]
fn rows_are_compact_and_ages_only_grow() {
    let rows: Vec<LoadRow> = (0..90)
        .map(|server| LoadRow {
            server: server_key(u64::from(server) << 32 | 5),
            pending: Some((ms(59_999), ms(42))),
            ..row(server, ms(371))
        })
        .collect();
    let text = pack(&rows);
    assert!(text.len() <= 1_500, "{} bytes", text.len());
    let read = unpack(&text);
    assert_eq!(read.len(), 90);
    for (row, read) in rows.iter().zip(read) {
        let ((load, age), (read_load, read_age)) = (row.load.unwrap(), read.load.unwrap());
        assert_eq!(read_load, load);
        assert!(read_age > age && read_age <= age + ms(20));
        assert_eq!(read.pending.unwrap().0, ms(59_999));
    }
}

/// One odd row must not cost the others of its datagram, nor another format a wrong reading.
#[test]
fn odd_rows_are_left_out_one_by_one() {
    use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
    let good = row(3, ms(100));
    let huge = row(MAX_REQUESTS + 1, ms(100));
    let read = unpack(&pack(&[good, huge, good]));
    assert_eq!(read.len(), 2, "a server larger than any is not told");
    let mut bytes = STANDARD_NO_PAD.decode(pack(&[good, good, good])).unwrap();
    bytes[1 + 12 + 4..][..3].fill(0xff);
    assert_eq!(unpack(&STANDARD_NO_PAD.encode(&bytes)).len(), 2);
    bytes[1 + 24 + 7..][..2].fill(0xff);
    assert_eq!(unpack(&STANDARD_NO_PAD.encode(&bytes)).len(), 1);
    bytes.pop();
    assert_eq!(unpack(&STANDARD_NO_PAD.encode(&bytes)).len(), 1);
    bytes[0] = 2;
    for odd in [
        &*STANDARD_NO_PAD.encode(&bytes),
        "",
        "A",
        "AQ",
        "not base64",
        "====",
        "\u{e9}",
    ] {
        assert!(unpack(odd).is_empty(), "{odd}");
    }
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..2_000 {
        let bytes: Vec<u8> = (0..rng.usize(..200)).map(|_| rng.u8(..)).collect();
        for row in unpack(&STANDARD_NO_PAD.encode([&[1], &*bytes].concat())) {
            let (load, _) = row.load.unwrap_or((load(0), ms(0)));
            assert!(load.running <= MAX_REQUESTS && load.waiting <= MAX_REQUESTS);
            SharedLoad::default().merge(&row, Millis(rng.u64(..)));
        }
    }
}

/// A word that is passed on from host to host must not count longer than one heard at once.
#[test]
fn a_word_is_not_believed_beyond_its_lifetime() {
    let start = Millis(100_000);
    let mut hosts = vec![SharedLoad::default(); 4];
    hosts[0].merge(&row(9, ms(0)), start);
    let mut now = start;
    while now.since(start) <= PEER_REPORT_LIFETIME * 2 {
        now = now.after(ms(50));
        for host in 0..4 {
            let row = hosts[host].row(7, &OwnLoad::default(), Millis(now.0 - 51), now);
            for row in unpack(&pack(row.as_slice())) {
                hosts[(host + 1) % 4].merge(&row, now.after(ms(2)));
            }
        }
        let is_old = now.since(start) > PEER_REPORT_LIFETIME;
        assert!(!is_old || hosts.iter().all(|it| it.load(now).is_none()));
    }
    hosts[0].merge(&row(9, PEER_REPORT_LIFETIME + ms(10)), now);
    assert!(hosts[0].load(now).is_none());
}

#[test]
fn the_latest_word_counts_and_own_requests_since_are_added() {
    let now = Millis(100_000);
    let mut known = SharedLoad::default();
    known.begin_request(0.0, Millis(now.0 - 500));
    known.merge(&row(9, ms(200)), now);
    known.merge(&row(4, ms(900)), now);
    known.begin_request(0.0, now);
    assert_eq!(
        known.load(now).map(|it| (it.0.running, it.2)),
        Some((9, 1.0))
    );
    known.end_request();
    assert_eq!(known.load(now).map(|it| it.2), Some(0.0));
    known.merge(&row(5, ms(0)), now.after(ms(50)));
    assert_eq!(
        known.load(now.after(ms(50))).map(|it| it.0.running),
        Some(5)
    );
}

/// A host hears by prefill events of a part of the prompts only, and of none of other zones' hosts.
/// What it hears after a tracker's estimate must be added, and what it heard before must not.
#[test]
fn pending_prefill_is_the_trackers_and_the_prompts_since() {
    let now = Millis(100_000);
    let mut known = SharedLoad::default();
    known.record_peer_prompt(70.0, Millis(now.0 - 500));
    known.merge(&pending_row(ms(300), ms(100)), now);
    known.merge(&pending_row(ms(100), ms(0)), now);
    assert_eq!(known.pending_ms(200.0, now), 300.0);
    assert_eq!(known.pending_ms(400.0, now), 400.0);
    let later = now.after(ms(100));
    known.begin_request(80.0, later);
    known.record_peer_prompt(20.0, later);
    assert_eq!(known.pending_ms(200.0, later), 300.0);
    assert_eq!(known.pending_ms(5.0, now.after(ms(10_000))), 5.0);
    known.merge(&pending_row(ms(60_000), ms(0)), later);
    let expired = later.after(PEER_REPORT_LIFETIME + ms(1));
    assert_eq!(known.pending_ms(0.0, expired), 0.0, "a wrong word ends");
}

/// A host that is no tracker does not know of all prompts, so that its estimate would be too low.
#[test]
fn only_trackers_estimate_and_others_pass_on() {
    let now = Millis(100_000);
    let since = Millis(now.0 - 250);
    let mut known = SharedLoad::default();
    known.record_peer_prompt(70.0, now);
    let mut own = OwnLoad::default();
    assert!(known.row(7, &own, since, now).is_none());
    own.pending_ms = Some(70.0);
    let row = known.row(7, &own, since, now).unwrap();
    assert_eq!(row.pending, Some((ms(70), ms(0))));
    let mut other = SharedLoad::default();
    other.merge(&row, now);
    let passed = other.row(7, &OwnLoad::default(), since, now.after(ms(30)));
    assert_eq!(passed.unwrap().pending, Some((ms(40), ms(30))));
    assert!(
        other
            .row(7, &OwnLoad::default(), now, now.after(ms(30)))
            .is_none()
    );
}

#[test]
fn a_slowed_server_costs_more_until_it_is_normal_again() {
    assert_eq!(slowdown_factor(250, ms(0)), 2.5);
    assert_eq!(slowdown_factor(250, ms(50)), 1.75);
    assert_eq!(slowdown_factor(250, ms(100)), 1.0);
    assert_eq!(slowdown_factor(50, ms(0)), 1.0);
    let normal = idle();
    let slowed = ServerView {
        slowdown: 2.5,
        ..idle()
    };
    for tokens in [0.0, 2_000.0] {
        let query = PlacementQuery {
            zone: "a",
            prompt_tokens: tokens,
            ms_per_token: 0.035,
            is_load_shared: true,
        };
        assert!(placement_cost(&slowed, &query) > placement_cost(&normal, &query));
    }
}

fn idle() -> ServerView {
    ServerView {
        zone: "a".into(),
        running: 0.0,
        waiting: 0.0,
        slots: 64.0,
        pending_ms: 0.0,
        cached_tokens: 0.0,
        latency_ratio: 1.0,
        slowdown: 1.0,
    }
}

/// What hosts know of the servers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Knowledge {
    /// Own responses, and prefill events of the own zone.
    Own,
    /// That and peers' rows.
    Shared,
    /// Everything at once.
    Ideal,
}

const HOSTS: usize = 83;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Servers of each zone. The demand of the first one is above what its servers take.
const SERVERS: [usize; 3] = [6, 27, 27];
/// Length of a prefill event without prompt parts, with packet headers.
const PREFILL_BYTES: usize = 110;
const DECODE_MS: u64 = 1_000;

#[derive(Default)]
struct HostView {
    shared: SharedLoad,
    report: Option<(ServerLoad, Millis, u32)>,
    running: u32,
    prefill_ms: f64,
    peers_until: Millis,
}

fn server_zone(server: usize) -> usize {
    let zone_a = usize::from(server >= SERVERS[0]);
    zone_a + usize::from(server >= SERVERS[0] + SERVERS[1])
}

/// The hosts of the server's zone that are told of all its prompts.
fn trackers(server: usize) -> Vec<usize> {
    let mut hosts: Vec<usize> = (server_zone(server)..HOSTS).step_by(3).collect();
    hosts.sort_by_key(|host| Reverse(affinity_rank(server as u64 * 7_919, *host as u64 * 104_729)));
    hosts.truncate(TRACKERS);
    hosts
}

/// Result of a simulation: sorted waits before a prefill starts, milliseconds, and bytes that a host
/// sends per second on the servers' load.
struct Outcome {
    waits: Vec<f64>,
    bytes_per_s: f64,
    mean_age_ms: f64,
}

impl Outcome {
    fn quantile(&self, q: f64) -> f64 {
        self.waits[(self.waits.len() as f64 * q) as usize]
    }
}

/// Each server is slowed by a factor of 2.5 for 600 ms in each 6 s.
fn slowdown(server: usize, now: u64) -> u32 {
    if (now + server as u64 * 731) % 6_000 < 600 {
        250
    } else {
        100
    }
}

/// Returns when work that takes `left` milliseconds at normal speed ends, if it begins at `at`.
fn end_of_work(server: usize, mut at: f64, mut left: f64) -> f64 {
    loop {
        let factor = f64::from(slowdown(server, at as u64)) / 100.0;
        if left <= 1.0 / factor {
            return at + left * factor;
        }
        left -= 1.0 / factor;
        at += 1.0;
    }
}

/// Simulates hosts that each receive 5 requests per second, a quarter of them long ones.
fn simulate(knowledge: Knowledge, seed: u64) -> Outcome {
    const SPAN_MS: u64 = 15_000;
    let mut rng = fastrand::Rng::with_seed(seed);
    let zones: Vec<Name> = ZONES.iter().map(|zone| (*zone).into()).collect();
    let servers = SERVERS.iter().sum();
    let mut hosts: Vec<Vec<HostView>> = (0..HOSTS)
        .map(|_| (0..servers).map(|_| HostView::default()).collect())
        .collect();
    let zone_of = |host: usize| host % 3;
    let mut busy_until = vec![0.0_f64; servers];
    let mut running = vec![0_u32; servers];
    // Time, server, host, prefill in microseconds; none at the end of the request.
    let mut events: BinaryHeap<(Reverse<u64>, usize, usize, Option<u64>)> = BinaryHeap::new();
    // Prefill events: time, receiver, server, prefill in microseconds.
    let mut news: BinaryHeap<(Reverse<u64>, usize, usize, u64)> = BinaryHeap::new();
    let (mut waits, mut bytes, mut ages) = (Vec::new(), 0, (0.0, 0));
    let period = SHARE_PERIOD.as_millis() as u64;
    for t in 10_000..10_000 + SPAN_MS {
        let now = Millis(t);
        while let Some(&(Reverse(at), server, host, prefill_us)) = events.peek() {
            if at > t {
                break;
            }
            events.pop();
            let view = &mut hosts[host][server];
            if let Some(prefill_us) = prefill_us {
                view.prefill_ms = (view.prefill_ms - prefill_us as f64 / 1e3).max(0.0);
                let load = ServerLoad {
                    running: running[server],
                    waiting: 0,
                    slowdown: Some(slowdown(server, t)),
                    has_failed: None,
                };
                view.report = Some((load, now, view.running));
                events.push((Reverse(t + DECODE_MS), server, host, None));
            } else {
                view.running -= 1;
                view.shared.end_request();
                running[server] -= 1;
            }
        }
        while let Some(&(Reverse(at), peer, server, prefill_us)) = news.peek() {
            if at > t {
                break;
            }
            news.pop();
            let view = &mut hosts[peer][server];
            view.peers_until = view.peers_until.max(now).after(ms(prefill_us / 1_000));
            view.shared.record_peer_prompt(prefill_us as f64 / 1e3, now);
        }
        for host in 0..HOSTS {
            if knowledge == Knowledge::Shared && (t + host as u64 * 37).is_multiple_of(period) {
                bytes += share(&mut hosts, host, &zones, &zone_of, now, &mut rng);
            }
            if rng.f64() >= 5.0 / 1_000.0 {
                continue;
            }
            let is_long = rng.f64() < 0.25;
            let tokens = if is_long {
                3_000.0 + 20_000.0 * rng.f64().powi(3)
            } else {
                400.0 + 3_000.0 * rng.f64().powi(2)
            };
            let ms_per_token = if rng.f64() < 0.4 { 0.035 } else { 0.004 };
            let mut load_ages = vec![None; servers];
            let mut views: Vec<ServerView> = (0..servers)
                .map(|server| {
                    let view = &hosts[host][server];
                    let (running, pending_ms, slowdown, age) = match knowledge {
                        Knowledge::Ideal => (
                            f64::from(running[server]),
                            (busy_until[server] - t as f64).max(0.0),
                            f64::from(slowdown(server, t)) / 100.0,
                            Some(0.0),
                        ),
                        _ => estimate(view, now),
                    };
                    if let Some(age) = age {
                        load_ages[server] = Some(ms(age as u64));
                        ages = (ages.0 + age, ages.1 + 1);
                    }
                    ServerView {
                        zone: zones[server_zone(server)].clone(),
                        running,
                        pending_ms,
                        slowdown,
                        ..idle()
                    }
                })
                .collect();
            if knowledge == Knowledge::Shared {
                settle(&mut views, &load_ages);
            }
            let query = PlacementQuery {
                zone: ZONES[zone_of(host)],
                prompt_tokens: tokens,
                ms_per_token,
                is_load_shared: knowledge != Knowledge::Own,
            };
            let size = if knowledge == Knowledge::Shared {
                sample_size(HOSTS)
            } else {
                servers
            };
            // In the order of the servers, as the router leaves them.
            let mut sample = rng.choose_multiple(0..servers, size);
            sample.sort_unstable();
            let sampled: Vec<ServerView> = sample.iter().map(|it| views[*it].clone()).collect();
            let offset = rng.usize(..servers);
            let server = sample[choose_server(&sampled, &query, offset).unwrap()];
            let begin = busy_until[server].max(t as f64);
            if t >= 12_000 {
                waits.push(begin - t as f64);
            }
            let prefill_ms = tokens * ms_per_token;
            busy_until[server] = end_of_work(server, begin, prefill_ms);
            running[server] += 1;
            let prefill_us = (prefill_ms * 1e3) as u64;
            let done_at = busy_until[server].ceil() as u64;
            events.push((Reverse(done_at), server, host, Some(prefill_us)));
            let view = &mut hosts[host][server];
            view.running += 1;
            view.prefill_ms += prefill_us as f64 / 1e3;
            view.shared.begin_request(prefill_ms, now);
            let near = (0..HOSTS).filter(|it| *it != host && zone_of(*it) == zone_of(host));
            let mut told: Vec<usize> = near.collect();
            rng.shuffle(&mut told);
            let is_shared = knowledge == Knowledge::Shared;
            if is_shared && ms(prefill_ms as u64) >= LONG_PREFILL {
                told = (0..HOSTS).filter(|it| *it != host).collect();
                bytes += PREFILL_BYTES * (HOSTS - 1 - 16);
            } else {
                told.truncate(16);
                let more = trackers(server).into_iter();
                let more = more.filter(|it| is_shared && *it != host && !told.contains(it));
                let more: Vec<usize> = more.collect();
                bytes += PREFILL_BYTES * more.len();
                told.extend(more);
            }
            for peer in told {
                let is_near = zone_of(peer) == zone_of(host);
                let at = t + if is_near { 20 } else { 45 };
                news.push((Reverse(at), peer, server, prefill_us));
            }
        }
    }
    waits.sort_by(f64::total_cmp);
    Outcome {
        waits,
        bytes_per_s: bytes as f64 / HOSTS as f64 / (SPAN_MS as f64 / 1e3),
        mean_age_ms: ages.0 / f64::from(ages.1),
    }
}

/// As the router does where peers told of the load.
fn settle(views: &mut [ServerView], ages: &[Option<Duration>]) {
    let known = views.iter().zip(ages).filter(|(_, age)| age.is_some());
    let running: Vec<f64> = known.map(|(view, _)| view.running).collect();
    let mean = running.iter().sum::<f64>() / running.len().max(1) as f64;
    for (view, age) in views.iter_mut().zip(ages) {
        view.running = settled_running(view.running, mean, *age);
    }
}

fn own_prefill_ms(view: &HostView, now: Millis) -> f64 {
    view.prefill_ms + view.peers_until.since(now).as_secs_f64() * 1e3
}

/// Running requests, pending prefill, slowdown and the age of the load, as a host estimates them.
fn estimate(view: &HostView, now: Millis) -> (f64, f64, f64, Option<f64>) {
    let own = view.report.filter(|it| now.since(it.1) <= ms(3_000));
    let own = own.map(|(load, at, then)| (load, at, f64::from(view.running) - f64::from(then)));
    let newest = [view.shared.load(now), own].into_iter().flatten();
    let newest = newest.max_by_key(|it| it.1);
    let pending_ms = view.shared.pending_ms(own_prefill_ms(view, now), now);
    let local = f64::from(view.running);
    let Some((load, at, change)) = newest else {
        return (local, pending_ms, 1.0, None);
    };
    let age = now.since(at);
    let slowdown = slowdown_factor(load.slowdown.unwrap_or(100), age);
    let running = (f64::from(load.running) + change).max(local);
    (running, pending_ms, slowdown, Some(age.as_secs_f64() * 1e3))
}

/// Sends a host's rows to a few peers. Returns the bytes.
fn share(
    hosts: &mut [Vec<HostView>],
    host: usize,
    zones: &[Name],
    zone_of: &impl Fn(usize) -> usize,
    now: Millis,
    rng: &mut fastrand::Rng,
) -> usize {
    let since = Millis(now.0 - SHARE_PERIOD.as_millis() as u64);
    let own_zone = &zones[zone_of(host)];
    let rows = hosts[host].iter().enumerate().filter_map(|(server, view)| {
        let is_tracker = trackers(server).contains(&host);
        let own = OwnLoad {
            report: view.report.map(|(load, at, _)| (load, at)),
            pending_ms: is_tracker.then(|| own_prefill_ms(view, now)),
        };
        view.shared.row(server as u32, &own, since, now)
    });
    let rows = rng.choose_multiple(rows, MAX_ROWS);
    let mut targets = Vec::new();
    for (zone, name) in zones.iter().enumerate() {
        let in_zone = (0..HOSTS).filter(|it| *it != host && zone_of(*it) == zone);
        if name == own_zone {
            targets.extend(rng.choose_multiple(in_zone, NEAR_PEERS));
        } else if rng.f64() < crossing_probability(HOSTS / 3) {
            targets.extend(rng.choose_multiple(in_zone, 1));
        }
    }
    let text = pack(&rows);
    for target in &targets {
        for row in unpack(&text) {
            hosts[*target][row.server as usize].shared.merge(&row, now);
        }
    }
    let bytes = 28 + r#"{"Loads":{"r":""}}"#.len() + text.len();
    bytes * targets.len()
}

/// Hosts that know only their own zone's prompts send to servers of other zones that are busy, and
/// short prompts wait behind long ones there.
#[test]
fn prompts_wait_less_when_hosts_share_what_they_know() {
    for seed in 0..3 {
        let [own, shared, ideal] = [Knowledge::Own, Knowledge::Shared, Knowledge::Ideal]
            .map(|knowledge| simulate(knowledge, seed));
        let p99 = |outcome: &Outcome| outcome.quantile(0.99);
        println!(
            "seed {seed}: p99 {:.0} / {:.0} / {:.0} ms, p95 {:.0} / {:.0} / {:.0} ms, age {:.0} / {:.0} ms, {:.0} B/s",
            p99(&own),
            p99(&shared),
            p99(&ideal),
            own.quantile(0.95),
            shared.quantile(0.95),
            ideal.quantile(0.95),
            own.mean_age_ms,
            shared.mean_age_ms,
            shared.bytes_per_s
        );
        assert!(shared.bytes_per_s <= 15_000.0);
        assert!(p99(&shared) < 0.7 * p99(&own), "seed {seed}");
    }
}

/// A word that takes longer to spread is no better than a host's own last response. Each response is
/// passed on once, so that some hosts learn only of the server's next one.
#[test]
fn most_hosts_know_a_response_in_half_a_second_and_across_zones_in_one() {
    const PROBES: u64 = 20;
    let mut rng = fastrand::Rng::with_seed(3);
    let zones: Vec<Name> = ZONES.iter().map(|zone| (*zone).into()).collect();
    let zone_of = |host: usize| host % 3;
    let mut hosts: Vec<Vec<HostView>> = (0..HOSTS)
        .map(|_| (0..90).map(|_| HostView::default()).collect())
        .collect();
    // Delays of hosts in the zone of the probe and in others.
    let mut delays = [Vec::new(), Vec::new()];
    for probe in 0..PROBES {
        let begin = 10_000 + probe * 4_000;
        let origin = rng.usize(..HOSTS);
        for t in begin..begin + 4_000 {
            let now = Millis(t);
            if t == begin + 1_000 {
                hosts[origin][89].report = Some((load(probe as u32), now, 0));
            }
            // All hosts together hear from each other server 4.6 times a second.
            if rng.f64() < 0.415 {
                let (host, server) = (rng.usize(..HOSTS), rng.usize(..89));
                hosts[host][server].report = Some((load(1), now, 0));
            }
            for host in 0..HOSTS {
                let knows = |hosts: &[Vec<HostView>], host: usize| {
                    hosts[host][89].shared.load(now).map(|it| it.0.running) == Some(probe as u32)
                };
                if !(t + host as u64 * 37).is_multiple_of(250) {
                    continue;
                }
                let before: Vec<bool> = (0..HOSTS).map(|it| knows(&hosts, it)).collect();
                share(&mut hosts, host, &zones, &zone_of, now, &mut rng);
                for peer in (0..HOSTS).filter(|it| *it != origin) {
                    if !before[peer] && knows(&hosts, peer) {
                        let is_remote = zone_of(peer) != zone_of(origin);
                        delays[usize::from(is_remote)].push(t - begin - 1_000);
                    }
                }
            }
        }
    }
    let expected = [28 * PROBES as usize, 55 * PROBES as usize];
    let share_within = |zone: usize, ms: u64| {
        let count = delays[zone].iter().filter(|delay| **delay <= ms).count();
        count as f64 / expected[zone] as f64
    };
    let (near, remote) = (share_within(0, 500), share_within(1, 1_000));
    println!("{near:.2} of the zone in 0.5 s, {remote:.2} of the others in 1 s");
    assert!(near >= 0.6 && remote >= 0.7, "{near} {remote}");
}
