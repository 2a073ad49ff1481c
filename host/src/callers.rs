//! The callers' side: listens, authenticates, reads requests and dispatches them.

use std::{future::Future, io, sync::Arc, time::Duration};

use clementinearch_border::{ModelEntry, ModelList};
use clementinearch_policy::{
    catalogue::{AccountEntry, Catalogue},
    model::VersionState,
    names::digest_hex,
    plan::{CascadeRule, Plan},
    retry::RetryBudget,
};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    HeaderMap, Method, Request, StatusCode,
    body::{Bytes, Incoming},
    header::AUTHORIZATION,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use parking_lot::Mutex;
use tokio::{net::TcpListener, time::timeout};

use crate::{
    board::Board,
    chat,
    claims::Claims,
    gate::Gate,
    ledger::Ledger,
    peers::Shared,
    refusal::{Answer, Refusal, json_answer},
    services,
    sessions::Sessions,
    telemetry,
};

/// Largest head of a request, bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// When to come back to a host that is not ready.
const NOT_READY_RETRY: Duration = Duration::from_secs(2);

/// What the handlers of callers' requests share.
pub(crate) struct App {
    pub(crate) board: Arc<Board>,
    pub(crate) claims: Claims,
    pub(crate) sessions: Arc<Sessions>,
    pub(crate) ledger: Arc<Ledger>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) retries: Mutex<RetryBudget>,
}

/// An authenticated client account with its plan.
#[derive(Clone)]
pub(crate) struct Caller {
    pub(crate) entry: AccountEntry,
    pub(crate) plan: Arc<Plan>,
    pub(crate) catalogue: Arc<Catalogue>,
}

impl App {
    /// The client account of a request.
    fn authenticate(&self, headers: &HeaderMap) -> Result<Caller, Refusal> {
        let unauthorized =
            |message: &str| Refusal::not_run(StatusCode::UNAUTHORIZED, "unauthorized", message);
        let header = headers
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok());
        let key = header.and_then(|value| value.strip_prefix("Bearer "));
        let key = key.ok_or_else(|| unauthorized("needs a key: `Authorization: Bearer KEY`"))?;
        self.caller_with(&digest_hex(key.as_bytes()))
            .ok_or_else(|| unauthorized("unknown key"))
    }

    /// The caller whose key has this digest, under the configuration in force now.
    pub(crate) fn caller_with(&self, key_sha256: &str) -> Option<Caller> {
        let catalogue = self.board.in_force()?.catalogue;
        let entry = catalogue.account(key_sha256)?.clone();
        let plan = catalogue.plan(&entry.plan)?.clone();
        Some(Caller {
            entry,
            plan,
            catalogue,
        })
    }

    async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Answer {
        let method = req.method().clone();
        let span = telemetry::Span::start_server("request", req.headers());
        span.set("http.route", req.uri().path().to_owned());
        let outcome = self.dispatch(method, req, &span).await;
        let answer = outcome.unwrap_or_else(|refusal| refusal.answer());
        metrics::counter!("clementinearch_answers_total", "status" => answer.status().as_str().to_owned()).increment(1);
        span.set("http.status", answer.status().as_str().to_owned());
        answer
    }

    async fn dispatch(
        self: &Arc<Self>,
        method: Method,
        req: Request<Incoming>,
        span: &telemetry::Span,
    ) -> Result<Answer, Refusal> {
        if self.board.in_force().is_none() {
            let message = "this host has no configuration yet";
            let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "not_ready", message);
            return Err(refusal.with_retry_after(NOT_READY_RETRY));
        }
        let caller = self.authenticate(req.headers())?;
        let path = req.uri().path().to_owned();
        if method == Method::POST && path == "/v1/chat/completions" {
            let (headers, body) = self.read(req).await?;
            return chat::complete(self, caller, &headers, &body, span).await;
        }
        if method == Method::GET && path == "/v1/models" {
            return Ok(list_models(&caller));
        }
        if let Some(target) = path.strip_prefix("/services/") {
            let query = req.uri().query().map(str::to_owned);
            let call = services::Call::new(method, target, query)?;
            let (headers, body) = self.read(req).await?;
            return services::relay(self, caller, call, &headers, body, span).await;
        }
        Err(Refusal::not_run(
            StatusCode::NOT_FOUND,
            "no_such_path",
            format!("nothing is served at {path}"),
        ))
    }

    /// Reads a body within its limits.
    async fn read(&self, req: Request<Incoming>) -> Result<(HeaderMap, Bytes), Refusal> {
        let (parts, body) = req.into_parts();
        let settings = &self.board.settings;
        let limited = Limited::new(body, settings.max_body as usize);
        let Ok(collected) = timeout(settings.caller_timeout, limited.collect()).await else {
            let message = "the request body did not come in time";
            return Err(Refusal::not_run(
                StatusCode::REQUEST_TIMEOUT,
                "slow_body",
                message,
            ));
        };
        match collected {
            Ok(body) => Ok((parts.headers, body.to_bytes())),
            Err(e) if e.is::<LengthLimitError>() => {
                let message = format!("the request body is over {} bytes", settings.max_body);
                Err(Refusal::not_run(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "body_too_large",
                    message,
                ))
            }
            Err(e) => Err(Refusal::not_run(
                StatusCode::BAD_REQUEST,
                "broken_body",
                e.to_string(),
            )),
        }
    }
}

fn list_models(caller: &Caller) -> Answer {
    let entry = |allowed: &clementinearch_policy::plan::AllowedModel| {
        let model = caller.catalogue.model(&allowed.model)?;
        let takes_work = |state| matches!(state, VersionState::Established | VersionState::Rollout);
        let versions = model
            .versions
            .iter()
            .filter(|version| takes_work(version.state));
        let allowed_versions = versions.filter(|version| allowed.versions.contains(&version.name));
        let versions = allowed_versions
            .map(|version| version.name.to_string())
            .collect();
        Some(ModelEntry {
            id: allowed.model.to_string(),
            versions,
        })
    };
    let cascade = |rule: &CascadeRule| ModelEntry {
        id: rule.name.to_string(),
        versions: Vec::new(),
    };
    let models = caller.plan.models.iter().filter_map(entry);
    let list = ModelList {
        data: models
            .chain(caller.plan.cascades.iter().map(cascade))
            .collect(),
    };
    json_answer(
        StatusCode::OK,
        serde_json::to_string(&list).unwrap_or_default(),
    )
}

/// Listens for callers until `stop` resolves, then lets running requests finish.
pub(crate) async fn serve(
    app: Arc<App>,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let graceful = GracefulShutdown::new();
    let caller_timeout = app.board.settings.caller_timeout;
    let drain_limit = app.board.settings.drain_limit;
    let mut stop = std::pin::pin!(stop);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stop => break,
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let app = app.clone();
        let service = service_fn(move |req| {
            let app = app.clone();
            async move { Ok::<_, io::Error>(app.answer(req).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(caller_timeout)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("caller's connection: {e}");
            }
        });
    }
    drop(listener);
    log::info!("planned stop: waiting for {} connections", graceful.count());
    if timeout(drain_limit, graceful.shutdown()).await.is_err() {
        log::warn!("planned stop: requests were still running after {drain_limit:?}");
    }
    Ok(())
}
