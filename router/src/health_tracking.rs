//! Health of servers and zones as attempts and probes show it.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{server_health::AttemptOutcome, slow_start::RampAnswer, time::Millis};

use crate::{connections::connect, host_state::HostState, server::Server};

/// Mean share of failed attempts at the servers of a pool, from 0 to 1.
pub(crate) fn failure_rate(pool: &[Arc<Server>]) -> f64 {
    let rates: f64 = pool.iter().map(|server| server.failure_rate()).sum();
    rates / pool.len().max(1) as f64
}

/// Records the outcome of an attempt, and logs if it ejects the server from selection.
pub(crate) fn record_server_outcome(
    state: &HostState,
    server: &Server,
    outcome: AttemptOutcome,
    now: Millis,
) {
    let pool_rate = failure_rate(&state.servers.pool(&server.entry.service));
    if outcome == AttemptOutcome::Unreachable {
        mark_zone_if_unreachable(state, server, now);
    }
    let was_ejected = server.is_ejected(now) || server.is_trial_due(now);
    match outcome {
        AttemptOutcome::Good if was_ejected => state.begin_ramp(server, "trial succeeded", now),
        AttemptOutcome::Good => {}
        _ => state.record_ramp_answer(server, RampAnswer::Bad, now, now),
    }
    if server.record_outcome(outcome, pool_rate, now) {
        let rate = server.failure_rate();
        state.log_event(
            "server_left_alone",
            &server.entry.name,
            match outcome {
                AttemptOutcome::Unreachable => "unreachable or silent",
                _ => "fails more often than its pool",
            },
            &[("failure_rate", rate), ("pool_rate", pool_rate)],
        );
    }
}

/// How often the servers are scanned for due probes.
const PROBE_SCAN_PERIOD: Duration = Duration::from_millis(100);

/// Number of unreachable servers in a zone from which the whole zone counts as unreachable.
const MIN_UNREACHABLE_SERVERS: usize = 2;

/// Time within which bytes from any server of a zone show that the zone is reachable.
const ZONE_CONTACT_WINDOW: Duration = Duration::from_millis(300);

/// Marks all servers of a zone as unreachable if several of them are and none has sent bytes
/// recently. Otherwise requests would run into the partition server by server. Probes soon bring
/// back the servers that still accept connections.
fn mark_zone_if_unreachable(state: &HostState, server: &Server, now: Millis) {
    let zone = &server.entry.zone;
    let all = state.servers.all();
    let of_zone = || all.iter().filter(|other| other.entry.zone == *zone);
    let unreachable = of_zone().filter(|other| other.is_unreachable()).count();
    let has_contact = of_zone().any(|other| now.since(other.last_contact()) <= ZONE_CONTACT_WINDOW);
    // The server at hand counts as one more: its outcome is recorded after this check.
    if unreachable + 1 < MIN_UNREACHABLE_SERVERS || has_contact {
        return;
    }
    let newly_marked = of_zone()
        .filter(|other| other.mark_unreachable(now))
        .count();
    if newly_marked > 0 {
        let inputs = [("servers", newly_marked as f64)];
        state.log_event("zone_out_of_reach", zone, "", &inputs);
    }
}

/// Probes unreachable servers for new connections until the process ends.
pub(crate) async fn probe_unreachable(state: Arc<HostState>) {
    loop {
        tokio::time::sleep(PROBE_SCAN_PERIOD).await;
        let now = state.now();
        if state.has_lost_servers() {
            // A few servers are tried instead of all, by `connectivity`.
            continue;
        }
        for server in state.servers.all() {
            if server.is_resting(now) || !server.begin_probe(now) {
                continue;
            }
            let state = state.clone();
            tokio::spawn(async move {
                if connect(server.entry.address).await.is_ok() {
                    state.presume_cold(&server, state.now());
                    server.record_connected(state.now());
                    state.record_server_connected(state.now());
                    state.log_event("server_in_reach", &server.entry.name, "", &[]);
                    state.begin_ramp(&server, "in reach", state.now());
                }
            });
        }
    }
}
