//! Placing prompts on engines: a replay of the load that an earlier policy served late.

use clementinearch_policy::{
    placement::{PlacementQuery, ServerView, affinity_rank, choose_server, placement_cost},
    prefill_time::PrefillTime,
};
use std::time::Duration;

const SERVERS: usize = 12;
const SMALL: f64 = 0.004;
const LARGE: f64 = 0.035;

fn idle() -> ServerView {
    ServerView {
        zone: "a".into(),
        running: 0.0,
        waiting: 0.0,
        slots: 64.0,
        pending_ms: 0.0,
        cached_tokens: 0.0,
        latency_ratio: 1.0,
    }
}

fn query(prompt_tokens: f64, ms_per_token: f64) -> PlacementQuery<'static> {
    PlacementQuery {
        zone: "a",
        prompt_tokens,
        ms_per_token,
    }
}

/// Long prompts of large models beside short ones of small models on the users' calm day: 15 album
/// reviews and 45 short requests a second on 12 engines, two in five answered by the largest model.
/// Returns the waits of the short ones, sorted. `knows` tells whether a host hears of what others sent.
fn replay(knows: bool, seed: u64) -> Vec<f64> {
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
        let ms_per_token = if rng.f64() < 0.4 { LARGE } else { SMALL };
        let views: Vec<ServerView> = (0..SERVERS)
            .map(|index| ServerView {
                pending_ms: (known_until[host][index] - now).max(0.0),
                ..idle()
            })
            .collect();
        let index = choose_server(&views, &query(tokens, ms_per_token)).unwrap();
        let begin = busy_until[index].max(now);
        if !is_album {
            waits.push(begin - now);
        }
        let reading = tokens * ms_per_token;
        busy_until[index] = begin + reading;
        for (other, known) in known_until.iter_mut().enumerate() {
            if knows || other == host {
                known[index] = known[index].max(now) + reading;
            }
        }
    }
    waits.sort_by(f64::total_cmp);
    waits
}

#[test]
fn short_prompts_do_not_queue_behind_long_ones_of_other_hosts() {
    for seed in 0..4 {
        let at = |waits: &[f64], part: f64| waits[(waits.len() as f64 * part) as usize];
        let alone = replay(false, seed);
        let told = replay(true, seed);
        let (before, after) = (at(&alone, 0.95), at(&told, 0.95));
        assert!(
            before > 100.0,
            "seed {seed}: the load is too light: {before} ms"
        );
        // A tenth of the tightest objective of a first event, one second.
        assert!(
            after < 100.0,
            "seed {seed}: {after} ms, {before} ms without word"
        );
    }
}

#[test]
fn a_kept_part_is_left_only_when_waiting_costs_more_than_reading() {
    let mut keeper = ServerView {
        cached_tokens: 5_000.0,
        ..idle()
    };
    let other = idle();
    let album = query(6_000.0, LARGE);
    keeper.pending_ms = 100.0;
    assert_eq!(
        choose_server(&[keeper.clone(), other.clone()], &album),
        Some(0)
    );
    keeper.pending_ms = 400.0;
    assert_eq!(choose_server(&[keeper, other], &album), Some(1));
}

#[test]
fn a_full_server_is_passed_over_for_one_in_another_zone() {
    let full = ServerView {
        running: 6.0,
        slots: 6.0,
        ..idle()
    };
    let away = ServerView {
        zone: "b".into(),
        slots: 6.0,
        ..idle()
    };
    let plain = query(0.0, 0.0);
    assert_eq!(
        choose_server(&[full.clone(), away.clone()], &plain),
        Some(1)
    );
    let free = ServerView {
        running: 1.0,
        ..full
    };
    assert_eq!(choose_server(&[free, away], &plain), Some(0));
}

#[test]
fn a_server_that_turned_slow_is_avoided() {
    let slow = ServerView {
        latency_ratio: 5.0,
        running: 2.0,
        ..idle()
    };
    let sound = ServerView {
        running: 6.0,
        ..idle()
    };
    let prompt = query(2_000.0, LARGE);
    assert!(placement_cost(&slow, &prompt) > placement_cost(&sound, &prompt));
}

#[test]
fn hosts_rank_servers_alike_and_evenly() {
    let mut firsts = [0_u32; SERVERS];
    for part in 0..12_000_u64 {
        let best = (0..SERVERS).max_by_key(|server| affinity_rank(part, *server as u64 * 7_919));
        firsts[best.unwrap()] += 1;
    }
    assert!(
        firsts.iter().all(|count| (800..1_200).contains(count)),
        "{firsts:?}"
    );
}

#[test]
fn the_pace_of_reading_is_learned_without_the_waiting() {
    let mut pace = PrefillTime::new(3);
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..2_000 {
        let tokens = 2_000.0 + 10_000.0 * rng.f64();
        // Half of the prompts wait behind others.
        let waited = if rng.bool() { 0.0 } else { 400.0 * rng.f64() };
        let latency = Duration::from_secs_f64((tokens * 0.02 + waited) / 1_000.0);
        pace.record(2, tokens, latency);
    }
    let learned = pace.ms_per_token(2);
    assert!((0.017..0.024).contains(&learned), "{learned} ms a token");
    assert!(pace.ms_per_token(0) < pace.ms_per_token(1));
}
