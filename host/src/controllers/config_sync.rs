//! Keeps the configuration in step with the store. Relays watch its head there; the other hosts get
//! it by gossip.

use std::{sync::Arc, time::Duration};

use clementinearch_border::Head;
use clementinearch_policy::{
    catalogue::{Bodies, Catalogue},
    config_head::{HEAD_KEY, body_key},
};
use clementinearch_storage::{Purpose, Store, StoreError, check_revision};

use crate::{clock, host_state::HostState};

/// Longest that a watch waits for a change of the head.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// Pause after a failed call to the store.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which a host that is no relay checks whether it has become one.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Reads and watches the store until graceful shutdown begins.
pub(crate) fn run(state: &HostState, store: &dyn Store) {
    while !state.is_stopping() {
        if !must_read_store(state) {
            state.wait_for_config_change(RELAY_CHECK_INTERVAL);
            continue;
        }
        let outcome = read_head(state, store);
        state.record_store_asked();
        let watched =
            outcome.and_then(|version| store.watch(HEAD_KEY, version, WATCH_WAIT, Purpose::Config));
        if let Err(e) = watched {
            metrics::counter!("clementinearch_store_failures_total", "purpose" => "config")
                .increment(1);
            log::debug!("the configuration could not be read: {e}");
            state.wait_or_stop(RETRY_INTERVAL);
        }
    }
}

/// Returns whether this host is a relay of its zone, has no configuration, or has never asked the
/// store. A new host asks the store even if a peer sent the configuration first, because it does
/// not become ready before it has asked.
fn must_read_store(state: &HostState) -> bool {
    if state.config_in_force().is_none() || !state.was_store_asked() {
        return true;
    }
    state.is_relay()
}

/// Reads the head and the bodies that this host lacks, and applies them unless the head is malformed,
/// older than the revision in force, or a different head of the same revision. Returns the head's
/// version in the store; 0 if there is no head.
///
/// # Errors
///
/// Returns an error if the store can't be read; nothing is applied then.
fn read_head(state: &HostState, store: &dyn Store) -> Result<u64, StoreError> {
    let asked_at = clock::now();
    let Some(found) = store.get(HEAD_KEY, Purpose::Config)? else {
        return Ok(0);
    };
    let mut head: Head = match serde_json::from_str(&found.value) {
        Ok(head) => head,
        Err(e) => {
            state.set_store_finding(Some(format!("{HEAD_KEY}: {e}")));
            return Ok(found.version);
        }
    };
    if let Err(e) = check_revision(head.revision) {
        state.set_store_finding(Some(format!("{HEAD_KEY}: {e}")));
        return Ok(found.version);
    }
    // The edits serve only the writers of the head.
    head.edits.clear();
    let current = state.config_in_force();
    let current = current.as_ref().map(|in_force| &*in_force.catalogue);
    let revision = state.revision();
    if head.revision < revision {
        let message = format!(
            "{HEAD_KEY}: revision {} in the store is lower than revision {revision} in force",
            head.revision
        );
        state.set_store_finding(Some(message));
        return Ok(found.version);
    }
    if head.revision == revision && current.is_some_and(|current| *current.head().as_ref() != head)
    {
        let message =
            format!("{HEAD_KEY}: revision {revision} was written again with different content");
        state.set_store_finding(Some(message));
        return Ok(found.version);
    }
    state.set_store_finding(None);
    let mut bodies = Bodies::default();
    for (item, digest) in Catalogue::missing_bodies(current, &head) {
        if let Some(body) = store.get(&body_key(&item, &digest), Purpose::Config)? {
            bodies.insert(digest, body.value.into());
        }
    }
    state.apply_config(Arc::new(head), &bodies, &[], clock::now());
    state.confirm(asked_at);
    Ok(found.version)
}
