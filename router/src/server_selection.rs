//! Selection of a backend server for an attempt, from this host's current view of the pool.

use std::sync::{Arc, atomic::Ordering};

use clementinearch_policy::{
    placement::{PlacementQuery, ServerView, affinity_rank, choose_server},
    time::Millis,
};

use crate::{
    call::Call,
    gossip_event::{GossipEvent, MAX_SHARED_PARTS, Prefill},
    host_state::HostState,
    in_flight::InFlight,
    rollouts::{Stickiness, VersionRule},
    server::{Permit, Server},
    server_loads::{load_estimates, sample_servers},
    server_places::retain_placed,
};

/// Probability that the server of the first rank has a prompt's shared prefix in its cache because
/// other hosts sent requests with it.
const FIRST_RANK_CACHE_PROBABILITY: f64 = 0.5;

/// The same probability for the server of the second rank.
const SECOND_RANK_CACHE_PROBABILITY: f64 = 0.2;

/// Part of its slots up to which a server of a version on load trial is loaded.
const TRIAL_LOAD: f64 = 0.8;

/// Item for which the servers of a version on load trial are ranked.
const TRIAL_ORDER: u64 = 0x6c6f_6164;

/// A server chosen for an attempt, with the load expected there.
pub struct ChosenServer {
    pub(crate) in_flight: InFlight,
    /// Expected wait before the server starts on the prompt, milliseconds.
    pub(crate) pending_ms: f64,
    /// Estimated number of requests that run or wait on the server.
    pub(crate) running: f64,
}

impl ChosenServer {
    /// A server with no expected wait. `trial` is held until the attempt ends; with it, the attempt
    /// is the trial of a suspect request.
    pub fn new(server: &Arc<Server>, trial: Option<Permit>, now: Millis) -> Self {
        let in_flight = InFlight::new(server.clone(), 0.0, 0.0, now);
        Self {
            in_flight: in_flight.with_trial(trial),
            pending_ms: 0.0,
            running: f64::from(server.local_running()),
        }
    }
}

/// Chooses a server and counts the attempt on it. Returns `None` if no server is eligible.
pub(crate) fn choose(
    state: &HostState,
    call: &Call,
    size: usize,
    tried: &[u64],
    now: Millis,
) -> Option<ChosenServer> {
    let pool = state.servers.pool(&call.service);
    let stickiness = Stickiness::of(call, !tried.is_empty());
    let rule = state
        .rollouts
        .version_rule(&call.service, call.rollout_hash(), stickiness, now);
    let mut eligible = eligible_servers(state, &pool, call, &rule, tried, now);
    eligible.retain(|server| state.is_within_limit(server, now));
    retain_placed(state, &pool, &mut eligible, now);
    if let VersionRule::LoadTrial(target) = &rule {
        retain_loaded(&pool, &mut eligible, target, now);
    }
    let mut set_aside = state.set_aside_ramping(&mut eligible, now);
    let mut views = server_views(call, &eligible, size, now);
    sample_servers(state, &mut eligible, &mut views, now);
    state.narrow_ramping(&eligible, &mut views, now);
    let query = PlacementQuery {
        zone: &state.settings.zone,
        prompt_tokens: call
            .head
            .prompt
            .as_ref()
            .map_or(0.0, |prompt| f64::from(prompt.tokens)),
        ms_per_token: state.ms_per_token(&call.service, size),
        is_load_shared: eligible.iter().any(|server| server.is_load_shared(now)),
    };
    let offset = state.placements.fetch_add(1, Ordering::Relaxed);
    let mut index = choose_server(&views, &query, offset)?;
    // Another request may have taken this host's turn at a paced server in between.
    while !state.take_turn(&eligible[index], now) {
        eligible.remove(index);
        views.remove(index);
        if eligible.is_empty() {
            // A slow start alone is no reason to refuse a request.
            eligible = std::mem::take(&mut set_aside);
            views = server_views(call, &eligible, size, now);
            state.narrow_ramping(&eligible, &mut views, now);
        }
        index = choose_server(&views, &query, offset)?;
    }
    let server = eligible[index].clone();
    state.take_place(&pool, &server, now);
    state.record_ramp_sent(&server, now);
    let uncached_tokens = (query.prompt_tokens - views[index].cached_tokens).max(0.0);
    if let Some(prompt) = &call.head.prompt {
        server.record_parts(prompt, size, now);
    }
    state.record_session(call, &server.entry.version, now);
    let in_flight = InFlight::new(server, uncached_tokens, query.ms_per_token, now);
    if let Some(prompt) = &call.head.prompt {
        state.enqueue_gossip(GossipEvent::Prefill(Prefill {
            server: in_flight.server().name_hash,
            ms: in_flight.expected_prefill().as_millis() as u32,
            size,
            shared: prompt.shared_parts().take(MAX_SHARED_PARTS).collect(),
            is_to_relay: false,
        }));
    }
    Some(ChosenServer {
        in_flight,
        pending_ms: views[index].pending_ms,
        running: views[index].running + views[index].waiting,
    })
}

/// Servers that may take the request: of those that the rollout allows, the healthy ones with a
/// current entry if they are at least half, else all healthy ones, else all.
fn eligible_servers(
    state: &HostState,
    pool: &[Arc<Server>],
    call: &Call,
    rule: &VersionRule,
    tried: &[u64],
    now: Millis,
) -> Vec<Arc<Server>> {
    let open: Vec<&Arc<Server>> = pool
        .iter()
        .filter(|server| state.may_serve(server, call) && !server.is_resting(now))
        .collect();
    let mut ready = open.clone();
    ready.retain(|server| !tried.contains(&server.name_hash));
    let mut allowed: Vec<&Arc<Server>> = ready
        .iter()
        .copied()
        .filter(|server| rule.allows(&server.entry.version))
        .collect();
    if allowed.is_empty() && matches!(rule, VersionRule::Moved(_)) {
        // Servers of the old version may stop at any moment.
        allowed = open;
        allowed.retain(|server| rule.allows(&server.entry.version));
    }
    if allowed.is_empty() && !matches!(rule, VersionRule::Any | VersionRule::Except(_)) {
        // No server of the new version is ready yet.
        allowed = ready;
    }
    let may_retry = call.head.route.kind.may_retry();
    // A server on trial may still fail, so it gets only requests that can be retried elsewhere.
    let is_healthy =
        |server: &Arc<Server>| !server.is_ejected(now) && (may_retry || !server.is_trial_due(now));
    let healthy: Vec<&Arc<Server>> = allowed
        .iter()
        .copied()
        .filter(|server| is_healthy(server))
        .collect();
    let listed: Vec<&Arc<Server>> = healthy
        .iter()
        .copied()
        .filter(|server| !server.has_lapsed_entry())
        .collect();
    // A few lapsed entries mean that those servers are gone. If most entries lapsed, the store was
    // unavailable and the servers are probably still there.
    let chosen = if listed.len() * 2 >= allowed.len() && !listed.is_empty() {
        listed
    } else if !healthy.is_empty() {
        healthy
    } else {
        allowed
    };
    chosen.into_iter().cloned().collect()
}

/// Leaves only the first servers of a version on load trial: as many as the requests of the whole
/// service load up to [`TRIAL_LOAD`]. All hosts agree on their order.
fn retain_loaded(pool: &[Arc<Server>], eligible: &mut Vec<Arc<Server>>, target: &str, now: Millis) {
    let mut loaded: Vec<&Arc<Server>> = pool
        .iter()
        .filter(|server| *server.entry.version == *target)
        .collect();
    loaded.sort_by_key(|server| affinity_rank(TRIAL_ORDER, server.name_hash));
    let running: f64 = pool.iter().map(|server| server.load(now).running).sum();
    let slots = loaded.first().map_or(1, |server| server.entry.slots.max(1));
    let count = (running / (f64::from(slots) * TRIAL_LOAD)).ceil().max(1.0) as usize;
    let is_eligible = |server: &&Arc<Server>| {
        eligible
            .iter()
            .any(|other| other.name_hash == server.name_hash)
    };
    let kept: Vec<u64> = loaded
        .into_iter()
        .filter(is_eligible)
        .take(count)
        .map(|server| server.name_hash)
        .collect();
    if !kept.is_empty() {
        eligible.retain(|server| kept.contains(&server.name_hash));
    }
}

fn server_views(call: &Call, servers: &[Arc<Server>], size: usize, now: Millis) -> Vec<ServerView> {
    let prompt = call.head.prompt.as_ref();
    let shared = prompt.and_then(|prompt| prompt.shared_prefix());
    let shared_tokens = prompt.map_or(0.0, |prompt| prompt.shared_tokens());
    let ranks = shared.map(|part| top_two_ranks(part, servers));
    let loads = load_estimates(servers, now);
    let view = |(index, server): (usize, &Arc<Server>)| {
        let load = loads[index];
        let cached = prompt.map_or(0.0, |prompt| server.cached_tokens(prompt, size, now));
        let expected = match (prompt, ranks) {
            (Some(_), Some((first, _))) if first == index => {
                FIRST_RANK_CACHE_PROBABILITY * shared_tokens
            }
            (Some(_), Some((_, second))) if second == index => {
                SECOND_RANK_CACHE_PROBABILITY * shared_tokens
            }
            _ => 0.0,
        };
        ServerView {
            zone: server.entry.zone.clone(),
            running: load.running,
            waiting: load.waiting,
            slots: f64::from(server.entry.slots),
            pending_ms: load.pending_ms,
            cached_tokens: cached.max(expected),
            latency_ratio: load.latency_ratio,
            slowdown: load.slowdown,
        }
    };
    servers.iter().enumerate().map(view).collect()
}

/// Indices of the two servers with the highest affinity rank for a prompt part.
fn top_two_ranks(part: u64, servers: &[Arc<Server>]) -> (usize, usize) {
    let mut best = (0, 0);
    let mut ranks = (0, 0);
    for (index, server) in servers.iter().enumerate() {
        let rank = affinity_rank(part, server.name_hash);
        if rank > ranks.0 {
            (best.1, ranks.1) = (best.0, ranks.0);
            (best.0, ranks.0) = (index, rank);
        } else if rank > ranks.1 {
            (best.1, ranks.1) = (index, rank);
        }
    }
    best
}
