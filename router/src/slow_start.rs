//! Slow start of servers that start or recover, as this host sees them.

use std::sync::Arc;

use clementinearch_policy::{
    placement::ServerView,
    slow_start::{Ramp, RampAnswer},
    time::{Millis, nearest_span},
};

use crate::{host_state::HostState, server::Server};

impl HostState {
    /// Begins the slow start of a server, if the settings enable it. One that is in a slow start
    /// already begins again.
    pub(crate) fn begin_ramp(&self, server: &Server, why: &str, now: Millis) {
        if !self.settings.limits.ramp_up {
            return;
        }
        let place = self.place_for(server);
        let ramp = Ramp::new(server.entry.slots, place, now);
        server.with_ramp(|current| *current = Some(ramp));
        let inputs = [
            ("limit", ramp.limit(now)),
            ("slots", f64::from(server.entry.slots)),
            ("rank", place.rank as f64),
            ("hosts", place.hosts as f64),
        ];
        self.log_event("server_ramp_started", &server.entry.name, why, &inputs);
    }

    /// The slow start of a server; `None` if there is none. Ends it if it is over.
    fn ramp(&self, server: &Server, now: Millis) -> Option<Ramp> {
        let mut ramp = server.with_ramp(|current| *current)?;
        let place = self.place_for(server);
        if ramp.place() != place {
            ramp.set_place(place);
            server.with_ramp(|current| {
                if let Some(current) = current {
                    current.set_place(place);
                }
            });
        }
        let Some(end) = ramp.end(now) else {
            return Some(ramp);
        };
        if server.with_ramp(Option::take).is_some() {
            let (timely, bad) = ramp.counts();
            let inputs = [
                ("limit", ramp.limit(now)),
                ("elapsed_ms", ramp.elapsed(now).as_millis() as f64),
                ("timely", f64::from(timely)),
                ("bad", f64::from(bad)),
            ];
            let name = &server.entry.name;
            self.log_event("server_ramp_ended", name, end.label(), &inputs);
        }
        None
    }

    /// Whether a server in a slow start has room for a request of this host; `None` if it is in
    /// none.
    fn ramp_room(&self, server: &Server, now: Millis) -> Option<bool> {
        let ramp = self.ramp(server, now)?;
        let load = server.load(now);
        Some(ramp.has_room(server.local_running(), load.running + load.waiting, now))
    }

    /// Removes the servers whose slow start has no room for this host, and returns them, if another
    /// one has room.
    pub(crate) fn set_aside_ramping(
        &self,
        eligible: &mut Vec<Arc<Server>>,
        now: Millis,
    ) -> Vec<Arc<Server>> {
        if !self.settings.limits.ramp_up {
            return Vec::new();
        }
        let rooms: Vec<Option<bool>> = eligible.iter().map(|it| self.ramp_room(it, now)).collect();
        if !rooms.contains(&Some(false)) {
            return Vec::new();
        }
        let has_room = |(server, room): (&Arc<Server>, &Option<bool>)| {
            room.unwrap_or_else(|| {
                let load = server.load(now);
                load.running + load.waiting < f64::from(server.entry.slots)
            })
        };
        if !eligible.iter().zip(&rooms).any(has_room) {
            return Vec::new();
        }
        let mut rooms = rooms.into_iter();
        eligible
            .extract_if(.., |_| rooms.next() == Some(Some(false)))
            .collect()
    }

    /// Makes servers whose slow start has no room look full, as those that are left compete by how
    /// far they are above what they take.
    pub(crate) fn narrow_ramping(
        &self,
        servers: &[Arc<Server>],
        views: &mut [ServerView],
        now: Millis,
    ) {
        if !self.settings.limits.ramp_up {
            return;
        }
        for (server, view) in servers.iter().zip(views) {
            if self.ramp_room(server, now) != Some(false) {
                continue;
            }
            if let Some(ramp) = self.ramp(server, now) {
                // Other hosts' parts are taken to be in use: this host may have no recent report.
                let limit = ramp.limit(now).min(view.slots).max(1.0);
                let own = f64::from(server.local_running());
                view.slots = limit;
                view.running = view.running.max(limit + own);
            }
        }
    }

    /// Records that this host sends a request to the server.
    pub(crate) fn record_ramp_sent(&self, server: &Server, now: Millis) {
        if !self.settings.limits.ramp_up {
            return;
        }
        server.with_ramp(|ramp| {
            if let Some(ramp) = ramp {
                ramp.record_sent(now);
            }
        });
    }

    /// Records the latency of a response and what was expected, milliseconds. Without an
    /// expectation, it tells only that the server answers.
    pub(crate) fn record_ramp_latency(
        &self,
        server: &Server,
        latency_ms: f64,
        expected_ms: Option<f64>,
        now: Millis,
    ) {
        let expected_ms = expected_ms.unwrap_or(latency_ms);
        let answer = RampAnswer::of_latency(latency_ms, expected_ms);
        let sent_at = now.before(nearest_span(latency_ms / 1_000.0));
        self.record_ramp_answer(server, answer, sent_at, now);
    }

    /// Records an answer, or the lack of one, to a request sent at `sent_at`.
    pub(crate) fn record_ramp_answer(
        &self,
        server: &Server,
        answer: RampAnswer,
        sent_at: Millis,
        now: Millis,
    ) {
        if !self.settings.limits.ramp_up || server.with_ramp(|ramp| ramp.is_none()) {
            return;
        }
        let running = server.load(now).running;
        server.with_ramp(|ramp| {
            if let Some(ramp) = ramp {
                ramp.record(answer, running, sent_at, now);
            }
        });
    }

    /// Number of servers in a slow start.
    pub(crate) fn ramping_servers(&self, now: Millis) -> usize {
        let servers = self.servers.all();
        let is_ramping = |server: &&Arc<Server>| self.ramp(server, now).is_some();
        servers.iter().filter(is_ramping).count()
    }
}
