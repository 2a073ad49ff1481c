//! State of one host, shared by its controllers and its request handling.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use clementinearch_border::Head;
use clementinearch_policy::{
    catalogue::{Advance, Bodies, Catalogue, Fallback},
    membership::{Member, MemberState, MembershipTable, incarnation},
    names::{Name, rendezvous},
    session::SessionSigner,
    time::Millis,
};
use crossbeam::{
    channel::{Receiver, Sender, bounded},
    select,
};
use parking_lot::{Mutex, RwLock};
use tokio::sync::Notify;

use crate::{backends::servers::Servers, settings::Settings};

/// Hosts of a zone that read the store and the host list for the others.
const RELAYS_PER_ZONE: usize = 2;

/// The configuration in force, and when it came into force.
#[derive(Clone)]
pub(crate) struct ConfigInForce {
    pub(crate) catalogue: Arc<Catalogue>,
    pub(crate) since: Millis,
}

/// State that the controllers and the request handling of a host share.
pub(crate) struct HostState {
    pub(crate) settings: Settings,
    pub(crate) signer: SessionSigner,
    pub(crate) members: Mutex<MembershipTable>,
    pub(crate) servers: Servers,
    /// Triggers a gossip round before its time, when there is a change to spread.
    pub(crate) gossip_trigger: Notify,
    in_force: RwLock<Option<ConfigInForce>>,
    /// Highest revision known to exist.
    newest_known_revision: AtomicU64,
    /// When the revision in force was last known to be the newest one, Unix time in milliseconds.
    confirmed_at: AtomicU64,
    store_asked: AtomicBool,
    peers_asked: AtomicBool,
    stopping: AtomicBool,
    /// Why the head in the store was not applied, if it is invalid.
    store_finding: Mutex<Option<String>>,
    /// Holds one message while a change of the configuration waits to be seen.
    config_changed: (Sender<()>, Receiver<()>),
    /// Sender of `stopped`. It is dropped when graceful shutdown begins, which ends all waits.
    running: Mutex<Option<Sender<()>>>,
    stopped: Receiver<()>,
}

impl HostState {
    /// Creates the state of a host that knows no configuration, servers or peers yet.
    pub(crate) fn new(settings: Settings, now: Millis) -> Self {
        let (running, stopped) = bounded(0);
        let local = Member {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            address: settings.advertised_peers.to_string().into(),
            incarnation: incarnation(now, fastrand::u16(..)),
            refutation: 0,
            state: MemberState::Alive,
        };
        Self {
            signer: SessionSigner::new(settings.session_secret.clone()),
            members: Mutex::new(MembershipTable::new(local)),
            servers: Servers::new(settings.name.clone(), settings.zone.clone()),
            gossip_trigger: Notify::new(),
            in_force: RwLock::default(),
            newest_known_revision: AtomicU64::default(),
            confirmed_at: AtomicU64::default(),
            store_asked: AtomicBool::default(),
            peers_asked: AtomicBool::default(),
            stopping: AtomicBool::default(),
            store_finding: Mutex::default(),
            config_changed: bounded(1),
            running: Mutex::new(Some(running)),
            stopped,
            settings,
        }
    }

    /// Returns the configuration in force, if there is one.
    pub(crate) fn config_in_force(&self) -> Option<ConfigInForce> {
        self.in_force.read().clone()
    }

    /// Returns the revision in force; 0 before the first.
    pub(crate) fn revision(&self) -> u64 {
        self.in_force
            .read()
            .as_ref()
            .map_or(0, |in_force| in_force.catalogue.revision())
    }

    /// Applies a configuration if it is newer than the one in force or repairs its findings.
    /// Returns whether anything changed.
    pub(crate) fn apply_config(
        &self,
        head: Arc<Head>,
        bodies: &Bodies,
        fallbacks: &[Fallback],
        now: Millis,
    ) -> bool {
        self.record_known_revision(head.revision);
        let mut in_force = self.in_force.write();
        let current = in_force.as_ref().map(|in_force| &*in_force.catalogue);
        let Advance::Applied(catalogue) = Catalogue::advance(current, head, bodies, fallbacks)
        else {
            return false;
        };
        let same_revision =
            current.is_some_and(|current| current.revision() == catalogue.revision());
        let same_outcome = current.is_some_and(|current| {
            current.findings() == catalogue.findings()
                && current.items_in_force() == catalogue.items_in_force()
        });
        if same_revision && same_outcome {
            return false;
        }
        for finding in &catalogue.findings().0 {
            log::warn!("configuration revision {}: {finding}", catalogue.revision());
        }
        log::info!(
            "configuration revision {} is in force",
            catalogue.revision()
        );
        metrics::gauge!("clementinearch_config_revision").set(catalogue.revision() as f64);
        metrics::gauge!("clementinearch_config_findings").set(catalogue.findings().0.len() as f64);
        *in_force = Some(ConfigInForce {
            catalogue: Arc::from(catalogue),
            since: now,
        });
        drop(in_force);
        self.gossip_trigger.notify_one();
        // The channel is full if an earlier change has not been seen yet; one message is enough for
        // both.
        let _ = self.config_changed.0.try_send(());
        true
    }

    /// Records that a revision exists on some host or in the store.
    pub(crate) fn record_known_revision(&self, revision: u64) {
        self.newest_known_revision
            .fetch_max(revision, Ordering::Relaxed);
    }

    /// Returns the highest revision known to exist.
    pub(crate) fn newest_known_revision(&self) -> u64 {
        self.newest_known_revision.load(Ordering::Relaxed)
    }

    /// Records that the revision in force was the newest one at the time `at`.
    pub(crate) fn confirm(&self, at: Millis) {
        self.confirmed_at.fetch_max(at.0, Ordering::Relaxed);
    }

    /// Returns when the revision in force was last known to be the newest one; 0 if it never was.
    pub(crate) fn confirmed_at(&self) -> Millis {
        Millis(self.confirmed_at.load(Ordering::Relaxed))
    }

    /// Returns whether the configuration was confirmed recently enough to serve versions in
    /// rollout.
    pub(crate) fn view_is_fresh(&self, now: Millis) -> bool {
        now.since(self.confirmed_at()) <= self.settings.view_lifetime
    }

    /// Sets or clears the finding on the head in the store, and logs a new one.
    pub(crate) fn set_store_finding(&self, finding: Option<String>) {
        let mut current = self.store_finding.lock();
        if *current != finding {
            if let Some(finding) = &finding {
                log::warn!("{finding}");
            }
            *current = finding;
        }
    }

    /// Returns all findings on the configuration as text.
    pub(crate) fn findings(&self) -> Vec<String> {
        let in_force = self.config_in_force();
        let items = in_force
            .iter()
            .flat_map(|in_force| in_force.catalogue.findings().0.iter());
        let mut findings: Vec<String> = items.map(ToString::to_string).collect();
        findings.extend(self.store_finding.lock().clone());
        findings
    }

    /// Records that the store was asked, whether or not it responded.
    pub(crate) fn record_store_asked(&self) {
        self.store_asked.store(true, Ordering::Relaxed);
    }

    /// Returns whether the store was ever asked, whether or not it responded.
    pub(crate) fn was_store_asked(&self) -> bool {
        self.store_asked.load(Ordering::Relaxed)
    }

    /// Records that peers were asked, whether or not they replied.
    pub(crate) fn record_peers_asked(&self) {
        self.peers_asked.store(true, Ordering::Relaxed);
    }

    /// Checks whether the host accepts new requests.
    ///
    /// # Errors
    ///
    /// Returns the reason why it does not.
    pub(crate) fn readiness(&self) -> Result<(), &'static str> {
        if self.is_stopping() {
            return Err("planned stop");
        }
        let asked =
            self.store_asked.load(Ordering::Relaxed) && self.peers_asked.load(Ordering::Relaxed);
        if !asked {
            return Err("store and peers not asked yet");
        }
        if self.in_force.read().is_none() {
            return Err("no configuration yet");
        }
        Ok(())
    }

    /// Returns whether this host is one of the relays, which read the store and the host list for
    /// their zone.
    pub(crate) fn is_relay(&self) -> bool {
        let members = self.members.lock();
        let zone = members.in_zone(&self.settings.zone);
        rendezvous("relay", zone.iter(), RELAYS_PER_ZONE).contains(&self.settings.name)
    }

    /// Returns the address for calls to the host with this name, if it is known.
    pub(crate) fn peer_address(&self, host: &str) -> Option<Name> {
        self.members.lock().get(host).map(|row| row.address.clone())
    }

    /// Begins graceful shutdown: ends all waits and announces that the host is leaving.
    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.running.lock().take();
        self.members.lock().set_local_state(MemberState::Leaving);
        self.gossip_trigger.notify_one();
    }

    /// Returns whether graceful shutdown has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Waits up to `wait` for a change of the configuration or the beginning of graceful shutdown.
    pub(crate) fn wait_for_config_change(&self, wait: Duration) {
        select! {
            recv(self.config_changed.1) -> _ => {}
            recv(self.stopped) -> _ => {}
            default(wait) => {}
        }
    }

    /// Waits for `wait`, or until graceful shutdown begins.
    pub(crate) fn wait_or_stop(&self, wait: Duration) {
        // Nothing is ever sent: the call returns after the time-out, or when the sender is dropped.
        let _ = self.stopped.recv_timeout(wait);
    }
}
