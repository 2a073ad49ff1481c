//! What the product decides about requests on the data path: plans, versions, places, servers,
//! claims and bills.

use std::{sync::Arc, time::Duration};

use clementinearch_policy::crash_suspects::ContentStatus;
use clementinearch_router::{
    AttemptEnd, AttemptTarget, Call, CallEnd, ChosenServer, Permit, Refusal as PathRefusal,
    RequestContext, RequestHooks, ResponseBody, ServerQuery,
};
use futures::future::BoxFuture;
use hyper::Response;

use crate::{
    clock,
    refusal::Refusal,
    requests::asked::{Asked, Target},
    requests::callers::{App, list_models},
    requests::chat::{self, ChatJob},
    requests::services::{self, ServiceCall},
};

/// A process that dies may take connections for a moment after its first ones broke, so that one
/// look is not enough.
const SECOND_LOOK: Duration = Duration::from_millis(50);

/// The product's decisions.
pub(crate) struct ProductControl {
    app: Arc<App>,
}

impl ProductControl {
    /// Decides with what `app` knows.
    pub(crate) fn new(app: Arc<App>) -> Self {
        Self { app }
    }

    async fn choose_engine(
        &self,
        job: &ChatJob,
        query: ServerQuery<'_>,
    ) -> Result<Option<ChosenServer>, Refusal> {
        let RequestContext { call, now, .. } = query.context;
        let (servers, trials) = (&self.app.state.servers, &self.app.shared.trials);
        if !trials.is_suspect(call.content_hash)? {
            let server = servers.pick(&job.pool, &job.label, clock::now());
            return Ok(server.map(|server| ChosenServer::new(&server.path, None, now)));
        }
        let by_load = servers.by_load(&job.pool, &job.label, clock::now());
        let trial = trials.begin(call.content_hash, by_load).await?;
        let server = trial.server.path.clone();
        Ok(Some(ChosenServer::new(&server, Some(Box::new(trial)), now)))
    }
}

impl RequestHooks for ProductControl {
    fn prepare<'a>(
        &'a self,
        call: &'a mut Call,
    ) -> BoxFuture<'a, Result<Option<Response<ResponseBody>>, PathRefusal>> {
        Box::pin(async move {
            let Some(asked) = call.head.dialect_data::<Asked>() else {
                return Ok(None);
            };
            match &asked.target {
                Target::Models => Ok(Some(list_models(&asked.caller))),
                Target::Chat => {
                    chat::prepare(&self.app, &asked, call).await?;
                    Ok(None)
                }
                Target::Service(target) => {
                    Ok(services::prepare(&self.app, &asked, target, call).await?)
                }
            }
        })
    }

    fn admit<'a>(&'a self, call: &'a Call) -> BoxFuture<'a, Result<Option<Permit>, PathRefusal>> {
        Box::pin(async move {
            let Some(job) = call.head.dialect_data::<ChatJob>() else {
                return Ok(None);
            };
            let entry = &job.caller.entry;
            let gate = &self.app.gate;
            let entering = gate.enter(&job.pool, &entry.account, entry.weight, job.deadline);
            Ok(Some(Box::new(entering.await?) as Permit))
        })
    }

    fn check_before_attempt(&self, call: &Call) -> Result<(), PathRefusal> {
        let now = clock::now();
        if let Some(job) = call.head.dialect_data::<ChatJob>() {
            job.recheck(&self.app, now)?;
        }
        if let Some(service) = call.head.dialect_data::<ServiceCall>() {
            service.recheck(&self.app, now)?;
        }
        Ok(())
    }

    fn choose<'a>(
        &'a self,
        query: ServerQuery<'a>,
    ) -> BoxFuture<'a, Result<Option<ChosenServer>, PathRefusal>> {
        Box::pin(async move {
            let RequestContext { call, now, .. } = query.context;
            if let Some(job) = call.head.dialect_data::<ChatJob>() {
                return Ok(self.choose_engine(&job, query).await?);
            }
            let service = call.head.dialect_data::<ServiceCall>();
            let server = service.and_then(|service| service.choose(&self.app, &query));
            Ok(server.map(|server| ChosenServer::new(&server.path, None, now)))
        })
    }

    fn suspect_status(&self, _context: RequestContext<'_>) -> ContentStatus {
        // Told with the choice of a server, which a suspect needs for itself.
        ContentStatus::Clear
    }

    fn record_crash(&self, context: RequestContext<'_>, server: AttemptTarget<'_>) {
        if context.call.head.dialect_data::<ChatJob>().is_some() {
            let trials = &self.app.shared.trials;
            trials.note_crash(context.call.content_hash, server.is_trial);
        }
    }

    fn crash_recheck_delay(&self) -> Option<Duration> {
        Some(SECOND_LOOK)
    }

    fn record_attempt(&self, call: &Call, at: AttemptTarget<'_>, end: AttemptEnd) {
        if let Some(server) = self.app.state.servers.get(at.name) {
            match end {
                AttemptEnd::Whole => server.note_success(),
                AttemptEnd::NotRun | AttemptEnd::Broken => server.note_failure(clock::now()),
            }
        }
        if let Some(service) = call.head.dialect_data::<ServiceCall>() {
            service.end_attempt();
        }
        let Some(job) = call.head.dialect_data::<ChatJob>() else {
            return;
        };
        job.end_attempt(&format!("{end:?}"));
        let shared = &self.app.shared;
        if end != AttemptEnd::NotRun {
            let is_error = end == AttemptEnd::Broken;
            shared.quality.note_attempt(&job.label, is_error);
        }
        if end == AttemptEnd::Whole && at.is_trial {
            shared.trials.clear(call.content_hash);
        }
    }

    fn record_outcome<'a>(&'a self, call: &'a Call, end: CallEnd<'a>) -> BoxFuture<'a, ()> {
        Box::pin(async move {
            if let Some(job) = call.head.dialect_data::<ChatJob>() {
                let is_whole = matches!(end, CallEnd::Streamed);
                job.hold_bill(&self.app, is_whole).await;
            }
            if let Some(service) = call.head.dialect_data::<ServiceCall>() {
                service.settle(&self.app, end).await;
            }
        })
    }

    fn record_disconnect(&self, call: &Arc<Call>) {
        let Some(job) = call.head.dialect_data::<ChatJob>() else {
            return;
        };
        let app = self.app.clone();
        tokio::spawn(async move { job.hold_bill(&app, false).await });
    }
}
