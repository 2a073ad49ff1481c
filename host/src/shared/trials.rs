//! Trials of suspect requests: for each server one host sees to it that no two suspects share it.

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
};

/// When to come back while every server is taken by another suspect.
const TRIAL_RETRY: Duration = Duration::from_secs(2);

/// Longest wait for a server that no other suspect uses.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Pause before all servers are asked for again.
const ASK_PAUSE: Duration = Duration::from_millis(100);

/// Servers asked for in one round.
const MAX_ASKED: usize = 16;

/// Suspects as this host knows them, and the trials it arbitrates.
pub(crate) struct Trials {
    state: Arc<HostState>,
    clients: Arc<PeerClients>,
    suspects: Mutex<CrashSuspects>,
}

/// A server reserved for one suspect, given back on drop, also when the caller left.
pub(crate) struct Trial {
    trials: Arc<Trials>,
    content: u64,
    pub(crate) server: Arc<Server>,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let (trials, content, server) = (self.trials.clone(), self.content, self.server.clone());
        tokio::spawn(async move { trials.end(content, &server).await });
    }
}

impl Trials {
    /// Nothing is suspect yet.
    pub(crate) fn new(state: Arc<HostState>, clients: Arc<PeerClients>) -> Self {
        Self {
            state,
            clients,
            suspects: Mutex::default(),
        }
    }

    /// How a content stands, as a refusal if it is convicted.
    pub(crate) fn is_suspect(&self, content: u64) -> Result<bool, Refusal> {
        let now = clock::now();
        match self.suspects.lock().status(content, now) {
            ContentStatus::Clear => Ok(false),
            ContentStatus::Suspect => Ok(true),
            ContentStatus::Blocked(until) => {
                let message = "this content crashed backend servers and is refused for a time";
                let refusal = Refusal::may_have_run(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    "crashes_servers",
                    message,
                );
                Err(refusal.with_retry_after(until.since(now)))
            }
        }
    }

    /// Reserves a server for a suspect; `servers` stand in the order of preference.
    pub(crate) async fn begin(
        self: &Arc<Self>,
        content: u64,
        servers: Vec<Arc<Server>>,
    ) -> Result<Trial, Refusal> {
        let given_up = Instant::now() + MAX_WAIT;
        while Instant::now() < given_up {
            for server in servers.iter().take(MAX_ASKED) {
                if self.reserve_at_arbiter(content, server).await {
                    return Ok(Trial {
                        trials: self.clone(),
                        content,
                        server: server.clone(),
                    });
                }
            }
            sleep(ASK_PAUSE).await;
        }
        let message =
            "a backend server crashed under this request and no other is free to try it again";
        let refusal = Refusal::may_have_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_server_for_trial",
            message,
        );
        Err(refusal.with_retry_after(TRIAL_RETRY))
    }

    async fn reserve_at_arbiter(&self, content: u64, server: &Server) -> bool {
        let Some(address) = self.arbiter(server) else {
            return self.reserve(content, &server.name);
        };
        let name = server.name.clone();
        let call = self.clients.call(&address, |peer| async move {
            peer.begin_trial(call_context(), content, name).await
        });
        call.await.unwrap_or(false)
    }

    /// Ends a trial. Without an answer of the arbiter the reservation runs out by itself.
    async fn end(&self, content: u64, server: &Server) {
        let name = server.name.clone();
        match self.arbiter(server) {
            Some(address) => {
                let call = self.clients.call(&address, |peer| async move {
                    peer.end_trial(call_context(), content, name).await
                });
                let _ = call.await;
            }
            None => self.free(content, &name),
        }
    }

    /// Address of the server's arbiter, a host of the server's zone whoever asks; absent if it is this host.
    fn arbiter(&self, server: &Server) -> Option<Name> {
        let members = self.state.members.lock();
        let zone = members.in_zone(&server.zone);
        let arbiter = rendezvous(&format!("trial/{}", server.name), zone.iter(), 1).pop()?;
        if arbiter == self.state.settings.name {
            return None;
        }
        members.get(&arbiter).map(|row| row.address.clone())
    }

    /// The arbiter's side of [`Trials::begin`].
    pub(crate) fn reserve(&self, content: u64, server: &Name) -> bool {
        self.suspects
            .lock()
            .begin_trial(content, server, clock::now())
    }

    /// The arbiter's side of [`Trials::end`].
    pub(crate) fn free(&self, content: u64, server: &Name) {
        self.suspects.lock().end_trial(content, server);
    }

    /// Notes that a server crashed under a content and tells the peers at once.
    pub(crate) fn note_crash(&self, content: u64, on_trial: bool) {
        metrics::counter!("clementinearch_crashes_total", "on_trial" => on_trial.to_string())
            .increment(1);
        let standing = self
            .suspects
            .lock()
            .record_crash(content, on_trial, clock::now());
        if let ContentStatus::Blocked(_) = standing {
            log::warn!(
                "content {content:016x} crashed a server on trial and is refused for a time"
            );
        }
        self.state.gossip_trigger.notify_one();
    }

    /// Notes that a suspect's answer was whole.
    pub(crate) fn clear(&self, content: u64) {
        self.suspects.lock().clear(content, clock::now());
    }

    /// What to tell a peer.
    pub(crate) fn rows(&self) -> Vec<SuspectRow> {
        self.suspects.lock().rows(clock::now())
    }

    /// Takes in what a peer says; news goes on to others at once.
    pub(crate) fn merge(&self, rows: &[SuspectRow]) {
        if self.suspects.lock().merge(rows, clock::now()) {
            self.state.gossip_trigger.notify_one();
        }
    }

    /// Forgets what is too old.
    pub(crate) fn expire(&self) {
        self.suspects.lock().expire(clock::now());
    }
}
