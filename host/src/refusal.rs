//! Error responses to callers. Each one states whether the work was run.

use std::time::Duration;

use clementinearch_border::{ErrorBody, ErrorDetail, RunState};
use clementinearch_policy::{request_id::RequestIdError, version_selection::VersionSelectionError};
use clementinearch_router::{
    CustomRefusal, Execution, Refusal as RouterRefusal, ResponseBody, full_body,
};
use hyper::{
    Response, StatusCode,
    body::Bytes,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};

/// HTTP response to a caller.
pub(crate) type CallerResponse = Response<ResponseBody>;

/// An error response: status, code, message, and whether the request was run.
#[derive(Clone, Debug)]
pub(crate) struct Refusal(CustomRefusal);

impl From<CustomRefusal> for Refusal {
    fn from(custom: CustomRefusal) -> Self {
        Self(custom)
    }
}

impl From<Refusal> for RouterRefusal {
    fn from(refusal: Refusal) -> Self {
        Self::Custom(refusal.0)
    }
}

impl Refusal {
    /// Builds a refusal of work that was not run.
    pub(crate) fn not_run(
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self(CustomRefusal {
            status,
            code,
            message: message.into(),
            execution: Execution::NotRun,
            retry_after: None,
        })
    }

    /// Builds a refusal of an invalid request, with status 400.
    pub(crate) fn bad_request(code: &'static str, message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, code, message)
    }

    /// Builds a refusal of work that may have been run.
    pub(crate) fn may_have_run(
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self::not_run(status, code, message).with_execution(Execution::MayHaveRun)
    }

    /// Builds a refusal of work that was run but whose response cannot be returned.
    pub(crate) fn ran(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self::not_run(status, code, message).with_execution(Execution::Ran)
    }

    fn with_execution(mut self, execution: Execution) -> Self {
        self.0.execution = execution;
        self
    }

    /// Sets the retry delay to a random duration from half of `after` up to `after`. The jitter
    /// keeps callers that were refused together from retrying together.
    pub(crate) fn with_retry_after(mut self, after: Duration) -> Self {
        let jittered = after.mul_f64(0.5 + fastrand::f64() / 2.0);
        self.0.retry_after = Some(jittered);
        self
    }

    /// Builds the JSON body; the retry delay is given in milliseconds.
    pub(crate) fn body(&self) -> ErrorBody {
        ErrorBody {
            error: ErrorDetail {
                code: self.0.code.to_owned(),
                message: self.0.message.clone(),
                run: match self.0.execution {
                    Execution::NotRun => RunState::NotRun,
                    Execution::MayHaveRun => RunState::MayHaveRun,
                    Execution::Ran => RunState::WasRun,
                },
                retry_after_ms: self.0.retry_after.map(|after| after.as_millis() as u64),
            },
        }
    }

    /// Builds the HTTP response. `Retry-After` is rounded up to whole seconds.
    pub(crate) fn response(&self) -> CallerResponse {
        let json = serde_json::to_string(&self.body()).unwrap_or_default();
        let mut response = json_response(self.0.status, json);
        if let Some(after) = self.0.retry_after {
            let seconds = after.as_millis().div_ceil(1000) as u64;
            response.headers_mut().insert(RETRY_AFTER, seconds.into());
        }
        response
    }
}

/// Builds a response with a JSON body.
pub(crate) fn json_response(status: StatusCode, json: impl Into<Bytes>) -> CallerResponse {
    let mut response = Response::new(full_body(json));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Retry delay while this host's view of the configuration is out of date.
const STALE_VIEW_RETRY: Duration = Duration::from_secs(5);

impl From<VersionSelectionError> for Refusal {
    fn from(e: VersionSelectionError) -> Self {
        let message = e.to_string();
        match e {
            VersionSelectionError::NotInPlan => {
                Self::not_run(StatusCode::FORBIDDEN, "not_in_plan", message)
            }
            VersionSelectionError::NoVersion => {
                Self::not_run(StatusCode::CONFLICT, "no_version", message)
            }
            VersionSelectionError::SessionWithdrawn => {
                Self::not_run(StatusCode::CONFLICT, "session_version_withdrawn", message)
            }
            VersionSelectionError::StaleView => {
                Self::not_run(StatusCode::SERVICE_UNAVAILABLE, "stale_view", message)
                    .with_retry_after(STALE_VIEW_RETRY)
            }
        }
    }
}

impl From<RequestIdError> for Refusal {
    fn from(e: RequestIdError) -> Self {
        let code = match e {
            RequestIdError::Malformed => "bad_request_id",
            RequestIdError::Expired => "request_id_expired",
            RequestIdError::Ahead => "request_id_ahead",
        };
        Self::not_run(StatusCode::BAD_REQUEST, code, format!("request id {e}"))
    }
}
