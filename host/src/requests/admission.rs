//! The queue before each pool: requests run, wait their turn, or are refused at once.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    admission::{Admission, Arrival, Ticket},
    names::{FastMap, Name},
    time::Millis,
};
use hyper::StatusCode;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::{board::Board, clock, refusal::Refusal};

/// Requests admitted beyond this host's share of the servers' slots, so that no slot stays empty
/// while the balancer sends unevenly.
const HEADROOM: f64 = 1.25;

/// Limit of a pool whose servers have not reported yet.
const UNKNOWN_LIMIT: u32 = 1024;

/// Time between two readings of the pools' slots.
pub(crate) const LIMIT_PERIOD: Duration = Duration::from_secs(1);

/// One pool's admission and those who wait for it.
struct PoolQueue {
    admission: Admission,
    waiting: FastMap<Ticket, oneshot::Sender<bool>>,
}

impl PoolQueue {
    fn notify(&mut self, ticket: Ticket, may_run: bool) {
        if let Some(tx) = self.waiting.remove(&ticket) {
            // A caller that left in this moment gives its place back by itself.
            let _ = tx.send(may_run);
        }
    }
}

/// The gates of all pools.
pub(crate) struct AdmissionControl {
    board: Arc<Board>,
    pools: Mutex<FastMap<Name, PoolQueue>>,
}

/// A place in a pool, given back on drop.
pub(crate) struct Permit {
    control: Arc<AdmissionControl>,
    pool: Name,
    account: Name,
    began: Millis,
}

/// A place in the queue, given back unless its decision was heard.
struct QueuedRequest {
    control: Arc<AdmissionControl>,
    pool: Name,
    account: Name,
    ticket: Ticket,
    /// Tells whether the request may run or was evicted; absent once it has told.
    decision: Option<oneshot::Receiver<bool>>,
}

impl AdmissionControl {
    /// Gates without requests.
    pub(crate) fn new(board: Arc<Board>) -> Self {
        Self {
            board,
            pools: Mutex::default(),
        }
    }

    /// Waits for a place in the pool, or refuses at once.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        pool: &Name,
        account: &Name,
        weight: u32,
        deadline: Millis,
    ) -> Result<Permit, Refusal> {
        let mut queued = {
            let limit = self.limit_of(pool);
            let mut pools = self.pools.lock();
            let new_pool = || PoolQueue {
                admission: Admission::new(limit),
                waiting: FastMap::default(),
            };
            let queue = pools.entry(pool.clone()).or_insert_with(new_pool);
            match queue
                .admission
                .arrive(account, weight, deadline, clock::now())
            {
                Arrival::Run => return Ok(self.permit(pool, account)),
                Arrival::Refuse { retry_after } => return Err(overloaded(retry_after)),
                Arrival::Wait { ticket, evicted } => {
                    if let Some(evicted) = evicted {
                        queue.notify(evicted, false);
                    }
                    let (tx, rx) = oneshot::channel();
                    queue.waiting.insert(ticket, tx);
                    QueuedRequest {
                        control: self.clone(),
                        pool: pool.clone(),
                        account: account.clone(),
                        ticket,
                        decision: Some(rx),
                    }
                }
            }
        };
        if queued.wait().await {
            return Ok(self.permit(pool, account));
        }
        Err(overloaded(self.retry_after(pool)))
    }

    fn permit(self: &Arc<Self>, pool: &Name, account: &Name) -> Permit {
        Permit {
            control: self.clone(),
            pool: pool.clone(),
            account: account.clone(),
            began: clock::now(),
        }
    }

    fn retry_after(&self, pool: &Name) -> Duration {
        let pools = self.pools.lock();
        pools
            .get(pool)
            .map_or(Duration::ZERO, |queue| queue.admission.retry_after())
    }

    /// This host's share of a pool's slots.
    fn limit_of(&self, pool: &Name) -> u32 {
        let slots = self.board.servers.slots_of(pool);
        if slots == 0 {
            return UNKNOWN_LIMIT;
        }
        let hosts = self.board.members.lock().peers().count() + 1;
        ((f64::from(slots) * HEADROOM / hosts as f64).ceil() as u32).max(1)
    }

    /// Reads the pools' slots anew and lets in who may run now.
    pub(crate) fn refresh_limits(&self) {
        let names: Vec<Name> = self.pools.lock().keys().cloned().collect();
        for name in names {
            let limit = self.limit_of(&name);
            let mut pools = self.pools.lock();
            let Some(queue) = pools.get_mut(&name) else {
                continue;
            };
            for ticket in queue.admission.set_limit(limit) {
                queue.notify(ticket, true);
            }
            let (running, waiting) = queue.admission.load();
            metrics::gauge!("clementinearch_pool_limit", "pool" => name.to_string())
                .set(f64::from(limit));
            metrics::gauge!("clementinearch_pool_running", "pool" => name.to_string())
                .set(f64::from(running));
            metrics::gauge!("clementinearch_pool_waiting", "pool" => name.to_string())
                .set(waiting as f64);
        }
    }

    fn finish(&self, pool: &Name, account: &Name, service: Duration) {
        let mut pools = self.pools.lock();
        let Some(queue) = pools.get_mut(pool) else {
            return;
        };
        if let Some(ticket) = queue.admission.finish(account, service) {
            queue.notify(ticket, true);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let service = clock::now().since(self.began);
        self.control.finish(&self.pool, &self.account, service);
    }
}

impl QueuedRequest {
    /// Whether the request may run.
    async fn wait(&mut self) -> bool {
        let Some(decision) = &mut self.decision else {
            return false;
        };
        let may_run = decision.await.unwrap_or(false);
        self.decision = None;
        may_run
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let Some(mut decision) = self.decision.take() else {
            return;
        };
        let was_waiting = {
            let mut pools = self.control.pools.lock();
            let Some(queue) = pools.get_mut(&self.pool) else {
                return;
            };
            let was_waiting = queue.waiting.remove(&self.ticket).is_some();
            if was_waiting {
                queue.admission.leave(self.ticket);
            }
            was_waiting
        };
        // It was let in while its caller left: the place it never used is given back.
        if !was_waiting && decision.try_recv() == Ok(true) {
            self.control
                .finish(&self.pool, &self.account, Duration::ZERO);
        }
    }
}

fn overloaded(retry_after: Duration) -> Refusal {
    let message = "the pool is full and the wait would be too long";
    Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, "overloaded", message)
        .with_retry_after(retry_after)
}
