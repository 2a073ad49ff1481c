//! Limits that servers name, as this host keeps them and tells its peers, and when callers return
//! that no server may take now.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    server_limit::{is_limit, send_interval, senders},
    time::Millis,
};
use serde::{Deserialize, Serialize};

use crate::{
    call::Call,
    host_state::HostState,
    server::{NamedLimit, Server},
};

/// What a server said of its limit: hash of its name, requests per second or none, and the age of the
/// answer in milliseconds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct LimitRow(u64, Option<f64>, u64);

/// How often a host may send to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendPace {
    /// As often as it likes.
    Unlimited,
    /// One request in each interval.
    Every(Duration),
    /// Other hosts send to the server.
    LeftToOthers,
}

/// Age up to which hosts are told that a server is no longer in need.
const ENDED_LIMIT_LIFETIME: Duration = Duration::from_secs(60);

/// Returns what this host knows of the servers' limits, for peers.
pub(crate) fn limit_rows(state: &HostState, now: Millis) -> Vec<LimitRow> {
    rows(state, now, |server| server.named_limit())
}

/// Returns what this host knows of the refusals that servers bear, for peers.
pub(crate) fn refusal_limit_rows(state: &HostState, now: Millis) -> Vec<LimitRow> {
    rows(state, now, |server| server.named_refusal_limit())
}

fn rows(
    state: &HostState,
    now: Millis,
    named: impl Fn(&Server) -> Option<NamedLimit>,
) -> Vec<LimitRow> {
    let servers = state.servers.all();
    let row = |server: &Arc<Server>| {
        let limit = named(server)?;
        let age = now.since(limit.named_at);
        let is_current = limit.per_s.is_some() || age <= ENDED_LIMIT_LIFETIME;
        is_current.then(|| LimitRow(server.name_hash, limit.per_s, age.as_millis() as u64))
    };
    servers.iter().filter_map(row).collect()
}

/// Records what a peer knows of the servers' limits.
pub(crate) fn merge_limits(state: &HostState, rows: &[LimitRow], now: Millis) {
    for (server, per_s, named_at) in read_rows(state, rows, now) {
        state.record_limit(&server, per_s, named_at);
    }
}

/// Records what a peer knows of the refusals that servers bear.
pub(crate) fn merge_refusal_limits(state: &HostState, rows: &[LimitRow], now: Millis) {
    for (server, per_s, named_at) in read_rows(state, rows, now) {
        state.record_refusal_limit(&server, per_s, named_at);
    }
}

fn read_rows(
    state: &HostState,
    rows: &[LimitRow],
    now: Millis,
) -> Vec<(Arc<Server>, Option<f64>, Millis)> {
    let read = |LimitRow(name_hash, per_s, age_ms): &LimitRow| {
        let server = state.servers.by_hash(*name_hash)?;
        if per_s.is_some_and(|per_s| !is_limit(per_s)) {
            let why = "limit out of range";
            state.log_event("word_unreadable", &server.entry.name, why, &[]);
            return None;
        }
        Some((server, *per_s, now.before(Duration::from_millis(*age_ms))))
    };
    rows.iter().filter_map(read).collect()
}

impl HostState {
    /// Records the limit that a server names at `named_at`, or that it names none.
    pub(crate) fn record_limit(&self, server: &Server, per_s: Option<f64>, named_at: Millis) {
        let is_news = server.record_limit(per_s, named_at);
        // The record may have been replaced since the request was sent.
        if let Some(current) = self.servers.current_record(server) {
            current.record_limit(per_s, named_at);
        }
        if is_news {
            let events = ("server_limit_named", "server_limit_ended");
            self.log_named(server, per_s, events);
        }
    }

    /// Records the refusals per second that a server bears, or that it names none.
    pub(crate) fn record_refusal_limit(
        &self,
        server: &Server,
        per_s: Option<f64>,
        named_at: Millis,
    ) {
        let is_news = server.record_refusal_limit(per_s, named_at);
        if let Some(current) = self.servers.current_record(server) {
            current.record_refusal_limit(per_s, named_at);
        }
        if is_news {
            let events = ("server_brittle", "server_no_longer_brittle");
            self.log_named(server, per_s, events);
        }
    }

    /// Logs what a server says of itself, by the event for a number or for none.
    fn log_named(&self, server: &Server, per_s: Option<f64>, (named, ended): (&str, &str)) {
        let name = &server.entry.name;
        match per_s {
            Some(per_s) => self.log_event(named, name, "", &[("per_s", per_s)]),
            None => self.log_event(ended, name, "", &[]),
        }
    }

    /// Returns the interval at which this host sends to a server with this limit, or none if other
    /// hosts do.
    pub(crate) fn limited_interval(
        &self,
        server: &Server,
        per_s: f64,
        now: Millis,
    ) -> Option<Duration> {
        let fleet = self.fleet.lock();
        let hosts = fleet.known_hosts();
        let is_sender = fleet.rank_for(server.name_hash, now) < senders(per_s, hosts);
        is_sender.then(|| send_interval(per_s, hosts))
    }

    /// Returns how often this host may send to a server, by the limit that it names and by its being
    /// cold.
    pub(crate) fn send_pace(&self, server: &Server, now: Millis) -> SendPace {
        let limited = server
            .limit()
            .map(|per_s| self.limited_interval(server, per_s, now));
        let cold = self
            .pace_while_cold(server, now)
            .map(|pace| self.cold_share(server, pace).map(|share| share.interval));
        match (limited, cold) {
            (None, None) => SendPace::Unlimited,
            (Some(None), _) | (_, Some(None)) => SendPace::LeftToOthers,
            (Some(Some(interval)), None) | (None, Some(Some(interval))) => {
                SendPace::Every(interval)
            }
            (Some(Some(limited)), Some(Some(cold))) => SendPace::Every(limited.max(cold)),
        }
    }

    /// Whether this host may send to a server now, by the limit that it names and by its being cold.
    pub(crate) fn is_within_limit(&self, server: &Server, now: Millis) -> bool {
        match self.send_pace(server, now) {
            SendPace::Unlimited => true,
            SendPace::Every(_) => server.pace.wait(now).is_zero(),
            SendPace::LeftToOthers => false,
        }
    }

    /// Counts a request to a server. Returns whether this host may send it now.
    pub(crate) fn take_turn(&self, server: &Server, now: Millis) -> bool {
        match self.send_pace(server, now) {
            SendPace::Unlimited => true,
            SendPace::Every(interval) => server.pace.try_take(interval, now),
            SendPace::LeftToOthers => false,
        }
    }

    /// If every ready server that may get the request rests, names a limit or is cold, returns the time after which a
    /// refused caller should return. A request occupies a slot for `slot_time`.
    pub(crate) fn return_delay(
        &self,
        call: &Call,
        slot_time: Duration,
        now: Millis,
    ) -> Option<Duration> {
        let pool = self.servers.pool(&call.service);
        let ready = pool.iter().filter(|it| self.may_serve(it, call));
        let ready: Vec<&Arc<Server>> = ready.collect();
        let is_held = |server: &&Arc<Server>| {
            let names_limit = server.limit().is_some() || server.refusal_limit().is_some();
            let is_cold = self.pace_while_cold(server, now).is_some();
            names_limit || server.is_resting(now) || is_cold
        };
        if ready.is_empty() || !ready.iter().all(is_held) {
            return None;
        }
        let wait = |server: &Arc<Server>| {
            let held = server.pace.wait(now).max(server.rest_left(now));
            match server.refusal_limit() {
                Some(_) => held.max(slot_time),
                None => held,
            }
        };
        let own = ready
            .iter()
            .filter(|server| self.send_pace(server, now) != SendPace::LeftToOthers);
        let earliest = own.map(|server| wait(server)).min().unwrap_or_default();
        let rate = |server: &Arc<Server>| {
            let slots = f64::from(server.entry.slots.max(1));
            let cold = self
                .pace_while_cold(server, now)
                .map_or(f64::INFINITY, |pace| pace.per_s());
            let limit = server.limit().unwrap_or(slots / slot_time.as_secs_f64());
            limit.min(cold)
        };
        let usable = ready.iter().filter(|it| it.rest_left(now) <= earliest);
        let total: f64 = usable.map(|server| rate(server)).sum();
        let own_rate = total / self.fleet.lock().known_hosts() as f64;
        let mut schedules = self.return_schedules.lock();
        let schedule = schedules.entry(call.service.clone()).or_default();
        Some(schedule.delay(own_rate, earliest, now))
    }
}
