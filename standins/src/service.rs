//! Stand-in for a service without streaming, which records each run of a call.

use std::{io, sync::Arc, time::Duration};

use clementinearch_border::LoadReport;
use clementinearch_policy::names::FastMap;
use http_body_util::BodyExt;
use hyper::{Method, Request, StatusCode, body::Incoming};
use parking_lot::Mutex;
use tokio::{net::TcpListener, time::sleep};

use crate::serve::{self, StandinResponse, header, query, text};

#[derive(Default)]
struct State {
    /// Runs so far, with id and path.
    runs: Vec<String>,
    /// Latest response body by id.
    responses: FastMap<String, String>,
    /// Time between the run of a call and its response.
    delay: Duration,
    /// Whether to close the connection after a run instead of responding.
    cut_after_run: bool,
    /// Whether to report that the service is leaving, and refuse calls.
    leaving: bool,
}

/// A service without streaming.
pub struct Service {
    /// Whether a call with a known id gets the stored response instead of another run.
    checks_ids: bool,
    state: Mutex<State>,
}

impl Service {
    /// Creates a service. With `checks_ids`, a call with a known id gets the stored response, unless it
    /// is a `GET` request. All other calls are run.
    pub fn new(checks_ids: bool) -> Arc<Self> {
        Arc::new(Self {
            checks_ids,
            state: Mutex::default(),
        })
    }

    /// Serves until the listener fails.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        serve::serve(listener, self, handle).await;
    }
}

async fn handle(service: Arc<Service>, req: Request<Incoming>) -> io::Result<StandinResponse> {
    match req.uri().path() {
        "/load" => {
            let leaving = service.state.lock().leaving;
            let report = LoadReport {
                versions: Vec::new(),
                running: 0,
                queued: 0,
                slots: 64,
                leaving,
            };
            Ok(text(StatusCode::OK, serde_json::to_string(&report)?))
        }
        "/test/log" => Ok(text(StatusCode::OK, service.state.lock().runs.join("\n"))),
        "/test/faults" => {
            let mut state = service.state.lock();
            state.delay = Duration::from_millis(query(&req, "delay_ms").unwrap_or(0));
            state.cut_after_run = query(&req, "cut_after_run") == Some(1);
            state.leaving = query(&req, "leaving") == Some(1);
            Ok(text(StatusCode::OK, ""))
        }
        _ => run(&service, req).await,
    }
}

/// Runs a call, or returns the stored response to its id.
async fn run(service: &Service, req: Request<Incoming>) -> io::Result<StandinResponse> {
    let id = header(&req, "idempotency-key");
    let path = req.uri().path().to_owned();
    let is_read = req.method() == Method::GET;
    let body = req
        .into_body()
        .collect()
        .await
        .map_err(io::Error::other)?
        .to_bytes();
    let (delay, is_cut) = {
        let mut state = service.state.lock();
        if state.leaving {
            return Ok(text(StatusCode::SERVICE_UNAVAILABLE, "leaving"));
        }
        if let Some(known) = state
            .responses
            .get(&id)
            .filter(|_| service.checks_ids && !is_read)
        {
            return Ok(text(StatusCode::OK, known.clone()));
        }
        state.runs.push(format!("run {id} {path}"));
        let number = state.runs.len();
        let response = format!("{{\"run\":{number},\"bytes\":{}}}", body.len());
        state.responses.insert(id.clone(), response);
        (state.delay, state.cut_after_run)
    };
    sleep(delay).await;
    if is_cut {
        return Err(io::Error::other("connection broken by an injected fault"));
    }
    let response = service
        .state
        .lock()
        .responses
        .get(&id)
        .cloned()
        .unwrap_or_default();
    Ok(text(StatusCode::OK, response))
}
