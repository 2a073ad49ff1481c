//! What a host knows of a server's load from its own requests and from its peers.
//!
//! Load: a host hears from each server once in ten seconds, while all hosts together hear from it
//! several times a second. Hosts pass on to peers what is news to them; the report with
//! the latest response counts, whoever got it, and none counts beyond its lifetime.

use std::{collections::VecDeque, time::Duration};

use crate::{
    load_rows::{LoadRow, ServerLoad},
    time::Millis,
};

/// Age up to which peers' reports count, by the time of the response or of the estimate.
pub const PEER_REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Time from one message to peers to the next. In a simulated fleet of 83 hosts two thirds of a zone
/// know a response after 0.5 s, and four fifths of the hosts of other zones after 1 s.
pub const SHARE_PERIOD: Duration = Duration::from_millis(250);

/// Number of peers in the own zone that a message goes to.
pub const NEAR_PEERS: usize = 3;

/// Mean number of hosts of a zone that send to each other zone in a period. They are chosen anew
/// each time, so that none has to be replaced when it fails.
const CROSSING_HOSTS: f64 = 3.0;

/// Most rows in a message: 0.8 KB, so that a host of 83 sends less than 15 KB/s, prompts included,
/// and no datagram is fragmented.
pub const MAX_ROWS: usize = 44;

/// Prefill from which all hosts are told of a prompt at once: rows come too late for the requests
/// that would be sent behind it in the next half second.
pub const LONG_PREFILL: Duration = Duration::from_millis(100);

/// Largest number of peers in a zone that are told of a long prompt at once.
pub const LONG_PREFILL_PEERS: usize = 32;

/// Time after which the number of running requests that a server named tells little. Hosts that
/// all prefer the server with the lowest old number overrun it.
const RUNNING_SPAN: Duration = Duration::from_millis(300);

/// Time for which the duration of work that a server names tells of the next request. The figure
/// changes many times a second: believed for 600 ms, it sent requests away from servers that were no
/// longer slowed.
const SLOW_SPAN: Duration = Duration::from_millis(100);

/// Least difference that makes a report newer than another: rounding of ages and the time on the way.
const LEAST_NEWS: Duration = Duration::from_millis(20);

/// Pending prefill that is told again in each period, since it outlives its report.
const LONG_PENDING_MS: f64 = 1_000.0;

/// Number of hosts that are told of all prompts for a server, so that one may fail.
pub const TRACKERS: usize = 2;

/// Most requests to one server that are remembered.
const MAX_BEGUN: usize = 256;

/// Probability that a host of a zone of `zone_hosts` sends to another zone in a period.
pub fn crossing_probability(zone_hosts: usize) -> f64 {
    (CROSSING_HOSTS / zone_hosts.max(1) as f64).min(1.0)
}

/// Returns the factor on the duration of work, at least one, from the percentage that a server named
/// in a response of this age.
pub fn slowdown_factor(percent: u32, age: Duration) -> f64 {
    let probability = 1.0 - (age.as_secs_f64() / SLOW_SPAN.as_secs_f64()).min(1.0);
    1.0 + (f64::from(percent) / 100.0 - 1.0).max(0.0) * probability
}

/// Number of servers, chosen at random, of which a host of a large fleet takes the best. Hosts that
/// know the same would all choose the same server before they hear of each other's requests.
const SAMPLED_SERVERS: usize = 8;

/// Number of hosts from which on servers are sampled.
const MIN_SAMPLING_HOSTS: usize = 32;

/// Number of servers that a host of a fleet of `hosts` compares for a request.
pub fn sample_size(hosts: usize) -> usize {
    if hosts < MIN_SAMPLING_HOSTS {
        usize::MAX
    } else {
        SAMPLED_SERVERS
    }
}

/// Returns the estimated number of running requests, which approaches the mean of the pool with the
/// age of the load; an unknown age stands for no load.
pub fn settled_running(running: f64, mean: f64, age: Option<Duration>) -> f64 {
    let weight = age.map_or(0.0, |age| {
        (-age.as_secs_f64() / RUNNING_SPAN.as_secs_f64()).exp()
    });
    mean + (running - mean) * weight
}

/// What this host itself knows of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnLoad {
    /// Load by the last response to this host, and when that came.
    pub report: Option<(ServerLoad, Millis)>,
    /// Time until the prompts that this host knows of are prefilled, milliseconds, if it is a tracker
    /// of the server: hosts tell trackers of all prompts, and others of a part of them.
    pub pending_ms: Option<f64>,
}

/// A load that a peer passed on.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    load: ServerLoad,
    /// Time of the response.
    at: Millis,
    heard_at: Millis,
    /// Number of this host's requests that had ended by then.
    ended_then: u64,
}

/// An estimate of when all prompts that were sent to the server are prefilled.
#[derive(Clone, Copy, Debug)]
struct PendingEstimate {
    until: Millis,
    estimated_at: Millis,
    heard_at: Millis,
}

impl PendingEstimate {
    fn is_believed(&self, now: Millis) -> bool {
        self.until > now && now.since(self.estimated_at) <= PEER_REPORT_LIFETIME
    }

    fn left_ms(&self, now: Millis) -> f64 {
        self.until.since(now).as_secs_f64() * 1_000.0
    }
}

/// A request that was sent to the server.
#[derive(Clone, Copy, Debug)]
struct Begun {
    at: Millis,
    prefill_ms: f64,
    /// Whether this host sent it.
    is_own: bool,
}

/// A server's load as peers reported it, and this host's requests since.
#[derive(Clone, Debug, Default)]
pub struct SharedLoad {
    load: Option<PeerLoad>,
    pending: Option<PendingEstimate>,
    /// Requests of this host, and peers' that it heard of, within the lifetime of reports, oldest first.
    begun: VecDeque<Begun>,
    /// Number of this host's requests that have ended.
    ended: u64,
    /// When a prompt was last counted.
    prompt_at: Millis,
}

impl SharedLoad {
    /// Returns what peers reported, without this host's requests.
    pub fn without_requests(&self) -> Self {
        Self {
            begun: VecDeque::new(),
            ..self.clone()
        }
    }

    /// Counts a request of this host, whose prompt takes `prefill_ms` to prefill.
    pub fn begin_request(&mut self, prefill_ms: f64, now: Millis) {
        self.record_begun(prefill_ms, true, now);
    }

    /// Records that a peer sent a prompt that takes `prefill_ms` to prefill.
    pub fn record_peer_prompt(&mut self, prefill_ms: f64, now: Millis) {
        self.record_begun(prefill_ms, false, now);
    }

    fn record_begun(&mut self, prefill_ms: f64, is_own: bool, now: Millis) {
        if prefill_ms > 0.0 {
            self.prompt_at = now;
        }
        let is_old = |begun: &Begun| now.since(begun.at) > PEER_REPORT_LIFETIME;
        while self.begun.front().is_some_and(is_old) || self.begun.len() >= MAX_BEGUN {
            self.begun.pop_front();
        }
        self.begun.push_back(Begun {
            at: now,
            prefill_ms,
            is_own,
        });
    }

    /// Stops counting a request of this host.
    pub fn end_request(&mut self) {
        self.ended += 1;
    }

    fn begun_since(&self, at: Millis) -> impl Iterator<Item = &Begun> {
        self.begun.iter().filter(move |begun| begun.at > at)
    }

    /// Whether a prompt was counted after `since`.
    pub fn has_new_prompt(&self, since: Millis) -> bool {
        self.prompt_at > since
    }

    /// Records a row that a peer sent. Older reports than the known ones have no effect. Returns whether
    /// the response that the row tells of was a failure, if it is news.
    pub fn merge(&mut self, row: &LoadRow, now: Millis) -> Option<bool> {
        let mut has_failed = None;
        if let Some((load, age)) = row.load.filter(|(_, age)| *age <= PEER_REPORT_LIFETIME) {
            let at = now.before(age);
            if self
                .load
                .is_none_or(|known| at > known.at.after(LEAST_NEWS))
            {
                self.load = Some(PeerLoad {
                    load,
                    at,
                    heard_at: now,
                    ended_then: self.ended,
                });
                has_failed = load.has_failed;
            }
        }
        if let Some((left, age)) = row.pending.filter(|(_, age)| *age <= PEER_REPORT_LIFETIME) {
            self.merge_pending(PendingEstimate {
                until: now.after(left),
                estimated_at: now.before(age),
                heard_at: now,
            });
        }
        has_failed
    }

    /// Keeps the latest end that trackers expect: one that has just started does not know of all
    /// prompts.
    fn merge_pending(&mut self, estimate: PendingEstimate) {
        let is_news = self.pending.is_none_or(|known| {
            let is_newer = estimate.estimated_at > known.estimated_at.after(LEAST_NEWS);
            !known.is_believed(estimate.heard_at)
                || estimate.until > known.until.after(LEAST_NEWS)
                || is_newer && estimate.until.after(LEAST_NEWS) > known.until
        });
        if is_news {
            self.pending = Some(estimate);
        }
    }

    /// The report of a peer that counts now.
    fn report(&self, now: Millis) -> Option<PeerLoad> {
        self.load
            .filter(|it| now.since(it.at) <= PEER_REPORT_LIFETIME)
    }

    /// Whether a report of a peer counts now.
    pub fn is_reported(&self, now: Millis) -> bool {
        self.report(now).is_some()
    }

    /// Load by the latest response that peers heard, its time, and the change of the number of this
    /// host's requests since. None if that is too long ago. Requests that ended while the report was on
    /// its way are still counted.
    pub fn load(&self, now: Millis) -> Option<(ServerLoad, Millis, f64)> {
        let report = self.report(now)?;
        let begun = self.begun_since(report.at);
        let begun = begun.filter(|begun| begun.is_own).count() as f64;
        let ended = (self.ended - report.ended_then) as f64;
        Some((report.load, report.at, begun - ended))
    }

    /// Time until all prompts that were sent to the server are prefilled, milliseconds, where this
    /// host itself knows of `own_ms`. Prompts since a tracker's estimate are added to it.
    pub fn pending_ms(&self, own_ms: f64, now: Millis) -> f64 {
        let Some(estimate) = self.pending.filter(|it| it.is_believed(now)) else {
            return own_ms;
        };
        let since = self.begun_since(estimate.estimated_at);
        let since_ms: f64 = since.map(|begun| begun.prefill_ms).sum();
        own_ms.max(estimate.left_ms(now) + since_ms)
    }

    /// Returns the row on what has become known after `since`, if anything has.
    pub fn row(&self, server: u32, own: &OwnLoad, since: Millis, now: Millis) -> Option<LoadRow> {
        let load = self.load_for_peers(own, since, now);
        let pending = self.pending_for_peers(own, since, now);
        (load.is_some() || pending.is_some()).then_some(LoadRow {
            server,
            load,
            pending,
        })
    }

    fn load_for_peers(
        &self,
        own: &OwnLoad,
        since: Millis,
        now: Millis,
    ) -> Option<(ServerLoad, Duration)> {
        let from_peers = self
            .load
            .map(|report| (report.load, report.at, report.heard_at));
        let heard = own.report.map(|(load, at)| (load, at, at));
        let newest = [from_peers, heard]
            .into_iter()
            .flatten()
            .max_by_key(|it| it.1);
        let (load, at, heard_at) = newest?;
        let age = now.since(at);
        (heard_at > since && age <= PEER_REPORT_LIFETIME).then_some((load, age))
    }

    fn pending_for_peers(
        &self,
        own: &OwnLoad,
        since: Millis,
        now: Millis,
    ) -> Option<(Duration, Duration)> {
        let is_reported = |ms: &f64| self.has_new_prompt(since) || *ms >= LONG_PENDING_MS;
        let own_ms = own.pending_ms.filter(is_reported).unwrap_or(0.0);
        let from_peers = self.pending.filter(|it| it.heard_at > since);
        match from_peers.filter(|it| it.is_believed(now)) {
            Some(estimate) if estimate.left_ms(now) > own_ms => {
                Some((estimate.until.since(now), now.since(estimate.estimated_at)))
            }
            _ if own_ms >= 1.0 => Some((Duration::from_millis(own_ms as u64), Duration::ZERO)),
            _ => None,
        }
    }
}
