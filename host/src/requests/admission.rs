//! Admission control for each pool: a request runs, waits in a queue, or is refused at once.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    admission::{Admission, AdmissionDecision, Ticket},
    names::{FastMap, Name},
    time::Millis,
};
use hyper::StatusCode;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::{clock, host_state::HostState, refusal::Refusal};

/// Factor by which a host's limit exceeds its equal share of the servers' slots, so that no slot
/// stays unused when the load balancer spreads requests unevenly over the hosts.
const HEADROOM: f64 = 1.25;

/// Concurrent requests allowed in a pool whose servers have not reported their slots yet.
const DEFAULT_LIMIT: u32 = 1024;

/// Interval at which limits are adapted to the slots that servers report.
pub(crate) const LIMIT_PERIOD: Duration = Duration::from_secs(1);

/// Admission state of one pool.
struct PoolQueue {
    admission: Admission,
    /// Channels on which queued requests receive whether they may run.
    waiting: FastMap<Ticket, oneshot::Sender<bool>>,
}

impl PoolQueue {
    fn notify(&mut self, ticket: Ticket, may_run: bool) {
        if let Some(tx) = self.waiting.remove(&ticket) {
            // If the caller has just disconnected, dropping its `QueuedRequest` frees the slot.
            let _ = tx.send(may_run);
        }
    }
}

/// Admission control of this host for all pools.
pub(crate) struct AdmissionControl {
    state: Arc<HostState>,
    pools: Mutex<FastMap<Name, PoolQueue>>,
}

/// Permission to run one request in a pool. Its slot is freed on drop.
pub(crate) struct Permit {
    control: Arc<AdmissionControl>,
    pool: Name,
    account: Name,
    started_at: Millis,
}

/// A request in a pool's queue. If it is dropped before it received its decision, it is removed from
/// the queue or its slot is freed.
struct QueuedRequest {
    control: Arc<AdmissionControl>,
    pool: Name,
    account: Name,
    ticket: Ticket,
    /// Receives whether the request may run (`true`) or was evicted; `None` after that.
    decision: Option<oneshot::Receiver<bool>>,
}

impl AdmissionControl {
    /// Creates the admission control of a host that runs no requests yet.
    pub(crate) fn new(state: Arc<HostState>) -> Self {
        Self {
            state,
            pools: Mutex::default(),
        }
    }

    /// Waits until the request may run. `weight` is the account's share relative to others.
    ///
    /// # Errors
    ///
    /// Returns a refusal with status 429 and a retry delay if the request can't be queued or is
    /// evicted from the queue.
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
                .admit(account, weight, deadline, clock::now())
            {
                AdmissionDecision::Run => return Ok(self.permit(pool, account)),
                AdmissionDecision::Refuse { retry_after } => return Err(overloaded(retry_after)),
                AdmissionDecision::Wait { ticket, evicted } => {
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
            started_at: clock::now(),
        }
    }

    fn retry_after(&self, pool: &Name) -> Duration {
        let pools = self.pools.lock();
        pools
            .get(pool)
            .map_or(Duration::ZERO, |queue| queue.admission.retry_after())
    }

    /// Computes how many requests this host may run in a pool at once.
    fn limit_of(&self, pool: &Name) -> u32 {
        let slots = self.state.servers.slots_of(pool);
        if slots == 0 {
            return DEFAULT_LIMIT;
        }
        let hosts = self.state.members.lock().peers().count() + 1;
        ((f64::from(slots) * HEADROOM / hosts as f64).ceil() as u32).max(1)
    }

    /// Adapts the limit of each pool to its servers' slots and starts queued requests that now fit.
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

    /// Frees a slot and starts the next queued request. `service_time` is the time that the finished
    /// request took.
    fn finish(&self, pool: &Name, account: &Name, service_time: Duration) {
        let mut pools = self.pools.lock();
        let Some(queue) = pools.get_mut(pool) else {
            return;
        };
        if let Some(ticket) = queue.admission.complete(account, service_time) {
            queue.notify(ticket, true);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let service_time = clock::now().since(self.started_at);
        self.control.finish(&self.pool, &self.account, service_time);
    }
}

impl QueuedRequest {
    /// Waits for the decision. Returns whether the request may run.
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
                queue.admission.cancel(self.ticket);
            }
            was_waiting
        };
        // The request was admitted just as its caller disconnected: the unused slot is freed.
        if !was_waiting && decision.try_recv() == Ok(true) {
            self.control
                .finish(&self.pool, &self.account, Duration::ZERO);
        }
    }
}

fn overloaded(retry_after: Duration) -> Refusal {
    let message = "the pool is full and the expected wait is too long";
    Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, "overloaded", message)
        .with_retry_after(retry_after)
}
