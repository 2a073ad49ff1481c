//! The gate before each pool: requests run, wait their turn, or are refused at once.

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

/// Requests admitted beyond this host's share of the servers' slots, so that no slot stays empty
/// while the balancer sends unevenly.
const HEADROOM: f64 = 1.25;

/// Limit of a pool whose servers have not reported yet.
const UNKNOWN_LIMIT: u32 = 1024;

/// Time between two readings of the pools' slots.
pub(crate) const LIMIT_PERIOD: Duration = Duration::from_secs(1);

/// One pool's admission and those who wait for it.
struct PoolGate {
    admission: Admission,
    waiting: FastMap<Ticket, oneshot::Sender<bool>>,
}

impl PoolGate {
    fn tell(&mut self, ticket: Ticket, may_run: bool) {
        if let Some(tx) = self.waiting.remove(&ticket) {
            // A caller that left in this moment gives its place back by itself.
            let _ = tx.send(may_run);
        }
    }
}

/// The gates of all pools.
pub(crate) struct Gate {
    state: Arc<HostState>,
    pools: Mutex<FastMap<Name, PoolGate>>,
}

/// A place in a pool, given back on drop.
pub(crate) struct Permit {
    gate: Arc<Gate>,
    pool: Name,
    account: Name,
    began: Millis,
}

/// A place in the queue, given back unless its word was heard.
struct Place {
    gate: Arc<Gate>,
    pool: Name,
    account: Name,
    ticket: Ticket,
    /// Tells whether the request may run or was evicted; absent once it has told.
    word: Option<oneshot::Receiver<bool>>,
}

impl Gate {
    /// Gates without requests.
    pub(crate) fn new(state: Arc<HostState>) -> Self {
        Self {
            state,
            pools: Mutex::default(),
        }
    }

    /// Waits for a place in the pool, or refuses at once.
    pub(crate) async fn enter(
        self: &Arc<Self>,
        pool: &Name,
        account: &Name,
        weight: u32,
        deadline: Millis,
    ) -> Result<Permit, Refusal> {
        let mut place = {
            let limit = self.limit_of(pool);
            let mut pools = self.pools.lock();
            let new_gate = || PoolGate {
                admission: Admission::new(limit),
                waiting: FastMap::default(),
            };
            let gate = pools.entry(pool.clone()).or_insert_with(new_gate);
            match gate
                .admission
                .admit(account, weight, deadline, clock::now())
            {
                AdmissionDecision::Run => return Ok(self.permit(pool, account)),
                AdmissionDecision::Refuse { retry_after } => return Err(overloaded(retry_after)),
                AdmissionDecision::Wait { ticket, evicted } => {
                    if let Some(evicted) = evicted {
                        gate.tell(evicted, false);
                    }
                    let (tx, rx) = oneshot::channel();
                    gate.waiting.insert(ticket, tx);
                    Place {
                        gate: self.clone(),
                        pool: pool.clone(),
                        account: account.clone(),
                        ticket,
                        word: Some(rx),
                    }
                }
            }
        };
        if place.wait().await {
            return Ok(self.permit(pool, account));
        }
        Err(overloaded(self.retry_after(pool)))
    }

    fn permit(self: &Arc<Self>, pool: &Name, account: &Name) -> Permit {
        Permit {
            gate: self.clone(),
            pool: pool.clone(),
            account: account.clone(),
            began: clock::now(),
        }
    }

    fn retry_after(&self, pool: &Name) -> Duration {
        let pools = self.pools.lock();
        pools
            .get(pool)
            .map_or(Duration::ZERO, |gate| gate.admission.retry_after())
    }

    /// This host's share of a pool's slots.
    fn limit_of(&self, pool: &Name) -> u32 {
        let slots = self.state.servers.slots_of(pool);
        if slots == 0 {
            return UNKNOWN_LIMIT;
        }
        let hosts = self.state.members.lock().peers().count() + 1;
        ((f64::from(slots) * HEADROOM / hosts as f64).ceil() as u32).max(1)
    }

    /// Reads the pools' slots anew and lets in who may run now.
    pub(crate) fn refresh(&self) {
        let names: Vec<Name> = self.pools.lock().keys().cloned().collect();
        for name in names {
            let limit = self.limit_of(&name);
            let mut pools = self.pools.lock();
            let Some(gate) = pools.get_mut(&name) else {
                continue;
            };
            for ticket in gate.admission.set_limit(limit) {
                gate.tell(ticket, true);
            }
            let (running, waiting) = gate.admission.load();
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
        let Some(gate) = pools.get_mut(pool) else {
            return;
        };
        if let Some(ticket) = gate.admission.complete(account, service) {
            gate.tell(ticket, true);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let service = clock::now().since(self.began);
        self.gate.finish(&self.pool, &self.account, service);
    }
}

impl Place {
    /// Whether the request may run.
    async fn wait(&mut self) -> bool {
        let Some(word) = &mut self.word else {
            return false;
        };
        let may_run = word.await.unwrap_or(false);
        self.word = None;
        may_run
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let Some(mut word) = self.word.take() else {
            return;
        };
        let was_waiting = {
            let mut pools = self.gate.pools.lock();
            let Some(gate) = pools.get_mut(&self.pool) else {
                return;
            };
            let was_waiting = gate.waiting.remove(&self.ticket).is_some();
            if was_waiting {
                gate.admission.cancel(self.ticket);
            }
            was_waiting
        };
        // It was let in while its caller left: the place it never used is given back.
        if !was_waiting && word.try_recv() == Ok(true) {
            self.gate.finish(&self.pool, &self.account, Duration::ZERO);
        }
    }
}

fn overloaded(retry_after: Duration) -> Refusal {
    let message = "the pool is full and the wait would be too long";
    Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, "overloaded", message)
        .with_retry_after(retry_after)
}
