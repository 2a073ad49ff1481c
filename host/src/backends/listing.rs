//! Keeps the platform's host list: backend servers and entry hosts.

use std::time::Duration;

use clementinearch_border::HostRole;
use clementinearch_policy::names::Name;
use clementinearch_storage::HostSource;

use crate::{clock, host_state::HostState};

/// Time between two readings by a relay of the zone. The list itself lags longer.
const RELAY_PERIOD: Duration = Duration::from_secs(2);

/// Time between two readings by any other host. What servers say themselves reaches it sooner,
/// from its peers.
const PERIOD: Duration = Duration::from_secs(20);

/// Time after which a reading without an answer is tried again.
const RETRY: Duration = Duration::from_secs(2);

/// Runs the controller.
pub(crate) fn run(state: &HostState, source: &dyn HostSource) {
    while !state.is_stopping() {
        let pause = match source.hosts() {
            Ok(list) => {
                let now = clock::now();
                state.servers.set_listed(&list.hosts, now);
                let mut members = state.members.lock();
                let entries = list
                    .hosts
                    .iter()
                    .filter(|host| host.role == HostRole::Entry);
                members.set_listed(
                    entries
                        .clone()
                        .map(|host| host.name.as_str().into())
                        .collect(),
                );
                for host in entries {
                    let [name, zone, address]: [Name; 3] =
                        [&host.name, &host.zone, &host.address].map(|text| text.as_str().into());
                    members.add_listed(&name, &zone, &address, now);
                }
                drop(members);
                if state.is_relay() {
                    RELAY_PERIOD
                } else {
                    PERIOD
                }
            }
            Err(e) => {
                metrics::counter!("clementinearch_store_failures_total", "purpose" => "hosts")
                    .increment(1);
                log::debug!("host list: {e}");
                RETRY
            }
        };
        // A fresh host may have read the list before it was in it, or before its servers were.
        let pause = if state.servers.is_empty() {
            RETRY
        } else {
            pause
        };
        state.wait_or_stop(pause);
    }
}
