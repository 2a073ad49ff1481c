//! Why a request got no backend server's answer, and what that says about whether it ran.

use std::time::Duration;

use derive_more::{Display, Error};
use hyper::StatusCode;

/// A request that ends without a backend server's answer.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Refusal {
    /// The host has no configuration yet; nothing ran.
    #[display("no configuration yet")]
    NotReady,
    /// No route fits; nothing ran.
    #[display("no route")]
    NoRoute,
    /// The key belongs to no client account; nothing ran.
    #[display("unknown key")]
    UnknownKey,
    /// The request is malformed; nothing ran.
    #[display("bad request: {reason}")]
    BadRequest {
        /// What is wrong.
        reason: &'static str,
    },
    /// The body is over its limit; nothing ran.
    #[display("body too large")]
    BodyTooLarge,
    /// The body did not come in time; nothing ran.
    #[display("body too slow")]
    SlowBody,
    /// Nothing ran and nothing will.
    #[display("not run: {reason}")]
    NotRun {
        /// Why.
        reason: &'static str,
        /// When to come back.
        retry_after: Duration,
    },
    /// The request was sent and got no whole answer: it may have run.
    #[display("may have run: {reason}")]
    MayHaveRun {
        /// What happened to the answer.
        reason: &'static str,
    },
    /// The time limit passed before a server took the request; nothing ran.
    #[display("not run: time limit passed before a server took it")]
    DeadlineBeforeRun {
        /// When to come back.
        retry_after: Duration,
    },
    /// The time limit passed after the request was sent.
    #[display("time limit passed")]
    DeadlinePassed,
    /// A refusal that the dialect words itself.
    #[display("{}", _0.code)]
    #[error(ignore)]
    Custom(CustomRefusal),
}

/// What is known of the work behind a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// It did not run and will not.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// It ran.
    Ran,
}

/// A refusal with a status and a code of the dialect's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomRefusal {
    /// Status of the answer.
    pub status: StatusCode,
    /// Stable name of the reason.
    pub code: &'static str,
    /// Explanation for a person.
    pub message: String,
    /// What is known of the work.
    pub execution: Execution,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// The same refusal of a request that a server may have run meanwhile.
    pub(crate) fn into_may_have_run(mut self) -> Self {
        if let Self::Custom(custom) = &mut self
            && custom.execution == Execution::NotRun
        {
            custom.execution = Execution::MayHaveRun;
        }
        self
    }

    /// A request that did not run.
    pub fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        Self::NotRun {
            reason,
            retry_after,
        }
    }
}
