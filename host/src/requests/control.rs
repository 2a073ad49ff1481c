//! Decisions about requests on the data path: plan and version checks, admission, the choice of
//! servers, claims, and billing.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::suspect::Standing;
use clementinearch_router::{
    AnswerBody, Asking, AttemptAt, AttemptEnd, Call, CallEnd, Choice, Choosing, Control, Permit,
    Refusal as RouterRefusal,
};
use futures::future::BoxFuture;
use hyper::Response;

use crate::{
    clock,
    refusal::Refusal,
    requests::callers::{App, list_models},
    requests::chat::{self, ChatCall},
    requests::request_head::{RequestHead, Target},
    requests::services::{self, ServiceCall},
};

/// Delay before a server whose connections broke is checked again. A dying process may still accept
/// connections for a moment, so that a single check could miss the crash.
const CRASH_RECHECK_DELAY: Duration = Duration::from_millis(50);

/// Decisions of an entry host, by its configuration and the state it shares with other hosts.
pub(crate) struct NativeControl {
    app: Arc<App>,
}

impl NativeControl {
    /// Creates the control that decides by the state in `app`.
    pub(crate) fn new(app: Arc<App>) -> Self {
        Self { app }
    }

    /// Chooses the server for a chat completion. A suspect request gets a server reserved for it.
    async fn choose_engine(
        &self,
        chat: &ChatCall,
        choosing: Choosing<'_>,
    ) -> Result<Option<Choice>, Refusal> {
        let Asking { call, now, .. } = choosing.asking;
        let (servers, trials) = (&self.app.board.servers, &self.app.shared.trials);
        if !trials.is_suspect(call.content)? {
            let server = servers.pick(&chat.pool, &chat.label, clock::now());
            return Ok(server.map(|server| Choice::of(&server.data_path_server, None, now)));
        }
        let candidates = servers.sorted_by_load(&chat.pool, &chat.label, clock::now());
        let trial = trials.begin(call.content, candidates).await?;
        let server = trial.server.data_path_server.clone();
        Ok(Some(Choice::of(&server, Some(Box::new(trial)), now)))
    }
}

impl Control for NativeControl {
    fn prepare<'a>(
        &'a self,
        call: &'a mut Call,
    ) -> BoxFuture<'a, Result<Option<Response<AnswerBody>>, RouterRefusal>> {
        Box::pin(async move {
            let Some(head) = call.head.own::<RequestHead>() else {
                return Ok(None);
            };
            match &head.target {
                Target::Models => Ok(Some(list_models(&head.caller))),
                Target::Chat => {
                    chat::prepare(&self.app, &head, call).await?;
                    Ok(None)
                }
                Target::Service(target) => {
                    Ok(services::prepare(&self.app, &head, target, call).await?)
                }
            }
        })
    }

    fn admit<'a>(&'a self, call: &'a Call) -> BoxFuture<'a, Result<Option<Permit>, RouterRefusal>> {
        Box::pin(async move {
            let Some(chat) = call.head.own::<ChatCall>() else {
                return Ok(None);
            };
            let entry = &chat.caller.entry;
            let admission = &self.app.admission;
            let admitting =
                admission.admit(&chat.pool, &entry.account, entry.weight, chat.deadline);
            Ok(Some(Box::new(admitting.await?) as Permit))
        })
    }

    fn recheck(&self, call: &Call) -> Result<(), RouterRefusal> {
        let now = clock::now();
        if let Some(chat) = call.head.own::<ChatCall>() {
            chat.recheck(&self.app, now)?;
        }
        if let Some(service) = call.head.own::<ServiceCall>() {
            service.recheck(&self.app, now)?;
        }
        Ok(())
    }

    fn choose<'a>(
        &'a self,
        choosing: Choosing<'a>,
    ) -> BoxFuture<'a, Result<Option<Choice>, RouterRefusal>> {
        Box::pin(async move {
            let Asking { call, now, .. } = choosing.asking;
            if let Some(chat) = call.head.own::<ChatCall>() {
                return Ok(self.choose_engine(&chat, choosing).await?);
            }
            let service = call.head.own::<ServiceCall>();
            let server = service.and_then(|service| service.choose(&self.app, &choosing));
            Ok(server.map(|server| Choice::of(&server.data_path_server, None, now)))
        })
    }

    fn standing(&self, _asking: Asking<'_>) -> Standing {
        // `choose` handles suspects, since it has to reserve a server for them.
        Standing::Clear
    }

    fn note_crash(&self, asking: Asking<'_>, server: AttemptAt<'_>) {
        if asking.call.head.own::<ChatCall>().is_some() {
            let trials = &self.app.shared.trials;
            trials.note_crash(asking.call.content, server.is_trial);
        }
    }

    fn second_look(&self) -> Option<Duration> {
        Some(CRASH_RECHECK_DELAY)
    }

    fn note_attempt(&self, call: &Call, at: AttemptAt<'_>, end: AttemptEnd) {
        if let Some(server) = self.app.board.servers.get(at.name) {
            match end {
                AttemptEnd::Whole => server.note_success(),
                AttemptEnd::NotRun | AttemptEnd::Broken => server.note_failure(clock::now()),
            }
        }
        if let Some(service) = call.head.own::<ServiceCall>() {
            service.end_attempt();
        }
        let Some(chat) = call.head.own::<ChatCall>() else {
            return;
        };
        chat.end_attempt(&format!("{end:?}"));
        let shared = &self.app.shared;
        if end != AttemptEnd::NotRun {
            let is_error = end == AttemptEnd::Broken;
            shared.quality.note_attempt(&chat.label, is_error);
        }
        if end == AttemptEnd::Whole && at.is_trial {
            shared.trials.clear(call.content);
        }
    }

    fn settle<'a>(&'a self, call: &'a Call, end: CallEnd<'a>) -> BoxFuture<'a, ()> {
        Box::pin(async move {
            if let Some(chat) = call.head.own::<ChatCall>() {
                let is_whole = matches!(end, CallEnd::Streamed);
                chat.record_bill(&self.app, is_whole).await;
            }
            if let Some(service) = call.head.own::<ServiceCall>() {
                service.settle(&self.app, end).await;
            }
        })
    }

    fn note_caller_left(&self, call: &Arc<Call>) {
        let Some(chat) = call.head.own::<ChatCall>() else {
            return;
        };
        let app = self.app.clone();
        tokio::spawn(async move { chat.record_bill(&app, false).await });
    }
}
