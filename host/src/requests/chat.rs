//! Chat completions: parses the request, chooses model and version, and bills the response.

use std::{sync::Arc, time::Duration};

use clementinearch_border::{BillRecord, ChatRequest, Usage};
use clementinearch_policy::{
    cascade::Tier,
    names::{Name, stable_hash},
    plan::parse_model_reference,
    request_id::RequestId,
    routes::RouteKind,
    session::SessionPin,
    time::Millis,
    version_selection::{
        VersionQuery, VersionSelectionError, check_session_version, select_version,
    },
};
use clementinearch_router::{AttemptContext, Call};
use hyper::{HeaderMap, Method, Uri};
use parking_lot::Mutex;

use crate::{
    clock,
    peers::protocol::Pin,
    refusal::Refusal,
    requests::callers::{App, Caller},
    requests::request_head::{RequestHead, next_position, route},
    telemetry::AttemptSpans,
};

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 4;

/// Path at which model engines serve chat completions.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Progress of a response over all attempts.
#[derive(Default)]
struct Progress {
    /// Number of tokens relayed to the caller.
    tokens: u32,
    /// Token counts that the engine reported in its last chunk.
    usage: Option<Usage>,
}

/// A chat completion whose model and version are chosen.
pub(crate) struct ChatCall {
    pub(crate) caller: Caller,
    pub(crate) request_id: RequestId,
    pub(crate) model: Name,
    pub(crate) version: Name,
    /// `model@version`.
    pub(crate) label: Name,
    pub(crate) pool: Name,
    pub(crate) deadline: Millis,
    pub(crate) session_token: Option<String>,
    /// Label under which the response is rated, if a cascade chose the model.
    pub(crate) cascade: Option<String>,
    priority: String,
    attempts: AttemptSpans,
    progress: Mutex<Progress>,
}

impl ChatCall {
    /// Returns the id that an engine echoes in each chunk of this attempt.
    pub(crate) fn attempt_id(&self, number: u32) -> String {
        format!("{}-{number}", self.request_id.simple())
    }

    /// Starts the span of an attempt and returns the headers for the engine.
    pub(crate) fn attempt_headers(
        &self,
        attempt: &AttemptContext<'_>,
    ) -> Vec<(&'static str, String)> {
        let mut headers = vec![
            ("x-request-id", self.request_id.simple()),
            ("x-priority", self.priority.clone()),
            ("x-attempt-id", self.attempt_id(attempt.number)),
            ("x-resume-from", next_position(attempt).to_string()),
        ];
        headers.extend(self.attempts.begin(attempt.server));
        headers
    }

    /// Ends the span of the current attempt, with `end` as an attribute.
    pub(crate) fn end_attempt(&self, end: &str) {
        if let Some(span) = self.attempts.end() {
            span.set("end", end.to_owned());
        }
    }

    /// Records the number of tokens relayed so far, and the usage if the engine has reported it.
    pub(crate) fn record_progress(&self, tokens: u32, usage: Option<Usage>) {
        let mut progress = self.progress.lock();
        progress.tokens = tokens;
        progress.usage = usage.or(progress.usage.take());
    }

    /// Sends the bill to the hosts that hold it; `is_complete` is whether the response was completed. A
    /// response without any token isn't billed.
    pub(crate) async fn record_bill(&self, app: &App, is_complete: bool) {
        let record = {
            let progress = self.progress.lock();
            let usage = progress.usage.as_ref();
            BillRecord {
                id: self.request_id.simple(),
                account: self.caller.entry.account.to_string(),
                model: self.label.to_string(),
                prompt_tokens: usage.map_or(0, |usage| usage.prompt_tokens),
                completion_tokens: progress.tokens,
                whole: is_complete,
            }
        };
        if record.completion_tokens > 0 {
            app.ledger.replicate(record).await;
        }
    }

    /// Checks against the configuration in force that the version may still run.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the plan, the model or the version was withdrawn, or if the version is in
    /// rollout and this host's configuration is not fresh.
    pub(crate) fn recheck(&self, app: &App, now: Millis) -> Result<(), Refusal> {
        let in_force = app.state.config_in_force();
        let catalogue = in_force
            .as_ref()
            .map_or(&self.caller.catalogue, |in_force| &in_force.catalogue);
        let not_in_plan = || Refusal::from(VersionSelectionError::NotInPlan);
        let plan = catalogue
            .plan(&self.caller.entry.plan)
            .ok_or_else(not_in_plan)?;
        let model = catalogue.model(&self.model).ok_or_else(not_in_plan)?;
        let query = VersionQuery {
            model_name: &self.model,
            model,
            plan,
            view_is_fresh: app.state.view_is_fresh(now),
            halted: &[],
        };
        Ok(check_session_version(&query, &self.version)?)
    }
}

/// Returns a header's value, or `None` if it is missing or not visible ASCII.
pub(crate) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Reads the caller's deadline; without one, it is `default` from now.
///
/// # Errors
///
/// Returns a refusal if the deadline is malformed or past.
pub(crate) fn read_deadline(
    headers: &HeaderMap,
    default: Duration,
    now: Millis,
) -> Result<Millis, Refusal> {
    let Some(text) = header(headers, "x-deadline-ms") else {
        return Ok(now.after(default));
    };
    let deadline = text.parse().map(Millis).map_err(|_| {
        Refusal::bad_request(
            "bad_deadline",
            "x-deadline-ms must be a time in milliseconds since the Unix epoch",
        )
    })?;
    if deadline <= now {
        return Err(Refusal::bad_request(
            "deadline_past",
            "the deadline in x-deadline-ms has already passed",
        ));
    }
    Ok(deadline)
}

/// Reads the request id from the header `name`, or generates one if there is none.
///
/// # Errors
///
/// Returns a refusal if the id is malformed, or too far in the past or future.
pub(crate) fn read_request_id(
    headers: &HeaderMap,
    name: &str,
    now: Millis,
) -> Result<RequestId, Refusal> {
    match headers.get(name) {
        None => Ok(RequestId::new(now)),
        Some(value) => Ok(RequestId::parse(value.to_str().unwrap_or_default(), now)?),
    }
}

/// Session headers of a request.
struct Session {
    id: Option<String>,
    /// Model and version of the session, from a valid token for this account and session.
    token: Option<SessionPin>,
}

impl Session {
    fn read(app: &App, caller: &Caller, headers: &HeaderMap) -> Self {
        let id = header(headers, "x-session-id").map(str::to_owned);
        let token =
            header(headers, "x-session-token").and_then(|token| app.state.signer.verify(token));
        let token = token.filter(|pin| {
            id.as_deref() == Some(pin.session.as_str()) && *pin.account == *caller.entry.account
        });
        Self { id, token }
    }
}

/// Model of a request, and the label of its rating if a cascade chose it.
struct ModelRoute {
    model: Name,
    cascade: Option<String>,
}

/// Chooses the model: the requested one or, if the requested name is that of a cascade in the plan,
/// the cascade's choice. A session keeps the model it began with.
async fn choose_model(
    app: &App,
    caller: &Caller,
    requested: &Name,
    session: &Session,
    headers: &HeaderMap,
) -> ModelRoute {
    let Some(rule) = caller
        .plan
        .cascades
        .iter()
        .find(|rule| rule.name == *requested)
    else {
        return ModelRoute {
            model: requested.clone(),
            cascade: None,
        };
    };
    let tier_of = |model: &str| {
        if *model == *rule.cheap {
            Tier::Cheap
        } else {
            Tier::Strong
        }
    };
    let model_of = |tier: Tier| {
        if tier == Tier::Cheap {
            &rule.cheap
        } else {
            &rule.strong
        }
    };
    let session_model = session.token.as_ref().map(|pin| pin.model.as_str());
    let session_tier = session_model
        .filter(|model| **model == *rule.cheap || **model == *rule.strong)
        .map(tier_of);
    let kind = header(headers, "x-request-kind");
    let choose = |session_tier| {
        app.shared
            .cascades
            .choose(&caller.entry.plan, rule, kind, session_tier)
    };
    let (mut tier, mut label) = choose(session_tier);
    if let (Some(id), None) = (&session.id, session_tier) {
        let key: Name = format!("{}/cascade {requested}/{id}", caller.entry.account).into();
        // This pin holds a model in place of a version.
        let model = app
            .sessions
            .resolve(Pin {
                key,
                version: model_of(tier).clone(),
            })
            .await;
        if tier_of(&model) != tier {
            (tier, label) = choose(Some(tier_of(&model)));
        }
    }
    ModelRoute {
        model: model_of(tier).clone(),
        cascade: Some(label),
    }
}

/// Chooses the version of a request; a session keeps the version it began with.
///
/// # Errors
///
/// Returns a refusal if no version may run, or if the one of the session was withdrawn or can't be
/// served on an outdated configuration.
async fn decide_version(
    app: &App,
    caller: &Caller,
    query: &VersionQuery<'_>,
    wanted: Option<&str>,
    session: &Session,
    request_id: &RequestId,
) -> Result<Name, Refusal> {
    let model = query.model_name;
    if let Some(pin) = session.token.as_ref().filter(|pin| *pin.model == *model) {
        check_session_version(query, &pin.version)?;
        return Ok(pin.version.as_str().into());
    }
    // All requests of a session hash to the same version; others are spread by their request id.
    let hashed_id = session.id.clone().unwrap_or_else(|| request_id.simple());
    let key: Name = format!("{}/{model}/{hashed_id}", caller.entry.account).into();
    let chosen = select_version(query, wanted, &key)?;
    if session.id.is_none() {
        return Ok(chosen);
    }
    let version = app
        .sessions
        .resolve(Pin {
            key,
            version: chosen,
        })
        .await;
    check_session_version(query, &version)?;
    Ok(version)
}

/// Chooses model and version of a request and fills in `call` for the engines.
///
/// # Errors
///
/// Returns a refusal if a header or the body is invalid, or the plan doesn't allow the model or
/// version.
pub(crate) async fn prepare(app: &App, head: &RequestHead, call: &mut Call) -> Result<(), Refusal> {
    let (caller, headers) = (&head.caller, &head.headers);
    let now = clock::now();
    let deadline = read_deadline(headers, app.state.settings.default_deadline, now)?;
    let request_id = read_request_id(headers, "x-request-id", now)?;
    let request: ChatRequest = serde_json::from_slice(&call.body)
        .map_err(|e| Refusal::bad_request("malformed_body", format!("body: {e}")))?;
    let (wanted_model, wanted_version) = parse_model_reference(&request.model)
        .map_err(|e| Refusal::bad_request("bad_model_name", e))?;
    let session = Session::read(app, caller, headers);
    let ModelRoute { model, cascade } =
        choose_model(app, caller, &wanted_model, &session, headers).await;
    // Unknown models and models outside the plan get the same refusal.
    let mut allowed_models = caller.plan.models.iter();
    let is_allowed = allowed_models.any(|allowed| allowed.model == model);
    let allowed_model = caller.catalogue.model(&model).filter(|_| is_allowed);
    let allowed_model =
        allowed_model.ok_or_else(|| Refusal::from(VersionSelectionError::NotInPlan))?;
    let query = VersionQuery {
        model_name: &model,
        model: allowed_model,
        plan: &caller.plan,
        view_is_fresh: app.state.view_is_fresh(now),
        halted: &app.shared.quality.halted_versions(&model),
    };
    let wanted = wanted_version.as_deref();
    let version = decide_version(app, caller, &query, wanted, &session, &request_id).await?;
    let session_token = session.id.map(|session| {
        app.state.signer.sign(&SessionPin {
            account: caller.entry.account.to_string(),
            session,
            model: model.to_string(),
            version: version.to_string(),
        })
    });
    let chat = ChatCall {
        caller: caller.clone(),
        request_id,
        label: format!("{model}@{version}").into(),
        pool: allowed_model.pool.clone(),
        model,
        version,
        deadline,
        session_token,
        cascade,
        priority: header(headers, "x-priority").unwrap_or("1").to_owned(),
        attempts: AttemptSpans::new(head.span.child("completion"), "attempt"),
        progress: Mutex::default(),
    };
    chat.write_to_call(app, head, request, call)
}

impl ChatCall {
    /// Writes the request for an engine into `call`: always streamed, so that it can be resumed.
    fn write_to_call(
        self,
        app: &App,
        head: &RequestHead,
        request: ChatRequest,
        call: &mut Call,
    ) -> Result<(), Refusal> {
        let messages = serde_json::to_string(&request.messages).unwrap_or_default();
        let token_timeout = app.state.settings.token_timeout;
        let kind = RouteKind::Stream { resumable: true };
        call.content_hash = stable_hash(&[&self.caller.entry.account, &self.model, &messages]);
        call.deadline = call.arrived.after(self.deadline.since(head.received_at));
        call.service = self.pool.clone();
        call.method = Method::POST;
        call.target = Uri::from_static(CHAT_PATH);
        call.head.id = self.request_id.simple().into();
        call.head.route = route(&self.model, kind, MAX_ATTEMPTS, token_timeout * 2);
        call.head.server_idle_timeout = Some(token_timeout);
        call.head.buffers_stream = !request.stream;
        let request = ChatRequest {
            model: self.label.to_string(),
            stream: true,
            ..request
        };
        let body = serde_json::to_vec(&request)
            .map_err(|e| Refusal::bad_request("malformed_body", e.to_string()))?;
        call.body = body.into();
        call.head.dialect_data = Some(Arc::new(self));
        Ok(())
    }
}
