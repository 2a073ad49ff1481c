//! Reasons for which a request gets no response of a backend server, and whether it may have run.

use std::time::Duration;

use derive_more::{Display, Error};
use hyper::StatusCode;

/// The reason why a request ends without a backend server's response.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Refusal {
    /// The host has no configuration yet; nothing ran.
    #[display("no configuration yet")]
    NotReady,
    /// No route matches; nothing ran.
    #[display("no route")]
    NoRoute,
    /// The API key belongs to no client account; nothing ran.
    #[display("unknown key")]
    UnknownKey,
    /// The request is malformed; nothing ran.
    #[display("bad request: {reason}")]
    BadRequest {
        /// What is wrong.
        reason: &'static str,
    },
    /// The request body exceeds the size limit; nothing ran.
    #[display("body too large")]
    BodyTooLarge,
    /// The request body did not arrive within its time limit; nothing ran.
    #[display("body too slow")]
    SlowBody,
    /// The request did not run and will not.
    #[display("not run: {reason}")]
    NotRun {
        /// Reason as text for logs and metrics.
        reason: &'static str,
        /// Delay before the caller should retry.
        retry_after: Duration,
    },
    /// The request was sent and got no complete response: it may have run.
    #[display("may have run: {reason}")]
    MayHaveRun {
        /// What happened to the response, as text for logs and metrics.
        reason: &'static str,
    },
    /// The deadline passed before a server took the request; nothing ran.
    #[display("not run: time limit passed before a server took it")]
    DeadlineBeforeRun {
        /// Delay before the caller should retry.
        retry_after: Duration,
    },
    /// The deadline passed after the request was sent; it may have run.
    #[display("time limit passed")]
    DeadlinePassed,
    /// A refusal with a status, a code and a message chosen by the dialect.
    #[display("{}", _0.code)]
    #[error(ignore)]
    Custom(CustomRefusal),
}

/// Whether a refused request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// No server ran the request, and none will.
    NotRun,
    /// A server may have run the request.
    MayHaveRun,
    /// A server ran the request, but its response cannot be returned.
    Ran,
}

/// A refusal with a status and a code defined by the dialect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomRefusal {
    /// Status of the response.
    pub status: StatusCode,
    /// Stable, machine-readable reason.
    pub code: &'static str,
    /// Explanation for a human reader.
    pub message: String,
    /// Whether the request was executed.
    pub execution: Execution,
    /// Delay before the caller should retry, if a retry makes sense.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Changes a custom refusal from "not run" to "may have run", for a request that was already
    /// sent to a server.
    pub(crate) fn into_may_have_run(mut self) -> Self {
        if let Self::Custom(custom) = &mut self
            && custom.execution == Execution::NotRun
        {
            custom.execution = Execution::MayHaveRun;
        }
        self
    }

    /// Creates a refusal of a request that did not run.
    pub fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self::NotRun {
            reason,
            retry_after,
        }
    }
}
