//! Decisions about requests on the data path: plan and version checks, admission, the choice of
//! servers, claims, and billing.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::crash_suspects::ContentStatus;
use clementinearch_router::{
    AttemptEnd, AttemptTarget, Call, CallEnd, ChosenServer, Permit, Refusal as RouterRefusal,
    RequestContext, RequestHooks, ResponseBody, ServerQuery,
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

/// Hooks of an entry host. They decide by its configuration and the state shared with other hosts.
pub(crate) struct NativeHooks {
    app: Arc<App>,
}

impl NativeHooks {
    /// Creates the hooks that decide by the state in `app`.
    pub(crate) fn new(app: Arc<App>) -> Self {
        Self { app }
    }

    /// Chooses the server for a chat completion. A suspect request gets a server reserved for it.
    async fn choose_engine(
        &self,
        chat: &ChatCall,
        query: ServerQuery<'_>,
    ) -> Result<Option<ChosenServer>, Refusal> {
        let RequestContext { call, now, .. } = query.context;
        let (servers, trials) = (&self.app.state.servers, &self.app.shared.trials);
        let is_suspect = match trials.is_suspect(call.content_hash) {
            Ok(is_suspect) => is_suspect,
            Err(refusal) => {
                trials.announce_block(call.content_hash).await;
                return Err(refusal);
            }
        };
        if !is_suspect {
            let server = servers.pick(&chat.pool, &chat.label, clock::now());
            return Ok(server.map(|server| ChosenServer::new(&server.data_path_server, None, now)));
        }
        let candidates = servers.sorted_by_load(&chat.pool, &chat.label, clock::now());
        let trial = trials.begin(call.content_hash, candidates).await?;
        let server = trial.server.data_path_server.clone();
        Ok(Some(ChosenServer::new(&server, Some(Box::new(trial)), now)))
    }
}

impl RequestHooks for NativeHooks {
    fn prepare<'a>(
        &'a self,
        call: &'a mut Call,
    ) -> BoxFuture<'a, Result<Option<Response<ResponseBody>>, RouterRefusal>> {
        Box::pin(async move {
            let Some(head) = call.head.dialect_data::<RequestHead>() else {
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
            let Some(chat) = call.head.dialect_data::<ChatCall>() else {
                return Ok(None);
            };
            let entry = &chat.caller.entry;
            let admission = &self.app.admission;
            let admitting =
                admission.admit(&chat.pool, &entry.account, entry.weight, chat.deadline);
            Ok(Some(Box::new(admitting.await?) as Permit))
        })
    }

    fn check_before_attempt(&self, call: &Call) -> Result<(), RouterRefusal> {
        let now = clock::now();
        if let Some(chat) = call.head.dialect_data::<ChatCall>() {
            chat.recheck(&self.app, now)?;
        }
        if let Some(service) = call.head.dialect_data::<ServiceCall>() {
            service.recheck(&self.app, now)?;
        }
        Ok(())
    }

    fn choose<'a>(
        &'a self,
        query: ServerQuery<'a>,
    ) -> BoxFuture<'a, Result<Option<ChosenServer>, RouterRefusal>> {
        Box::pin(async move {
            let RequestContext { call, now, .. } = query.context;
            if let Some(chat) = call.head.dialect_data::<ChatCall>() {
                return Ok(self.choose_engine(&chat, query).await?);
            }
            let service = call.head.dialect_data::<ServiceCall>();
            let server = service.and_then(|service| service.choose(&self.app, &query));
            Ok(server.map(|server| ChosenServer::new(&server.data_path_server, None, now)))
        })
    }

    fn suspect_status(&self, _context: RequestContext<'_>) -> ContentStatus {
        // `choose` handles suspects, since it has to reserve a server for them.
        ContentStatus::Clear
    }

    fn record_crash(&self, context: RequestContext<'_>, target: AttemptTarget<'_>) {
        if context.call.head.dialect_data::<ChatCall>().is_some() {
            let trials = &self.app.shared.trials;
            trials.record_crash(context.call.content_hash, target.is_trial);
        }
    }

    fn record_success(&self, _context: RequestContext<'_>) {
        // `record_attempt` clears a content after its trial.
    }

    fn crash_recheck_delay(&self) -> Option<Duration> {
        Some(CRASH_RECHECK_DELAY)
    }

    fn record_attempt(&self, call: &Call, target: AttemptTarget<'_>, end: AttemptEnd) {
        if let Some(server) = self.app.state.servers.get(target.name) {
            match end {
                AttemptEnd::Whole => server.record_success(),
                AttemptEnd::NotRun | AttemptEnd::Broken => server.record_failure(clock::now()),
            }
        }
        if let Some(service) = call.head.dialect_data::<ServiceCall>() {
            service.end_attempt();
        }
        let Some(chat) = call.head.dialect_data::<ChatCall>() else {
            return;
        };
        chat.end_attempt(&format!("{end:?}"));
        let shared = &self.app.shared;
        if end != AttemptEnd::NotRun {
            let is_error = end == AttemptEnd::Broken;
            shared.quality.record_attempt(&chat.label, is_error);
        }
        if end == AttemptEnd::Whole && target.is_trial {
            shared.trials.clear(call.content_hash);
        }
    }

    fn record_outcome<'a>(&'a self, call: &'a Call, end: CallEnd<'a>) -> BoxFuture<'a, ()> {
        Box::pin(async move {
            if let Some(chat) = call.head.dialect_data::<ChatCall>() {
                let is_complete = matches!(end, CallEnd::Streamed);
                chat.record_bill(&self.app, is_complete).await;
            }
            if let Some(service) = call.head.dialect_data::<ServiceCall>() {
                service.settle(&self.app, end).await;
            }
        })
    }

    fn record_disconnect(&self, call: &Arc<Call>) {
        let Some(chat) = call.head.dialect_data::<ChatCall>() else {
            return;
        };
        let app = self.app.clone();
        tokio::spawn(async move { chat.record_bill(&app, false).await });
    }
}
