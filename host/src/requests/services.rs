//! Calls to plain services. GET and HEAD may be retried. Calls with other methods run at most once: by
//! a claim in the store, unless the servers themselves run each id only once.

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
    refusal::{Refusal, json_response},
    requests::callers::{App, Caller},
    requests::chat::{read_deadline, read_request_id},
    requests::request_head::{RequestHead, ServiceTarget, route},
    telemetry::AttemptSpans,
};

/// Maximum number of attempts for one call.
const MAX_ATTEMPTS: u32 = 3;

/// Retry delay while another host may be sending the same call.
const IN_PROGRESS_RETRY: Duration = Duration::from_secs(2);

/// Header with the id of a call; required for methods other than GET and HEAD.
const CALL_ID_HEADER: &str = "idempotency-key";

/// Protection of a call against running more than once.
enum DuplicateGuard {
    /// None: the call only reads and may run any number of times.
    Read,
    /// The servers recognise the call's id and run it once.
    CheckedByServers,
    /// This host holds the call's claim in the store. `None` once the claim is settled.
    Claimed(Mutex<Option<Claim>>),
}

/// A service call that passed its checks, with the state that its attempts use.
pub(crate) struct ServiceCall {
    caller: Caller,
    service: Name,
    pub(crate) pool: Name,
    id: RequestId,
    deadline: Millis,
    guard: DuplicateGuard,
    attempts: AttemptSpans,
}

/// Checks a call, acquires its claim if it needs one, and fills in `call` for the service's servers.
/// Returns the stored response if the call was run before.
///
/// # Errors
///
/// Returns a refusal if the plan doesn't allow the service, the id or the deadline is invalid, or
/// the claim can't be acquired.
pub(crate) async fn prepare(
    app: &App,
    head: &RequestHead,
    target: &ServiceTarget,
    call: &mut Call,
) -> Result<Option<Response<ResponseBody>>, Refusal> {
    let caller = &head.caller;
    let is_allowed = caller.plan.services.contains(&target.service);
    let service = caller.catalogue.service(&target.service);
    let service = service.filter(|_| is_allowed).ok_or_else(not_in_plan)?;
    let now = clock::now();
    if !target.is_read() && !head.headers.contains_key(CALL_ID_HEADER) {
        let message =
            "methods other than GET and HEAD need an Idempotency-Key header with a version 7 UUID";
        return Err(Refusal::bad_request("missing_idempotency_key", message));
    }
    let id = read_request_id(&head.headers, CALL_ID_HEADER, now)?;
    let deadline = read_deadline(&head.headers, app.state.settings.default_deadline, now)?;
    let guard = if target.is_read() {
        DuplicateGuard::Read
    } else if app
        .state
        .settings
        .pools_checking_ids
        .contains(&service.pool)
    {
        DuplicateGuard::CheckedByServers
    } else {
        match acquire_claim(app, head, target, &id, &call.body).await? {
            ClaimDecision::RunBefore(response) => return Ok(Some(response)),
            ClaimDecision::Acquired(claim) => DuplicateGuard::Claimed(Mutex::new(Some(*claim))),
        }
    };
    let kind = match guard {
        DuplicateGuard::Claimed(_) => RouteKind::NonIdempotent,
        DuplicateGuard::Read | DuplicateGuard::CheckedByServers => RouteKind::Idempotent,
    };
    let default_deadline = app.state.settings.default_deadline;
    call.deadline = call.arrived.after(deadline.since(head.received_at));
    call.service = service.pool.clone();
    call.target = target
        .path
        .parse()
        .unwrap_or_else(|_| Uri::from_static("/"));
    call.head.id = id.simple().into();
    call.head.route = route(&target.service, kind, MAX_ATTEMPTS, default_deadline);
    call.head.dialect_data = Some(Arc::new(ServiceCall {
        caller: caller.clone(),
        service: target.service.clone(),
        pool: service.pool.clone(),
        id,
        deadline,
        guard,
        attempts: AttemptSpans::new(head.span.child("service"), "service call"),
    }));
    Ok(None)
}

/// Whether a call has to be sent, after the attempt to acquire its claim.
enum ClaimDecision {
    /// This host holds the claim now.
    Acquired(Box<Claim>),
    /// The call was run before, with this response.
    RunBefore(Response<ResponseBody>),
}

/// Acquires the call's claim in the store.
///
/// # Errors
///
/// Returns a refusal if the call may be running elsewhere, its outcome is unknown, its id was used
/// for a different call, or the store gives no usable response.
async fn acquire_claim(
    app: &App,
    head: &RequestHead,
    target: &ServiceTarget,
    id: &RequestId,
    body: &[u8],
) -> Result<ClaimDecision, Refusal> {
    let key = claim_key(&head.caller.entry.account, id);
    let nonce = format!("{:032x}", fastrand::u128(..));
    let owner = app.state.members.lock().local().clone();
    let owner = format!("{}/{}", owner.name, owner.incarnation);
    let wanted = new_claim(nonce, owner, target.digest(body), clock::now());
    let span = head.span.child("claim");
    let taken = app.claims.acquire(key, wanted).await?;
    drop(span);
    let may_have_run =
        |code, message: &str| Refusal::may_have_run(StatusCode::CONFLICT, code, message);
    match taken {
        ClaimOutcome::Acquired(claim) => Ok(ClaimDecision::Acquired(Box::new(claim))),
        ClaimOutcome::Answered { status, answer } => {
            replay_response(status, answer).map(ClaimDecision::RunBefore)
        }
        ClaimOutcome::InProgress => {
            let message = "a call with this id may be running at another host";
            Err(may_have_run("in_progress", message).with_retry_after(IN_PROGRESS_RETRY))
        }
        ClaimOutcome::OutcomeUnknown => {
            let message = "a call with this id was sent and its outcome is not known; query its status instead";
            Err(may_have_run("outcome_unknown", message))
        }
        ClaimOutcome::OtherCall => {
            let message = "this id was used for a different call";
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

/// Rebuilds the response to a finished call from its claim. `answer` is the body; it is absent if it
/// was too large to store.
fn replay_response(status: u16, answer: Option<String>) -> Result<Response<ResponseBody>, Refusal> {
    let Some(answer) = answer else {
        let message = "the call was run, but its response was too large to store";
        return Err(Refusal::ran(
            StatusCode::CONFLICT,
            "answer_not_kept",
            message,
        ));
    };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let mut replay = json_response(status, answer);
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
    /// Starts the span of an attempt and returns the headers for the server.
    pub(crate) fn attempt_headers(
        &self,
        attempt: &AttemptContext<'_>,
    ) -> Vec<(&'static str, String)> {
        let mut headers = vec![(CALL_ID_HEADER, self.id.simple())];
        headers.extend(self.attempts.begin(attempt.server));
        headers
    }

    /// Ends the span of the current attempt.
    pub(crate) fn end_attempt(&self) {
        self.attempts.end();
    }

    /// Checks deadline and plan again right before sending, since the process may have been suspended
    /// after it acquired the claim.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the deadline has passed or the plan no longer allows the service.
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

    /// Chooses the server for the next attempt. If the servers recognise ids, all hosts try them in
    /// the same order, so that a retried call reaches the server that ran it.
    pub(crate) fn choose(&self, app: &App, query: &ServerQuery<'_>) -> Option<Arc<Server>> {
        let servers = &app.state.servers;
        if !matches!(self.guard, DuplicateGuard::CheckedByServers) {
            return servers.pick(&self.pool, &"".into(), clock::now());
        }
        let candidates = servers.in_pool(&self.pool);
        let names: Vec<Name> = candidates
            .iter()
            .map(|server| server.name.clone())
            .collect();
        let ranked = rendezvous(&self.id.simple(), names.iter(), MAX_ATTEMPTS as usize);
        ranked.into_iter().find_map(|name| {
            let named = |server: &&Arc<Server>| server.name == name;
            let server = candidates.iter().find(named)?;
            (!query.was_tried(&server.data_path_server)).then(|| server.clone())
        })
    }

    /// Bills a call that got a response, unless it only reads, and settles or releases its claim.
    pub(crate) async fn settle(&self, app: &App, end: CallEnd<'_>) {
        if let CallEnd::Answered { .. } = end
            && !matches!(self.guard, DuplicateGuard::Read)
        {
            app.ledger.replicate(self.bill()).await;
        }
        let DuplicateGuard::Claimed(claim) = &self.guard else {
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
