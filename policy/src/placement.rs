//! Cost-based choice of a backend server by zone, cached prompt prefix, queue and running work.
//!
//! All hosts rank the servers for a part of a prompt in the same order without coordination, so
//! that few servers have to prefill it. A host passes over the first server of that order only if
//! waiting there costs more than another prefill elsewhere.

use std::time::Duration;

use crate::names::Name;

/// Delay that each running request adds to the first event of a new one, milliseconds.
const RUNNING_COST_MS: f64 = 6.0;

/// The same delay where hosts share what they know of all servers' load. The number of requests
/// that run then also shows how slow a server is.
const SHARED_RUNNING_COST_MS: f64 = 12.0;

/// Delay that each waiting request adds to the first event of a new one, milliseconds.
const WAITING_COST_MS: f64 = 60.0;

/// Penalty for a server in another zone, milliseconds: traffic between zones is expensive.
const ZONE_COST_MS: f64 = 15.0;

/// Cost of a fully used server of a plain service, scaled by the share of slots in use,
/// milliseconds.
const PLAIN_LOAD_COST_MS: f64 = 20.0;

/// Penalty for a server without a free slot, scaled by its excess over the slots, milliseconds.
const FULL_COST_MS: f64 = 1_000.0;

/// Delay accepted to avoid the prefill of one token, milliseconds. It stands for the engine time
/// that the prefill would take, which also delays the requests behind it.
const PREFILL_COST_MS: f64 = 0.03;

/// How long a part of a prompt is presumed cached after its last use on a server.
pub const PREFIX_CACHE_LIFETIME: Duration = Duration::from_secs(20);

/// What the choice knows about a server.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// Availability zone of the server.
    pub zone: Name,
    /// Estimated number of running requests.
    pub running: f64,
    /// Estimated number of waiting requests.
    pub waiting: f64,
    /// Number of requests that it runs concurrently.
    pub slots: f64,
    /// Estimated time until it has prefilled the prompts already sent to it, milliseconds.
    pub pending_ms: f64,
    /// Tokens of the request's prompt that it is known or expected to have cached.
    pub cached_tokens: f64,
    /// Its latency as a multiple of the route's mean; one if unknown.
    pub latency_ratio: f64,
    /// Factor on the duration of its work at the moment; one if unknown.
    pub slowdown: f64,
}

/// What the choice knows about the request.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Availability zone of this host.
    pub zone: &'a str,
    /// Number of prompt tokens; zero for plain services.
    pub prompt_tokens: f64,
    /// Prefill time of one token on the chosen model, milliseconds.
    pub ms_per_token: f64,
    /// Whether the servers' load is known from the responses to all hosts.
    pub is_load_shared: bool,
}

/// Returns the expected delay of a request on a server, including penalties, in milliseconds.
pub fn placement_cost(server: &ServerView, query: &PlacementQuery<'_>) -> f64 {
    let zone = if *server.zone == *query.zone {
        0.0
    } else {
        ZONE_COST_MS
    };
    let busy = server.running + server.waiting + 1.0;
    let full = if busy > server.slots {
        FULL_COST_MS * (busy - server.slots) / server.slots.max(1.0)
    } else {
        0.0
    };
    if query.prompt_tokens == 0.0 {
        let share = busy / server.slots.max(1.0);
        let load = PLAIN_LOAD_COST_MS * share * server.slowdown;
        return (load * server.latency_ratio + zone) + full;
    }
    let uncached = (query.prompt_tokens - server.cached_tokens).max(0.0);
    let prefill = uncached * (query.ms_per_token + PREFILL_COST_MS) + server.pending_ms;
    if query.is_load_shared {
        let interference =
            server.running * SHARED_RUNNING_COST_MS + server.waiting * WAITING_COST_MS;
        // The few latencies that one host has seen of a server are noise beside its load.
        return (prefill + interference) * server.slowdown + zone + full;
    }
    let interference = server.running * RUNNING_COST_MS + server.waiting * WAITING_COST_MS;
    (prefill + interference) * server.slowdown * server.latency_ratio + zone + full
}

/// Returns the rank of a server for a part of a prompt, from the hashes of both.
pub fn affinity_rank(part: u64, server: u64) -> u64 {
    // The splitmix64 finalizer is the same on all hosts, and cheap enough to rank many servers.
    let mut mixed = part ^ server.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the index of the server with the lowest cost. Of several, it is the first one from
/// `offset` on, so that callers that vary it use equal servers equally.
pub fn choose_server(
    servers: &[ServerView],
    query: &PlacementQuery<'_>,
    offset: usize,
) -> Option<usize> {
    let costs: Vec<f64> = servers
        .iter()
        .map(|server| placement_cost(server, query))
        .collect();
    let indices = (0..costs.len()).map(|index| (index + offset) % costs.len());
    indices.min_by(|left, right| costs[*left].total_cmp(&costs[*right]))
}
