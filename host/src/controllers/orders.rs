//! Gives orders to model engines, on the one host that holds a pool's lease.

use std::time::Duration;

use clementinearch_policy::{
    names::{FastMap, FastSet, Name, rendezvous},
    orders::{LoadOrder, next_orders},
    time::Millis,
};
use clementinearch_router::connect;
use clementinearch_storage::{HeldLease, Lease, Store};
use hyper::{Method, StatusCode};
use tokio::runtime::Handle;

use crate::{backends::calls, clock, host_state::HostState};

/// Hosts of the fleet that try to hold a pool's lease.
const CANDIDATES: usize = 2;

/// Refreshes within the time of a lease.
const REFRESHES_PER_LEASE: u32 = 4;

/// Longest wait for an engine to take an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs the controller.
pub(crate) fn run(state: &HostState, store: &dyn Store, runtime: &Handle) {
    let mut leases: FastMap<Name, Lease> = FastMap::default();
    while !state.is_stopping() {
        state.wait_or_stop(state.settings.order_lease / REFRESHES_PER_LEASE);
        let pools = pools_with_orders(state);
        leases.retain(|pool, _| pools.contains(pool));
        for pool in pools {
            let lease = leases
                .entry(pool.clone())
                .or_insert_with(|| new_lease(state, &pool));
            if !is_candidate(state, &pool) && lease.held(clock::now()).is_none() {
                continue;
            }
            if let Err(e) = lease.refresh(store, clock::now()) {
                metrics::counter!("clementinearch_store_failures_total", "purpose" => "orders")
                    .increment(1);
                log::debug!("orders of {pool}: {e}");
            }
            give_orders(state, runtime, &pool, lease);
        }
    }
}

fn new_lease(state: &HostState, pool: &Name) -> Lease {
    let me = state.members.lock().local().clone();
    let holder = format!("{}/{}", me.name, me.incarnation);
    Lease::new(
        &format!("orders/{pool}"),
        &holder,
        state.settings.order_lease,
    )
}

/// Pools of models whose lists ask for replicas.
fn pools_with_orders(state: &HostState) -> FastSet<Name> {
    let Some(in_force) = state.config_in_force() else {
        return FastSet::default();
    };
    let models = in_force
        .catalogue
        .models()
        .filter(|(_, model)| model.replicas > 0);
    models.map(|(_, model)| model.pool.clone()).collect()
}

fn is_candidate(state: &HostState, pool: &Name) -> bool {
    let members = state.members.lock();
    let hosts: Vec<Name> = members.rows().into_iter().map(|row| row.name).collect();
    let alive = hosts.iter().filter(|name| members.takes_work(name));
    rendezvous(&format!("orders/{pool}"), alive, CANDIDATES).contains(&state.settings.name)
}

/// Gives the next orders of each model of the pool while the lease is surely held.
fn give_orders(state: &HostState, runtime: &Handle, pool: &Name, lease: &mut Lease) {
    let Some(held) = lease.held(clock::now()) else {
        return;
    };
    if must_wait(state, pool, held, clock::now()) {
        return;
    }
    let Some(in_force) = state.config_in_force() else {
        return;
    };
    let loaded = state.servers.loaded(pool);
    for (name, model) in in_force
        .catalogue
        .models()
        .filter(|(_, model)| model.pool == *pool)
    {
        for order in next_orders(name, model, &loaded) {
            if lease.held(clock::now()).is_none() {
                return;
            }
            let outcome = runtime.block_on(send(state, &order, held.fence));
            let verb = if order.load { "load" } else { "unload" };
            match outcome {
                Ok(StatusCode::PRECONDITION_FAILED) => {
                    log::info!("orders of {pool}: another host gives them now");
                    lease.step_down();
                    return;
                }
                Ok(status) if status.is_success() => {
                    log::info!("{} was ordered to {verb} {}", order.server, order.version)
                }
                Ok(status) => log::warn!(
                    "{} refused to {verb} {}: {status}",
                    order.server,
                    order.version
                ),
                // Orders are harmless twice: the reports tell whether it is needed again.
                Err(e) => log::debug!(
                    "{} gave no answer to {verb} {}: {e}",
                    order.server,
                    order.version
                ),
            }
        }
    }
}

/// Servers that do not check fencing numbers would also take an order of the holder before, who may
/// still believe that it holds the lease: its belief has run out after one more lease's time.
fn must_wait(state: &HostState, pool: &Name, held: HeldLease, now: Millis) -> bool {
    let is_checked = state.settings.pools_checking_fencing.contains(pool);
    !is_checked && now.since(held.since) < state.settings.order_lease
}

async fn send(state: &HostState, order: &LoadOrder, fence: u64) -> std::io::Result<StatusCode> {
    let server = state
        .servers
        .get(&order.server)
        .ok_or_else(|| std::io::Error::other("not listed"))?;
    let path = format!("/orders?fence={fence}&load={}", u8::from(order.load));
    let headers = [("x-version-name", order.version.to_string())];
    let req = calls::request(
        Method::POST,
        server.address,
        &path,
        &headers,
        Default::default(),
    )?;
    let sending = async {
        let mut connection = connect(server.address).await?;
        let (status, _) = calls::send(&mut connection, req).await?;
        Ok(status)
    };
    tokio::time::timeout(ORDER_TIMEOUT, sending)
        .await
        .map_err(std::io::Error::other)?
}
