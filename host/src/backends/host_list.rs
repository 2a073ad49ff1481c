//! Polls the platform's host list for backend servers and entry hosts.

use std::time::Duration;

use clementinearch_border::HostRole;
use clementinearch_policy::names::Name;
use clementinearch_storage::{HostSource, UnreadableItem};

use crate::{clock, host_state::HostState};

/// Polling interval of a host that is a relay of its zone. The list itself lags by more than this.
const RELAY_INTERVAL: Duration = Duration::from_secs(2);

/// Polling interval of other hosts. They learn sooner from their peers which servers are leaving.
const INTERVAL: Duration = Duration::from_secs(20);

/// Polling interval after a failure, and while no server is known.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Entries that cannot be read, as of the last poll.
#[derive(Default)]
struct Findings(Vec<UnreadableItem>);

impl Findings {
    /// Logs the entries that were readable or absent before.
    fn replace(&mut self, unreadable: &[UnreadableItem]) {
        for item in unreadable.iter().filter(|item| !self.0.contains(item)) {
            log::warn!("host list: entry {} is left out: {}", item.key, item.why);
        }
        self.0 = unreadable.to_vec();
    }
}

/// Polls the list and updates servers and members until graceful shutdown begins.
pub(crate) fn run(state: &HostState, source: &dyn HostSource) {
    let mut findings = Findings::default();
    while !state.is_stopping() {
        let pause = match source.hosts() {
            Ok(list) => {
                findings.replace(&list.unreadable);
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
                    RELAY_INTERVAL
                } else {
                    INTERVAL
                }
            }
            Err(e) => {
                metrics::counter!("clementinearch_store_failures_total", "purpose" => "hosts")
                    .increment(1);
                log::debug!("the host list could not be read: {e}");
                RETRY_INTERVAL
            }
        };
        // At start, the list may not yet contain this host or its servers.
        let pause = if state.servers.is_empty() {
            RETRY_INTERVAL
        } else {
            pause
        };
        state.wait_or_stop(pause);
    }
}
