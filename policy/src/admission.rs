//! Admission to a pool: fair between accounts, by deadline within one, refused at once when the
//! wait would be too long.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    names::{FastMap, Name},
    time::Millis,
};

/// Longest expected wait for which a request is queued.
pub const MAX_WAIT: Duration = Duration::from_secs(2);

/// Shortest time after which a refused caller is told to come back.
const MIN_RETRY: Duration = Duration::from_millis(500);

/// Longest such time.
const MAX_RETRY: Duration = Duration::from_secs(30);

/// Weight of the latest service time in the running mean.
const MEAN_WEIGHT: f64 = 0.05;

/// A place in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What happens to an arriving request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It runs now.
    Run,
    /// It waits; a waiting request that is evicted for it is refused at once.
    Wait {
        /// Its place.
        ticket: Ticket,
        /// The evicted one.
        evicted: Option<Ticket>,
    },
    /// It is refused.
    Refuse {
        /// When to come back.
        retry_after: Duration,
    },
}

#[derive(Clone, Debug, Default)]
struct Account {
    weight: u32,
    running: u32,
    /// By deadline, then by arrival.
    waiting: BTreeMap<(Millis, Ticket), ()>,
}

impl Account {
    /// Requests in relation to the weight, with `more` requests added.
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

/// Admission of one host to one pool.
#[derive(Clone, Debug)]
pub struct Admission {
    limit: u32,
    running: u32,
    waiting: usize,
    next_ticket: u64,
    mean_service: f64,
    accounts: FastMap<Name, Account>,
    place_of: FastMap<Ticket, (Name, Millis)>,
}

impl Admission {
    /// Runs at most `limit` requests at once.
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            running: 0,
            waiting: 0,
            next_ticket: 0,
            mean_service: 1.0,
            accounts: FastMap::default(),
            place_of: FastMap::default(),
        }
    }

    /// Changes the limit. Returns the waiting requests that run now.
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

    /// Requests that run and that wait.
    pub fn load(&self) -> (u32, usize) {
        (self.running, self.waiting)
    }

    /// Expected time until a request behind `ahead` waiting ones runs.
    fn expected_wait(&self, ahead: usize) -> Duration {
        let seconds = (ahead + 1) as f64 * self.mean_service / f64::from(self.limit.max(1));
        Duration::from_secs_f64(seconds.min(MAX_RETRY.as_secs_f64()))
    }

    /// Decides on a request of `account`.
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
        // A light account's request goes before those of heavier ones: only lighter ones are ahead.
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

    /// When a refused caller should come back: after what waits now has run.
    pub fn retry_after(&self) -> Duration {
        self.expected_wait(self.waiting).clamp(MIN_RETRY, MAX_RETRY)
    }

    fn enqueue(&mut self, account: &Name, deadline: Millis) -> Ticket {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.accounts
            .entry(account.clone())
            .or_default()
            .waiting
            .insert((deadline, ticket), ());
        self.place_of.insert(ticket, (account.clone(), deadline));
        self.waiting += 1;
        ticket
    }

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

    /// Takes the request with the latest deadline out of an account's queue.
    fn evict_last(&mut self, account: &Name) -> Option<Ticket> {
        let ((_, ticket), ()) = self.accounts.get_mut(account)?.waiting.pop_last()?;
        self.place_of.remove(&ticket);
        self.waiting -= 1;
        Some(ticket)
    }

    /// Takes a request out of the queue whose caller left or whose deadline passed.
    pub fn cancel(&mut self, ticket: Ticket) {
        let Some((account, deadline)) = self.place_of.remove(&ticket) else {
            return;
        };
        if let Some(entry) = self.accounts.get_mut(&account) {
            entry.waiting.remove(&(deadline, ticket));
            self.waiting -= 1;
        }
        self.forget_idle(&account);
    }

    /// Notes that a request ended after `service`. Returns the waiting request that runs now.
    pub fn complete(&mut self, account: &Name, service: Duration) -> Option<Ticket> {
        self.mean_service += MEAN_WEIGHT * (service.as_secs_f64() - self.mean_service);
        self.running -= 1;
        if let Some(entry) = self.accounts.get_mut(account) {
            entry.running -= 1;
        }
        self.forget_idle(account);
        if self.running < self.limit {
            self.admit_next()
        } else {
            None
        }
    }

    /// Admits the earliest deadline of the account that runs least for its weight.
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
        self.place_of.remove(&ticket);
        self.waiting -= 1;
        self.running += 1;
        Some(ticket)
    }

    fn forget_idle(&mut self, account: &Name) {
        let is_idle = |entry: &Account| entry.running == 0 && entry.waiting.is_empty();
        if self.accounts.get(account).is_some_and(is_idle) {
            self.accounts.remove(account);
        }
    }
}
