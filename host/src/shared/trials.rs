//! Trials of suspect requests, whose content may have crashed a server. For each server one host,
//! its arbiter, makes sure that no two suspects run on it at the same time.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    crash_suspects::{ContentStatus, CrashSuspects, SuspectRow},
    names::{Name, rendezvous},
};
use hyper::StatusCode;
use parking_lot::Mutex;
use tokio::time::{Instant, sleep};

use crate::{
    backends::servers::Server,
    clock,
    host_state::HostState,
    peers::clients::{PeerClients, call_context},
    refusal::Refusal,
    shared::announcements::Announcements,
};

/// Retry delay for callers when every server is reserved for another suspect.
const TRIAL_RETRY: Duration = Duration::from_secs(2);

/// Longest wait until a server can be reserved for a suspect.
const MAX_RESERVATION_WAIT: Duration = Duration::from_secs(30);

/// Pause between two rounds of reservation attempts.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Most servers tried in one round.
const SERVERS_PER_ROUND: usize = 16;

/// Suspects known to this host, and the trials that it arbitrates.
pub(crate) struct Trials {
    state: Arc<HostState>,
    clients: Arc<PeerClients>,
    suspects: Mutex<CrashSuspects>,
    /// Content that this host has blocked last, until that is announced.
    unannounced_block: Mutex<Option<u64>>,
    announcements: Announcements,
}

/// A server reserved for one suspect. It is released on drop, also if the caller disconnects.
pub(crate) struct Trial {
    trials: Arc<Trials>,
    content_hash: u64,
    pub(crate) server: Arc<Server>,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let (trials, content_hash, server) =
            (self.trials.clone(), self.content_hash, self.server.clone());
        tokio::spawn(async move { trials.end(content_hash, &server).await });
    }
}

impl Trials {
    /// Creates the state of a host that knows no suspects.
    pub(crate) fn new(
        state: Arc<HostState>,
        clients: Arc<PeerClients>,
        announcements: Announcements,
    ) -> Self {
        Self {
            state,
            clients,
            suspects: Mutex::default(),
            unannounced_block: Mutex::default(),
            announcements,
        }
    }

    /// Returns whether a content is suspect.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the content is blocked because it crashed a server on trial.
    pub(crate) fn is_suspect(&self, content_hash: u64) -> Result<bool, Refusal> {
        let now = clock::now();
        match self.suspects.lock().status(content_hash, now) {
            ContentStatus::Clear => Ok(false),
            ContentStatus::Suspect => Ok(true),
            ContentStatus::Blocked(until) => {
                let message =
                    "this request's content crashed backend servers and is temporarily blocked";
                let refusal = Refusal::may_have_run(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    "crashes_servers",
                    message,
                );
                Err(refusal.with_retry_after(until.since(now)))
            }
        }
    }

    /// Reserves a server for a suspect, preferring those at the front of `servers`.
    ///
    /// # Errors
    ///
    /// Returns a refusal with status 503 if no server becomes free within [`MAX_RESERVATION_WAIT`].
    pub(crate) async fn begin(
        self: &Arc<Self>,
        content_hash: u64,
        servers: Vec<Arc<Server>>,
    ) -> Result<Trial, Refusal> {
        let give_up_at = Instant::now() + MAX_RESERVATION_WAIT;
        while Instant::now() < give_up_at {
            for server in servers.iter().take(SERVERS_PER_ROUND) {
                if self.reserve_at_arbiter(content_hash, server).await {
                    return Ok(Trial {
                        trials: self.clone(),
                        content_hash,
                        server: server.clone(),
                    });
                }
            }
            sleep(ROUND_PAUSE).await;
        }
        let message =
            "a backend server crashed while running this request and no other is free for a retry";
        let refusal = Refusal::may_have_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_server_for_trial",
            message,
        );
        Err(refusal.with_retry_after(TRIAL_RETRY))
    }

    /// Asks the server's arbiter for a reservation. Returns whether it was granted.
    async fn reserve_at_arbiter(&self, content_hash: u64, server: &Server) -> bool {
        let Some(address) = self.arbiter(server) else {
            return self.reserve(content_hash, &server.name);
        };
        let name = server.name.clone();
        let call = self.clients.call(&address, |peer| async move {
            peer.begin_trial(call_context(), content_hash, name).await
        });
        call.await.unwrap_or(false)
    }

    /// Releases the server of a trial. If the arbiter can't be reached, the reservation expires.
    async fn end(&self, content_hash: u64, server: &Server) {
        let name = server.name.clone();
        match self.arbiter(server) {
            Some(address) => {
                let call = self.clients.call(&address, |peer| async move {
                    peer.end_trial(call_context(), content_hash, name).await
                });
                let _ = call.await;
            }
            None => self.release(content_hash, &name),
        }
    }

    /// Returns the address of the server's arbiter, or `None` if that is this host. The arbiter is a
    /// host of the server's zone, and the same for all hosts that agree on the zone's hosts. If no
    /// host of that zone is known, this host is the arbiter.
    fn arbiter(&self, server: &Server) -> Option<Name> {
        let members = self.state.members.lock();
        let zone = members.in_zone(&server.zone);
        let arbiter = rendezvous(&format!("trial/{}", server.name), zone.iter(), 1).pop()?;
        if arbiter == self.state.settings.name {
            return None;
        }
        members.get(&arbiter).map(|row| row.address.clone())
    }

    /// Reserves a server that this host arbitrates. Returns whether it was free.
    pub(crate) fn reserve(&self, content_hash: u64, server: &Name) -> bool {
        self.suspects
            .lock()
            .begin_trial(content_hash, server, clock::now())
    }

    /// Releases a server that this host arbitrates.
    pub(crate) fn release(&self, content_hash: u64, server: &Name) {
        self.suspects.lock().end_trial(content_hash, server);
    }

    /// Records that a server crashed while running a content, and triggers a gossip round.
    pub(crate) fn record_crash(&self, content_hash: u64, on_trial: bool) {
        metrics::counter!("clementinearch_crashes_total", "on_trial" => on_trial.to_string())
            .increment(1);
        let status = self
            .suspects
            .lock()
            .record_crash(content_hash, on_trial, clock::now());
        if let ContentStatus::Blocked(_) = status {
            *self.unannounced_block.lock() = Some(content_hash);
            log::warn!(
                "content {content_hash:016x} crashed a server on trial and is temporarily blocked"
            );
        }
        self.state.gossip_trigger.notify_one();
    }

    /// Announces a block by this host, unless that has been done. The caller of the blocked request
    /// may come to another host as soon as it is refused here.
    pub(crate) async fn announce_block(&self, content_hash: u64) {
        if self.take_unannounced_block(content_hash) {
            self.announcements.announce().await;
        }
    }

    fn take_unannounced_block(&self, content_hash: u64) -> bool {
        let mut block = self.unannounced_block.lock();
        block.take_if(|content| *content == content_hash).is_some()
    }

    /// Clears a suspect whose response was completed.
    pub(crate) fn clear(&self, content_hash: u64) {
        self.suspects.lock().clear(content_hash, clock::now());
    }

    /// Returns the suspects to send to a peer.
    pub(crate) fn rows(&self) -> Vec<SuspectRow> {
        self.suspects.lock().rows(clock::now())
    }

    /// Merges the suspects from a peer, and triggers a gossip round if that changed any.
    pub(crate) fn merge(&self, rows: &[SuspectRow]) {
        if self.suspects.lock().merge(rows, clock::now()) {
            self.state.gossip_trigger.notify_one();
        }
    }

    /// Removes entries that have expired.
    pub(crate) fn expire(&self) {
        self.suspects.lock().expire(clock::now());
    }
}
