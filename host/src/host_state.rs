//! The blackboard: what the controllers of one host read and write.

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

/// Hosts of a zone that read the platform for the others.
const RELAYS_PER_ZONE: usize = 2;

/// The configuration in force and since when.
#[derive(Clone)]
pub(crate) struct ConfigInForce {
    pub(crate) catalogue: Arc<Catalogue>,
    pub(crate) since: Millis,
}

/// The blackboard of one host.
pub(crate) struct HostState {
    pub(crate) settings: Settings,
    pub(crate) signer: SessionSigner,
    pub(crate) members: Mutex<MembershipTable>,
    pub(crate) servers: Servers,
    /// Wakes the gossip controller when there is news to spread.
    pub(crate) gossip_trigger: Notify,
    in_force: RwLock<Option<ConfigInForce>>,
    newest_heard: AtomicU64,
    confirmed_at: AtomicU64,
    store_asked: AtomicBool,
    peers_asked: AtomicBool,
    stopping: AtomicBool,
    store_finding: Mutex<Option<String>>,
    config_changed: (Sender<()>, Receiver<()>),
    /// Its sender is dropped when a planned stop begins, which ends all waits.
    running: Mutex<Option<Sender<()>>>,
    stopped: Receiver<()>,
}

impl HostState {
    /// An empty state.
    pub(crate) fn new(settings: Settings, now: Millis) -> Self {
        let (running, stopped) = bounded(0);
        let me = Member {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            address: settings.advertised_peers.to_string().into(),
            incarnation: incarnation(now, fastrand::u16(..)),
            refutation: 0,
            state: MemberState::Alive,
        };
        Self {
            signer: SessionSigner::new(settings.session_secret.clone()),
            members: Mutex::new(MembershipTable::new(me)),
            servers: Servers::new(settings.name.clone(), settings.zone.clone()),
            gossip_trigger: Notify::new(),
            in_force: RwLock::default(),
            newest_heard: AtomicU64::default(),
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

    /// The configuration in force, if there is one.
    pub(crate) fn config_in_force(&self) -> Option<ConfigInForce> {
        self.in_force.read().clone()
    }

    /// Revision in force; zero before the first.
    pub(crate) fn revision(&self) -> u64 {
        self.in_force
            .read()
            .as_ref()
            .map_or(0, |in_force| in_force.catalogue.revision())
    }

    /// Offers a configuration. Returns whether it is in force now and was not before.
    pub(crate) fn apply_config(
        &self,
        head: Arc<Head>,
        bodies: &Bodies,
        fallbacks: &[Fallback],
        now: Millis,
    ) -> bool {
        self.note_known_revision(head.revision);
        let mut in_force = self.in_force.write();
        let current = in_force.as_ref().map(|in_force| &*in_force.catalogue);
        let Advance::Applied(catalogue) = Catalogue::advance(current, head, bodies, fallbacks)
        else {
            return false;
        };
        let repaired = current.is_some_and(|current| current.revision() == catalogue.revision());
        let same = current.is_some_and(|current| {
            current.findings() == catalogue.findings()
                && current.items_in_force() == catalogue.items_in_force()
        });
        if repaired && same {
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
        // A change that waits to be seen already stands for this one too.
        let _ = self.config_changed.0.try_send(());
        true
    }

    /// Notes that a revision exists somewhere.
    pub(crate) fn note_known_revision(&self, revision: u64) {
        self.newest_heard.fetch_max(revision, Ordering::Relaxed);
    }

    /// Highest revision heard of.
    pub(crate) fn newest_known_revision(&self) -> u64 {
        self.newest_heard.load(Ordering::Relaxed)
    }

    /// Notes that the revision in force was the newest one at `at`.
    pub(crate) fn confirm(&self, at: Millis) {
        self.confirmed_at.fetch_max(at.0, Ordering::Relaxed);
    }

    /// When the revision in force was last known to be the newest one.
    pub(crate) fn confirmed_at(&self) -> Millis {
        Millis(self.confirmed_at.load(Ordering::Relaxed))
    }

    /// Whether the configuration is fresh enough to serve versions in roll-out.
    pub(crate) fn view_is_fresh(&self, now: Millis) -> bool {
        now.since(self.confirmed_at()) <= self.settings.view_lifetime
    }

    /// Sets or clears what is wrong with the head in the store.
    pub(crate) fn set_store_finding(&self, finding: Option<String>) {
        let mut current = self.store_finding.lock();
        if *current != finding {
            if let Some(finding) = &finding {
                log::warn!("{finding}");
            }
            *current = finding;
        }
    }

    /// All findings on the configuration, as text.
    pub(crate) fn findings(&self) -> Vec<String> {
        let in_force = self.config_in_force();
        let items = in_force
            .iter()
            .flat_map(|in_force| in_force.catalogue.findings().0.iter());
        let mut findings: Vec<String> = items.map(ToString::to_string).collect();
        findings.extend(self.store_finding.lock().clone());
        findings
    }

    /// Notes that the store was asked once, with or without an answer.
    pub(crate) fn note_store_asked(&self) {
        self.store_asked.store(true, Ordering::Relaxed);
    }

    /// Whether the store was asked once.
    pub(crate) fn was_store_asked(&self) -> bool {
        self.store_asked.load(Ordering::Relaxed)
    }

    /// Notes that peers were asked once, with or without an answer.
    pub(crate) fn note_peers_asked(&self) {
        self.peers_asked.store(true, Ordering::Relaxed);
    }

    /// Whether the host takes new work, or why not.
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

    /// Whether this host reads the platform for its zone.
    pub(crate) fn is_relay(&self) -> bool {
        let members = self.members.lock();
        let zone = members.in_zone(&self.settings.zone);
        rendezvous("relay", zone.iter(), RELAYS_PER_ZONE).contains(&self.settings.name)
    }

    /// Address at which peers reach the host of this name.
    pub(crate) fn peer_address(&self, host: &str) -> Option<Name> {
        self.members.lock().get(host).map(|row| row.address.clone())
    }

    /// Begins the planned stop.
    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.running.lock().take();
        self.members.lock().set_local_state(MemberState::Leaving);
        self.gossip_trigger.notify_one();
    }

    /// Whether a planned stop began.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Waits for a change of the configuration or a planned stop, at most for `wait`.
    pub(crate) fn wait_for_config_change(&self, wait: Duration) {
        select! {
            recv(self.config_changed.1) -> _ => {}
            recv(self.stopped) -> _ => {}
            default(wait) => {}
        }
    }

    /// Waits for `wait`, or until a planned stop begins.
    pub(crate) fn wait_or_stop(&self, wait: Duration) {
        // Nothing is ever sent: the channel ends, or the time does.
        let _ = self.stopped.recv_timeout(wait);
    }
}
