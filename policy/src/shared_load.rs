//! What a host knows of a server's load from its own requests and from its peers.
//!
//! Load: a host hears from each server once in ten seconds, while all hosts together hear from it
//! several times a second. Hosts pass on to peers what is news to them; the word of the latest
//! response counts, whoever heard it, and no word counts beyond its lifetime.

use std::{collections::VecDeque, time::Duration};

use crate::{
    load_rows::{LoadRow, ServerLoad},
    names::Name,
    time::Millis,
};

/// Age up to which peers' words count, by the time of the response or of the estimate.
pub const WORD_LIFETIME: Duration = Duration::from_secs(2);

/// Time from one message to peers to the next. Three peers a period reach half of a zone of 28 hosts
/// after 0.3 s and nearly all after 0.5 s.
pub const SHARE_PERIOD: Duration = Duration::from_millis(250);

/// Number of peers in the own zone that a message goes to.
pub const NEAR_PEERS: usize = 3;

/// Mean number of hosts of a zone that send to each other zone in a period. They are chosen anew
/// each time, so that none has to be replaced when it fails.
const CROSSING_HOSTS: f64 = 3.0;

/// Most rows in a message: 1.1 KB, so that a host of 83 sends less than 15 KB/s and no datagram is
/// fragmented.
pub const MAX_ROWS: usize = 60;

/// Time for which a machine is slowed. The probability that it still is falls evenly to zero.
const SLOW_SPAN: Duration = Duration::from_millis(600);

/// Least difference that makes a word newer than another: rounding of ages and the time on the way.
const LEAST_NEWS: Duration = Duration::from_millis(20);

/// Pending prefill that is told again in each period, since it outlives its word.
const LONG_PENDING_MS: f64 = 1_000.0;

/// Most zones of which estimates are kept for a server.
const MAX_ZONES: usize = 8;

/// Most of this host's requests to one server that are remembered.
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

/// What this host itself knows of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnLoad {
    /// Load by the last response to this host, and when that came.
    pub report: Option<(ServerLoad, Millis)>,
    /// Time until the prompts of the own zone's hosts that this host knows of are prefilled,
    /// milliseconds.
    pub pending_ms: f64,
}

/// A load that a peer passed on.
#[derive(Clone, Copy, Debug)]
struct LoadWord {
    load: ServerLoad,
    /// Time of the response.
    at: Millis,
    heard_at: Millis,
    /// Number of this host's requests that had ended by then.
    ended_then: u64,
}

/// Peers' estimate of when the prompts of one zone's hosts are prefilled.
#[derive(Clone, Debug)]
struct PendingWord {
    /// The zone; none for the own one.
    zone: Option<Name>,
    until: Millis,
    estimated_at: Millis,
    heard_at: Millis,
}

impl PendingWord {
    fn is_believed(&self, now: Millis) -> bool {
        self.until > now && now.since(self.estimated_at) <= WORD_LIFETIME
    }

    fn left_ms(&self, now: Millis) -> f64 {
        self.until.since(now).as_secs_f64() * 1_000.0
    }
}

/// A request of this host.
#[derive(Clone, Copy, Debug)]
struct Begun {
    at: Millis,
    prefill_ms: f64,
}

/// A server's load as peers told it, and this host's requests since.
#[derive(Clone, Debug, Default)]
pub struct SharedLoad {
    load: Option<LoadWord>,
    pending: Vec<PendingWord>,
    /// This host's requests within the lifetime of words, oldest first.
    begun: VecDeque<Begun>,
    /// Number of this host's requests that have ended.
    ended: u64,
    /// When a prompt of the own zone's hosts was last counted.
    prompt_at: Millis,
}

impl SharedLoad {
    /// Returns what peers told, without this host's requests.
    pub fn without_requests(&self) -> Self {
        Self {
            begun: VecDeque::new(),
            ..self.clone()
        }
    }

    /// Counts a request of this host, whose prompt takes `prefill_ms` to prefill.
    pub fn begin_request(&mut self, prefill_ms: f64, now: Millis) {
        if prefill_ms > 0.0 {
            self.prompt_at = now;
        }
        let is_old = |begun: &Begun| now.since(begun.at) > WORD_LIFETIME;
        while self.begun.front().is_some_and(is_old) || self.begun.len() >= MAX_BEGUN {
            self.begun.pop_front();
        }
        self.begun.push_back(Begun {
            at: now,
            prefill_ms,
        });
    }

    /// Stops counting a request of this host.
    pub fn end_request(&mut self) {
        self.ended += 1;
    }

    fn begun_since(&self, at: Millis) -> impl Iterator<Item = &Begun> {
        self.begun.iter().filter(move |begun| begun.at > at)
    }

    /// Records that a peer of the own zone sent a prompt to the server.
    pub fn record_peer_prompt(&mut self, now: Millis) {
        self.prompt_at = now;
    }

    /// Records a row that a peer sent on the hosts of `zone`, none for the own one. Older words than
    /// the known ones have no effect.
    pub fn merge(&mut self, zone: Option<&Name>, row: &LoadRow, now: Millis) {
        if let Some((load, age)) = row.load.filter(|(_, age)| *age <= WORD_LIFETIME) {
            let at = before(now, age);
            if self
                .load
                .is_none_or(|known| at > known.at.after(LEAST_NEWS))
            {
                self.load = Some(LoadWord {
                    load,
                    at,
                    heard_at: now,
                    ended_then: self.ended,
                });
            }
        }
        if let Some((left, age)) = row.pending.filter(|(_, age)| *age <= WORD_LIFETIME) {
            self.merge_pending(PendingWord {
                zone: zone.cloned(),
                until: now.after(left),
                estimated_at: before(now, age),
                heard_at: now,
            });
        }
    }

    /// Keeps the latest end that a zone's hosts expect: each knows of a part of the prompts only.
    fn merge_pending(&mut self, word: PendingWord) {
        let now = word.heard_at;
        let known = self.pending.iter_mut().find(|it| it.zone == word.zone);
        if let Some(known) = known {
            if !known.is_believed(now) || word.until > known.until.after(LEAST_NEWS) {
                *known = word;
            }
            return;
        }
        if self.pending.len() >= MAX_ZONES {
            self.pending.retain(|it| it.is_believed(now));
        }
        if self.pending.len() < MAX_ZONES {
            self.pending.push(word);
        }
    }

    /// Load by the latest response that peers heard, its time, and the change of the number of this
    /// host's requests since. None if that is too long ago. Requests that ended while the word was on
    /// its way are still counted.
    pub fn load(&self, now: Millis) -> Option<(ServerLoad, Millis, f64)> {
        let word = self.load.filter(|it| now.since(it.at) <= WORD_LIFETIME)?;
        let begun = self.begun_since(word.at).count() as f64;
        let ended = (self.ended - word.ended_then) as f64;
        Some((word.load, word.at, begun - ended))
    }

    /// Time until all prompts that were sent to the server are prefilled, milliseconds, where this
    /// host itself knows of `own_ms` for prompts of its own zone. Zones' prompts add up, whereas
    /// hosts of one zone tell of the same prompts.
    pub fn pending_ms(&self, own_ms: f64, now: Millis) -> f64 {
        let mut zone_ms = own_ms;
        let mut others_ms = 0.0;
        for word in self.pending.iter().filter(|it| it.is_believed(now)) {
            if word.zone.is_some() {
                others_ms += word.left_ms(now);
            } else {
                let sent = self.begun_since(word.estimated_at);
                let sent_ms: f64 = sent.map(|begun| begun.prefill_ms).sum();
                zone_ms = zone_ms.max(word.left_ms(now) + sent_ms);
            }
        }
        zone_ms + others_ms
    }

    /// Returns the rows on what has become known after `since`, with the zone whose hosts' prompts
    /// they count; none for the own one, whose row has the load too.
    pub fn rows(
        &self,
        server: u32,
        own: &OwnLoad,
        since: Millis,
        now: Millis,
    ) -> Vec<(Option<Name>, LoadRow)> {
        let mut rows = Vec::new();
        let load = self.load_to_tell(own, since, now);
        let pending = self.zone_pending_to_tell(own, load.is_some(), since, now);
        if load.is_some() || pending.is_some() {
            let row = LoadRow {
                server,
                load,
                pending,
            };
            rows.push((None, row));
        }
        let others = self.pending.iter().filter(|word| word.zone.is_some());
        for word in others.filter(|it| it.heard_at > since && it.is_believed(now)) {
            let row = LoadRow {
                server,
                load: None,
                pending: Some((word.until.since(now), now.since(word.estimated_at))),
            };
            rows.push((word.zone.clone(), row));
        }
        rows
    }

    fn load_to_tell(
        &self,
        own: &OwnLoad,
        since: Millis,
        now: Millis,
    ) -> Option<(ServerLoad, Duration)> {
        let told = self.load.map(|word| (word.load, word.at, word.heard_at));
        let heard = own.report.map(|(load, at)| (load, at, at));
        let newest = [told, heard].into_iter().flatten().max_by_key(|it| it.1);
        let (load, at, heard_at) = newest?;
        let age = now.since(at);
        (heard_at > since && age <= WORD_LIFETIME).then_some((load, age))
    }

    fn zone_pending_to_tell(
        &self,
        own: &OwnLoad,
        is_told: bool,
        since: Millis,
        now: Millis,
    ) -> Option<(Duration, Duration)> {
        let is_news = is_told || self.prompt_at > since || own.pending_ms >= LONG_PENDING_MS;
        let own_ms = if is_news { own.pending_ms } else { 0.0 };
        let told = self.pending.iter().find(|word| word.zone.is_none());
        let told = told.filter(|it| (is_told || it.heard_at > since) && it.is_believed(now));
        match told {
            Some(word) if word.left_ms(now) > own_ms => {
                Some((word.until.since(now), now.since(word.estimated_at)))
            }
            _ if own_ms >= 1.0 => Some((Duration::from_millis(own_ms as u64), Duration::ZERO)),
            _ => None,
        }
    }
}

fn before(now: Millis, age: Duration) -> Millis {
    Millis(now.0.saturating_sub(age.as_millis() as u64))
}
