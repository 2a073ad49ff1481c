//! Chat completions: reads the request, decides the version, and keeps what the answer costs.

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
    requests::asked::{Asked, next_position, route},
    requests::callers::{App, Caller},
    telemetry::AttemptSpans,
};

/// Servers that one request may run on.
const MAX_ATTEMPTS: u32 = 4;

/// Where engines take requests.
const CHAT_PATH: &str = "/v1/chat/completions";

/// How far an answer came, over all attempts.
#[derive(Default)]
struct Progress {
    /// Tokens that were relayed.
    tokens: u32,
    /// The engine's account of the tokens, from the last chunk.
    usage: Option<Usage>,
}

/// A request whose version is decided.
pub(crate) struct ChatJob {
    pub(crate) caller: Caller,
    pub(crate) request_id: RequestId,
    pub(crate) model: Name,
    pub(crate) version: Name,
    /// `model@version`.
    pub(crate) label: Name,
    pub(crate) pool: Name,
    pub(crate) deadline: Millis,
    pub(crate) session_token: Option<String>,
    /// Label of the answer's rating, if a cascade chose the model.
    pub(crate) cascade: Option<String>,
    priority: String,
    attempts: AttemptSpans,
    progress: Mutex<Progress>,
}

impl ChatJob {
    /// Id that an engine echoes in each chunk of this attempt.
    pub(crate) fn attempt_id(&self, number: u32) -> String {
        format!("{}-{number}", self.request_id.simple())
    }

    /// Headers towards an engine.
    pub(crate) fn attempt_headers(
        &self,
        order: &AttemptContext<'_>,
    ) -> Vec<(&'static str, String)> {
        let mut headers = vec![
            ("x-request-id", self.request_id.simple()),
            ("x-priority", self.priority.clone()),
            ("x-attempt-id", self.attempt_id(order.number)),
            ("x-resume-from", next_position(order).to_string()),
        ];
        headers.extend(self.attempts.begin(order.server));
        headers
    }

    /// Ends the span of the attempt under way.
    pub(crate) fn end_attempt(&self, end: &str) {
        if let Some(span) = self.attempts.end() {
            span.set("end", end.to_owned());
        }
    }

    /// Notes how many tokens were relayed, and the engine's account at the end.
    pub(crate) fn note_progress(&self, tokens: u32, usage: Option<Usage>) {
        let mut progress = self.progress.lock();
        progress.tokens = tokens;
        progress.usage = usage.or(progress.usage.take());
    }

    /// Has the bill held by its owners; an answer that never began costs nothing.
    pub(crate) async fn hold_bill(&self, app: &App, whole: bool) {
        let record = {
            let progress = self.progress.lock();
            let usage = progress.usage.as_ref();
            BillRecord {
                id: self.request_id.simple(),
                account: self.caller.entry.account.to_string(),
                model: self.label.to_string(),
                prompt_tokens: usage.map_or(0, |usage| usage.prompt_tokens),
                completion_tokens: progress.tokens,
                whole,
            }
        };
        if record.completion_tokens > 0 {
            app.ledger.hold(record).await;
        }
    }

    /// Checks, with the configuration in force now, that the version may run.
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

/// A header as text; absent if it is not there or not text.
pub(crate) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// The moment by which the caller wants the answer.
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
            "x-deadline-ms is not a time in milliseconds since the Unix epoch",
        )
    })?;
    if deadline <= now {
        return Err(Refusal::bad_request(
            "deadline_past",
            "the deadline is already past",
        ));
    }
    Ok(deadline)
}

/// The caller's request id, or a fresh one.
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

/// A request's session, if it has one.
struct Session {
    id: Option<String>,
    /// Where the caller's token says that the session began.
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

/// Where a request goes: the model, and the label of its rating if a cascade chose it.
struct Route {
    model: Name,
    cascade: Option<String>,
}

/// The model that was asked for, or the one that the plan's cascade of this name chooses.
/// A session keeps its model.
async fn choose_model(
    app: &App,
    caller: &Caller,
    asked: &Name,
    session: &Session,
    headers: &HeaderMap,
) -> Route {
    let Some(rule) = caller.plan.cascades.iter().find(|rule| rule.name == *asked) else {
        return Route {
            model: asked.clone(),
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
    let told = session.token.as_ref().map(|pin| pin.model.as_str());
    let kept = told
        .filter(|model| **model == *rule.cheap || **model == *rule.strong)
        .map(tier_of);
    let kind = header(headers, "x-request-kind");
    let choose = |kept| {
        app.shared
            .cascades
            .choose(&caller.entry.plan, rule, kind, kept)
    };
    let (mut tier, mut label) = choose(kept);
    if let (Some(id), None) = (&session.id, kept) {
        let key: Name = format!("{}/cascade {asked}/{id}", caller.entry.account).into();
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
    Route {
        model: model_of(tier).clone(),
        cascade: Some(label),
    }
}

/// The version of a request: that of its session, or a new choice.
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
    let spread = session.id.clone().unwrap_or_else(|| request_id.simple());
    let key: Name = format!("{}/{model}/{spread}", caller.entry.account).into();
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

/// Decides the version of a request and turns it into one for an engine.
///
/// # Errors
///
/// Returns why the request cannot be served.
pub(crate) async fn prepare(app: &App, asked: &Asked, call: &mut Call) -> Result<(), Refusal> {
    let (caller, headers) = (&asked.caller, &asked.headers);
    let now = clock::now();
    let deadline = read_deadline(headers, app.state.settings.default_deadline, now)?;
    let request_id = read_request_id(headers, "x-request-id", now)?;
    let request: ChatRequest = serde_json::from_slice(&call.body)
        .map_err(|e| Refusal::bad_request("malformed_body", format!("body: {e}")))?;
    let (wanted_model, wanted_version) = parse_model_reference(&request.model)
        .map_err(|e| Refusal::bad_request("bad_model_name", e))?;
    let session = Session::read(app, caller, headers);
    let Route { model, cascade } =
        choose_model(app, caller, &wanted_model, &session, headers).await;
    // A model outside the plan is told from an unknown one only by the plan's own list.
    let mut allowed = caller.plan.models.iter();
    let is_allowed = allowed.any(|allowed| allowed.model == model);
    let known = caller.catalogue.model(&model).filter(|_| is_allowed);
    let known = known.ok_or_else(|| Refusal::from(VersionSelectionError::NotInPlan))?;
    let query = VersionQuery {
        model_name: &model,
        model: known,
        plan: &caller.plan,
        view_is_fresh: app.state.view_is_fresh(now),
        halted: &app.shared.quality.halted(&model),
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
    let job = ChatJob {
        caller: caller.clone(),
        request_id,
        label: format!("{model}@{version}").into(),
        pool: known.pool.clone(),
        model,
        version,
        deadline,
        session_token,
        cascade,
        priority: header(headers, "x-priority").unwrap_or("1").to_owned(),
        attempts: AttemptSpans::new(asked.span.child("completion"), "attempt"),
        progress: Mutex::default(),
    };
    job.fill(app, asked, request, call)
}

impl ChatJob {
    /// Turns a caller's request into one for an engine.
    fn fill(
        self,
        app: &App,
        asked: &Asked,
        request: ChatRequest,
        call: &mut Call,
    ) -> Result<(), Refusal> {
        let messages = serde_json::to_string(&request.messages).unwrap_or_default();
        let token_timeout = app.state.settings.token_timeout;
        let kind = RouteKind::Stream { resumable: true };
        call.content_hash = stable_hash(&[&self.caller.entry.account, &self.model, &messages]);
        call.deadline = call.arrived.after(self.deadline.since(asked.at));
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
