//! Admission control for a pool of servers.
//!
//! Capacity is shared fairly between accounts, and an account's requests are admitted by deadline.
//! A request whose wait would be too long is refused immediately.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    names::{FastMap, Name},
    time::{Millis, nearest_span},
};

/// Longest expected wait with which a request is queued.
pub const MAX_WAIT: Duration = Duration::from_secs(2);

/// Shortest retry delay given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Longest retry delay given to a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Weight of the latest service time in the moving average.
const LATEST_SERVICE_WEIGHT: f64 = 0.05;

/// Identifies a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Outcome for an arriving request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It may run now.
    Run,
    /// It is queued, possibly in place of another waiting request, which must be refused.
    Wait {
        /// Ticket of the queued request.
        ticket: Ticket,
        /// Ticket of the request evicted from the queue.
        evicted: Option<Ticket>,
    },
    /// It is refused.
    Refuse {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}

#[derive(Clone, Debug, Default)]
struct AccountQueue {
    weight: u32,
    running: u32,
    /// Waiting requests, ordered by deadline and then by arrival.
    waiting: BTreeMap<(Millis, Ticket), ()>,
}

impl AccountQueue {
    /// Returns the share that `requests` requests make up: their number divided by the weight.
    fn share(&self, requests: usize) -> f64 {
        requests as f64 / f64::from(self.weight.max(1))
    }

    fn running_share(&self) -> f64 {
        self.share(self.running as usize)
    }

    fn total_share(&self) -> f64 {
        self.share(self.running as usize + self.waiting.len())
    }
}

/// Admission control of one host for one pool.
#[derive(Clone, Debug)]
pub struct Admission {
    limit: u32,
    running: u32,
    waiting: usize,
    next_ticket: u64,
    mean_service_s: f64,
    accounts: FastMap<Name, AccountQueue>,
    queued: FastMap<Ticket, (Name, Millis)>,
}

impl Admission {
    /// Creates an admission control for at most `limit` concurrent requests.
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            running: 0,
            waiting: 0,
            next_ticket: 0,
            mean_service_s: 1.0,
            accounts: FastMap::default(),
            queued: FastMap::default(),
        }
    }

    /// Changes the limit and returns the waiting requests that may run now.
    pub fn set_limit(&mut self, limit: u32) -> Vec<Ticket> {
        self.limit = limit;
        let mut admitted = Vec::new();
        while self.running < self.limit {
            let Some(ticket) = self.admit_next() else {
                break;
            };
            admitted.push(ticket);
        }
        admitted
    }

    /// Returns the numbers of running and of waiting requests.
    pub fn load(&self) -> (u32, usize) {
        (self.running, self.waiting)
    }

    /// Returns the expected wait of a request with `ahead` requests before it in the queue.
    fn expected_wait(&self, ahead: usize) -> Duration {
        let seconds = (ahead + 1) as f64 * self.mean_service_s / f64::from(self.limit.max(1));
        nearest_span(seconds).min(MAX_RETRY_AFTER)
    }

    /// Admits, queues or refuses a request of `account`.
    pub fn admit(
        &mut self,
        account: &Name,
        weight: u32,
        deadline: Millis,
        now: Millis,
    ) -> AdmissionDecision {
        let entry = self.accounts.entry(account.clone()).or_default();
        entry.weight = weight;
        if self.running < self.limit && self.waiting == 0 {
            entry.running += 1;
            self.running += 1;
            return AdmissionDecision::Run;
        }
        let share = entry.share(entry.running as usize + entry.waiting.len() + 1);
        // Accounts with a larger running share are served later, so their requests are not ahead of
        // this one.
        let ahead = self
            .accounts
            .values()
            .filter(|other| other.running_share() <= share);
        let ahead: usize = ahead.map(|other| other.waiting.len()).sum();
        let wait = self.expected_wait(ahead.min(self.waiting));
        if now.after(wait) >= deadline {
            return AdmissionDecision::Refuse {
                retry_after: self.retry_after(),
            };
        }
        if self.expected_wait(self.waiting) <= MAX_WAIT {
            let ticket = self.enqueue(account, deadline);
            return AdmissionDecision::Wait {
                ticket,
                evicted: None,
            };
        }
        match self.heaviest_waiting() {
            Some((heaviest, heaviest_share)) if heaviest != *account && heaviest_share > share => {
                let evicted = self.evict_last(&heaviest);
                let ticket = self.enqueue(account, deadline);
                AdmissionDecision::Wait { ticket, evicted }
            }
            _ => AdmissionDecision::Refuse {
                retry_after: self.retry_after(),
            },
        }
    }

    /// Returns when a refused caller should retry: once the requests waiting now have run.
    pub fn retry_after(&self) -> Duration {
        self.expected_wait(self.waiting)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    fn enqueue(&mut self, account: &Name, deadline: Millis) -> Ticket {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.accounts
            .entry(account.clone())
            .or_default()
            .waiting
            .insert((deadline, ticket), ());
        self.queued.insert(ticket, (account.clone(), deadline));
        self.waiting += 1;
        ticket
    }

    /// Returns the account with the largest share among those with waiting requests.
    fn heaviest_waiting(&self) -> Option<(Name, f64)> {
        let waiting = self
            .accounts
            .iter()
            .filter(|(_, account)| !account.waiting.is_empty());
        let shares = waiting.map(|(name, account)| (name.clone(), account.total_share()));
        shares.max_by(|left, right| {
            left.1
                .total_cmp(&right.1)
                .then_with(|| left.0.cmp(&right.0))
        })
    }

    /// Removes the account's waiting request with the latest deadline.
    fn evict_last(&mut self, account: &Name) -> Option<Ticket> {
        let ((_, ticket), ()) = self.accounts.get_mut(account)?.waiting.pop_last()?;
        self.queued.remove(&ticket);
        self.waiting -= 1;
        Some(ticket)
    }

    /// Removes a request from the queue because its caller disconnected or its deadline passed.
    pub fn cancel(&mut self, ticket: Ticket) {
        let Some((account, deadline)) = self.queued.remove(&ticket) else {
            return;
        };
        if let Some(entry) = self.accounts.get_mut(&account) {
            entry.waiting.remove(&(deadline, ticket));
            self.waiting -= 1;
        }
        self.remove_if_idle(&account);
    }

    /// Records that a request ended after running for `service`, and returns the waiting request
    /// that may run now.
    pub fn complete(&mut self, account: &Name, service: Duration) -> Option<Ticket> {
        self.mean_service_s +=
            LATEST_SERVICE_WEIGHT * (service.as_secs_f64() - self.mean_service_s);
        self.running -= 1;
        if let Some(entry) = self.accounts.get_mut(account) {
            entry.running -= 1;
        }
        self.remove_if_idle(account);
        if self.running < self.limit {
            self.admit_next()
        } else {
            None
        }
    }

    /// Admits the earliest deadline of the account with the smallest running share.
    fn admit_next(&mut self) -> Option<Ticket> {
        let waiting = self
            .accounts
            .iter()
            .filter(|(_, account)| !account.waiting.is_empty());
        let lightest = waiting.min_by(|(left_name, left), (right_name, right)| {
            let by_share = left.running_share().total_cmp(&right.running_share());
            by_share.then_with(|| left_name.cmp(right_name))
        });
        let name = lightest?.0.clone();
        let account = self.accounts.get_mut(&name)?;
        let ((_, ticket), ()) = account.waiting.pop_first()?;
        account.running += 1;
        self.queued.remove(&ticket);
        self.waiting -= 1;
        self.running += 1;
        Some(ticket)
    }

    fn remove_if_idle(&mut self, account: &Name) {
        let is_idle = |entry: &AccountQueue| entry.running == 0 && entry.waiting.is_empty();
        if self.accounts.get(account).is_some_and(is_idle) {
            self.accounts.remove(account);
        }
    }
}
