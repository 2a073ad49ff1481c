//! Sends load orders to model engines. Each pool has a lease, and only the host that holds it sends
//! orders to the pool.

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

use crate::{backends::http_client, clock, host_state::HostState};

/// Hosts of the fleet that try to acquire a pool's lease.
const CANDIDATES_PER_POOL: usize = 2;

/// Refreshes of a lease within its duration.
const REFRESHES_PER_LEASE: u32 = 4;

/// Timeout of an order to an engine.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Refreshes leases and sends orders until graceful shutdown begins.
pub(crate) fn run(state: &HostState, store: &dyn Store, runtime: &Handle) {
    let mut leases: FastMap<Name, Lease> = FastMap::default();
    while !state.is_stopping() {
        state.wait_or_stop(state.settings.order_lease / REFRESHES_PER_LEASE);
        let pools = pools_with_replicas(state);
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
                log::debug!("the lease for orders to pool {pool} could not be refreshed: {e}");
            }
            send_orders(state, runtime, &pool, lease);
        }
    }
}

fn new_lease(state: &HostState, pool: &Name) -> Lease {
    let local = state.members.lock().local().clone();
    let holder = format!("{}/{}", local.name, local.incarnation);
    Lease::new(
        &format!("orders/{pool}"),
        &holder,
        state.settings.order_lease,
    )
}

/// Returns the pools of all models that are configured with replicas.
fn pools_with_replicas(state: &HostState) -> FastSet<Name> {
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
    rendezvous(&format!("orders/{pool}"), alive, CANDIDATES_PER_POOL).contains(&state.settings.name)
}

/// Sends the next orders for each model of the pool, as long as the lease is certainly held.
fn send_orders(state: &HostState, runtime: &Handle, pool: &Name, lease: &mut Lease) {
    let Some(held) = lease.held(clock::now()) else {
        return;
    };
    if must_wait(state, pool, held, clock::now()) {
        return;
    }
    let Some(in_force) = state.config_in_force() else {
        return;
    };
    let loaded = state.servers.loaded_versions(pool);
    for (name, model) in in_force
        .catalogue
        .models()
        .filter(|(_, model)| model.pool == *pool)
    {
        for order in next_orders(name, model, &loaded) {
            if lease.held(clock::now()).is_none() {
                return;
            }
            let outcome = runtime.block_on(send_order(state, &order, held.fence));
            let verb = if order.load { "load" } else { "unload" };
            match outcome {
                Ok(StatusCode::PRECONDITION_FAILED) => {
                    log::info!(
                        "backend server {} has seen a newer fencing number: another host now holds \
                         the lease for orders to pool {pool}",
                        order.server
                    );
                    lease.step_down();
                    return;
                }
                Ok(status) if status.is_success() => {
                    log::info!(
                        "backend server {} accepted the order to {verb} {}",
                        order.server,
                        order.version
                    )
                }
                Ok(status) => log::warn!(
                    "backend server {} refused the order to {verb} {}: {status}",
                    order.server,
                    order.version
                ),
                // The order is sent again if the server's reports show that it is still needed. An
                // order that is executed twice does no harm.
                Err(e) => log::debug!(
                    "no answer from backend server {} to the order to {verb} {}: {e}",
                    order.server,
                    order.version
                ),
            }
        }
    }
}

/// Returns whether a new holder must wait before it sends orders. Servers that don't check fencing
/// numbers would also accept orders of the previous holder, which may believe that it still holds
/// the lease; one more lease duration later it no longer does.
fn must_wait(state: &HostState, pool: &Name, held: HeldLease, now: Millis) -> bool {
    let is_checked = state.settings.pools_checking_fencing.contains(pool);
    !is_checked && now.since(held.since) < state.settings.order_lease
}

/// Sends one order with the lease's fencing number, and returns the engine's status.
///
/// # Errors
///
/// Returns an error if the server is no longer listed, can't be reached, or does not answer within
/// [`ORDER_TIMEOUT`].
async fn send_order(
    state: &HostState,
    order: &LoadOrder,
    fence: u64,
) -> std::io::Result<StatusCode> {
    let server = state
        .servers
        .get(&order.server)
        .ok_or_else(|| std::io::Error::other("not listed"))?;
    let path = format!("/orders?fence={fence}&load={}", u8::from(order.load));
    let headers = [("x-version-name", order.version.to_string())];
    let req = http_client::build_request(
        Method::POST,
        server.address,
        &path,
        &headers,
        Default::default(),
    )?;
    let exchange = async {
        let mut connection = connect(server.address).await?;
        let (status, _) = http_client::send(&mut connection, req).await?;
        Ok(status)
    };
    tokio::time::timeout(ORDER_TIMEOUT, exchange)
        .await
        .map_err(std::io::Error::other)?
}
