//! Slow start: how many requests a host sends at once to a server that has started or recovered.
//!
//! Such a server looks idle to all hosts at once, so that they would flood it. Each host estimates
//! how many requests the server takes at once from the whole fleet, and keeps to its part of that.
//! Parts are dealt by rank, so that they add up to the limit without messages between the hosts.
//! A host that gets answers raises the limit with each timely one and halves it with a bad one; a
//! host whose part is too small for any request raises it with time alone.

use std::time::Duration;

use crate::time::Millis;

/// Requests at once from all hosts together with which a ramp begins. One alone would leave the
/// estimate to a single host, which may be stopping.
const FIRST_LIMIT: f64 = 2.0;

/// Least limit, at which one host tries one request at a time.
const MIN_LIMIT: f64 = 1.0;

/// Factor by which a timely answer raises the limit.
const GROWTH: f64 = 1.5;

/// Factor by which a bad answer lowers the limit.
const CUT: f64 = 0.5;

/// Time in which the limit of a host without answers doubles, up to the number of slots.
const DOUBLING: Duration = Duration::from_secs(2);

/// Time in which that limit grows by the number of slots from there on. A server that is still slow
/// gets its first requests from the other hosts of a large fleet over many seconds.
const SLOTS_TIME: Duration = Duration::from_secs(1);

/// Time after a request was sent for which the limit doesn't grow with time: its answer decides. It
/// is bounded since requests may end without one.
const ANSWER_WAIT: Duration = Duration::from_secs(10);

/// Time after a cut for which the limit doesn't grow with time. It doubles with each further cut
/// without a timely answer in between: many hosts that try a slow server again would be a flood.
const FIRST_HOLD: Duration = Duration::from_secs(2);
const MAX_HOLD_DOUBLINGS: u32 = 5;

/// Least time between two cuts: several bad answers at once tell of one overload.
const CUT_SPACING: Duration = Duration::from_secs(1);

/// Longest ramp of the host of the first rank; that of the last one is twice as long, so that not
/// all hosts turn at once to a server that stays slow.
const MIN_LONGEST: Duration = Duration::from_secs(60);

/// Multiples of the expected latency up to which an answer is timely, and above which it is late.
/// Shared machines slow a warm server by a factor of 2.5 at times.
const TIMELY_RATIO: f64 = 1.5;
const LATE_RATIO: f64 = 3.0;

/// Latency up to which no answer is late, milliseconds: the connection and the host's own delay
/// prevail below.
const MIN_LATE_MS: f64 = 50.0;

/// What an answer tells about a server in a ramp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RampAnswer {
    /// It came about as fast as expected.
    Timely,
    /// It came later than expected, but not late enough to tell overload from chance.
    Unclear,
    /// It came far too late, the server refused the request, or it failed.
    Bad,
}

impl RampAnswer {
    /// Judges the time until an answer, or its first event, by what is usual; both in milliseconds.
    pub fn of_latency(latency_ms: f64, expected_ms: f64) -> Self {
        if latency_ms <= (expected_ms * TIMELY_RATIO).max(MIN_LATE_MS) {
            Self::Timely
        } else if latency_ms > expected_ms * LATE_RATIO {
            Self::Bad
        } else {
            Self::Unclear
        }
    }
}

/// A host's place among all hosts that are known, in an order that depends on the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostPlace {
    /// Number of hosts before this one.
    pub rank: usize,
    /// Number of hosts, this one included.
    pub hosts: usize,
}

impl HostPlace {
    /// Returns this host's part of a number of requests, which is rounded down. The parts of all
    /// hosts add up to it.
    pub fn part(self, limit: f64) -> u32 {
        let (limit, hosts) = (limit as usize, self.hosts.max(1));
        (limit / hosts + usize::from(self.rank < limit % hosts)) as u32
    }
}

/// Why a ramp has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RampEnd {
    /// The last answer was timely, and the limit gives each host a part and fills the slots.
    Grown,
    /// It has lasted as long as a ramp may. Other rules deal with a server that is still slow.
    Expired,
}

impl RampEnd {
    /// The word for log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Grown => "grown",
            Self::Expired => "expired",
        }
    }
}

/// One host's estimate of what a server takes after its start or recovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ramp {
    began_at: Millis,
    /// Requests at once from all hosts together, at `limit_at`.
    limit: f64,
    limit_at: Millis,
    /// Until when the limit doesn't grow with time.
    held_until: Millis,
    cut_at: Option<Millis>,
    /// Cuts since the last timely answer.
    cuts_in_row: u32,
    slots: f64,
    place: HostPlace,
    timely: u32,
    bad: u32,
}

impl Ramp {
    /// Begins the ramp of a server with `slots` slots.
    pub fn new(slots: u32, place: HostPlace, now: Millis) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            began_at: now,
            limit: FIRST_LIMIT.min(slots),
            limit_at: now,
            held_until: now,
            cut_at: None,
            cuts_in_row: 0,
            slots,
            place,
            timely: 0,
            bad: 0,
        }
    }

    /// The host's place as last set.
    pub fn place(&self) -> HostPlace {
        self.place
    }

    /// Sets the host's place after the number of hosts has changed.
    pub fn set_place(&mut self, place: HostPlace) {
        self.place = place;
    }

    /// Limit at which the ramp ends: with fewer requests than hosts, some have no part.
    fn ceiling(&self) -> f64 {
        self.slots.max(self.place.hosts as f64)
    }

    /// Requests at once that the server is taken to bear from all hosts together.
    pub fn limit(&self, now: Millis) -> f64 {
        let growing = now.since(self.limit_at.max(self.held_until));
        let doublings = growing.as_secs_f64() / DOUBLING.as_secs_f64();
        let until_slots = (self.slots / self.limit).max(1.0).log2();
        let grown = if doublings <= until_slots {
            self.limit * doublings.exp2()
        } else {
            let rest = DOUBLING.as_secs_f64() * (doublings - until_slots);
            self.limit.max(self.slots) + self.slots * rest / SLOTS_TIME.as_secs_f64()
        };
        grown.min(self.ceiling())
    }

    /// Whether this host, of which `own` requests run on the server, may send another one. `total`
    /// are the requests of all hosts as far as the server's reports tell. Above the number of slots
    /// the limit only gives more hosts a part.
    pub fn has_room(&self, own: u32, total: f64, now: Millis) -> bool {
        let limit = self.limit(now);
        own < self.place.part(limit) && total < limit.min(self.slots)
    }

    /// Records that this host sends a request, whose answer is waited for.
    pub fn record_sent(&mut self, now: Millis) {
        self.settle(now);
        self.held_until = self.held_until.max(now.after(ANSWER_WAIT));
    }

    /// Records an answer to a request that was sent at `sent_at`; `running` are the requests that
    /// the server says it runs. Answers to requests from before the last cut tell nothing new.
    pub fn record(&mut self, answer: RampAnswer, running: f64, sent_at: Millis, now: Millis) {
        self.settle(now);
        let since_cut = self.cut_at.map(|at| (sent_at < at, now.since(at)));
        match answer {
            RampAnswer::Timely if !since_cut.is_some_and(|(is_old, _)| is_old) => {
                self.timely += 1;
                // The reported requests of all hosts are borne, even if this host sees few answers.
                // A false report can raise the limit to the number of slots at most.
                let borne = running.clamp(0.0, self.slots);
                self.limit = (self.limit * GROWTH).max(borne).min(self.ceiling());
                self.held_until = now;
                self.cuts_in_row = 0;
            }
            RampAnswer::Bad
                if since_cut.is_none_or(|(is_old, span)| !is_old && span >= CUT_SPACING) =>
            {
                self.bad += 1;
                // What was given to hosts beyond the slots doesn't count as capacity.
                self.limit = (self.limit.min(self.slots) * CUT).max(MIN_LIMIT);
                self.cut_at = Some(now);
                let doublings = self.cuts_in_row.min(MAX_HOLD_DOUBLINGS);
                self.held_until = now.after(FIRST_HOLD * (1 << doublings));
                self.cuts_in_row += 1;
            }
            _ => {}
        }
    }

    fn settle(&mut self, now: Millis) {
        self.limit = self.limit(now);
        self.limit_at = now;
    }

    /// Why the ramp is over; `None` if it goes on.
    pub fn end(&self, now: Millis) -> Option<RampEnd> {
        let later = self.place.rank as f64 / self.place.hosts.max(1) as f64;
        // Time alone doesn't show that the server takes more.
        let is_shown = self.timely > 0 && self.cuts_in_row == 0;
        if is_shown && self.limit(now) >= self.ceiling() {
            Some(RampEnd::Grown)
        } else if now.since(self.began_at) >= MIN_LONGEST.mul_f64(1.0 + later.min(1.0)) {
            Some(RampEnd::Expired)
        } else {
            None
        }
    }

    /// Time since the ramp began.
    pub fn elapsed(&self, now: Millis) -> Duration {
        now.since(self.began_at)
    }

    /// Timely and bad answers that were counted.
    pub fn counts(&self) -> (u32, u32) {
        (self.timely, self.bad)
    }
}
