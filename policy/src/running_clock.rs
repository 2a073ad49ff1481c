//! Time in which this host ran. While its event loop stands still, because a task takes long or the
//! process is frozen or gets no processor, bytes may wait unread: that is no silence of others.

use std::{collections::VecDeque, time::Duration};

use crate::time::Millis;

/// Time between two ticks of a clock.
pub const TICK_PERIOD: Duration = Duration::from_millis(50);

/// Lateness of a tick from which the loop counts as having stood still.
const MIN_STALL: Duration = Duration::from_millis(10);

/// How long stalls are remembered: longer than any limit of silence.
const MEMORY: Duration = Duration::from_secs(60);

/// Tells when the event loop stood still, from ticks that the loop itself makes.
#[derive(Clone, Debug, Default)]
pub struct RunningClock {
    last_tick: Option<Millis>,
    /// Begin and end of each stall, oldest first.
    stalls: VecDeque<(Millis, Millis)>,
}

impl RunningClock {
    /// Records a tick. Returns for how long the loop stood still before it.
    pub fn tick(&mut self, now: Millis) -> Duration {
        let stall = self.current_stall(now);
        self.last_tick = Some(now);
        while self
            .stalls
            .front()
            .is_some_and(|(_, end)| now.since(*end) > MEMORY)
        {
            self.stalls.pop_front();
        }
        let Some(begin) = stall else {
            return Duration::ZERO;
        };
        self.stalls.push_back((begin, now));
        now.since(begin)
    }

    /// Time from `since` to `now` in which the loop ran.
    pub fn ran_since(&self, since: Millis, now: Millis) -> Duration {
        let current = self.current_stall(now).map(|begin| (begin, now));
        let known = self.stalls.iter().rev().copied();
        let stalled: Duration = current
            .into_iter()
            .chain(known)
            .take_while(|(_, end)| *end > since)
            .map(|(begin, end)| end.min(now).since(begin.max(since)))
            .sum();
        now.since(since).saturating_sub(stalled)
    }

    /// End of the last stall of at least `span`; `now` if it still lasts.
    pub fn last_stall_end(&self, span: Duration, now: Millis) -> Option<Millis> {
        let current = self.current_stall(now).map(|begin| (begin, now));
        let known = self.stalls.iter().rev().copied();
        let mut stalls = current.into_iter().chain(known);
        let (_, end) = stalls.find(|(begin, end)| end.since(*begin) >= span)?;
        Some(end)
    }

    /// Begin of the stall that lasts until `now`, if the next tick is late.
    fn current_stall(&self, now: Millis) -> Option<Millis> {
        let due = self.last_tick?.after(TICK_PERIOD);
        (now.since(due) >= MIN_STALL).then_some(due)
    }
}
