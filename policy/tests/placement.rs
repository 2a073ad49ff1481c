//! Placement of prompts on engines, including a simulated mix of long and short prompts that an
//! earlier policy served late.

use clementinearch_policy::{
    placement::{PlacementQuery, ServerView, affinity_rank, choose_server, placement_cost},
    prefill_time::PrefillTime,
    relative_latency::RelativeLatency,
};
use std::time::Duration;

const SERVERS: usize = 12;
const SMALL_MS_PER_TOKEN: f64 = 0.004;
const LARGE_MS_PER_TOKEN: f64 = 0.035;

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

fn query(prompt_tokens: f64, ms_per_token: f64) -> PlacementQuery<'static> {
    PlacementQuery {
        zone: "a",
        prompt_tokens,
        ms_per_token,
        is_load_shared: false,
    }
}

/// Simulates a typical mix of prompts: 15 long album reviews and 45 short requests per second on 12
/// engines, two in five of them on the largest model. Returns the sorted waits of the short
/// requests in milliseconds. `is_shared` is whether hosts learn of each other's prompts.
fn simulate(is_shared: bool, seed: u64) -> Vec<f64> {
    const HOSTS: usize = 7;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut busy_until = [0.0_f64; SERVERS];
    let mut known_until = vec![[0.0_f64; SERVERS]; HOSTS];
    let mut waits = Vec::new();
    let mut now = 0.0;
    while now < 60_000.0 {
        now += -1_000.0 / 60.0 * (1.0 - rng.f64()).ln();
        let host = rng.usize(..HOSTS);
        let is_album = rng.f64() < 0.25;
        let tokens = if is_album {
            3_000.0 + 20_000.0 * rng.f64().powi(3)
        } else {
            400.0 + 3_000.0 * rng.f64().powi(2)
        };
        let ms_per_token = if rng.f64() < 0.4 {
            LARGE_MS_PER_TOKEN
        } else {
            SMALL_MS_PER_TOKEN
        };
        let views: Vec<ServerView> = (0..SERVERS)
            .map(|index| ServerView {
                pending_ms: (known_until[host][index] - now).max(0.0),
                ..idle()
            })
            .collect();
        let index = choose_server(&views, &query(tokens, ms_per_token), 0).unwrap();
        let begin = busy_until[index].max(now);
        if !is_album {
            waits.push(begin - now);
        }
        let prefill_ms = tokens * ms_per_token;
        busy_until[index] = begin + prefill_ms;
        for (other, known) in known_until.iter_mut().enumerate() {
            if is_shared || other == host {
                known[index] = known[index].max(now) + prefill_ms;
            }
        }
    }
    waits.sort_by(f64::total_cmp);
    waits
}

#[test]
fn short_prompts_do_not_queue_behind_long_ones_of_other_hosts() {
    for seed in 0..4 {
        let quantile = |waits: &[f64], q: f64| waits[(waits.len() as f64 * q) as usize];
        let isolated = simulate(false, seed);
        let shared = simulate(true, seed);
        let (before, after) = (quantile(&isolated, 0.95), quantile(&shared, 0.95));
        assert!(
            before > 100.0,
            "seed {seed}: the load is too light: {before} ms"
        );
        // A tenth of the strictest objective for the first event, which is one second.
        assert!(
            after < 100.0,
            "seed {seed}: {after} ms, {before} ms without sharing"
        );
    }
}

#[test]
fn a_cached_prefix_is_passed_over_only_when_waiting_costs_more_than_prefill() {
    let mut cached = ServerView {
        cached_tokens: 5_000.0,
        ..idle()
    };
    let other = idle();
    let album = query(6_000.0, LARGE_MS_PER_TOKEN);
    cached.pending_ms = 100.0;
    assert_eq!(
        choose_server(&[cached.clone(), other.clone()], &album, 0),
        Some(0)
    );
    cached.pending_ms = 400.0;
    assert_eq!(choose_server(&[cached, other], &album, 0), Some(1));
}

#[test]
fn a_full_server_is_passed_over_for_one_in_another_zone() {
    let full = ServerView {
        running: 6.0,
        slots: 6.0,
        ..idle()
    };
    let remote = ServerView {
        zone: "b".into(),
        slots: 6.0,
        ..idle()
    };
    let plain = query(0.0, 0.0);
    assert_eq!(
        choose_server(&[full.clone(), remote.clone()], &plain, 0),
        Some(1)
    );
    let free = ServerView {
        running: 1.0,
        ..full
    };
    assert_eq!(choose_server(&[free, remote], &plain, 0), Some(0));
}

#[test]
fn a_slow_server_is_avoided() {
    let slow = ServerView {
        latency_ratio: 5.0,
        running: 2.0,
        ..idle()
    };
    let normal = ServerView {
        running: 6.0,
        ..idle()
    };
    let prompt = query(2_000.0, LARGE_MS_PER_TOKEN);
    assert!(placement_cost(&slow, &prompt) > placement_cost(&normal, &prompt));
}

#[test]
fn affinity_ranks_are_spread_evenly_over_the_servers() {
    let mut best_counts = [0_u32; SERVERS];
    for part in 0..12_000_u64 {
        let best = (0..SERVERS).max_by_key(|server| affinity_rank(part, *server as u64 * 7_919));
        best_counts[best.unwrap()] += 1;
    }
    assert!(
        best_counts.iter().all(|count| (800..1_200).contains(count)),
        "{best_counts:?}"
    );
}

#[test]
fn the_prefill_time_is_estimated_without_the_queueing_time() {
    let mut prefill_time = PrefillTime::new(3);
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..2_000 {
        let tokens = 2_000.0 + 10_000.0 * rng.f64();
        // Half of the prompts wait behind others.
        let queued_ms = if rng.bool() { 0.0 } else { 400.0 * rng.f64() };
        let latency = Duration::from_secs_f64((tokens * 0.02 + queued_ms) / 1_000.0);
        prefill_time.record(2, tokens, latency);
    }
    let estimate = prefill_time.ms_per_token(2);
    assert!(
        (0.017..0.024).contains(&estimate),
        "{estimate} ms per token"
    );
    assert!(prefill_time.ms_per_token(0) < prefill_time.ms_per_token(1));
}

/// A clock in whole milliseconds shows most of these responses as taking none.
#[test]
fn servers_faster_than_the_clock_are_all_used() {
    const SERVERS: usize = 6;
    let mut rng = fastrand::Rng::with_seed(1);
    let mut latencies = [RelativeLatency::default(); SERVERS];
    let mut requests = [0; SERVERS];
    let mut mean_ms = None;
    for number in 0..300 {
        let views: Vec<ServerView> = latencies
            .iter()
            .map(|latency| ServerView {
                latency_ratio: latency.ratio(),
                ..idle()
            })
            .collect();
        let index = choose_server(&views, &query(0.0, 0.0), number).unwrap();
        requests[index] += 1;
        let latency_ms = f64::from(u8::from(rng.f64() < 0.2));
        if let Some(mean_ms) = mean_ms {
            latencies[index].record(latency_ms, mean_ms);
        }
        let mean = mean_ms.get_or_insert(20.0);
        *mean += 0.1 * (latency_ms - *mean);
    }
    assert!(requests.iter().all(|count| *count > 0), "{requests:?}");
}
