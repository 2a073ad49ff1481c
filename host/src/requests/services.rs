//! Calls to plain services: reads may be repeated, everything else runs at most once.

use std::{sync::Arc, time::Duration};

use clementinearch_border::{BillRecord, ClaimState};
use clementinearch_policy::{
    claim::{claim_key, claim_with_state, completed_claim, new_claim},
    names::{Name, rendezvous},
    request_id::RequestId,
    routes::RouteKind,
    time::Millis,
};
use clementinearch_router::{AttemptContext, Call, CallEnd, ResponseBody, ServerQuery};
use clementinearch_storage::{Claim, ClaimOutcome};
use hyper::{Response, StatusCode, Uri};
use parking_lot::Mutex;

use crate::{
    backends::servers::Server,
    clock,
    refusal::{Refusal, json_answer},
    requests::asked::{Asked, ServiceTarget, route},
    requests::callers::{App, Caller},
    requests::chat::{read_deadline, read_request_id},
    telemetry::AttemptSpans,
};

/// Servers that one call may run on.
const MAX_ATTEMPTS: u32 = 3;

/// When to come back while another host may be sending.
const IN_PROGRESS_RETRY: Duration = Duration::from_secs(2);

/// Header with the id of a call that must not be repeated.
const ID_HEADER: &str = "idempotency-key";

/// What lets a call run at most once.
enum Guard {
    /// It may run any number of times.
    Read,
    /// Its servers recognise its id.
    CheckedByServers,
    /// A claim in the store; taken out when it is settled.
    Claimed(Mutex<Option<Claim>>),
}

/// A call with everything that its attempts need.
pub(crate) struct ServiceCall {
    caller: Caller,
    service: Name,
    pub(crate) pool: Name,
    id: RequestId,
    deadline: Millis,
    guard: Guard,
    attempts: AttemptSpans,
}

/// Checks a call, takes its claim if it needs one, and turns it into one for a server of the
/// service. Returns the answer if the call was run before.
///
/// # Errors
///
/// Returns why the call is not sent.
pub(crate) async fn prepare(
    app: &App,
    asked: &Asked,
    target: &ServiceTarget,
    call: &mut Call,
) -> Result<Option<Response<ResponseBody>>, Refusal> {
    let caller = &asked.caller;
    let is_allowed = caller.plan.services.contains(&target.service);
    let service = caller.catalogue.service(&target.service);
    let service = service.filter(|_| is_allowed).ok_or_else(not_in_plan)?;
    let now = clock::now();
    if !target.is_read() && !asked.headers.contains_key(ID_HEADER) {
        let message =
            "a call that must not be repeated needs an Idempotency-Key: a UUID of version 7";
        return Err(Refusal::bad_request("missing_idempotency_key", message));
    }
    let id = read_request_id(&asked.headers, ID_HEADER, now)?;
    let deadline = read_deadline(&asked.headers, app.state.settings.default_deadline, now)?;
    let guard = if target.is_read() {
        Guard::Read
    } else if app
        .state
        .settings
        .pools_checking_ids
        .contains(&service.pool)
    {
        Guard::CheckedByServers
    } else {
        match take_claim(app, asked, target, &id, &call.body).await? {
            Claimed::Before(answer) => return Ok(Some(answer)),
            Claimed::Now(claim) => Guard::Claimed(Mutex::new(Some(*claim))),
        }
    };
    let kind = match guard {
        Guard::Claimed(_) => RouteKind::NonIdempotent,
        Guard::Read | Guard::CheckedByServers => RouteKind::Idempotent,
    };
    let patience = app.state.settings.default_deadline;
    call.deadline = call.arrived.after(deadline.since(asked.at));
    call.service = service.pool.clone();
    call.target = target
        .path
        .parse()
        .unwrap_or_else(|_| Uri::from_static("/"));
    call.head.id = id.simple().into();
    call.head.route = route(&target.service, kind, MAX_ATTEMPTS, patience);
    call.head.dialect_data = Some(Arc::new(ServiceCall {
        caller: caller.clone(),
        service: target.service.clone(),
        pool: service.pool.clone(),
        id,
        deadline,
        guard,
        attempts: AttemptSpans::new(asked.span.child("service"), "service call"),
    }));
    Ok(None)
}

enum Claimed {
    /// The claim is this call's.
    Now(Box<Claim>),
    /// The call was run before; the answer is kept.
    Before(Response<ResponseBody>),
}

async fn take_claim(
    app: &App,
    asked: &Asked,
    target: &ServiceTarget,
    id: &RequestId,
    body: &[u8],
) -> Result<Claimed, Refusal> {
    let key = claim_key(&asked.caller.entry.account, id);
    let nonce = format!("{:032x}", fastrand::u128(..));
    let owner = app.state.members.lock().local().clone();
    let owner = format!("{}/{}", owner.name, owner.incarnation);
    let wanted = new_claim(nonce, owner, target.digest(body), clock::now());
    let span = asked.span.child("claim");
    let taken = app.claims.take(key, wanted).await?;
    drop(span);
    let may_have_run =
        |code, message: &str| Refusal::may_have_run(StatusCode::CONFLICT, code, message);
    match taken {
        ClaimOutcome::Acquired(claim) => Ok(Claimed::Now(Box::new(claim))),
        ClaimOutcome::Answered { status, answer } => {
            answered_before(status, answer).map(Claimed::Before)
        }
        ClaimOutcome::InProgress => {
            let message = "a call with this id may be running at another host";
            Err(may_have_run("in_progress", message).with_retry_after(IN_PROGRESS_RETRY))
        }
        ClaimOutcome::OutcomeUnknown => {
            let message = "a call with this id was sent and its outcome is not known; read its status instead";
            Err(may_have_run("outcome_unknown", message))
        }
        ClaimOutcome::OtherCall => {
            let message = "this id was used for another call";
            Err(Refusal::not_run(
                StatusCode::UNPROCESSABLE_ENTITY,
                "id_reused",
                message,
            ))
        }
        ClaimOutcome::Unreadable => {
            let message = "the claim in the store cannot be read";
            Err(may_have_run("claim_unreadable", message))
        }
    }
}

fn answered_before(status: u16, answer: Option<String>) -> Result<Response<ResponseBody>, Refusal> {
    let Some(answer) = answer else {
        let message = "the call was run; its answer was too large to keep";
        return Err(Refusal::ran(
            StatusCode::CONFLICT,
            "answer_not_kept",
            message,
        ));
    };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let mut replay = json_answer(status, answer);
    replay.headers_mut().insert(
        "x-replayed",
        hyper::header::HeaderValue::from_static("true"),
    );
    Ok(replay)
}

fn not_in_plan() -> Refusal {
    Refusal::not_run(
        StatusCode::FORBIDDEN,
        "not_in_plan",
        "the plan does not allow this service",
    )
}

impl ServiceCall {
    /// Headers towards a server.
    pub(crate) fn attempt_headers(
        &self,
        order: &AttemptContext<'_>,
    ) -> Vec<(&'static str, String)> {
        let mut headers = vec![(ID_HEADER, self.id.simple())];
        headers.extend(self.attempts.begin(order.server));
        headers
    }

    /// Ends the span of the attempt under way.
    pub(crate) fn end_attempt(&self) {
        self.attempts.end();
    }

    /// Checks again that the call may be sent: the host may have been paused since its claim.
    pub(crate) fn recheck(&self, app: &App, now: Millis) -> Result<(), Refusal> {
        if now >= self.deadline {
            let message = "the deadline passed before the call was sent";
            return Err(Refusal::not_run(
                StatusCode::GATEWAY_TIMEOUT,
                "deadline_exceeded",
                message,
            ));
        }
        let in_force = app.state.config_in_force();
        let plan = in_force.and_then(|it| it.catalogue.plan(&self.caller.entry.plan).cloned());
        if plan.is_some_and(|plan| plan.services.contains(&self.service)) {
            return Ok(());
        }
        Err(not_in_plan())
    }

    /// The server for the next attempt. Calls whose servers recognise their id begin at the same one
    /// at all hosts.
    pub(crate) fn choose(&self, app: &App, query: &ServerQuery<'_>) -> Option<Arc<Server>> {
        let servers = &app.state.servers;
        if !matches!(self.guard, Guard::CheckedByServers) {
            return servers.pick(&self.pool, &"".into(), clock::now());
        }
        let of_pool = servers.of_pool(&self.pool);
        let names: Vec<Name> = of_pool.iter().map(|server| server.name.clone()).collect();
        let ranked = rendezvous(&self.id.simple(), names.iter(), MAX_ATTEMPTS as usize);
        ranked.into_iter().find_map(|name| {
            let named = |server: &&Arc<Server>| server.name == name;
            let server = of_pool.iter().find(named)?;
            (!query.was_tried(&server.path)).then(|| server.clone())
        })
    }

    /// Settles the claim and keeps the bill.
    pub(crate) async fn settle(&self, app: &App, end: CallEnd<'_>) {
        if let CallEnd::Answered { .. } = end
            && !matches!(self.guard, Guard::Read)
        {
            app.ledger.hold(self.bill()).await;
        }
        let Guard::Claimed(claim) = &self.guard else {
            return;
        };
        let Some(claim) = claim.lock().take() else {
            return;
        };
        let now = clock::now();
        match end {
            CallEnd::Answered { status, body } => {
                let record = completed_claim(claim.record(), status.as_u16(), body, now);
                app.claims.settle(claim, record).await;
            }
            CallEnd::Failed { may_have_run: true } => {
                let record = claim_with_state(claim.record(), ClaimState::Unknown, now);
                app.claims.settle(claim, record).await;
            }
            CallEnd::Failed { .. } | CallEnd::Streamed => app.claims.release(claim).await,
        }
    }

    fn bill(&self) -> BillRecord {
        BillRecord {
            id: self.id.simple(),
            account: self.caller.entry.account.to_string(),
            model: format!("service/{}", self.service),
            prompt_tokens: 0,
            completion_tokens: 0,
            whole: true,
        }
    }
}
