//! Whether a server that broke off a response has crashed, and the record of crashes against the
//! content of requests.

use std::time::Duration;

use clementinearch_policy::{server_health::AttemptOutcome, time::Millis};

use crate::{
    call::Call,
    connections::connect,
    connectivity::check_after_failure,
    crash_records::format_parts,
    decision_log::{Decision, Severity},
    health_tracking::record_server_outcome,
    hooks::RequestContext,
    host_state::HostState,
    in_flight::InFlight,
    server::{AttemptTarget, Server},
};

/// Time limit for the test connection that shows whether a server has crashed.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(60);

/// Reason why the end of a server of the version that lost a rollout is no crash.
pub(crate) const PLANNED_END: &str = "planned end";

/// What a test connection shows of a server that broke off a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrashCheck {
    /// It refuses connections: its process has ended.
    Refused,
    /// It accepts connections.
    Accepted,
    /// It answers neither way in time.
    Silent,
}

impl CrashCheck {
    fn label(self) -> &'static str {
        match self {
            Self::Refused => "refuses connections",
            Self::Accepted => "accepts connections",
            Self::Silent => "silent",
        }
    }
}

/// Looks at a server that broke off a response.
async fn look_at_server(state: &HostState, server: &Server) -> CrashCheck {
    let first = try_connect(server).await;
    if first == CrashCheck::Refused {
        return first;
    }
    let Some(delay) = state.hooks.crash_recheck_delay() else {
        return first;
    };
    tokio::time::sleep(delay).await;
    try_connect(server).await
}

/// Whether a server refuses connections, so that its process has ended. A server that said that it
/// leaves may have ended after a complete response.
pub(crate) async fn has_ended(server: &Server) -> bool {
    server.accepts_requests() && try_connect(server).await == CrashCheck::Refused
}

async fn try_connect(server: &Server) -> CrashCheck {
    let connected = tokio::time::timeout(CRASH_CHECK_TIMEOUT, connect(server.entry.address)).await;
    match connected {
        Ok(Ok(_)) => CrashCheck::Accepted,
        Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => CrashCheck::Refused,
        Ok(Err(_)) | Err(_) => CrashCheck::Silent,
    }
}

/// Checks whether the server of a request that broke off has ended, and if so records that. Returns
/// whether it has, or is out of reach like all others.
pub(crate) async fn check_crash(
    state: &HostState,
    call: &Call,
    in_flight: &InFlight,
    now: Millis,
) -> bool {
    let server = in_flight.server();
    let began_at = state.now();
    let check = look_at_server(state, server).await;
    let is_path_lost = if check == CrashCheck::Accepted {
        state.record_server_connected(state.now());
        false
    } else {
        check_after_failure(state, began_at).await
    };
    metrics::counter!("clementinearch_crash_checks_total", "result" => check.label()).increment(1);
    if check == CrashCheck::Refused {
        record_crash(state, call, in_flight, now);
        return true;
    }
    if is_path_lost {
        // Neither the server nor its version nor the content is to blame.
        record_server_outcome(state, server, AttemptOutcome::Unreachable, now);
    }
    let context = RequestContext { state, call, now };
    log_crash(
        context,
        &server.entry.name,
        "crash_ruled_out",
        check.label(),
        in_flight.is_answering(),
    );
    is_path_lost
}

/// Records that the server of a request has ended: a crash under the request's content, unless the
/// server had announced its end, or this host alone reaches none.
pub(crate) fn record_crash(state: &HostState, call: &Call, in_flight: &InFlight, now: Millis) {
    let server = in_flight.server();
    record_server_outcome(state, server, AttemptOutcome::Unreachable, now);
    let is_answering = in_flight.is_answering();
    let ruled_out = if !server.accepts_requests() {
        Some("announced")
    } else if state.is_cut_off(now) {
        Some("host cut off")
    } else if state.ends_as_planned(server, now, now) {
        Some(PLANNED_END)
    } else {
        None
    };
    if let Some(why) = ruled_out {
        let context = RequestContext { state, call, now };
        log_crash(
            context,
            &server.entry.name,
            "crash_ruled_out",
            why,
            is_answering,
        );
        return;
    }
    record_content_crash(state, call, in_flight.attempt_target(), is_answering, now);
}

/// Records that a server crashed at `now` under the content of a request. `is_answering` is whether
/// it had survived the begin of the response.
pub(crate) fn record_content_crash(
    state: &HostState,
    call: &Call,
    target: AttemptTarget<'_>,
    is_answering: bool,
    now: Millis,
) {
    let context = RequestContext { state, call, now };
    state.hooks.record_crash(context, target);
    if !is_answering {
        state.record_part_crash(call, target, now);
    }
    log_crash(
        context,
        target.name,
        "server_crashed",
        &call.head.id,
        is_answering,
    );
}

/// Logs the result of a crash check, with the crashes that the request's content is known for.
pub(crate) fn log_crash(
    context: RequestContext<'_>,
    server: &str,
    event: &str,
    why: &str,
    is_answering: bool,
) {
    let RequestContext { state, call, now } = context;
    let evidence = state.crash_evidence.lock();
    let crashes = evidence.crash_count(call.content_hash, now);
    drop(evidence);
    let decision = Decision {
        ms: now.0,
        event,
        id: &call.head.id,
        route: &call.head.route.name,
        server,
        why,
        content: &format!("{:016x}", call.content_hash),
        parts: &format_parts(&call.shared_parts()),
        inputs: &[
            ("crashes", crashes as f64),
            ("answering", f64::from(u8::from(is_answering))),
        ],
    };
    state.log.write(Severity::Important, &decision);
}
