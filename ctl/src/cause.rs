//! Inference of a request's cause of failure from the log events of the host that served it.

/// One event in a host's log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoggedEvent<'a> {
    /// Name of the event.
    pub(crate) event: &'a str,
    /// Id of the request; empty if the event concerns no single request.
    pub(crate) id: &'a str,
    /// Name of the backend server, or of another subject of the event.
    pub(crate) server: &'a str,
    /// Reason or outcome.
    pub(crate) why: &'a str,
}

/// Returns the cause of failure of request `id`. `events` are those of the request and the state
/// changes of its host around that time, in order.
pub(crate) fn infer_cause(events: &[LoggedEvent<'_>], id: &str) -> String {
    let own_event = |name: &str| {
        events
            .iter()
            .find(|logged| logged.event == name && logged.id == id)
    };
    let crash = events
        .iter()
        .find(|logged| logged.event == "server_crashed" && logged.why == id);
    let unreachable_zone = events
        .iter()
        .find(|logged| logged.event == "zone_out_of_reach")
        .map(|logged| logged.server);
    let refused = events
        .iter()
        .find(|logged| logged.event == "request_refused" && logged.server == id);
    if let Some(refused) = refused {
        return refusal_cause(refused.why);
    }
    let Some(ended) = own_event("ended") else {
        return "no end was logged: the host's process ended while the request ran".to_owned();
    };
    if let Some(crash) = crash {
        return format!(
            "backend server {} crashed while it served the request",
            crash.server
        );
    }
    let losses = [
        "attempt_lost",
        "stream_broken",
        "answer_broken",
        "answer_spoiled",
    ];
    let lost = losses.iter().find_map(|event| own_event(event));
    match ended.why {
        "complete" => "none: the request completed".to_owned(),
        "failure of the server passed on" => match own_event("server_failed") {
            Some(failed) => format!(
                "backend servers failed; {} answered with status {}",
                failed.server, failed.why
            ),
            None => "backend servers failed".to_owned(),
        },
        "not run: no server left" | "may have run: no server left" => match unreachable_zone {
            Some(zone) => format!("its servers are in zone {zone}, which was out of reach"),
            None => "no server of the service took the request: none is listed, or all refused"
                .to_owned(),
        },
        "time limit passed" | "caller left" => match (unreachable_zone, lost) {
            (Some(zone), Some(lost)) => {
                format!(
                    "{}: {}, while zone {zone} was out of reach",
                    lost.server, lost.why
                )
            }
            (_, Some(lost)) => format!("{}: {}", lost.server, lost.why),
            (_, None) if ended.server.is_empty() => {
                "no server was chosen while the request waited".to_owned()
            }
            (_, None) => format!("backend server {} did not answer in time", ended.server),
        },
        why => match lost {
            Some(lost) => format!("{why}; before it {}: {}", lost.server, lost.why),
            None => why.to_owned(),
        },
    }
}

/// Returns the cause of a refusal that happened before any backend server was chosen.
fn refusal_cause(why: &str) -> String {
    match why {
        "not run: planned stop" => "the host was in a planned stop".to_owned(),
        "unknown key" => "the caller's key belongs to no account".to_owned(),
        "no route" => "no route of the configuration matches".to_owned(),
        "no configuration yet" => {
            "the host had just started and had no configuration yet".to_owned()
        }
        why => why.to_owned(),
    }
}
