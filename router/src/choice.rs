//! Chooses a backend server for an attempt from what the host knows now.

use std::sync::Arc;

use clementinearch_policy::{
    placement::{PlacementQuery, ServerView, affinity_rank, choose_server},
    time::Millis,
};

use crate::{
    call::Call,
    gossip_event::{GossipEvent, Prefill},
    host_state::HostState,
    rollouts::VersionRule,
    server::{InFlight, Permit, Server},
};

/// Odds that the server of the first rank keeps a prompt's shared parts by other hosts' requests.
const KEPT_AT_FIRST_RANK: f64 = 0.5;

/// The same for the server of the second rank.
const KEPT_AT_SECOND_RANK: f64 = 0.2;

/// A chosen server, with what was expected of it.
pub struct Choice {
    pub(crate) in_flight: InFlight,
    /// Expected wait until the prompt's turn, milliseconds.
    pub(crate) pending_ms: f64,
    /// Requests that run there, as far as was known.
    pub(crate) running: f64,
}

impl Choice {
    /// A server of which no wait is expected. `trial` is held until the attempt ends, which is the
    /// trial of a suspect request then.
    pub fn of(server: &Arc<Server>, trial: Option<Permit>, now: Millis) -> Self {
        let in_flight = InFlight::new(server.clone(), 0.0, 0.0, now);
        Self {
            in_flight: in_flight.with_trial(trial),
            pending_ms: 0.0,
            running: f64::from(server.own_running()),
        }
    }
}

/// Chooses a server and counts the attempt there; none if no server may take it.
pub(crate) fn choose(
    state: &HostState,
    call: &Call,
    model: usize,
    tried: &[u64],
    now: Millis,
) -> Option<Choice> {
    let pool = state.servers.pool(&call.service);
    let has_session = call.head.session.is_some();
    let rule = state
        .rollouts
        .version_rule(&call.service, call.version_point(), has_session, now);
    let usable = usable(&pool, call, &rule, tried, now);
    let views = view_all(call, &usable, model, now);
    let query = PlacementQuery {
        zone: &state.settings.zone,
        prompt_tokens: call
            .head
            .prompt
            .as_ref()
            .map_or(0.0, |prompt| f64::from(prompt.tokens)),
        ms_per_token: state.ms_per_token(&call.service, model),
    };
    let index = choose_server(&views, &query)?;
    let server = usable[index].clone();
    let unread = (query.prompt_tokens - views[index].cached_tokens).max(0.0);
    if let Some(prompt) = &call.head.prompt {
        server.note_parts(prompt, model, now);
    }
    if has_session {
        let point = call.version_point();
        let version = &server.entry.version;
        let session = state
            .rollouts
            .record_session(&call.service, point, version, now);
        if let Some(session) = session {
            state.enqueue_gossip(GossipEvent::Session(session));
        }
    }
    let in_flight = InFlight::new(server, unread, query.ms_per_token, now);
    if let Some(prompt) = &call.head.prompt {
        state.enqueue_gossip(GossipEvent::Prefill(Prefill {
            server: in_flight.server().hash,
            ms: in_flight.reading().as_millis() as u32,
            size: model,
            shared: prompt.shared_parts().collect(),
        }));
    }
    Some(Choice {
        in_flight,
        pending_ms: views[index].pending_ms,
        running: views[index].running + views[index].waiting,
    })
}

/// Servers that may take the request: sound ones, else any.
fn usable(
    pool: &[Arc<Server>],
    call: &Call,
    rule: &VersionRule,
    tried: &[u64],
    now: Millis,
) -> Vec<Arc<Server>> {
    let ready: Vec<&Arc<Server>> = pool
        .iter()
        .filter(|server| server.takes_work() && !tried.contains(&server.hash))
        .collect();
    let mut allowed: Vec<&Arc<Server>> = ready
        .iter()
        .copied()
        .filter(|server| rule.allows(&server.entry.version))
        .collect();
    if allowed.is_empty() && matches!(rule, VersionRule::Only(_)) {
        // The new version has no server that is ready yet.
        allowed = ready;
    }
    let may_try = call.head.route.kind.may_retry();
    let is_sound =
        |server: &Arc<Server>| !server.is_paused(now) && (may_try || !server.is_trial_due(now));
    let sound: Vec<&Arc<Server>> = allowed
        .iter()
        .copied()
        .filter(|server| is_sound(server))
        .collect();
    let known: Vec<&Arc<Server>> = sound
        .iter()
        .copied()
        .filter(|server| !server.is_doubtful())
        .collect();
    // A few entries that lapsed are gone; if most did, they lapsed because the store was away.
    let chosen = if known.len() * 2 >= allowed.len() && !known.is_empty() {
        known
    } else if !sound.is_empty() {
        sound
    } else {
        allowed
    };
    chosen.into_iter().cloned().collect()
}

fn view_all(call: &Call, servers: &[Arc<Server>], model: usize, now: Millis) -> Vec<ServerView> {
    let prompt = call.head.prompt.as_ref();
    let shared = prompt.and_then(|prompt| prompt.shared_part());
    let shared_tokens = prompt.map_or(0.0, |prompt| f64::from(prompt.shared_tokens()));
    let ranks = shared.map(|part| two_highest(part, servers));
    let view = |(index, server): (usize, &Arc<Server>)| {
        let load = server.load(now);
        let known = prompt.map_or(0.0, |prompt| server.kept_tokens(prompt, model, now));
        let expected = match (prompt, ranks) {
            (Some(_), Some((first, _))) if first == index => KEPT_AT_FIRST_RANK * shared_tokens,
            (Some(_), Some((_, second))) if second == index => KEPT_AT_SECOND_RANK * shared_tokens,
            _ => 0.0,
        };
        ServerView {
            zone: server.entry.zone.clone(),
            running: load.running,
            waiting: load.waiting,
            slots: f64::from(server.entry.slots),
            pending_ms: load.pending_ms,
            cached_tokens: known.max(expected),
            latency_ratio: load.latency_ratio,
        }
    };
    servers.iter().enumerate().map(view).collect()
}

/// Indices of the two servers that rank highest for a prompt part.
fn two_highest(part: u64, servers: &[Arc<Server>]) -> (usize, usize) {
    let mut best = (0, 0);
    let mut ranks = (0, 0);
    for (index, server) in servers.iter().enumerate() {
        let rank = affinity_rank(part, server.hash);
        if rank > ranks.0 {
            (best.1, ranks.1) = (best.0, ranks.0);
            (best.0, ranks.0) = (index, rank);
        } else if rank > ranks.1 {
            (best.1, ranks.1) = (index, rank);
        }
    }
    best
}
