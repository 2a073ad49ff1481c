//! Trials of suspect requests: one host of the zone sees to it that no two suspects share a server.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::{
    names::{Name, rendezvous},
    suspect::{Standing, SuspectRow, Suspects},
};
use hyper::StatusCode;
use parking_lot::Mutex;

use crate::{
    board::Board,
    clock,
    peers::{PeerClients, call_context},
    refusal::Refusal,
    servers::Server,
};

/// When to come back while every server is taken by another suspect.
const TRIAL_RETRY: Duration = Duration::from_secs(2);

/// Suspects as this host knows them, and the trials it arbitrates.
pub(crate) struct Trials {
    board: Arc<Board>,
    clients: Arc<PeerClients>,
    suspects: Mutex<Suspects>,
}

/// A server reserved for one suspect.
pub(crate) struct Trial {
    content: u64,
    pub(crate) server: Arc<Server>,
}

impl Trials {
    /// Nothing is suspect yet.
    pub(crate) fn new(board: Arc<Board>, clients: Arc<PeerClients>) -> Self {
        Self {
            board,
            clients,
            suspects: Mutex::default(),
        }
    }

    /// How a content stands, as a refusal if it is convicted.
    pub(crate) fn is_suspect(&self, content: u64) -> Result<bool, Refusal> {
        let now = clock::now();
        match self.suspects.lock().standing(content, now) {
            Standing::Clear => Ok(false),
            Standing::Suspect => Ok(true),
            Standing::Convicted(until) => {
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
        &self,
        content: u64,
        servers: Vec<Arc<Server>>,
    ) -> Result<Trial, Refusal> {
        let names: Vec<Name> = servers.iter().map(|server| server.name.clone()).collect();
        let name = match self.arbiter() {
            Some(address) => {
                let call = self.clients.call(&address, |peer| async move {
                    peer.begin_trial(call_context(), content, names).await
                });
                call.await.ok().flatten()
            }
            None => self.reserve(content, &names),
        };
        let server = name.and_then(|name| servers.into_iter().find(|server| server.name == name));
        server.map(|server| Trial { content, server }).ok_or_else(|| {
            let message = "a backend server crashed under this request and no other is free to try it again";
            let refusal = Refusal::may_have_run(StatusCode::SERVICE_UNAVAILABLE, "no_server_for_trial", message);
            refusal.with_retry_after(TRIAL_RETRY)
        })
    }

    /// Ends a trial.
    pub(crate) async fn end(&self, trial: Trial) {
        let (content, server) = (trial.content, trial.server.name.clone());
        match self.arbiter() {
            Some(address) => {
                let call = self.clients.call(&address, |peer| async move {
                    peer.end_trial(call_context(), content, server).await
                });
                // Without an answer the reservation runs out by itself.
                let _ = call.await;
            }
            None => self.free(content, &server),
        }
    }

    /// Address of the zone's arbiter; absent if it is this host.
    fn arbiter(&self) -> Option<Name> {
        let members = self.board.members.lock();
        let zone = members.in_zone(&self.board.settings.zone);
        let arbiter = rendezvous("trials", zone.iter(), 1).pop()?;
        if arbiter == self.board.settings.name {
            return None;
        }
        members.get(&arbiter).map(|row| row.address.clone())
    }

    /// The arbiter's side of [`Trials::begin`].
    pub(crate) fn reserve(&self, content: u64, servers: &[Name]) -> Option<Name> {
        self.suspects
            .lock()
            .begin_trial(content, servers, clock::now())
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
            .note_crash(content, on_trial, clock::now());
        if let Standing::Convicted(_) = standing {
            log::warn!(
                "content {content:016x} crashed a server on trial and is refused for a time"
            );
        }
        self.board.news.notify_one();
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
            self.board.news.notify_one();
        }
    }

    /// Forgets what is too old.
    pub(crate) fn expire(&self) {
        self.suspects.lock().expire(clock::now());
    }
}
