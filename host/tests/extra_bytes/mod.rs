//! Extra bytes that a scripted server sends on a kept connection beside its answers.

#![allow(
    dead_code,
    unreachable_pub,
    missing_docs,
    reason = "shared by several test files, each of which uses a part"
)]

use std::{collections::HashSet, sync::Mutex, thread, time::Duration};

use clementinearch_standins::scripted_server::{ReceivedRequest, Step};

/// Time for which a server still works on a request after its extra bytes.
const WORK: Duration = Duration::from_millis(30);

/// Statuses that state that a request did not run.
pub const PROMISES: [&str; 4] = [
    "408 Request Timeout",
    "421 Misdirected Request",
    "429 Too Many Requests",
    "503 Service Unavailable",
];

/// When a server sends its extra bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Moment {
    /// In one piece with the answer to the request before.
    WithEarlierAnswer,
    /// Some time after the answer to the request before, while the connection is idle.
    Idle,
    /// Once the request has arrived, before its answer.
    WithRequest,
}

impl Moment {
    /// Waits until extra bytes on an idle connection have been sent.
    pub fn pass(self) {
        if self == Self::Idle {
            thread::sleep(2 * WORK);
        }
    }
}

/// Extra bytes that a server is still to send, and when.
#[derive(Default)]
pub struct Planned {
    extra: Mutex<Option<(Moment, String)>>,
    /// Numbers of the connections that have carried a request.
    used: Mutex<HashSet<u64>>,
}

impl Planned {
    pub fn set(&self, moment: Moment, extra: String) {
        *self.extra.lock().unwrap() = Some((moment, extra));
    }

    /// Fails if the extra bytes were not sent.
    pub fn check_sent(&self) {
        let left = self.extra.lock().unwrap().take();
        assert!(left.is_none(), "not sent: {left:?}");
    }

    /// Whether extra bytes are still to be sent.
    pub fn is_left(&self) -> bool {
        self.extra.lock().unwrap().is_some()
    }

    /// Forgets extra bytes for whose moment no connection was kept.
    pub fn forget(&self) {
        *self.extra.lock().unwrap() = None;
    }

    /// Adds the extra bytes to `answer` if they are due with this request, which is the one before
    /// the probe or the probe itself.
    pub fn apply(
        &self,
        received: &ReceivedRequest,
        is_probe: bool,
        answer: Vec<Step>,
    ) -> Vec<Step> {
        let is_kept = !self.used.lock().unwrap().insert(received.connection);
        let mut extra = self.extra.lock().unwrap();
        let is_due = extra.as_ref().is_some_and(|(moment, _)| {
            (*moment == Moment::WithRequest) == is_probe && (is_kept || !is_probe)
        });
        match extra.take_if(|_| is_due) {
            Some((moment, extra)) => with_extra(moment, extra, answer),
            None => answer,
        }
    }
}

fn with_extra(moment: Moment, extra: String, mut answer: Vec<Step>) -> Vec<Step> {
    match moment {
        Moment::WithEarlierAnswer => {
            if let Some(Step::Send(last)) = answer.last_mut() {
                last.push_str(&extra);
            }
        }
        Moment::Idle => answer.extend([Step::Wait(WORK), Step::Send(extra)]),
        Moment::WithRequest => {
            answer.splice(0..0, [Step::Send(extra), Step::Wait(WORK)]);
        }
    }
    answer
}

/// A refusal with these header lines.
pub fn refusal(status: &str, headers: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n")
}

/// Fails with the variants that went wrong.
pub fn report(wrong: &[String], played: usize) {
    assert!(
        wrong.is_empty(),
        "{} of {played} wrong: {wrong:#?}",
        wrong.len()
    );
}
