//! Chat completions: reads the request, decides the version, starts the work.

use std::{sync::Arc, time::Duration};

use clementinearch_border::ChatRequest;
use clementinearch_policy::{
    cascade::Tier,
    choose::{ChooseError, VersionQuery, choose_version, keep_version},
    names::Name,
    plan::parse_model_reference,
    request_id::RequestId,
    session::SessionPin,
    time::Millis,
};
use hyper::{HeaderMap, header::HeaderValue};
use tokio::sync::mpsc;

use crate::{
    callers::{App, Caller},
    chat_answer::{stream_answer, whole_answer},
    clock,
    completion::{self, Job},
    refusal::{Answer, Refusal},
    relay_answer::Event,
    sessions::Pin,
    telemetry::Span,
};

/// Chunks that wait for a slow caller.
const CHUNKS_AHEAD: usize = 8;

/// Answers a chat completion request.
pub(crate) async fn complete(
    app: &Arc<App>,
    caller: Caller,
    headers: &HeaderMap,
    body: &[u8],
    span: &Span,
) -> Result<Answer, Refusal> {
    let job = prepare(app, caller, headers, body, span).await?;
    let request_id = job.request_id.simple();
    let session_token = job.session_token.clone();
    let cascade = job.cascade.clone();
    let version = job.label();
    let is_streamed = job.request.stream;
    let (tx, mut rx) = mpsc::channel(CHUNKS_AHEAD);
    tokio::spawn(completion::run(job, tx));
    let mut answer = if is_streamed {
        match rx.recv().await {
            Some(Event::Failed(refusal)) => refusal.answer(),
            first => stream_answer(first, rx),
        }
    } else {
        whole_answer(&request_id, &version, rx)
            .await
            .unwrap_or_else(|refusal| refusal.answer())
    };
    let headers = answer.headers_mut();
    insert_header(headers, "x-request-id", &request_id);
    insert_header(headers, "x-model-version", &version);
    if let Some(token) = session_token {
        insert_header(headers, "x-session-token", &token);
    }
    if let Some(label) = cascade {
        insert_header(headers, "x-cascade", &label);
    }
    Ok(answer)
}

fn insert_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
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
            header(headers, "x-session-token").and_then(|token| app.board.signer.verify(token));
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
async fn route(
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
        keep_version(query, &pin.version)?;
        return Ok(pin.version.as_str().into());
    }
    let spread = session.id.clone().unwrap_or_else(|| request_id.simple());
    let key: Name = format!("{}/{model}/{spread}", caller.entry.account).into();
    let chosen = choose_version(query, wanted, &key)?;
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
    keep_version(query, &version)?;
    Ok(version)
}

async fn prepare(
    app: &Arc<App>,
    caller: Caller,
    headers: &HeaderMap,
    body: &[u8],
    span: &Span,
) -> Result<Job, Refusal> {
    let now = clock::now();
    let deadline = read_deadline(headers, app.board.settings.default_deadline, now)?;
    let request_id = read_request_id(headers, "x-request-id", now)?;
    let request: ChatRequest = serde_json::from_slice(body)
        .map_err(|e| Refusal::bad_request("malformed_body", format!("body: {e}")))?;
    let (asked, wanted) = parse_model_reference(&request.model)
        .map_err(|e| Refusal::bad_request("bad_model_name", e))?;
    let session = Session::read(app, &caller, headers);
    let Route { model, cascade } = route(app, &caller, &asked, &session, headers).await;
    // A model outside the plan is told from an unknown one only by the plan's own list.
    let is_allowed = caller
        .plan
        .models
        .iter()
        .any(|allowed| allowed.model == model);
    let known = caller
        .catalogue
        .model(&model)
        .filter(|_| is_allowed)
        .cloned();
    let known = known.ok_or_else(|| Refusal::from(ChooseError::NotInPlan))?;
    let query = VersionQuery {
        model_name: &model,
        model: &known,
        plan: &caller.plan,
        view_is_fresh: app.board.view_is_fresh(now),
        halted: &app.shared.quality.halted(&model),
    };
    let version = decide_version(
        app,
        &caller,
        &query,
        wanted.as_deref(),
        &session,
        &request_id,
    )
    .await?;
    let session_token = session.id.map(|session| {
        app.board.signer.sign(&SessionPin {
            account: caller.entry.account.to_string(),
            session,
            model: model.to_string(),
            version: version.to_string(),
        })
    });
    Ok(Job {
        app: app.clone(),
        request,
        request_id,
        pool: known.pool.clone(),
        model,
        version,
        deadline,
        priority: header(headers, "x-priority").unwrap_or("1").to_owned(),
        session_token,
        cascade,
        span: span.child("completion"),
        caller,
    })
}
